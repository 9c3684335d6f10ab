//! Rate-limited servers before whole fleets: what they get at the most, and that they get what they take.

mod permit_sim;

use crate::permit_sim::{PermitSim, SimDemand};

/// Hosts and zones.
const FLEETS: [(usize, usize); 5] = [(2, 1), (9, 3), (88, 3), (300, 5), (420, 7)];

const LIMITS: [f64; 4] = [0.2, 1.9, 20.0, 200.0];

// A rate-limited server that is alone in its service: all demand is for it.
fn one_server(hosts: usize, zones: usize, limit: f64, seed: u64) -> PermitSim {
    let mut sim = PermitSim::new(hosts, zones, 1, Some(limit), seed);
    sim.rate = (limit * 8.0).max(40.0);
    sim
}

fn check_use(sim: &PermitSim, limit: f64, seconds: f64, about: &str) {
    let got = sim.arrived(0) as f64;
    if limit >= 0.6 {
        assert!(
            got >= 0.8 * limit * seconds,
            "{about}: {got} of {limit} a second in {seconds} s"
        );
    }
}

#[test]
fn a_rate_limited_server_gets_what_it_takes_and_no_more() {
    for (hosts, zones) in FLEETS {
        for limit in LIMITS {
            for demand in [SimDemand::All, SimDemand::One(0), SimDemand::Moving] {
                let about = format!("{hosts} hosts, {limit} a second, {demand:?}");
                let mut sim = one_server(hosts, zones, limit, 1);
                sim.demand = demand;
                sim.run(6_000);
                sim.forget_counts();
                sim.run(10_000);
                assert!(sim.worst(limit) <= 1.0, "{about}: {}", sim.worst(limit));
                check_use(&sim, limit, 10.0, &about);
            }
        }
    }
}

#[test]
fn hosts_that_nobody_told_keep_to_it_from_their_first_answer_on() {
    for (hosts, zones) in FLEETS {
        let mut sim = one_server(hosts, zones, 20.0, 2);
        sim.is_telling = false;
        sim.run(14_000);
        assert!(sim.worst(20.0) <= 1.0, "{hosts} hosts: {}", sim.worst(20.0));
    }
}

#[test]
fn both_sides_of_a_cut_together_stay_within_the_bound() {
    for (hosts, zones) in FLEETS.into_iter().filter(|(_, zones)| *zones > 1) {
        for limit in LIMITS {
            // The zone of the server, then another one.
            for zone in ["z-0", "z-1"] {
                let mut sim = one_server(hosts, zones, limit, 3);
                sim.run(5_000);
                sim.cut_zone(zone, true);
                sim.run(12_000);
                sim.cut_zone(zone, false);
                sim.run(8_000);
                let about = format!("{hosts} hosts, {limit} a second, {zone} cut off");
                assert!(sim.worst(limit) <= 1.0, "{about}: {}", sim.worst(limit));
                sim.forget_counts();
                sim.run(10_000);
                check_use(&sim, limit, 10.0, &about);
            }
        }
    }
}

#[test]
fn a_keeper_that_is_cut_off_alone_leaves_the_turns_to_the_next() {
    for (hosts, zones) in FLEETS.into_iter().filter(|(hosts, _)| *hosts > 2) {
        for limit in LIMITS {
            let mut sim = one_server(hosts, zones, limit, 4);
            sim.run(5_000);
            let owner = sim.owner_of(0);
            sim.cut_host(owner, true);
            sim.run(6_000);
            sim.forget_counts();
            sim.run(10_000);
            let about = format!("{hosts} hosts, {limit} a second");
            check_use(&sim, limit, 10.0, &about);
            sim.cut_host(owner, false);
            sim.run(8_000);
            assert!(sim.worst(limit) <= 1.0, "{about}: {}", sim.worst(limit));
        }
    }
}

#[test]
fn turns_are_taken_over_when_their_keeper_is_killed_and_not_twice_when_it_is_back() {
    for (hosts, zones) in FLEETS {
        for limit in LIMITS {
            let mut sim = one_server(hosts, zones, limit, 5);
            sim.run(6_000);
            let owner = sim.owner_of(0);
            sim.kill([owner].into_iter());
            sim.run(3_000);
            sim.forget_counts();
            sim.run(10_000);
            let about = format!("{hosts} hosts, {limit} a second, owner killed");
            check_use(&sim, limit, 10.0, &about);
            sim.start([owner].into_iter());
            sim.run(10_000);
            assert!(sim.worst(limit) <= 1.0, "{about}: {}", sim.worst(limit));
        }
    }
}

#[test]
fn most_hosts_killed_again_and_again_keep_to_it() {
    for (hosts, zones) in FLEETS {
        let mut sim = one_server(hosts, zones, 20.0, 6);
        sim.run(5_000);
        for round in 0..4 {
            let killed = move || (0..hosts).filter(move |index| (index + round) % 3 != 0);
            sim.kill(killed());
            sim.run(1_500);
            sim.start(killed());
            sim.run(1_500);
        }
        assert!(sim.worst(20.0) <= 1.0, "{hosts} hosts: {}", sim.worst(20.0));
    }
}

#[test]
fn after_all_hosts_were_killed_the_first_answers_tell_it_again() {
    for (hosts, zones) in FLEETS {
        let mut sim = one_server(hosts, zones, 20.0, 7);
        sim.run(6_000);
        sim.kill(0..hosts);
        sim.run(1_000);
        sim.start(0..hosts);
        sim.forget_counts();
        sim.run(1_000);
        // Until the first answer is read, and others are told: whatever comes.
        let passed = sim.arrived(0);
        assert!(
            passed <= 110,
            "{hosts} hosts: {passed} in the first second of 160 that came"
        );
        sim.run(9_000);
        assert!(sim.worst(20.0) <= 1.0, "{hosts} hosts: {}", sim.worst(20.0));
    }
}

#[test]
fn a_server_that_names_no_limit_any_more_takes_full_work_within_two_seconds() {
    for (hosts, zones) in FLEETS {
        for limit in [0.0, 1.9, 20.0] {
            let mut sim = one_server(hosts, zones, limit, 8);
            sim.run(8_000);
            sim.set_limit(0, None);
            sim.run(2_000);
            sim.forget_counts();
            sim.run(3_000);
            let about = format!("{hosts} hosts, {limit} a second before");
            assert_eq!(sim.counts.held_back, 0, "{about}");
        }
    }
}

#[test]
fn where_others_have_room_nobody_is_held_back() {
    for (hosts, zones) in FLEETS {
        let mut sim = PermitSim::new(hosts, zones, 6, None, 9);
        sim.set_limit(0, Some(1.9));
        sim.rate = 60.0;
        sim.run(6_000);
        sim.forget_counts();
        sim.run(10_000);
        assert_eq!(sim.counts.held_back, 0, "{hosts} hosts");
        assert!(sim.worst(1.9) <= 1.0, "{hosts} hosts: {}", sim.worst(1.9));
        assert!(
            sim.arrived(0) >= 5,
            "it is heard whether it still names one"
        );
    }
}

#[test]
fn every_server_of_the_largest_fleet_rate_limited_at_once() {
    let mut sim = PermitSim::new(420, 7, 1_700, Some(3.0), 10);
    sim.rate = 8_600.0;
    sim.run(3_000);
    sim.forget_counts();
    sim.run(2_500);
    assert!(sim.worst(3.0) <= 1.0, "{}", sim.worst(3.0));
    let counts = sim.counts;
    let takes = 1_700.0 * 3.0 * 2.5;
    let used = counts.sent as f64 / takes;
    let asks = counts.asks as f64 / 420.0 / 2.5;
    let answered = sim.most_answered() as f64 / 2.5;
    println!(
        "used {used:.3}, {asks:.1} questions a host and second, the busiest answers {answered:.1}"
    );
    assert!(used >= 0.8, "{used}");
    // 304 bytes each, with the answer and its receipt: 4 KB a second.
    assert!(
        asks <= 4_000.0 / 304.0,
        "{asks} questions a host and second"
    );
}

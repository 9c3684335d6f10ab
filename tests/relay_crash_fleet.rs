//! How soon hundreds of hosts know of a request that crashes servers, and how much traffic that takes.

#[allow(dead_code)]
mod fleet_sim;

use {
    crate::fleet_sim::{NO_FAULTS, STEP, SimFaults, SimFleet},
    bayplank::relay::{CrashSuspect, PartDigest, RequestDigest},
    rand::RngExt,
};

/// Maximum time from the third crash until no connected host sends the request any more, in milliseconds. Operators set
/// it.
const MAX_SPREAD_TIME: u64 = 3_000;

const SIZES: [(usize, usize); 4] = [(3, 3), (4, 22), (5, 60), (7, 60)];

const FATAL: u128 = 77;

// Three servers crash while running the fatal request, each time for a random host. Each also runs this many harmless
// requests.
fn crash_three(fleet: &mut SimFleet, harmless: u128) {
    for run in 0..3 {
        let index = loop {
            let index = fleet.rng.random_range(0..fleet.hosts.len());
            if fleet.hosts[index].is_up {
                break index;
            }
        };
        fleet.crash_under(index, FATAL, run);
        for other in 0..harmless {
            let digest = 1_000 + u128::from(run) * 100 + other;
            let at = fleet.rng.random_range(0..fleet.hosts.len());
            fleet.crash_under(at, digest, run);
        }
    }
}

#[test]
fn all_hosts_know_within_a_second_of_the_third_crash() {
    for (zones, hosts) in SIZES {
        let mut fleet = SimFleet::running(zones, hosts);
        crash_three(&mut fleet, 20);
        let time = fleet.time_to_judge(&NO_FAULTS, FATAL, |_| true, MAX_SPREAD_TIME);
        println!("{} hosts: {time} ms", fleet.hosts.len());
        assert!(time <= 1_000, "{} hosts: {time} ms", fleet.hosts.len());
    }
}

#[test]
fn all_hosts_know_in_time_when_zone_heads_are_killed() {
    for (zones, hosts) in SIZES {
        let mut fleet = SimFleet::running(zones, hosts);
        // The first host of each zone is its head. This includes both readers of the store.
        for zone in 0..zones {
            fleet.hosts[zone * hosts].is_up = false;
        }
        crash_three(&mut fleet, 20);
        let time = fleet.time_to_judge(&NO_FAULTS, FATAL, |_| true, MAX_SPREAD_TIME);
        println!("{} hosts, heads killed: {time} ms", fleet.hosts.len());
    }
}

#[test]
fn a_partitioned_zone_knows_in_time_after_it_reconnects() {
    let partition = SimFaults {
        store: |entry| entry.zone != "z-a",
        path: |from, to| (from.zone == "z-a") == (to.zone == "z-a"),
    };
    for (zones, hosts) in SIZES {
        let mut fleet = SimFleet::running(zones, hosts);
        fleet.run(&partition, 500);
        // Two crashes on one side, one on the other.
        fleet.crash_under(0, FATAL, 1);
        fleet.crash_under(hosts, FATAL, 2);
        fleet.crash_under(hosts + 1, FATAL, 3);
        fleet.run(&partition, 40_000);
        assert!(
            !fleet.considers_fatal(0, FATAL),
            "each side knows fewer than three crashes"
        );
        let time = fleet.time_to_judge(&NO_FAULTS, FATAL, |_| true, MAX_SPREAD_TIME);
        println!("{} hosts, partition healed: {time} ms", fleet.hosts.len());
        let mut fleet = SimFleet::running(zones, hosts);
        fleet.run(&partition, 500);
        for run in 0..3 {
            fleet.crash_under(hosts + 1, FATAL, run);
        }
        fleet.time_to_judge(&partition, FATAL, |zone| zone != "z-a", MAX_SPREAD_TIME);
        fleet.run(&partition, 40_000);
        let time = fleet.time_to_judge(&NO_FAULTS, FATAL, |_| true, MAX_SPREAD_TIME);
        println!(
            "{} hosts, partition healed, crashes on one side: {time} ms",
            fleet.hosts.len()
        );
    }
}

#[test]
fn hosts_restarted_one_by_one_learn_it_again() {
    let mut fleet = SimFleet::running(3, 3);
    crash_three(&mut fleet, 0);
    fleet.time_to_judge(&NO_FAULTS, FATAL, |_| true, MAX_SPREAD_TIME);
    for index in 0..fleet.hosts.len() {
        fleet.hosts[index].is_up = false;
        fleet.run(&NO_FAULTS, 1_000);
        fleet.restart(index);
        fleet.time_to_judge(&NO_FAULTS, FATAL, |_| true, MAX_SPREAD_TIME);
    }
}

#[test]
fn traffic_stays_small_when_many_requests_crash_servers() {
    for (zones, hosts) in SIZES {
        let mut fleet = SimFleet::running(zones, hosts);
        let seconds = 30;
        // Each second a new fatal request crashes three servers, each of which also runs twenty harmless requests.
        for second in 0..seconds {
            for run in 0..3 {
                let at = fleet.rng.random_range(0..fleet.hosts.len());
                let number = second * 3 + run;
                fleet.crash_under(at, 100 + u128::from(second), number);
                for other in 0..20 {
                    let at = fleet.rng.random_range(0..fleet.hosts.len());
                    let digest = 10_000 + u128::from(number) * 100 + other;
                    fleet.crash_under(at, digest, number);
                }
                fleet.run(&NO_FAULTS, 1_000 / 3 / STEP * STEP);
            }
        }
        let sent: Vec<u64> = fleet
            .hosts
            .iter()
            .map(|host| host.crashes.sent_bytes / u64::from(seconds))
            .collect();
        let most = sent.iter().max().unwrap();
        let mean = sent.iter().sum::<u64>() / sent.len() as u64;
        println!("{} hosts: {mean} bytes/s, at most {most}", sent.len());
        // Operators allow 4 KB a second for all traffic between hosts that a host sends.
        assert!(mean <= 4_096, "{mean} bytes a second");
        assert!(
            fleet
                .hosts
                .iter()
                .all(|host| host.crashes.book.len() <= 512)
        );
    }
}

/// Sizes at which the sends of requests with a fatal prompt part are counted.
const PART_SIZES: [(usize, usize); 5] = [(1, 2), (3, 3), (4, 22), (5, 60), (7, 141)];

/// Crashes after which operators bound the sends of such requests.
const PART_CRASHES: usize = 5;

/// Sends that they allow from the bound on, by all hosts together.
const MAX_LATER_SENDS: usize = 3;

/// Time from a send until its server crashes.
const CRASH_DELAY: u64 = 100;

/// How long such requests come, in milliseconds: both trials are in it.
const PART_TIME: u64 = 70_000;

// Requests with a fatal prompt part, no two alike, at random hosts, one each step. Returns when each was sent.
fn play_fatal_part(fleet: &mut SimFleet, faults: &SimFaults) -> Vec<u64> {
    let part: CrashSuspect = PartDigest(5).into();
    let end = fleet.now + PART_TIME;
    let mut sends: Vec<u64> = Vec::new();
    let mut running: Vec<(u64, usize)> = Vec::new();
    let mut crashes = 0;
    while fleet.now < end {
        let index = fleet.rng.random_range(0..fleet.hosts.len());
        if fleet.hosts[index].is_up && fleet.sends(index, part, 1) {
            sends.push(fleet.now);
            running.push((fleet.now + CRASH_DELAY, index));
        }
        let now = fleet.now;
        let due: Vec<usize> = running
            .extract_if(.., |run| run.0 <= now)
            .map(|run| run.1)
            .collect();
        for index in due {
            crashes += 1;
            let request = RequestDigest(1_000 + u128::from(crashes));
            fleet.crash_under_suspects(index, &[request.into(), part], crashes);
        }
        fleet.run(faults, STEP);
    }
    sends
}

fn check_later_sends(what: &str, sends: &[u64]) {
    // A crash follows its send.
    let bound = sends[PART_CRASHES.min(sends.len()) - 1] + CRASH_DELAY + MAX_SPREAD_TIME;
    let later = sends.iter().filter(|sent| **sent > bound).count();
    println!("{what}: {} sends, {later} after the bound", sends.len());
    assert!(later <= MAX_LATER_SENDS, "{what}: {later} later sends");
}

#[test]
fn requests_with_a_fatal_prompt_part_are_sent_three_times_at_most_after_the_bound() {
    for (zones, hosts) in PART_SIZES {
        let mut fleet = SimFleet::running(zones, hosts);
        let sends = play_fatal_part(&mut fleet, &NO_FAULTS);
        check_later_sends(&format!("{} hosts", fleet.hosts.len()), &sends);
    }
}

#[test]
fn requests_with_a_fatal_prompt_part_are_sent_seldom_when_zone_heads_are_killed() {
    for (zones, hosts) in SIZES {
        let mut fleet = SimFleet::running(zones, hosts);
        for zone in 0..zones {
            fleet.hosts[zone * hosts].is_up = false;
        }
        let sends = play_fatal_part(&mut fleet, &NO_FAULTS);
        check_later_sends(
            &format!("{} hosts, heads killed", fleet.hosts.len()),
            &sends,
        );
    }
}

#[test]
fn a_partitioned_zone_knows_a_fatal_prompt_part_in_time_after_it_reconnects() {
    let partition = SimFaults {
        store: |entry| entry.zone != "z-a",
        path: |from, to| (from.zone == "z-a") == (to.zone == "z-a"),
    };
    for (zones, hosts) in SIZES {
        let mut fleet = SimFleet::running(zones, hosts);
        fleet.run(&partition, 500);
        let part: CrashSuspect = PartDigest(5).into();
        for run in 0..PART_CRASHES as u32 {
            fleet.crash_under_suspects(hosts + 1, &[part], run);
        }
        fleet.run(&partition, 20_000);
        assert!(
            fleet.sends(0, part, 0),
            "the zone that is cut off knows nothing"
        );
        fleet.run(&NO_FAULTS, MAX_SPREAD_TIME);
        let unaware = (0..fleet.hosts.len()).filter(|index| fleet.sends(*index, part, 1));
        let unaware = unaware.count();
        assert_eq!(unaware, 0, "{} hosts: {unaware} do not know", zones * hosts);
    }
}

#[test]
fn traffic_stays_small_when_prompts_have_many_parts() {
    for (zones, hosts) in SIZES {
        let mut fleet = SimFleet::running(zones, hosts);
        let seconds = 30;
        // Each second three servers crash, while each begins to write on twenty prompts with sixteen made-up parts.
        for second in 0..seconds {
            for run in 0..3 {
                let number = second * 3 + run;
                for other in 0..20 {
                    let at = fleet.rng.random_range(0..fleet.hosts.len());
                    let first = u128::from(number) * 10_000 + other * 100;
                    let parts = (1..17).map(|part| PartDigest(first + part).into());
                    let request = RequestDigest(first).into();
                    let suspects: Vec<CrashSuspect> = parts.chain([request]).collect();
                    fleet.crash_under_suspects(at, &suspects, number);
                }
                fleet.run(&NO_FAULTS, 1_000 / 3 / STEP * STEP);
            }
        }
        let sent: Vec<u64> = fleet
            .hosts
            .iter()
            .map(|host| host.crashes.sent_bytes / u64::from(seconds))
            .collect();
        let most = sent.iter().max().unwrap();
        let mean = sent.iter().sum::<u64>() / sent.len() as u64;
        println!("{} hosts: {mean} bytes/s, at most {most}", sent.len());
        assert!(*most <= 4_096 * zones as u64, "{most} bytes a second");
        assert!(mean <= 4_096, "{mean} bytes a second");
        let mut books = fleet.hosts.iter().map(|host| &host.crashes.book);
        assert!(books.all(|book| book.len() <= 512));
    }
}

//! Simulated fleets of 9, 295 and 420 hosts: number of calls to the store, and time until all hosts have a change.

mod fleet_sim;

use {
    crate::fleet_sim::{KINDS, NO_FAULTS, STEP, SimFaults, SimFleet},
    std::time::Duration,
};

#[test]
fn calls_to_the_store_grow_neither_with_hosts_nor_with_zones() {
    for (zones, hosts) in [(3, 3), (5, 59), (7, 60)] {
        let mut fleet = SimFleet::running(zones, hosts);
        fleet.run(&NO_FAULTS, 9_000);
        assert!(
            fleet.calls <= 44,
            "{zones} zones of {hosts}: {}",
            fleet.calls
        );
        fleet.version += 1;
        assert!(fleet.time_to_apply(&NO_FAULTS, 1_000) <= 200);
    }
}

#[test]
fn during_an_eight_second_outage_few_hosts_call_the_store_and_all_soon_notice_its_return() {
    for (zones, hosts) in [(3, 3), (5, 59), (7, 60)] {
        let away = SimFaults {
            store: |_| false,
            ..NO_FAULTS
        };
        let mut fleet = SimFleet::running(zones, hosts);
        fleet.run(&away, 8_000);
        // The two readers and one more host of each zone call twice a second, for two kinds each.
        let bound = 2 * KINDS * 8 * 2 + zones as u64 * KINDS * 8 * 2;
        assert!(
            fleet.calls <= bound,
            "{zones} zones of {hosts}: {} of {bound}",
            fleet.calls
        );
        fleet.version += 1;
        assert!(fleet.time_to_apply(&NO_FAULTS, 2_000) <= 1_300);
        fleet.calls = 0;
        fleet.run(&NO_FAULTS, 9_000);
        assert!(
            fleet.calls <= 60,
            "{zones} zones of {hosts}, afterwards: {}",
            fleet.calls
        );
    }
}

#[test]
fn a_restored_store_is_reread_by_few_hosts_and_later_writes_soon_reach_all() {
    for (zones, hosts) in [(3, 3), (5, 59), (7, 60)] {
        let away = SimFaults {
            store: |_| false,
            ..NO_FAULTS
        };
        let mut fleet = SimFleet::running(zones, hosts);
        fleet.run(&away, 700);
        fleet.calls = 0;
        fleet.restore();
        let time = fleet.time_to_apply(&NO_FAULTS, 4_000);
        assert!(time <= 1_500, "{zones} zones of {hosts}: {time} ms");
        assert!(fleet.hosts.iter().all(|host| host.era == fleet.era));
        fleet.run(&NO_FAULTS, 9_000 - time);
        // The readers' usual calls, plus those with which each of them rereads the store.
        assert!(
            fleet.calls <= 44 + 12,
            "{zones} zones of {hosts}: {}",
            fleet.calls
        );
        let sent = fleet.hosts.iter().map(|host| host.full_lists_sent);
        let busiest = sent.max().unwrap();
        assert!(
            busiest <= hosts as u64,
            "{zones} zones of {hosts}: {busiest} full lists"
        );
    }
}

#[test]
fn a_store_that_rejects_only_the_readers_is_read_by_other_hosts() {
    let no_heads = SimFaults {
        store: |entry| {
            !["-0", "-1", "-2"]
                .iter()
                .any(|end| entry.name.ends_with(end))
        },
        ..NO_FAULTS
    };
    let mut fleet = SimFleet::running(5, 59);
    fleet.run(&no_heads, 2_000);
    for _ in 0..10 {
        fleet.version += 1;
        fleet.time_to_apply(&no_heads, 4_000);
        fleet.run(&no_heads, 700);
    }
    let seconds = (fleet.now - 13_000) / 1_000;
    assert!(
        fleet.calls <= 30 * seconds,
        "{} in {seconds} s",
        fleet.calls
    );
}

#[test]
fn rejecting_one_reader_delays_no_change() {
    let mut fleet = SimFleet::running(5, 59);
    let one = SimFaults {
        store: |entry| entry.zone != "z-c",
        ..NO_FAULTS
    };
    for _ in 0..10 {
        fleet.version += 1;
        fleet.time_to_apply(&one, 1_500);
        fleet.run(&one, 1_100);
    }
}

#[test]
fn after_all_hosts_were_killed_they_recover_within_two_seconds_mostly_from_each_other() {
    for (zones, hosts) in [(3, 3), (5, 59), (7, 60)] {
        let mut fleet = SimFleet::running(zones, hosts);
        for host in &mut fleet.hosts {
            host.is_up = false;
        }
        fleet.version += 1;
        fleet.run(&NO_FAULTS, 1_400);
        // All of them start within half a second.
        let mut order: Vec<usize> = (0..fleet.hosts.len()).collect();
        for turn in 0..20 {
            let left = order.len();
            for index in order.split_off(left - left / (20 - turn)) {
                fleet.restart(index);
            }
            fleet.run(&NO_FAULTS, STEP);
        }
        let time = fleet.time_to_apply(&NO_FAULTS, 2_000);
        assert!(time <= 700, "{zones} zones of {hosts}: {time} ms");
        let count = fleet.hosts.len() as u64;
        assert!(
            fleet.calls <= count + 40,
            "{} calls of {count} hosts",
            fleet.calls
        );
    }
}

#[test]
fn a_zone_that_is_cut_off_makes_few_calls_and_does_not_affect_the_others() {
    let cut = SimFaults {
        store: |entry| entry.zone != "z-a",
        path: |from, to| (from.zone == "z-a") == (to.zone == "z-a"),
    };
    let mut fleet = SimFleet::running(5, 59);
    let mut worst = 0;
    for _ in 0..6 {
        fleet.version += 1;
        let version = fleet.version;
        let start = fleet.now;
        let outdated = |fleet: &SimFleet| {
            let others = fleet.hosts.iter().filter(|host| host.entry.zone != "z-a");
            others.filter(|host| host.version < version).count()
        };
        while outdated(&fleet) > 0 {
            fleet.run(&cut, STEP);
            assert!(
                fleet.now - start < 4_000,
                "{} hosts lack the change",
                outdated(&fleet)
            );
        }
        worst = worst.max(fleet.now - start);
        fleet.run(&cut, 900);
    }
    assert!(worst <= 1_500, "{worst} ms");
    let seconds = (fleet.now - 13_000) / 1_000 + 1;
    assert!(
        fleet.calls <= 20 * seconds,
        "{} in {seconds} s",
        fleet.calls
    );
    fleet.time_to_apply(&NO_FAULTS, 2_500);
}

#[test]
fn a_reader_that_stops_responding_is_replaced_before_changes_are_late() {
    let mut fleet = SimFleet::running(5, 59);
    let readers: Vec<usize> = (0..fleet.hosts.len())
        .filter(|index| {
            fleet.hosts[*index]
                .choice
                .is_reader(Duration::from_millis(fleet.now))
        })
        .collect();
    assert_eq!(readers.len(), 2);
    for reader in readers {
        fleet.hosts[reader].is_up = false;
        fleet.version += 1;
        let time = fleet.time_to_apply(&NO_FAULTS, 2_500);
        assert!(time <= 1_500, "{time} ms");
    }
    fleet.run(&NO_FAULTS, 5_000);
    assert!(fleet.calls <= 200, "{}", fleet.calls);
}

#[test]
fn a_rolling_restart_adds_at_most_one_store_call_per_host() {
    let mut fleet = SimFleet::running(5, 59);
    for index in 0..fleet.hosts.len() {
        fleet.hosts[index].is_up = false;
        fleet.run(&NO_FAULTS, 2 * STEP);
        fleet.restart(index);
        fleet.run(&NO_FAULTS, 2 * STEP);
    }
    let seconds = (fleet.now - 13_000) / 1_000;
    let steady = 5 * seconds;
    let count = fleet.hosts.len() as u64;
    assert!(
        fleet.calls <= steady + count,
        "{} calls in {seconds} s",
        fleet.calls
    );
    fleet.version += 1;
    fleet.time_to_apply(&NO_FAULTS, 1_000);
}

// A host that the store serves must keep reading it: when it read only every two seconds, changes took effect 3.0 s
// after their acknowledgement.
#[test]
fn consecutive_changes_are_known_soon_while_the_store_rejects_many_hosts() {
    let a_third = SimFaults {
        store: |entry| {
            let is_reader = ["-0", "-1"].iter().any(|end| entry.name.ends_with(end));
            let sum: u32 = entry.name.bytes().map(u32::from).sum();
            !is_reader && !sum.is_multiple_of(3)
        },
        ..NO_FAULTS
    };
    for (zones, hosts) in [(3, 29), (5, 59)] {
        let mut fleet = SimFleet::running(zones, hosts);
        fleet.run(&a_third, 4_000);
        for pause in [100, 1_900, 700, 400, 1_300, 250] {
            fleet.run(&a_third, pause);
            fleet.version += 1;
            let time = fleet.time_to_apply(&a_third, 4_000);
            assert!(time <= 1_500, "{zones} zones of {hosts}: {time} ms");
        }
    }
}

#[test]
fn a_store_that_rejects_the_readers_and_a_third_of_the_others_delays_changes_little() {
    let a_third = SimFaults {
        store: |entry| {
            let is_reader = entry.name.ends_with("-0");
            !is_reader
                && !entry
                    .name
                    .bytes()
                    .map(u32::from)
                    .sum::<u32>()
                    .is_multiple_of(3)
        },
        ..NO_FAULTS
    };
    for (zones, hosts) in [(3, 3), (3, 20), (5, 59)] {
        for wait in [100, 400, 1_100] {
            let mut fleet = SimFleet::running(zones, hosts);
            fleet.run(&a_third, wait);
            fleet.version += 1;
            let time = fleet.time_to_apply(&a_third, 9_000);
            assert!(
                time <= 3_000,
                "{zones} zones of {hosts}, after {wait} ms: {time} ms"
            );
        }
    }
}

#[test]
fn heads_and_seed_hosts_that_restart_during_a_store_outage_delay_no_zone() {
    for (zones, hosts) in [(3, 3), (5, 59), (7, 60)] {
        let away = SimFaults {
            store: |_| false,
            ..NO_FAULTS
        };
        let mut fleet = SimFleet::running(zones, hosts);
        fleet.run(&away, 3_000);
        // The first of each zone is its head.
        let heads = (0..zones).map(|zone| zone * hosts);
        let killed: Vec<usize> = heads.chain(fleet.seeds).collect();
        for index in &killed {
            fleet.hosts[*index].is_up = false;
        }
        fleet.run(&away, 500);
        for index in &killed {
            fleet.restart(*index);
        }
        fleet.run(&away, 4_500);
        fleet.version += 1;
        let time = fleet.time_to_apply(&NO_FAULTS, 2_500);
        assert!(time <= 1_500, "{zones} zones of {hosts}: {time} ms");
    }
}

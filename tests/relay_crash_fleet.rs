//! How soon hundreds of hosts know a request that ends its servers, and what telling it costs.

#[allow(dead_code)]
mod fleet_sim;

use {
    crate::fleet_sim::{NO_FAULTS, STEP, SimFaults, SimFleet},
    rand::RngExt,
};

/// From three ended servers to the last host in touch that sends the request on, milliseconds: operators' bound.
const CONTACT: u64 = 3_000;

const SIZES: [(usize, usize); 4] = [(3, 3), (4, 22), (5, 60), (7, 60)];

const FATAL: u128 = 77;

// Three servers end under the request at three hosts anywhere, with so many innocent requests under each.
fn end_three(fleet: &mut SimFleet, innocent: u128) {
    for run in 0..3 {
        let index = loop {
            let index = fleet.rng.random_range(0..fleet.hosts.len());
            if fleet.hosts[index].is_up {
                break index;
            }
        };
        fleet.crash_under(index, FATAL, run);
        for other in 0..innocent {
            let digest = 1_000 + u128::from(run) * 100 + other;
            let at = fleet.rng.random_range(0..fleet.hosts.len());
            fleet.crash_under(at, digest, run);
        }
    }
}

#[test]
fn all_hosts_know_within_a_second_of_the_third_end() {
    for (zones, hosts) in SIZES {
        let mut fleet = SimFleet::running(zones, hosts);
        end_three(&mut fleet, 20);
        let time = fleet.time_to_judge(&NO_FAULTS, FATAL, |_| true, CONTACT);
        println!("{} hosts: {time} ms", fleet.hosts.len());
        assert!(time <= 1_000, "{} hosts: {time} ms", fleet.hosts.len());
    }
}

#[test]
fn all_hosts_know_in_time_though_heads_are_killed_meanwhile() {
    for (zones, hosts) in SIZES {
        let mut fleet = SimFleet::running(zones, hosts);
        // The first of each zone: its head, and with it both readers of the store.
        for zone in 0..zones {
            fleet.hosts[zone * hosts].is_up = false;
        }
        end_three(&mut fleet, 20);
        let time = fleet.time_to_judge(&NO_FAULTS, FATAL, |_| true, CONTACT);
        println!("{} hosts, heads killed: {time} ms", fleet.hosts.len());
    }
}

#[test]
fn a_zone_that_was_cut_off_knows_in_time_once_it_is_back() {
    let cut = SimFaults {
        store: |entry| entry.zone != "z-a",
        path: |from, to| (from.zone == "z-a") == (to.zone == "z-a"),
    };
    for (zones, hosts) in SIZES {
        let mut fleet = SimFleet::running(zones, hosts);
        fleet.run(&cut, 500);
        // Two ends on one side, one on the other.
        fleet.crash_under(0, FATAL, 1);
        fleet.crash_under(hosts, FATAL, 2);
        fleet.crash_under(hosts + 1, FATAL, 3);
        fleet.run(&cut, 40_000);
        assert!(!fleet.considers_fatal(0, FATAL), "three only together");
        let time = fleet.time_to_judge(&NO_FAULTS, FATAL, |_| true, CONTACT);
        println!("{} hosts, cut healed: {time} ms", fleet.hosts.len());
        let mut fleet = SimFleet::running(zones, hosts);
        fleet.run(&cut, 500);
        for run in 0..3 {
            fleet.crash_under(hosts + 1, FATAL, run);
        }
        fleet.time_to_judge(&cut, FATAL, |zone| zone != "z-a", CONTACT);
        fleet.run(&cut, 40_000);
        let time = fleet.time_to_judge(&NO_FAULTS, FATAL, |_| true, CONTACT);
        println!(
            "{} hosts, cut healed, one side: {time} ms",
            fleet.hosts.len()
        );
    }
}

#[test]
fn hosts_that_are_started_one_after_the_other_all_know_it_again() {
    let mut fleet = SimFleet::running(3, 3);
    end_three(&mut fleet, 0);
    fleet.time_to_judge(&NO_FAULTS, FATAL, |_| true, CONTACT);
    for index in 0..fleet.hosts.len() {
        fleet.hosts[index].is_up = false;
        fleet.run(&NO_FAULTS, 1_000);
        fleet.restart(index);
        fleet.time_to_judge(&NO_FAULTS, FATAL, |_| true, CONTACT);
    }
}

#[test]
fn telling_costs_little_however_many_requests_end_servers() {
    for (zones, hosts) in SIZES {
        let mut fleet = SimFleet::running(zones, hosts);
        let seconds = 30;
        // Another one each second: it ends three servers within it, with twenty innocent requests under each.
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
        // Operators allow a host 4 KB a second for all that it says.
        assert!(mean <= 4_096, "{mean} bytes a second");
        assert!(
            fleet
                .hosts
                .iter()
                .all(|host| host.crashes.book.len() <= 512)
        );
    }
}

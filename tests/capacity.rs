//! No mechanism of a host grows faster than the fleet, counted in entries looked at and bytes.

use {
    bayplank::capacity::{CostTrigger, FleetSize, GrowthReport},
    std::collections::BTreeMap,
};

#[test]
fn costs_grow_at_most_with_the_fleet_and_those_of_requests_and_changes_not_at_all() {
    let size = FleetSize {
        hosts: 500,
        zones: 5,
        servers: 5_000,
        accounts: 50,
        routes: 5_000,
    };
    let report = GrowthReport::measure(size, 1);
    for growth in &report.mechanisms {
        assert!(!growth.outgrows(), "{growth}");
    }
    let named: BTreeMap<_, _> = report
        .mechanisms
        .iter()
        .map(|growth| (growth.name, growth))
        .collect();
    for name in [
        "update of ten servers",
        "ten changes to a follower",
        "changed route to a follower",
        "choice of engines",
        "sum of a zone's reports",
        "place at a contended server",
        "host that carries a connection",
    ] {
        assert!(named[name].power < 0.1, "{}", named[name]);
    }
    for name in [
        "list of servers to a follower",
        "configuration to a follower",
    ] {
        let growth = named[name];
        assert_eq!(growth.trigger, CostTrigger::Start.name());
        assert!(growth.costs[2].largest < 40_000, "{growth}");
    }
}

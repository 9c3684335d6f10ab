//! The cost of updates, reports and choices, counted in servers looked at: it must not grow with the fleet.

mod backends;

use {
    bayplank::{
        engine::EngineRole,
        relay::{
            BackendInfo, BackendRegistry, EngineKey, EngineLoad, LoadAggregator, LoadReport,
            LoadReporter,
        },
    },
    faststr::FastStr,
    std::{collections::BTreeSet, time::Duration},
};

const NOW: Duration = Duration::from_secs(9);
const ZONES: [&str; 5] = ["z-a", "z-b", "z-c", "z-d", "z-e"];

/// Engines that a host prefers, whatever the size of the fleet.
const PREFERRED: usize = 60;

/// Engines in a report of other hosts.
const REPORTED: usize = 80;

fn server(index: usize) -> BackendInfo {
    let role = match index % 20 {
        0..=6 => Some(EngineRole::Prefill),
        _ => Some(EngineRole::Decode),
    };
    backends::backend(
        &format!("e-{index:06}"),
        ZONES[index / 20 % ZONES.len()],
        role,
    )
}

fn registry(count: usize) -> BackendRegistry {
    let mut registry = BackendRegistry::default();
    registry.set_backends((0..count).map(server).collect());
    let own_zone = (0..count).map(server).filter(|info| info.zone == ZONES[0]);
    let preferred: BTreeSet<FastStr> = own_zone.take(PREFERRED).map(|info| info.id).collect();
    registry.set_preferred(preferred);
    registry
}

// Number of servers that an operation looks at in fleets of 600, 6,000 and 20,000 servers.
fn visits(operation: impl Fn(&mut BackendRegistry)) -> [u64; 3] {
    [600, 6_000, 20_000].map(|count| {
        let mut registry = registry(count);
        let before = registry.visited();
        operation(&mut registry);
        registry.visited() - before
    })
}

#[test]
fn an_update_looks_only_at_the_servers_that_changed() {
    let changed = (0..30).map(|index| {
        let info = BackendInfo {
            leaving: true,
            ..server(index)
        };
        (info.id.clone(), Some(info))
    });
    let changed: Vec<_> = changed.collect();
    let visited = visits(|registry| {
        let changes = registry.update_backends(changed.clone().into_iter());
        assert_eq!(changes.leaving.len(), 30);
    });
    assert_eq!(visited, [30; 3]);
}

#[test]
fn reports_look_only_at_the_servers_that_they_name() {
    let loads = (0..REPORTED).map(|index| EngineLoad {
        engine: EngineKey::of(&server(index).id),
        memory_tokens: 9_000,
        ejected_by: 0,
    });
    let loads: Vec<EngineLoad> = loads.collect();
    let visited = visits(|registry| {
        registry.memory_reserved("e-000010", 3_000);
        registry.set_peer_loads(&loads, NOW);
        registry.set_peer_loads(&loads, NOW);
        assert_eq!(registry.loads(NOW).len(), 1);
    });
    assert_eq!(visited, [3 * REPORTED as u64 + 1; 3]);
}

#[test]
fn the_work_for_a_report_does_not_grow_with_the_hosts_that_report() {
    let visited = [60, 600].map(|hosts| {
        let mut aggregator = LoadAggregator::default();
        let mut report_all = || {
            for index in 0..hosts {
                let loads = (0..5).map(|engine| EngineLoad {
                    engine: EngineKey(5 * index + engine),
                    memory_tokens: 3_000,
                    ejected_by: 0,
                });
                let report = LoadReport {
                    loads: loads.collect(),
                    ..LoadReport::default()
                };
                let name = FastStr::from_string(format!("h-{index}"));
                aggregator.record(LoadReporter::Host(name.clone()), report, NOW);
                assert!(aggregator.total_without(&name, NOW).loads.len() <= 48);
            }
            aggregator.visited()
        };
        let first = report_all();
        (report_all() - first) / u64::from(hosts)
    });
    assert_eq!(visited, [58; 2], "loads looked at for each report");
}

#[test]
fn a_request_looks_at_a_bounded_number_of_engines() {
    let calm = visits(|registry| {
        assert!(
            registry
                .rank_decodes("one", ZONES[0], 3_000, Some(28_000), NOW)
                .len()
                >= 9
        );
        assert!(registry.best_prefill("one", ZONES[0], &[], NOW).is_some());
    });
    assert_eq!(calm, [2 * PREFERRED as u64; 3]);
    // The preferred engines are full.
    let full = visits(|registry| {
        let preferred: Vec<FastStr> = (0..3 * PREFERRED).map(|index| server(index).id).collect();
        for id in &preferred {
            registry.memory_reserved(id, 40_000);
            registry.prefill_started(id, 90_000);
        }
        assert!(
            registry
                .rank_decodes("one", ZONES[0], 3_000, Some(28_000), NOW)
                .len()
                >= 9
        );
        assert!(registry.best_prefill("one", ZONES[0], &[], NOW).is_some());
    });
    assert!(
        full[2] <= full[1] + full[1] / 4,
        "{full:?} engines looked at"
    );
    assert!(full[2] < 4_000, "{full:?} engines looked at");
}

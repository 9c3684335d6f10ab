//! Load reports between hosts and their effect on the choice of servers.

mod backends;

use {
    bayplank::{
        engine::EngineRole,
        relay::{
            self, BackendFailure, BackendInfo, BackendRegistry, EngineKey, EngineLoad,
            LoadAggregator, LoadReport, LoadReporter, ServiceDemand,
        },
    },
    std::time::Duration,
};

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn backend(id: &str, leaving: bool) -> BackendInfo {
    BackendInfo {
        leaving,
        ..backends::backend(id, "z-a", None)
    }
}

fn load(engine: &str, memory_tokens: u64) -> EngineLoad {
    EngineLoad {
        engine: EngineKey::of(engine),
        memory_tokens,
        ejected_by: 0,
    }
}

fn report(loads: Vec<EngineLoad>) -> LoadReport {
    LoadReport {
        loads,
        ..LoadReport::default()
    }
}

fn by_host(name: &'static str) -> LoadReporter {
    LoadReporter::Host(name.into())
}

#[test]
fn a_host_gets_the_load_of_all_others_and_a_zone_that_of_its_hosts() {
    let mut aggregator = LoadAggregator::default();
    aggregator.record(by_host("h-1"), report(vec![load("e-1", 10)]), millis(0));
    aggregator.record(
        by_host("h-1"),
        report(vec![load("e-1", 1), load("e-2", 2)]),
        millis(100),
    );
    aggregator.record(by_host("h-2"), report(vec![load("e-1", 4)]), millis(100));
    aggregator.record(
        LoadReporter::Zone("z-b".into()),
        report(vec![load("e-2", 8)]),
        millis(100),
    );
    let now = millis(200);
    assert_eq!(
        aggregator.total_without(&"h-1".into(), now).loads,
        [load("e-2", 8), load("e-1", 4)]
    );
    assert_eq!(
        aggregator.total_without(&"h-2".into(), now).loads,
        [load("e-2", 10), load("e-1", 1)]
    );
    assert_eq!(
        aggregator.zone_total(now).loads,
        [load("e-1", 5), load("e-2", 2)]
    );
}

#[test]
fn demands_of_all_others_are_summed_per_service() {
    let demand = |requests, retries| LoadReport {
        demands: vec![ServiceDemand {
            service: "one".into(),
            requests,
            retries,
        }],
        ..LoadReport::default()
    };
    let mut aggregator = LoadAggregator::default();
    aggregator.record(by_host("h-1"), demand(10, 1), millis(0));
    aggregator.record(by_host("h-2"), demand(20, 2), millis(0));
    aggregator.record(LoadReporter::Zone("z-b".into()), demand(40, 4), millis(0));
    assert_eq!(
        aggregator.total_without(&"h-1".into(), millis(100)),
        demand(60, 6)
    );
    assert_eq!(aggregator.zone_total(millis(100)), demand(30, 3));
}

#[test]
fn a_reply_lists_the_fullest_engines_and_stays_small() {
    let mut aggregator = LoadAggregator::default();
    let loads = (0..500).map(|index| load(&format!("e-{index}"), index));
    aggregator.record(by_host("h-1"), report(loads.collect()), millis(0));
    let reply = aggregator.total_without(&"h-2".into(), millis(1)).loads;
    assert_eq!(reply.len(), 48);
    assert_eq!(reply[0], load("e-499", 499));
    assert_eq!(aggregator.zone_total(millis(1)).loads, reply);
}

#[test]
fn hosts_of_a_large_zone_report_less_often_but_before_their_reports_expire() {
    assert_eq!(relay::report_interval(1), millis(300));
    assert_eq!(relay::report_interval(30), millis(300));
    assert_eq!(relay::report_interval(45), millis(450));
    assert_eq!(relay::report_interval(1_000), millis(600));
}

#[test]
fn a_report_is_compact_and_survives_serialization() {
    let mut sent = report(
        (0..48)
            .map(|index| load(&format!("e-{index}"), 16 * index))
            .collect(),
    );
    sent.demands.push(ServiceDemand {
        service: "one".into(),
        requests: 70,
        retries: 3,
    });
    let mut message = capnp::message::Builder::new_default();
    relay::write_report(message.init_root(), &sent);
    let bytes = capnp::serialize::write_message_to_words(&message);
    // 8 bytes per engine; with textual ids it was about 40.
    assert!(bytes.len() < 48 * 10 + 100, "{} bytes", bytes.len());
    let read = capnp::serialize::read_message(bytes.as_slice(), Default::default()).unwrap();
    let arrived = relay::read_report(read.get_root().unwrap()).unwrap();
    assert_eq!(arrived, sent);
}

#[test]
fn reports_of_removed_hosts_expire_soon() {
    let mut aggregator = LoadAggregator::default();
    aggregator.record(by_host("h-1"), report(vec![load("e-1", 10)]), millis(0));
    aggregator.record(by_host("h-2"), report(vec![load("e-1", 4)]), millis(1_000));
    assert_eq!(
        aggregator.total_without(&"h-3".into(), millis(1_400)).loads,
        [load("e-1", 14)]
    );
    assert_eq!(
        aggregator.total_without(&"h-3".into(), millis(1_600)).loads,
        [load("e-1", 4)]
    );
    aggregator.remove_expired(millis(3_000));
    assert_eq!(
        aggregator.total_without(&"h-3".into(), millis(1_400)).loads,
        []
    );
}

#[test]
fn a_server_ejected_by_two_other_hosts_is_avoided_while_they_report_it() {
    let mut aggregator = LoadAggregator::default();
    let mut failing = BackendRegistry::default();
    failing.set_backends(vec![backend("s-1", false), backend("s-2", false)]);
    for _ in 0..2 {
        failing.note_failure("s-1", BackendFailure::Broken, millis(0));
    }
    let reports = failing.loads(millis(10));
    let mut book = BackendRegistry::default();
    book.set_backends(vec![backend("s-1", false), backend("s-2", false)]);
    book.call_started("s-2", false, millis(0));
    let first = |book: &BackendRegistry, now| book.rank_plain("one", "z-a", &[], now)[0].id.clone();
    for (host, expected) in [("h-1", "s-1"), ("h-2", "s-2")] {
        aggregator.record(by_host(host), report(reports.clone()), millis(10));
        book.set_peer_loads(
            &aggregator.total_without(&"h-3".into(), millis(20)).loads,
            millis(20),
        );
        assert_eq!(first(&book, millis(30)), expected);
    }
    assert_eq!(first(&book, millis(100)), "s-2");
    assert_eq!(
        first(&book, millis(1_600)),
        "s-1",
        "old reports have expired"
    );
}

#[test]
fn engines_that_others_fill_are_avoided_until_the_reports_expire() {
    let mut book = BackendRegistry::default();
    let engines = ["e-1", "e-2"].map(|id| BackendInfo {
        role: Some(EngineRole::Decode),
        ..backend(id, false)
    });
    book.set_backends(engines.to_vec());
    let ranked = |book: &BackendRegistry, now| {
        let engines = book.rank_decodes("one", "z-a", 4_000, Some(30_000), now);
        engines
            .into_iter()
            .map(|engine| engine.id)
            .collect::<Vec<_>>()
    };
    book.set_peer_loads(&[load("e-1", 40_000), load("e-2", 20_000)], millis(0));
    book.memory_reserved("e-2", 8_000);
    assert_eq!(ranked(&book, millis(100)), ["e-2"]);
    book.memory_reserved("e-2", 8_000);
    assert_eq!(ranked(&book, millis(100)), [""; 0]);
    assert_eq!(ranked(&book, millis(5_000)).len(), 2);
}

#[test]
fn a_reply_includes_the_preferred_engines_even_if_they_are_idle() {
    let mut aggregator = LoadAggregator::default();
    let full: Vec<EngineLoad> = (0..60)
        .map(|index| load(&format!("full-{index}"), 9_000 + index))
        .collect();
    aggregator.record(by_host("h-1"), report(full), millis(0));
    aggregator.record(by_host("h-2"), report(vec![load("near", 10)]), millis(0));
    let asker = LoadReport {
        requested: vec![EngineKey::of("near"), EngineKey::of("idle")],
        ..LoadReport::default()
    };
    aggregator.record(by_host("h-3"), asker, millis(0));
    let reply = aggregator.total_without(&"h-3".into(), millis(100)).loads;
    assert_eq!(reply[0], load("near", 10));
    assert_eq!(reply.len(), 49, "and the fullest of the others");
    let others = aggregator.total_without(&"h-1".into(), millis(100)).loads;
    assert!(
        others
            .iter()
            .all(|load| load.engine != EngineKey::of("idle"))
    );
}

#[test]
fn the_state_of_a_server_is_dropped_when_it_restarts_under_the_same_id() {
    let mut book = BackendRegistry::default();
    let first = backend("e-1", false);
    book.set_backends(vec![first.clone()]);
    book.memory_reserved("e-1", 9_000);
    let at = Duration::from_secs(1);
    for _ in 0..3 {
        book.note_failure("e-1", BackendFailure::Silent, at);
    }
    let reported = book.loads(at);
    assert_eq!((reported.len(), reported[0].ejected_by), (1, 1));
    let again = BackendInfo {
        born: 7,
        ..first.clone()
    };
    let changes = book.set_backends(vec![again.clone()]);
    assert_eq!(changes.restarted, vec![first.clone()]);
    assert!(book.is_current(&again) && !book.is_current(&first));
    assert!(book.loads(at).is_empty(), "nothing is known of the new run");
    // Reports of other hosts about the earlier run do not apply to the new one.
    book.set_peer_loads(&reported, at);
    assert_eq!(book.view("e-1").unwrap().memory_tokens(), 0);
    assert!(!book.view("e-1").unwrap().is_ejected(at));
    assert!(book.set_backends(vec![again]).is_empty());
}

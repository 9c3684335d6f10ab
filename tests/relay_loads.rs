//! What hosts report to each other of their requests, and what is made of it.

mod backends;

use {
    bayplank::{
        engine::EngineRole,
        relay::{
            self, BackendBook, BackendFailure, BackendInfo, EngineKey, EngineLoad, LoadBoard,
            LoadReport, LoadReporter, ServiceDemand,
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
        passed_over: 0,
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
fn a_host_is_told_what_all_others_take_and_a_zone_what_its_hosts_take() {
    let mut board = LoadBoard::default();
    board.take(by_host("h-1"), report(vec![load("e-1", 10)]), millis(0));
    board.take(
        by_host("h-1"),
        report(vec![load("e-1", 1), load("e-2", 2)]),
        millis(100),
    );
    board.take(by_host("h-2"), report(vec![load("e-1", 4)]), millis(100));
    board.take(
        LoadReporter::Zone("z-b".into()),
        report(vec![load("e-2", 8)]),
        millis(100),
    );
    let now = millis(200);
    assert_eq!(
        board.others_of(&"h-1".into(), now).loads,
        [load("e-2", 8), load("e-1", 4)]
    );
    assert_eq!(
        board.others_of(&"h-2".into(), now).loads,
        [load("e-2", 10), load("e-1", 1)]
    );
    assert_eq!(board.of_zone(now).loads, [load("e-1", 5), load("e-2", 2)]);
}

#[test]
fn demands_of_all_others_are_added_up_by_service() {
    let demand = |requests, repeats| LoadReport {
        demands: vec![ServiceDemand {
            service: "one".into(),
            requests,
            repeats,
        }],
        ..LoadReport::default()
    };
    let mut board = LoadBoard::default();
    board.take(by_host("h-1"), demand(10, 1), millis(0));
    board.take(by_host("h-2"), demand(20, 2), millis(0));
    board.take(LoadReporter::Zone("z-b".into()), demand(40, 4), millis(0));
    assert_eq!(board.others_of(&"h-1".into(), millis(100)), demand(60, 6));
    assert_eq!(board.of_zone(millis(100)), demand(30, 3));
}

#[test]
fn an_answer_names_the_fullest_engines_and_stays_small() {
    let mut board = LoadBoard::default();
    let loads = (0..500).map(|index| load(&format!("e-{index}"), index));
    board.take(by_host("h-1"), report(loads.collect()), millis(0));
    let told = board.others_of(&"h-2".into(), millis(1)).loads;
    assert_eq!(told.len(), 48);
    assert_eq!(told[0], load("e-499", 499));
    assert_eq!(board.of_zone(millis(1)).loads, told);
}

#[test]
fn hosts_of_a_large_zone_report_less_often_but_before_they_count_no_more() {
    assert_eq!(relay::report_interval(1), millis(300));
    assert_eq!(relay::report_interval(30), millis(300));
    assert_eq!(relay::report_interval(45), millis(450));
    assert_eq!(relay::report_interval(1_000), millis(600));
}

#[test]
fn a_report_stays_small_and_arrives_as_it_was() {
    let mut sent = report(
        (0..48)
            .map(|index| load(&format!("e-{index}"), 16 * index))
            .collect(),
    );
    sent.demands.push(ServiceDemand {
        service: "one".into(),
        requests: 70,
        repeats: 3,
    });
    let mut message = capnp::message::Builder::new_default();
    relay::write_report(message.init_root(), &sent);
    let bytes = capnp::serialize::write_message_to_words(&message);
    // 8 bytes an engine; with ids in text it was about 40.
    assert!(bytes.len() < 48 * 10 + 100, "{} bytes", bytes.len());
    let read = capnp::serialize::read_message(bytes.as_slice(), Default::default()).unwrap();
    let arrived = relay::read_report(read.get_root().unwrap()).unwrap();
    assert_eq!(arrived, sent);
}

#[test]
fn reports_of_hosts_that_are_gone_soon_count_no_more() {
    let mut board = LoadBoard::default();
    board.take(by_host("h-1"), report(vec![load("e-1", 10)]), millis(0));
    board.take(by_host("h-2"), report(vec![load("e-1", 4)]), millis(1_000));
    assert_eq!(
        board.others_of(&"h-3".into(), millis(1_400)).loads,
        [load("e-1", 14)]
    );
    assert_eq!(
        board.others_of(&"h-3".into(), millis(1_600)).loads,
        [load("e-1", 4)]
    );
    board.forget_old(millis(3_000));
    assert_eq!(board.others_of(&"h-3".into(), millis(1_400)).loads, []);
}

#[test]
fn a_server_that_fails_two_other_hosts_is_passed_over_for_as_long_as_they_say_so() {
    let mut board = LoadBoard::default();
    let mut failing = BackendBook::default();
    failing.set_backends(vec![backend("s-1", false), backend("s-2", false)]);
    for _ in 0..2 {
        failing.failed("s-1", BackendFailure::Broken, millis(0));
    }
    let reports = failing.loads(millis(10));
    let mut book = BackendBook::default();
    book.set_backends(vec![backend("s-1", false), backend("s-2", false)]);
    book.call_began("s-2", false, millis(0));
    let first = |book: &BackendBook, now| book.rank_plain("one", "z-a", &[], now)[0].id.clone();
    for (host, expected) in [("h-1", "s-1"), ("h-2", "s-2")] {
        board.take(by_host(host), report(reports.clone()), millis(10));
        book.set_others(
            &board.others_of(&"h-3".into(), millis(20)).loads,
            millis(20),
        );
        assert_eq!(first(&book, millis(30)), expected);
    }
    assert_eq!(first(&book, millis(100)), "s-2");
    assert_eq!(
        first(&book, millis(1_600)),
        "s-1",
        "old reports count no more"
    );
}

#[test]
fn engines_that_others_fill_are_not_asked_until_that_is_old_news() {
    let mut book = BackendBook::default();
    let engines = ["e-1", "e-2"].map(|id| BackendInfo {
        role: Some(EngineRole::Decode),
        ..backend(id, false)
    });
    book.set_backends(engines.to_vec());
    let ranked = |book: &BackendBook, now| {
        let engines = book.rank_decodes("one", "z-a", 4_000, Some(30_000), now);
        engines
            .into_iter()
            .map(|engine| engine.id)
            .collect::<Vec<_>>()
    };
    book.set_others(&[load("e-1", 40_000), load("e-2", 20_000)], millis(0));
    book.memory_taken("e-2", 8_000);
    assert_eq!(ranked(&book, millis(100)), ["e-2"]);
    book.memory_taken("e-2", 8_000);
    assert_eq!(ranked(&book, millis(100)), [""; 0]);
    assert_eq!(ranked(&book, millis(5_000)).len(), 2);
}

#[test]
fn a_host_is_told_of_the_engines_that_it_works_with_however_empty_they_are() {
    let mut board = LoadBoard::default();
    let full: Vec<EngineLoad> = (0..60)
        .map(|index| load(&format!("full-{index}"), 9_000 + index))
        .collect();
    board.take(by_host("h-1"), report(full), millis(0));
    board.take(by_host("h-2"), report(vec![load("near", 10)]), millis(0));
    let asker = LoadReport {
        wanted: vec![EngineKey::of("near"), EngineKey::of("idle")],
        ..LoadReport::default()
    };
    board.take(by_host("h-3"), asker, millis(0));
    let told = board.others_of(&"h-3".into(), millis(100)).loads;
    assert_eq!(told[0], load("near", 10));
    assert_eq!(told.len(), 49, "and the fullest of the others");
    let others = board.others_of(&"h-1".into(), millis(100)).loads;
    assert!(
        others
            .iter()
            .all(|load| load.engine != EngineKey::of("idle"))
    );
}

#[test]
fn what_is_known_of_a_run_goes_with_it_when_its_id_begins_anew() {
    let mut book = BackendBook::default();
    let first = backend("e-1", false);
    book.set_backends(vec![first.clone()]);
    book.memory_taken("e-1", 9_000);
    let at = Duration::from_secs(1);
    for _ in 0..3 {
        book.failed("e-1", BackendFailure::Silent, at);
    }
    let told = book.loads(at);
    assert_eq!((told.len(), told[0].passed_over), (1, 1));
    let again = BackendInfo {
        born: 7,
        ..first.clone()
    };
    let changes = book.set_backends(vec![again.clone()]);
    assert_eq!(changes.started, vec![first.clone()]);
    assert!(book.is_current(&again) && !book.is_current(&first));
    assert!(book.loads(at).is_empty(), "nothing is known of the new run");
    // What other hosts still tell of the earlier run is not the new one's.
    book.set_others(&told, at);
    assert_eq!(book.view("e-1").unwrap().memory_tokens(), 0);
    assert!(!book.view("e-1").unwrap().is_out(at));
    assert!(book.set_backends(vec![again]).is_empty());
}

//! Who reads the store for a zone, and what hosts that follow one another come to know.

use {
    bayplank::{
        engine::EngineRole,
        relay::{
            self, BackendBook, BackendFailure, BackendInfo, ChangeHistory, ClusterState, EngineKey,
            EngineLoad, HostEntry, LoadBoard, LoadReport, LoadReporter, MissingNews, NewsSource,
            ServiceDemand, SourceChoice, StoreChange, StoreItem, StoreKind, StoreValue,
        },
    },
    bolero::check,
    faststr::FastStr,
    std::{collections::BTreeMap, time::Duration},
};

/// Where changes have to be in force within two seconds.
const OLD_NEWS: Duration = Duration::from_millis(1_400);

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn host(name: &str, zone: &'static str) -> HostEntry {
    HostEntry {
        name: FastStr::new(name),
        zone: zone.into(),
        peers: "127.0.0.1:9".parse().unwrap(),
        strength: 0,
    }
}

fn zone(count: usize) -> Vec<HostEntry> {
    let names = (0..count).map(|index| format!("h-{index}"));
    names.map(|name| host(&name, "z-a")).collect()
}

fn choice_of(own: &str, hosts: &[HostEntry]) -> SourceChoice {
    let mut choice = SourceChoice::new(FastStr::new(own), "z-a".into(), OLD_NEWS);
    choice.set_hosts(hosts.iter());
    choice
}

fn readers(hosts: &[HostEntry], now: Duration) -> Vec<FastStr> {
    let names = hosts.iter().map(|entry| entry.name.clone());
    names
        .filter(|name| choice_of(name, hosts).is_reader(now))
        .collect()
}

#[test]
fn all_hosts_of_a_zone_agree_on_one_reader_and_on_two_in_a_large_one() {
    assert_eq!(readers(&zone(4), Duration::ZERO).len(), 1);
    let large = zone(30);
    let named = readers(&large, Duration::ZERO);
    assert_eq!(named.len(), 2);
    for entry in large.iter().filter(|entry| !named.contains(&entry.name)) {
        let mut choice = choice_of(&entry.name, &large);
        let NewsSource::Host(followed) = choice.choose(Some(millis(100)), millis(9_000)) else {
            panic!("{} follows nobody", entry.name);
        };
        assert!(named.contains(&followed.name));
    }
}

#[test]
fn the_strongest_hosts_read_for_the_others() {
    let mut hosts = zone(30);
    for (index, entry) in hosts.iter_mut().enumerate() {
        entry.strength = if index % 10 == 3 { 200 } else { 10 };
    }
    for name in readers(&hosts, Duration::ZERO) {
        assert!(["h-3", "h-13", "h-23"].contains(&name.as_str()), "{name}");
    }
}

#[test]
fn news_are_old_in_time_for_an_own_reading() {
    assert_eq!(relay::old_news(millis(2_000)), OLD_NEWS);
    assert_eq!(relay::old_news(millis(3_000)), millis(1_800));
    assert_eq!(relay::old_news(Duration::ZERO), millis(1_000));
}

#[test]
fn a_host_that_was_just_started_follows_as_soon_as_it_was_told() {
    let hosts = zone(4);
    let reader = &readers(&hosts, Duration::ZERO)[0];
    let other = hosts.iter().find(|entry| entry.name != *reader).unwrap();
    let mut choice = choice_of(&other.name, &hosts);
    assert_eq!(choice.choose(None, millis(1)), NewsSource::Store);
    let next = choice.choose(Some(millis(20)), millis(30));
    assert!(matches!(next, NewsSource::Host(entry) if entry.name == *reader));
}

#[test]
fn after_an_outage_of_the_store_all_follow_the_same_host_again() {
    let hosts = zone(4);
    let reader = readers(&hosts, Duration::ZERO)[0].clone();
    for own in hosts.iter().filter(|entry| entry.name != reader) {
        let mut choice = choice_of(&own.name, &hosts);
        // In turn the hosts that it would follow tell old news, until it finds that the store is lost.
        for at in [0, 300, 600] {
            if let NewsSource::Host(entry) = choice.choose(Some(millis(100)), millis(at)) {
                choice.note_cut_off(&entry.name, millis(at));
            }
        }
        choice.note_store_lost();
        let next = choice.choose(Some(millis(100)), millis(700));
        assert!(matches!(next, NewsSource::Host(entry) if entry.name == reader));
    }
}

#[test]
fn a_reader_that_the_store_turns_away_is_left_for_another() {
    let hosts = zone(4);
    let reader = readers(&hosts, Duration::ZERO)[0].clone();
    let own = hosts.iter().find(|entry| entry.name != reader).unwrap();
    let mut choice = choice_of(&own.name, &hosts);
    choice.note_cut_off(&reader, millis(0));
    let next = choice.choose(Some(millis(100)), millis(100));
    assert!(!matches!(next, NewsSource::Host(entry) if entry.name == reader));
    let later = choice.choose(Some(millis(100)), millis(2_100));
    assert!(matches!(later, NewsSource::Host(entry) if entry.name == reader));
}

#[test]
fn a_host_alone_in_its_zone_reads_the_store() {
    let mut hosts = vec![host("h-1", "z-a"), host("h-2", "z-b"), host("h-3", "z-b")];
    hosts.extend(zone(0));
    let mut choice = choice_of("h-1", &hosts);
    assert_eq!(choice.choose(Some(millis(1)), millis(1)), NewsSource::Store);
}

#[test]
fn old_news_make_a_host_read_the_store_for_a_while() {
    let hosts = zone(4);
    let reader = readers(&hosts, Duration::ZERO).remove(0);
    let other = hosts.iter().find(|entry| entry.name != reader).unwrap();
    let mut choice = choice_of(&other.name, &hosts);
    let fresh = Some(millis(300));
    assert_ne!(choice.choose(fresh, millis(1_000)), NewsSource::Store);
    assert_eq!(
        choice.choose(Some(OLD_NEWS), millis(2_000)),
        NewsSource::Store
    );
    assert_eq!(choice.choose(fresh, millis(3_900)), NewsSource::Store);
    assert_ne!(choice.choose(fresh, millis(4_100)), NewsSource::Store);
}

#[test]
fn a_silent_reader_is_passed_over_longer_and_longer_and_the_next_takes_its_place() {
    let hosts = zone(4);
    let reader = readers(&hosts, Duration::ZERO).remove(0);
    let others: Vec<_> = hosts.iter().filter(|entry| entry.name != reader).collect();
    let at = |now| {
        let mut choices: Vec<_> = others
            .iter()
            .map(|entry| choice_of(&entry.name, &hosts))
            .collect();
        for choice in &mut choices {
            choice.note_silent(&reader, millis(0));
            choice.note_silent(&reader, millis(2_000));
        }
        choices
            .iter()
            .filter(|choice| choice.is_reader(now))
            .count()
    };
    assert_eq!(at(millis(5_900)), 1, "one of the others reads");
    assert_eq!(at(millis(6_100)), 0, "the first is tried again");
}

fn backend(id: &str, leaving: bool) -> BackendInfo {
    BackendInfo {
        id: FastStr::new(id),
        service: "one".into(),
        address: "127.0.0.1:9".parse().unwrap(),
        zone: "z-a".into(),
        leaving,
        slots: 6,
        role: None,
        orders_taken: 0,
    }
}

fn set(info: BackendInfo) -> StoreChange {
    StoreChange::Set(StoreItem {
        name: info.id.clone(),
        revision: 0,
        value: StoreValue::Backend(info),
    })
}

#[test]
fn a_history_gives_what_is_missing_and_the_whole_where_it_forgot() {
    let mut history = ChangeHistory::default();
    history.restart(10);
    assert_eq!(history.since(0), MissingNews::Whole);
    assert_eq!(history.since(10), MissingNews::Nothing);
    history.record(12, Vec::new());
    assert_eq!(
        (history.revision(), history.since(11)),
        (12, MissingNews::Nothing)
    );
    history.record(14, vec![set(backend("b", false))]);
    history.record(13, vec![set(backend("late", false))]);
    assert_eq!(
        history.since(12),
        MissingNews::Changes(vec![set(backend("b", false))])
    );
    for revision in 15..1_000 {
        history.record(revision, vec![set(backend("c", false))]);
    }
    assert_eq!(history.since(14), MissingNews::Whole);
    assert!(matches!(history.since(998), MissingNews::Changes(changes) if changes.len() == 1));
}

#[test]
fn the_age_is_that_of_the_older_kind_and_never_grows_by_news() {
    let mut state = ClusterState::default();
    state.confirm(StoreKind::Config, millis(500));
    assert_eq!(state.age(millis(600)), None);
    state.confirm(StoreKind::Backends, millis(550));
    state.confirm(StoreKind::Config, millis(100));
    assert_eq!(state.age(millis(600)), Some(millis(100)));
}

#[test]
fn a_host_whose_store_is_lost_tells_no_age_so_that_others_leave_it() {
    let mut state = ClusterState::default();
    state.confirm(StoreKind::Config, millis(500));
    state.confirm(StoreKind::Backends, millis(500));
    state.set_store_lost(true);
    assert_eq!(
        (state.age(millis(600)), state.told_age(millis(600))),
        (Some(millis(100)), None)
    );
    state.set_store_lost(false);
    assert_eq!(state.told_age(millis(600)), Some(millis(100)));
}

// A store, two hosts that read it at their own pace, and one that follows either of them.
#[derive(Default)]
struct Fleet {
    log: Vec<(u64, StoreChange)>,
    listed: BTreeMap<FastStr, BackendInfo>,
    readers: [ClusterState; 2],
    follower: ClusterState,
}

impl Fleet {
    fn revision(&self) -> u64 {
        1 + self.log.len() as u64
    }

    fn write(&mut self, id: u8, what: u8) {
        let info = backend(&format!("b-{}", id % 6), what == 1);
        let change = match what {
            0 | 1 => {
                self.listed.insert(info.id.clone(), info.clone());
                set(info)
            }
            _ => {
                self.listed.remove(&info.id);
                StoreChange::Removed(info.id)
            }
        };
        self.log.push((self.revision() + 1, change));
    }

    fn read(&mut self, reader: usize, whole: bool) {
        let revision = self.revision();
        let state = &mut self.readers[reader];
        let held = state.backends_revision();
        if whole || held == 0 {
            let list = self.listed.values().cloned().collect();
            state.set_backends(list, revision, Duration::ZERO);
            return;
        }
        let missing = self.log.iter().filter(|entry| entry.0 > held);
        let changes = missing.map(|entry| entry.1.clone()).collect();
        state.change_backends(changes, revision, Duration::ZERO);
    }

    fn follow(&mut self, reader: usize) {
        let held = self.follower.backends_revision();
        let news = self.readers[reader].backend_news(held);
        self.follower.take_backend_news(news, Duration::ZERO);
        assert!(self.follower.backends_revision() >= held, "never goes back");
    }

    fn assert_follower_is_right(&self) {
        // What the store held at the follower's revision.
        let held = self.follower.backends_revision();
        let mut then = BTreeMap::new();
        for (_, change) in self.log.iter().filter(|entry| entry.0 <= held) {
            match change {
                StoreChange::Set(StoreItem {
                    value: StoreValue::Backend(info),
                    ..
                }) => {
                    then.insert(info.id.clone(), info.clone());
                }
                StoreChange::Set(_) => {}
                StoreChange::Removed(id) => {
                    then.remove(id);
                }
            }
        }
        let known: Vec<_> = self.follower.backends().cloned().collect();
        assert_eq!(known, then.into_values().collect::<Vec<_>>());
    }
}

#[test]
fn who_follows_readers_of_any_pace_knows_what_the_store_held_at_its_revision() {
    check!().with_type::<Vec<(u8, u8)>>().for_each(|steps| {
        let mut fleet = Fleet::default();
        for (step, choice) in steps {
            match step % 6 {
                0..=2 => fleet.write(*choice, (step / 6) % 3),
                3 => fleet.read(usize::from(choice % 2), choice % 16 == 0),
                _ => fleet.follow(usize::from(choice % 2)),
            }
            if fleet.follower.backends_revision() > 0 {
                fleet.assert_follower_is_right();
            }
        }
    });
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
        demands: Vec::new(),
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
        board.others_of("h-1", now).loads,
        [load("e-2", 8), load("e-1", 4)]
    );
    assert_eq!(
        board.others_of("h-2", now).loads,
        [load("e-2", 10), load("e-1", 1)]
    );
    assert_eq!(board.of_zone(now).loads, [load("e-1", 5), load("e-2", 2)]);
}

#[test]
fn demands_of_all_others_are_added_up_by_service() {
    let demand = |requests, repeats| LoadReport {
        loads: Vec::new(),
        demands: vec![ServiceDemand {
            service: "one".into(),
            requests,
            repeats,
        }],
    };
    let mut board = LoadBoard::default();
    board.take(by_host("h-1"), demand(10, 1), millis(0));
    board.take(by_host("h-2"), demand(20, 2), millis(0));
    board.take(LoadReporter::Zone("z-b".into()), demand(40, 4), millis(0));
    assert_eq!(board.others_of("h-1", millis(100)), demand(60, 6));
    assert_eq!(board.of_zone(millis(100)), demand(30, 3));
}

#[test]
fn an_answer_names_the_fullest_engines_and_stays_small() {
    let mut board = LoadBoard::default();
    let loads = (0..500).map(|index| load(&format!("e-{index}"), index));
    board.take(by_host("h-1"), report(loads.collect()), millis(0));
    let told = board.others_of("h-2", millis(1)).loads;
    assert_eq!(told.len(), 48);
    assert_eq!(told[0], load("e-499", 499));
    assert_eq!(board.of_zone(millis(1)).loads, told);
}

#[test]
fn hosts_of_a_large_zone_report_less_often_but_before_they_count_no_more() {
    assert_eq!(relay::report_period(1), millis(300));
    assert_eq!(relay::report_period(30), millis(300));
    assert_eq!(relay::report_period(45), millis(450));
    assert_eq!(relay::report_period(1_000), millis(600));
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
        board.others_of("h-3", millis(1_400)).loads,
        [load("e-1", 14)]
    );
    assert_eq!(
        board.others_of("h-3", millis(1_600)).loads,
        [load("e-1", 4)]
    );
    board.forget_old(millis(3_000));
    assert_eq!(board.others_of("h-3", millis(1_400)).loads, []);
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
    book.call_began("s-2", millis(0));
    let first = |book: &BackendBook, now| book.rank_plain("one", "z-a", &[], now)[0].id.clone();
    for (host, expected) in [("h-1", "s-1"), ("h-2", "s-2")] {
        board.take(by_host(host), report(reports.clone()), millis(10));
        book.set_others(&board.others_of("h-3", millis(20)).loads, millis(20));
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

//! Who reads the store for a zone, and what hosts that follow one another come to know.

use {
    bayplank::relay::{
        self, BackendInfo, ChangeHistory, ClusterState, HostEntry, MissingNews, NewsSource,
        SourceChoice, StoreChange, StoreItem, StoreKind, StoreValue,
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

//! What hosts that follow one another come to know, and how old they take it for.

mod backends;

use {
    bayplank::{
        relay::{
            BackendInfo, ChangeHistory, ClusterNews, ClusterState, MissingNews, PastTime,
            StoreChange, StoreItem, StoreKind, StoreValue,
        },
        store::StorePosition,
    },
    bolero::check,
    faststr::FastStr,
    std::{collections::BTreeMap, time::Duration},
};

fn at(revision: u64) -> StorePosition {
    StorePosition::new(1, revision)
}

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn backend(id: &str, leaving: bool) -> BackendInfo {
    BackendInfo {
        leaving,
        ..backends::backend(id, "z-a", None)
    }
}

fn set(info: BackendInfo) -> StoreChange {
    StoreChange::Set(StoreItem {
        name: info.id.clone(),
        position: StorePosition::default(),
        value: StoreValue::Backend(info),
    })
}

#[test]
fn a_history_gives_what_is_missing_and_the_whole_where_it_forgot() {
    let mut history = ChangeHistory::default();
    history.restart(at(10));
    assert_eq!(history.since(StorePosition::default()), MissingNews::Whole);
    assert_eq!(history.since(at(10)), MissingNews::Nothing);
    history.record(at(12), Vec::new());
    assert_eq!(
        (history.position(), history.since(at(11))),
        (at(12), MissingNews::Nothing)
    );
    history.record(at(14), vec![set(backend("b", false))]);
    history.record(at(13), vec![set(backend("late", false))]);
    assert_eq!(
        history.since(at(12)),
        MissingNews::Changes(vec![set(backend("b", false))])
    );
    for revision in 15..1_000 {
        history.record(at(revision), vec![set(backend("c", false))]);
    }
    assert_eq!(history.since(at(14)), MissingNews::Whole);
    assert!(matches!(history.since(at(998)), MissingNews::Changes(changes) if changes.len() == 1));
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
        let held = state.backends_position();
        if whole || !held.is_known() {
            let list = self.listed.values().cloned().collect();
            state.set_backends(list, at(revision), Duration::ZERO);
            return;
        }
        let missing = self.log.iter().filter(|entry| entry.0 > held.revision);
        let changes = missing.map(|entry| entry.1.clone()).collect();
        state.change_backends(changes, at(revision), Duration::ZERO);
    }

    fn follow(&mut self, reader: usize) {
        let held = self.follower.backends_position();
        let news = self.readers[reader].backend_news(held);
        self.follower.take_backend_news(news, Duration::ZERO);
        assert!(self.follower.backends_position() >= held, "never goes back");
    }

    fn assert_follower_is_right(&self) {
        // What the store held at the follower's revision.
        let held = self.follower.backends_position();
        let mut then = BTreeMap::new();
        for (_, change) in self.log.iter().filter(|entry| entry.0 <= held.revision) {
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
            if fleet.follower.backends_position().is_known() {
                fleet.assert_follower_is_right();
            }
        }
    });
}

#[test]
fn news_that_go_round_among_hosts_never_make_a_view_newer_than_it_was() {
    // Hosts ask each other at random while the store answers nobody; questions and answers take their time.
    check!().with_type::<Vec<(u8, u8, u8)>>().for_each(|asks| {
        let mut views = [PastTime::at(Duration::ZERO); 5];
        let mut now = 10_000;
        for (who, question, answer) in asks {
            let (asker, asked) = (usize::from(who % 5), usize::from(who / 5 % 5));
            let (question, hold, answer) = (
                u64::from(*question),
                u64::from(who % 3) * 100,
                u64::from(*answer),
            );
            let told_at = now + question + hold;
            let news = ClusterNews {
                age: Some(views[asked].age(millis(told_at))),
                held: millis(hold),
                ..ClusterNews::default()
            };
            views[asker] = views[asker].max(news.confirmed(millis(now)).unwrap());
            now = told_at + answer;
            let newest = views.iter().max().copied();
            assert_eq!(
                newest,
                Some(PastTime::at(Duration::ZERO)),
                "nobody has heard from the store since"
            );
        }
    });
}

#[test]
fn a_host_that_was_just_started_takes_old_news_for_as_old_as_they_are() {
    let news = ClusterNews {
        age: Some(millis(1_800)),
        held: millis(20),
        ..ClusterNews::default()
    };
    let mut state = ClusterState::default();
    for kind in [StoreKind::Config, StoreKind::Backends] {
        state.confirm_as(kind, news.confirmed(millis(50)).unwrap());
    }
    assert_eq!(state.age(millis(80)), Some(millis(1_810)));
}

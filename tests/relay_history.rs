//! What hosts learn by following one another, and the age that they assign to it.

mod backends;

use {
    bayplank::{
        news_capnp::cluster_news,
        relay::{
            self, BackendInfo, ChangeHistory, ChangesSince, ClusterNews, ClusterState, HostEntry,
            PastTime, StoreChange, StoreItem, StoreKind, StoreValue,
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
fn a_history_returns_missing_changes_or_asks_for_a_full_list() {
    let mut history = ChangeHistory::default();
    history.restart(at(10));
    assert_eq!(
        history.since(StorePosition::default()),
        ChangesSince::Evicted
    );
    assert_eq!(history.since(at(10)), ChangesSince::UpToDate);
    history.record(at(12), Vec::new());
    assert_eq!(
        (history.position(), history.since(at(11))),
        (at(12), ChangesSince::UpToDate)
    );
    history.record(at(14), vec![set(backend("b", false))]);
    history.record(at(13), vec![set(backend("late", false))]);
    assert_eq!(
        history.since(at(12)),
        ChangesSince::Changes(vec![set(backend("b", false))])
    );
    for revision in 15..1_000 {
        history.record(at(revision), vec![set(backend("c", false))]);
    }
    assert_eq!(history.since(at(14)), ChangesSince::Evicted);
    assert!(matches!(history.since(at(998)), ChangesSince::Changes(changes) if changes.len() == 1));
}

// A host that read `count` servers, and the position of a follower that has them too.
fn informed_host(count: usize) -> (ClusterState, StorePosition) {
    let mut state = ClusterState::default();
    state.set_backends(servers(count), at(10), Duration::ZERO);
    (state, at(10))
}

fn servers(count: usize) -> Vec<BackendInfo> {
    let ids = (0..count).map(|index| format!("b-{index:05}"));
    ids.map(|id| backend(&id, false)).collect()
}

// Number of entries that a follower is sent, and whether they are the whole list.
fn sent(state: &ClusterState, held: StorePosition) -> (usize, bool) {
    let news = state.backend_news(held);
    (news.changes.len(), news.is_whole)
}

#[test]
fn a_large_batch_of_changes_is_not_sent_as_the_whole_list() {
    for count in [1_000, 10_000, 20_000] {
        let (mut state, held) = informed_host(count);
        let leaving = servers(count).into_iter().take(count / 5);
        let changes = leaving.map(|info| {
            set(BackendInfo {
                leaving: true,
                ..info
            })
        });
        state.change_backends(changes.collect(), at(11), Duration::ZERO);
        assert_eq!(sent(&state, held), (count / 5, false), "of {count} servers");
    }
}

#[test]
fn a_list_that_is_read_again_is_sent_as_the_changes_that_it_shows() {
    for count in [100, 10_000] {
        let (mut state, held) = informed_host(count);
        let mut list = servers(count);
        list[0].leaving = true;
        list.remove(1);
        list.push(backend("new", false));
        state.set_backends(list, at(12), Duration::ZERO);
        assert_eq!(sent(&state, held), (3, false), "of {count} servers");
        // A follower that was informed in between by another host may know of changes that were undone since.
        assert_eq!(sent(&state, at(11)), (count, true), "of {count} servers");
    }
}

#[test]
fn a_list_of_hosts_that_is_read_again_is_sent_as_the_changes_that_it_shows() {
    let entry = |index: usize| HostEntry {
        name: FastStr::from_string(format!("h-{index}")),
        zone: "z-a".into(),
        peers: "127.0.0.1:9".parse().unwrap(),
        link_mbps: 0,
        carrier_port: 0,
        judged: Vec::new(),
        software: Vec::new(),
    };
    let mut state = ClusterState::default();
    state.set_hosts((0..986).map(entry).collect(), at(10), Duration::ZERO);
    state.set_hosts((1..987).map(entry).collect(), at(12), Duration::ZERO);
    let news = state.host_news(at(10));
    assert_eq!((news.changes.len(), news.is_whole), (2, false));
    let mut follower = ClusterState::default();
    follower.set_hosts((0..986).map(entry).collect(), at(10), Duration::ZERO);
    follower.apply_host_news(news, Duration::ZERO);
    assert!(follower.hosts().eq(state.hosts()));
}

#[test]
fn the_age_is_that_of_the_older_kind_and_an_older_confirmation_does_not_raise_it() {
    let mut state = ClusterState::default();
    state.confirm(StoreKind::Config, millis(500));
    assert_eq!(state.age(millis(600)), None);
    state.confirm(StoreKind::Backends, millis(550));
    state.confirm(StoreKind::Config, millis(100));
    assert_eq!(state.age(millis(600)), Some(millis(100)));
}

// A store, two hosts that read it independently, and a host that follows either of them.
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
        self.follower.apply_backend_news(news, Duration::ZERO);
        let position = self.follower.backends_position();
        assert!(position >= held, "the follower's position went back");
    }

    // Requests a part of at most two entries from a reader, where it lacks the list.
    fn follow_in_parts(&mut self, reader: usize) {
        let held = self.follower.backends_position();
        let cursor = self.follower.list_cursor().cloned();
        let news = self.readers[reader].backend_news_part(held, cursor.as_ref(), 2);
        assert!(
            news.part
                .as_ref()
                .is_none_or(|part| part.entries.len() <= 2)
        );
        self.follower.apply_backend_news(news, Duration::ZERO);
    }

    fn assert_follower_is_right(&self) {
        // The store's content at the follower's revision.
        let held = self.follower.backends_position();
        let mut expected = BTreeMap::new();
        for (_, change) in self.log.iter().filter(|entry| entry.0 <= held.revision) {
            match change {
                StoreChange::Set(StoreItem {
                    value: StoreValue::Backend(info),
                    ..
                }) => {
                    expected.insert(info.id.clone(), info.clone());
                }
                StoreChange::Set(_) => {}
                StoreChange::Removed(id) => {
                    expected.remove(id);
                }
            }
        }
        let known: Vec<_> = self.follower.backends().cloned().collect();
        assert_eq!(known, expected.into_values().collect::<Vec<_>>());
    }
}

#[test]
fn a_follower_knows_the_content_of_the_store_at_its_revision() {
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
fn a_follower_that_receives_the_list_in_parts_knows_the_content_of_the_store_at_its_revision() {
    check!().with_type::<Vec<(u8, u8)>>().for_each(|steps| {
        let mut fleet = Fleet::default();
        for (step, choice) in steps {
            match step % 8 {
                0..=1 => fleet.write(*choice, (step / 8) % 3),
                2 => fleet.read(usize::from(choice % 2), choice % 16 == 0),
                3 if choice % 8 == 0 => fleet.follower = ClusterState::default(),
                _ => fleet.follow_in_parts(usize::from(choice % 2)),
            }
            if fleet.follower.backends_position().is_known() {
                fleet.assert_follower_is_right();
            }
        }
    });
}

#[test]
fn no_message_of_a_list_grows_with_the_list() {
    for count in [3_000, 10_000, 20_000] {
        let (sender, _) = informed_host(count);
        let mut follower = ClusterState::default();
        let mut sizes = Vec::new();
        while !follower.backends_position().is_known() {
            let held = follower.backends_position();
            let cursor = follower.list_cursor();
            let part = sender.backend_news_part(held, cursor, relay::PART_ENTRIES_MAX);
            let (bytes, received) = transmitted(&ClusterNews {
                backends: part,
                ..ClusterNews::default()
            });
            sizes.push(bytes);
            follower.apply_backend_news(received.backends, Duration::ZERO);
        }
        assert!(follower.backends().eq(sender.backends()));
        let largest = *sizes.iter().max().unwrap();
        assert!(largest < 40_000, "{largest} bytes of {count} servers");
        let whole: usize = sizes.iter().sum();
        assert!(whole < 80 * count, "{whole} bytes for {count} servers");
    }
}

// The size in bytes of a message, and what its receiver reads.
fn transmitted(news: &ClusterNews) -> (usize, ClusterNews) {
    let mut message = capnp::message::Builder::new_default();
    let root = message.init_root::<cluster_news::Builder<'_>>();
    relay::write_news(root, news, true).unwrap();
    let bytes = capnp::serialize::write_message_to_words(&message);
    let options = capnp::message::ReaderOptions::new();
    let reader = capnp::serialize::read_message(&bytes[..], options).unwrap();
    let received = relay::read_news(reader.get_root().unwrap()).unwrap();
    (bytes.len(), received)
}

#[test]
fn changes_reach_the_receiver_as_they_were_sent() {
    let (mut sender, held) = informed_host(3);
    let changes = vec![
        StoreChange::Removed("b-00001".into()),
        set(backend("b-00001", true)),
        StoreChange::Removed("b-00002".into()),
    ];
    sender.change_backends(changes.clone(), at(12), Duration::ZERO);
    let news = ClusterNews {
        backends: sender.backend_news(held),
        ..ClusterNews::default()
    };
    assert_eq!(transmitted(&news).1.backends.changes, changes);
}

#[test]
fn news_exchanged_between_hosts_never_makes_a_view_look_newer_than_it_is() {
    // Hosts query each other at random while the store is down; requests and responses have random delays.
    check!()
        .with_type::<Vec<(u8, u8, u8)>>()
        .for_each(|queries| {
            let mut views = [PastTime::at(Duration::ZERO); 5];
            let mut now = 10_000;
            for (pair, request, response) in queries {
                let (querier, queried) = (usize::from(pair % 5), usize::from(pair / 5 % 5));
                let (request_delay, hold, response_delay) = (
                    u64::from(*request),
                    u64::from(pair % 3) * 100,
                    u64::from(*response),
                );
                let answered_at = now + request_delay + hold;
                let news = ClusterNews {
                    age: Some(views[queried].age(millis(answered_at))),
                    held: millis(hold),
                    ..ClusterNews::default()
                };
                views[querier] = views[querier].max(news.confirmed(millis(now)).unwrap());
                now = answered_at + response_delay;
                let newest = views.iter().max().copied();
                assert_eq!(
                    newest,
                    Some(PastTime::at(Duration::ZERO)),
                    "no host has read the store since"
                );
            }
        });
}

#[test]
fn a_newly_started_host_keeps_the_age_of_news_older_than_itself() {
    let news = ClusterNews {
        age: Some(millis(1_800)),
        held: millis(20),
        ..ClusterNews::default()
    };
    let mut state = ClusterState::default();
    for kind in [StoreKind::Config, StoreKind::Backends] {
        state.confirm_at(kind, news.confirmed(millis(50)).unwrap());
    }
    assert_eq!(state.age(millis(80)), Some(millis(1_810)));
}

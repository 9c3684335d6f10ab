//! What hosts know after the store was restored from a backup.

mod backends;

use {
    bayplank::{
        relay::{
            BackendInfo, BackendRegistry, ClusterState, HostEntry, StoreChange, StoreItem,
            StoreValue,
        },
        store::{EraTracker, StoreFailure, StorePosition},
    },
    bolero::check,
    faststr::FastStr,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Longer than the time that a server has to rewrite its entry.
const AFTER_REWRITE: Duration = Duration::from_secs(10);

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn server(id: &str, born: u64, leaving: bool) -> BackendInfo {
    BackendInfo {
        born,
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

fn usable(state: &ClusterState) -> Vec<(FastStr, u64, bool)> {
    let mut usable: Vec<_> = state.usable().iter().map(summary).collect();
    usable.sort();
    usable
}

fn summary(info: &BackendInfo) -> (FastStr, u64, bool) {
    (info.id.clone(), info.born, info.leaving)
}

fn at(era: u32, revision: u64) -> StorePosition {
    StorePosition::new(era, revision)
}

// A host's state that contains these servers, at a position of the first era.
fn state_with(servers: &[BackendInfo]) -> ClusterState {
    let mut state = ClusterState::new(HEARTBEAT);
    assert!(state.set_backends(servers.to_vec(), at(1, 50), millis(0)));
    state
}

#[test]
fn a_position_of_a_later_era_is_greater_whatever_its_revision() {
    assert!(at(2, 1) > at(1, 900));
    assert!(at(1, 2) > at(1, 1));
    for position in [at(0, 0), at(1, 900), at(2, 1), at(70, 1 << 39)] {
        assert_eq!(StorePosition::of_number(position.number()), position);
    }
    assert!(at(2, 1).number() > at(1, u64::MAX).number());
    let largest = at(8_000, u64::MAX).number();
    assert!(
        largest < 1 << 53,
        "JSON readers that use doubles cannot represent {largest} exactly"
    );
}

#[test]
fn a_restored_list_does_not_revert_a_leaving_server() {
    let mut state = state_with(&[server("w-1", 1, true), server("w-2", 1, false)]);
    let backup = vec![server("w-1", 1, false), server("w-2", 1, false)];
    assert!(state.set_backends(backup, at(2, 30), millis(100)));
    assert!(state.usable().iter().any(|info| info.leaving));
    // The entry is rewritten unchanged, by any writer; then a later run writes one under the same id.
    state.change_backends(vec![set(server("w-1", 1, false))], at(2, 31), millis(200));
    assert_eq!(usable(&state)[0], ("w-1".into(), 1, true));
    state.change_backends(vec![set(server("w-1", 2, false))], at(2, 32), millis(300));
    assert_eq!(usable(&state)[0], ("w-1".into(), 2, false));
}

#[test]
fn a_departed_server_is_used_again_only_if_its_entry_stays_listed() {
    let mut state = state_with(&[server("w-1", 1, false)]);
    state.change_backends(
        vec![StoreChange::Removed("w-1".into())],
        at(1, 51),
        millis(1),
    );
    let backup = vec![server("w-1", 1, false)];
    assert!(state.set_backends(backup.clone(), at(2, 30), millis(100)));
    assert!(state.usable().is_empty());
    // A host that follows this one agrees, whether it knew the server as current or knew nothing.
    for mut follower in [state_with(&backup), ClusterState::new(HEARTBEAT)] {
        let news = state.backend_news(follower.backends_position());
        follower.apply_backend_news(news, millis(150));
        assert!(follower.usable().is_empty());
    }
    state.expire(millis(100) + HEARTBEAT * 3);
    assert_eq!(
        state.usable().len(),
        1,
        "the store would have removed the entry of a departed server"
    );
}

#[test]
fn an_earlier_run_in_the_backup_does_not_replace_the_later_one() {
    let mut state = state_with(&[server("w-1", 9, false)]);
    assert!(state.set_backends(vec![server("w-1", 4, false)], at(2, 30), millis(100)));
    assert_eq!(usable(&state), [("w-1".into(), 9, false)]);
}

#[test]
fn servers_that_do_not_rewrite_their_entries_are_dropped() {
    let mut state = state_with(&[server("w-1", 1, false)]);
    assert!(state.set_backends(Vec::new(), at(2, 30), millis(100)));
    assert_eq!(state.usable().len(), 1);
    assert!(!state.expire(HEARTBEAT * 3));
    assert!(state.expire(millis(100) + HEARTBEAT * 3));
    assert!(state.usable().is_empty());
}

fn host(name: &str, link_mbps: u32) -> HostEntry {
    HostEntry {
        name: FastStr::new(name),
        zone: "z-a".into(),
        peers: "127.0.0.1:1".parse().expect("an address"),
        link_mbps,
        carrier_port: 0,
        judged: Vec::new(),
        software: Vec::new(),
    }
}

#[test]
fn hosts_missing_from_the_backup_are_known_but_not_listed() {
    let mut state = ClusterState::new(HEARTBEAT);
    let known = [host("front-1", 5), host("front-2", 5)];
    state.set_hosts(known.to_vec(), at(1, 50), millis(0));
    state.set_hosts(vec![host("front-2", 1)], at(2, 30), millis(100));
    assert_eq!(state.hosts().cloned().collect::<Vec<_>>(), known);
    let mut follower = ClusterState::new(HEARTBEAT);
    follower.set_hosts(known.to_vec(), at(1, 50), millis(0));
    follower.apply_host_news(state.host_news(at(1, 50)), millis(150));
    for state in [&state, &follower] {
        assert!(!known.iter().any(|entry| state.is_host_listed(entry)));
    }
    let rewritten = StoreChange::Set(StoreItem {
        name: "front-1".into(),
        position: at(2, 31),
        value: StoreValue::Host(known[0].clone()),
    });
    state.change_hosts(vec![rewritten], at(2, 31));
    assert!(state.is_host_listed(&known[0]));
    state.expire(Duration::from_secs(60));
    let shown: Vec<HostEntry> = state.hosts().cloned().collect();
    assert_eq!(shown, [known[0].clone(), host("front-2", 1)]);
}

#[test]
fn a_restored_store_proves_a_configuration_only_after_lost_writes_could_be_repeated() {
    let mut state = ClusterState::new(HEARTBEAT);
    assert_eq!(state.record_era(1, millis(0)), None);
    state.set_backends(Vec::new(), at(1, 50), millis(0));
    let proved = |state: &ClusterState| state.proof_age(millis(9_000));
    let prove = |state: &mut ClusterState, at: u64| {
        state.prove_config(bayplank::relay::PastTime::at(millis(at)));
    };
    prove(&mut state, 1_000);
    assert_eq!(state.record_era(2, millis(2_000)), Some(1));
    prove(&mut state, 2_500);
    assert_eq!(proved(&state), Some(millis(8_000)));
    // Knowledge of another host from before the restore.
    prove(&mut state, 1_900);
    assert_eq!(proved(&state), Some(millis(7_100)));
    prove(&mut state, 3_200);
    assert_eq!(proved(&state), Some(millis(5_800)));
}

#[test]
fn responses_report_the_era_and_those_of_an_earlier_era_are_rejected() {
    let eras = EraTracker::default();
    assert_eq!(eras.read(None), Ok(0), "a store that reports no era");
    let first = eras.read(Some(b"1")).expect("an era");
    assert!(first > 0);
    let second = eras.read(Some(b" 2 ")).expect("an era");
    assert_eq!(second, first + 1);
    assert!(matches!(
        eras.read(Some(b"1")),
        Err(StoreFailure::Unknown(_))
    ));
    assert_eq!(eras.doubtful(), 1);
    for text in [
        None,
        Some(&b""[..]),
        Some(b"-1"),
        Some(b"x"),
        Some(b"9999999999"),
        Some(b"\xff"),
    ] {
        assert_eq!(eras.read(text), Ok(second), "{text:?}");
    }
    assert_eq!(eras.doubtful(), 7);
    assert_eq!(
        eras.read(Some(b"5")),
        Ok(first + 4),
        "a host may miss some eras"
    );
    eras.note(first);
    assert_eq!(eras.latest(), first + 4);
}

#[test]
fn the_first_era_a_store_reports_is_later_than_any_that_hosts_counted() {
    let eras = EraTracker::default();
    assert_eq!(eras.count_restore(0), Some(1));
    assert_eq!(
        eras.count_restore(0),
        Some(1),
        "the same restore, seen in another kind's list"
    );
    assert_eq!(eras.read(None), Ok(1));
    assert_eq!(eras.count_restore(1), Some(2));
    assert!(eras.read(Some(b"0")).expect("an era") > 2);
    assert_eq!(eras.count_restore(eras.latest()), None);
    for _ in 0..100 {
        let counting = EraTracker::default();
        (0..200).fold(0, |held, _| counting.count_restore(held).unwrap_or(held));
        assert!(
            counting.latest() < eras.latest(),
            "counted eras never reach the reported ones"
        );
    }
}

// A model of the store; a clone serves as its backup.
#[derive(Clone, Default)]
struct ModelStore {
    era: u32,
    revision: u64,
    listed: BTreeMap<FastStr, BackendInfo>,
    changes: Vec<(u64, StoreChange)>,
}

impl ModelStore {
    fn position(&self) -> StorePosition {
        at(self.era, self.revision)
    }

    fn write(&mut self, id: &FastStr, entry: Option<&BackendInfo>) {
        if self.listed.get(id) == entry {
            return;
        }
        self.revision += 1;
        let change = match entry {
            Some(info) => {
                self.listed.insert(id.clone(), info.clone());
                set(info.clone())
            }
            None => {
                self.listed.remove(id);
                StoreChange::Removed(id.clone())
            }
        };
        self.changes.push((self.revision, change));
    }
}

// A model of a host, with the runs that it has learned to be leaving or departed.
struct ModelHost {
    state: ClusterState,
    // The servers as they were published to routing.
    registry: BackendRegistry,
    departed: BTreeSet<(FastStr, u64)>,
}

impl ModelHost {
    fn new() -> Self {
        Self {
            state: ClusterState::new(HEARTBEAT),
            registry: BackendRegistry::default(),
            departed: BTreeSet::new(),
        }
    }

    // Applies a step, and checks that the host's position does not fall and no departed run becomes current again.
    fn step(&mut self, step: impl FnOnce(&mut ClusterState)) {
        let before = self.state.usable();
        let position = self.state.backends_position();
        step(&mut self.state);
        assert!(
            self.state.backends_position() >= position,
            "positions never fall"
        );
        let after = self.state.usable();
        for info in before {
            let now = after.iter().find(|now| now.id == info.id);
            let is_current = now.is_some_and(|now| now.born == info.born && !now.leaving);
            if !is_current {
                self.departed.insert((info.id, info.born));
            }
        }
        let mut current = after.iter().filter(|info| !info.leaving);
        let returned = current.find(|info| self.departed.contains(&(info.id.clone(), info.born)));
        assert_eq!(returned, None, "a departed run is current again");
        let touched = self.state.take_touched_backends();
        self.registry.update_backends(touched.into_iter());
        let published = self.registry.views().map(|view| &view.info);
        let usable = after.iter().map(|info| (&info.id, info));
        let usable: BTreeMap<&FastStr, &BackendInfo> = usable.collect();
        assert!(published.eq(usable.into_values()), "routing uses the list");
    }

    fn read(&mut self, store: &ModelStore, now: Duration) {
        let held = self.state.backends_position();
        let is_kept = held.era == store.era && held.is_known() && held.revision <= store.revision;
        let list: Vec<BackendInfo> = store.listed.values().cloned().collect();
        let changes = store.changes.iter().filter(|entry| entry.0 > held.revision);
        let changes = changes.map(|entry| entry.1.clone()).collect();
        self.step(|state| match is_kept {
            true => state.change_backends(changes, store.position(), now),
            false => assert!(state.set_backends(list, store.position(), now)),
        });
    }

    fn follow(&mut self, other: &Self, now: Duration) {
        let news = other.state.backend_news(self.state.backends_position());
        self.step(|state| {
            state.apply_backend_news(news, now);
        });
    }
}

// Backend servers with their actual state, the store that they write it to, the store's backup, and the hosts. The
// store may lack writes after a restore.
struct ModelFleet {
    servers: BTreeMap<FastStr, Option<BackendInfo>>,
    store: ModelStore,
    backup: ModelStore,
    hosts: Vec<ModelHost>,
    now: Duration,
}

impl ModelFleet {
    fn new() -> Self {
        let store = ModelStore {
            revision: 1,
            ..ModelStore::default()
        };
        Self {
            servers: BTreeMap::new(),
            backup: store.clone(),
            store,
            hosts: (0..4).map(|_| ModelHost::new()).collect(),
            now: Duration::ZERO,
        }
    }

    // A server starts under a new id or restarts under its own, announces that it is leaving, or departs.
    fn change_server(&mut self, id: u8, what: u8) {
        let id = FastStr::from_string(format!("w-{}", id % 5));
        let born = self.now.as_millis() as u64;
        let current = self.servers.get(&id).cloned().flatten();
        let entry = match (what % 3, current) {
            (0, _) => Some(server(&id, born, false)),
            (1, Some(info)) => Some(BackendInfo {
                leaving: true,
                ..info
            }),
            _ => None,
        };
        self.store.write(&id, entry.as_ref());
        self.servers.insert(id, entry);
    }

    fn rewrite_entries(&mut self) {
        for (id, entry) in &self.servers {
            self.store.write(id, entry.as_ref());
        }
    }

    fn restore(&mut self) {
        let era = self.store.era + 1;
        self.store = self.backup.clone();
        self.store.era = era;
    }

    // The first two hosts read the store, the others follow any other host.
    fn update_host(&mut self, host: usize, from: usize) {
        let host = host % self.hosts.len();
        if host < 2 {
            return self.hosts[host].read(&self.store, self.now);
        }
        let mut follower = self.hosts.remove(host);
        let from = from % self.hosts.len();
        follower.follow(&self.hosts[from], self.now);
        self.hosts.insert(host, follower);
    }

    fn step(&mut self, (step, one, two): (u8, u8, u8)) {
        self.now += millis(1);
        let (host, from) = (usize::from(one), usize::from(two));
        match step % 12 {
            0..=3 => self.change_server(one, two),
            4 => self.backup = self.store.clone(),
            5 => self.restore(),
            6 => self.rewrite_entries(),
            7 => {
                let host = host % self.hosts.len();
                self.hosts[host] = ModelHost::new();
            }
            _ => self.update_host(host, from),
        }
    }

    fn assert_all_hosts_converge(&mut self) {
        self.rewrite_entries();
        for round in 0..2 {
            for host in 0..self.hosts.len() {
                self.update_host(host, round);
            }
        }
        self.now += AFTER_REWRITE;
        let now = self.now;
        for host in &mut self.hosts {
            host.step(|state| {
                state.expire(now);
            });
        }
        let listed: Vec<_> = self.store.listed.values().map(summary).collect();
        for host in &self.hosts {
            assert_eq!(usable(&host.state), listed);
        }
    }
}

#[test]
fn hosts_forget_nothing_at_a_restore_and_converge_to_the_content_of_the_store() {
    check!().with_type::<Vec<(u8, u8, u8)>>().for_each(|steps| {
        let mut fleet = ModelFleet::new();
        for step in steps {
            fleet.step(*step);
        }
        fleet.assert_all_hosts_converge();
    });
}

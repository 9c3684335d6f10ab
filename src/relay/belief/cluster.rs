//! What a host believes of the configuration, the backend servers and the other hosts.
//!
//! A plain state machine: what the store or another host said goes in, what is in force comes out. A
//! newer version is never replaced by an older one.

use {
    super::history::{ChangeHistory, KindNews, MissingNews},
    crate::relay::{
        backend::BackendInfo,
        config::RelayConfig,
        link::{HostEntry, StoreChange, StoreItem, StoreKind, StoreValue},
        policy::{past_time::PastTime, route::RouteTable},
    },
    faststr::FastStr,
    std::{collections::BTreeMap, rc::Rc, time::Duration},
};

/// How long a backend server whose entry lapsed while the store was away is still used: those that
/// live are listed again within about two seconds of the store's return.
const LAPSE_GRACE: Duration = Duration::from_millis(1_700);

/// How long after an outage of the store a missing entry may have lapsed for that reason.
const OUTAGE_TIME: Duration = Duration::from_secs(3);

/// Heartbeats of a backend server that pass, at the least, from the start of an outage of the store until the
/// server's entry lapses: it does so after three of silence, and the last one may just have been due. What
/// is removed after a shorter time without the store left by itself.
const HEARTBEATS_TO_LAPSE: u32 = 2;

/// How often backend servers renew their entries where nothing else is said.
const HEARTBEAT_USUAL: Duration = Duration::from_secs(1);

/// What a host believes of its surroundings.
#[derive(Debug)]
pub struct ClusterState {
    routes: Option<Rc<RouteTable>>,
    backends: BTreeMap<FastStr, BackendInfo>,
    backend_history: ChangeHistory,
    lapsed: BTreeMap<FastStr, (BackendInfo, Duration)>,
    hosts: BTreeMap<FastStr, HostEntry>,
    host_history: ChangeHistory,
    // The shortest time without the store in which entries lapse by themselves.
    outage_least: Duration,
    // When the store was back after at least that time, as seen from here or told by another host.
    outage_ended: Option<Duration>,
    // Until when the configuration and the list of backend servers are known to be the newest.
    config_confirmed: Option<PastTime>,
    backends_confirmed: Option<PastTime>,
    // When the configuration was surely the newest: a call that was sent then found nothing newer.
    config_proved: Option<PastTime>,
    // When the list of backend servers was last read from the store, be it one that lagged.
    backends_read: Option<Duration>,
    // The store does not answer this host, or whom it follows.
    store_lost: bool,
}

impl Default for ClusterState {
    fn default() -> Self {
        Self::new(HEARTBEAT_USUAL)
    }
}

impl ClusterState {
    /// One that knows nothing yet; backend servers renew their entries each `heartbeat`.
    pub fn new(heartbeat: Duration) -> Self {
        Self {
            routes: None,
            backends: BTreeMap::new(),
            backend_history: ChangeHistory::default(),
            lapsed: BTreeMap::new(),
            hosts: BTreeMap::new(),
            host_history: ChangeHistory::default(),
            outage_least: heartbeat.saturating_mul(HEARTBEATS_TO_LAPSE),
            outage_ended: None,
            config_confirmed: None,
            backends_confirmed: None,
            config_proved: None,
            backends_read: None,
            store_lost: false,
        }
    }

    /// Whether the store fails to answer this host, which reads it, or whom this host follows.
    pub fn set_store_lost(&mut self, is_lost: bool) {
        self.store_lost = is_lost;
    }

    /// The same.
    pub fn is_store_lost(&self) -> bool {
        self.store_lost
    }

    /// The routes in force.
    pub fn routes(&self) -> Option<Rc<RouteTable>> {
        self.routes.clone()
    }

    /// Version of the configuration in force; 0 when there is none.
    pub fn config_version(&self) -> u64 {
        self.routes
            .as_ref()
            .map_or(0, |routes| routes.config().version)
    }

    /// The store's revision that the list of backend servers shows.
    pub fn backends_revision(&self) -> u64 {
        self.backend_history.revision()
    }

    /// Counts the lists and changes of backend servers that were taken.
    pub fn changes_seen(&self) -> u64 {
        self.backend_history.recorded()
    }

    /// The store's revision that the list of hosts shows.
    pub fn hosts_revision(&self) -> u64 {
        self.host_history.revision()
    }

    /// What is known of a kind was the newest at this time of the host's clock.
    pub fn confirm(&mut self, kind: StoreKind, at: Duration) {
        self.confirm_as(kind, PastTime::at(at));
    }

    /// What is known of a kind was the newest then, be it before the host's start.
    pub fn confirm_as(&mut self, kind: StoreKind, at: PastTime) {
        let confirmed = match kind {
            StoreKind::Config => &mut self.config_confirmed,
            StoreKind::Backends => &mut self.backends_confirmed,
            StoreKind::Hosts | StoreKind::Leases => return,
        };
        *confirmed = Some(confirmed.map_or(at, |before| before.max(at)));
    }

    /// The configuration was surely the newest at this time, be it before the host's start.
    pub fn prove_config(&mut self, at: PastTime) {
        self.config_proved = self.config_proved.max(Some(at));
    }

    /// How long ago the configuration was surely the newest; none where that was never so.
    pub fn proof_age(&self, now: Duration) -> Option<Duration> {
        Some(self.config_proved?.age(now))
    }

    /// Until when the older of configuration and backend servers is known to be the newest; none before both are
    /// known.
    pub fn confirmed(&self) -> Option<PastTime> {
        Some(self.config_confirmed?.min(self.backends_confirmed?))
    }

    /// How old the older of configuration and backend servers may be; none before both are known.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        Some(self.confirmed()?.age(now))
    }

    /// Takes a configuration if it is newer than the one in force.
    pub fn offer_config(&mut self, config: RelayConfig) -> bool {
        let before = self.config_version();
        if config.version <= before {
            return false;
        }
        self.routes = Some(Rc::new(RouteTable::new(config)));
        assert!(
            self.config_version() > before,
            "a configuration never reverts"
        );
        true
    }

    /// The list of backend servers was read from the store, be it one that lags: what is gone at the next reading went
    /// since then.
    pub fn note_backends_read(&mut self, now: Duration) {
        self.backends_read = Some(now);
    }

    /// Another host found the store back after an outage at this time.
    pub fn note_outage(&mut self, ended: Duration) {
        self.outage_ended = self.outage_ended.max(Some(ended));
    }

    /// How long ago the store was back after an outage, if there was one.
    pub fn outage_age(&self, now: Duration) -> Option<Duration> {
        self.outage_ended.map(|ended| now.saturating_sub(ended))
    }

    // A list that nobody could renew for so long ends an outage.
    fn look_for_outage(&mut self, now: Duration) {
        let read = self.backends_read.map(PastTime::at);
        let known = self.backends_confirmed.max(read);
        if known.is_some_and(|at| at.age(now) >= self.outage_least) {
            self.note_outage(now);
        }
    }

    fn had_outage(&self, now: Duration) -> bool {
        self.outage_age(now).is_some_and(|age| age < OUTAGE_TIME)
    }

    /// Takes the whole list of backend servers as of a revision, unless a newer one is known.
    pub fn set_backends(&mut self, list: Vec<BackendInfo>, revision: u64, now: Duration) -> bool {
        if revision < self.backends_revision() {
            return false;
        }
        self.look_for_outage(now);
        let mut before = std::mem::take(&mut self.backends);
        for info in list {
            before.remove(&info.id);
            self.lapsed.remove(&info.id);
            self.backends.insert(info.id.clone(), info);
        }
        for info in before.into_values() {
            self.remove(info, now);
        }
        self.backend_history.restart(revision);
        true
    }

    /// Takes changes of backend servers up to a revision, unless a newer one is known.
    pub fn change_backends(&mut self, changes: Vec<StoreChange>, revision: u64, now: Duration) {
        if revision < self.backends_revision() {
            return;
        }
        self.look_for_outage(now);
        for change in &changes {
            match change {
                StoreChange::Set(StoreItem {
                    value: StoreValue::Backend(info),
                    ..
                }) => {
                    self.lapsed.remove(&info.id);
                    self.backends.insert(info.id.clone(), info.clone());
                }
                StoreChange::Set(_) => {}
                StoreChange::Removed(id) => {
                    if let Some(info) = self.backends.remove(id) {
                        self.remove(info, now);
                    }
                }
            }
        }
        self.backend_history.record(revision, changes);
    }

    /// Takes what another host told of the backend servers.
    pub fn take_backend_news(&mut self, news: KindNews, now: Duration) {
        match news.is_whole {
            true => {
                let list = news.changes.into_iter().filter_map(backend_of).collect();
                self.set_backends(list, news.revision, now);
            }
            false => self.change_backends(news.changes, news.revision, now),
        }
    }

    /// What another host lacks of the backend servers that knows them up to `held`.
    pub fn backend_news(&self, held: u64) -> KindNews {
        kind_news(&self.backend_history, held, || {
            self.backends.values().map(backend_item).collect()
        })
    }

    // An entry that is removed while the store is well means that its server leaves.
    fn remove(&mut self, info: BackendInfo, now: Duration) {
        if self.had_outage(now) && !info.leaving {
            let until = now + LAPSE_GRACE;
            self.lapsed.insert(info.id.clone(), (info, until));
        }
    }

    /// Forgets lapsed entries whose time is over; gives whether there were any.
    pub fn expire(&mut self, now: Duration) -> bool {
        let before = self.lapsed.len();
        self.lapsed.retain(|_, (_, until)| now < *until);
        self.lapsed.len() != before
    }

    /// The backend servers that may be used.
    pub fn usable(&self) -> Vec<BackendInfo> {
        let lapsed = self.lapsed.values().map(|(info, _)| info);
        self.backends.values().chain(lapsed).cloned().collect()
    }

    /// The backend servers that are listed.
    pub fn backends(&self) -> impl Iterator<Item = &BackendInfo> {
        self.backends.values()
    }

    /// Takes the whole list of hosts as of a revision, unless a newer one is known.
    pub fn set_hosts(&mut self, hosts: Vec<HostEntry>, revision: u64) -> bool {
        if revision < self.hosts_revision() {
            return false;
        }
        let named = hosts.into_iter().map(|entry| (entry.name.clone(), entry));
        self.hosts = named.collect();
        self.host_history.restart(revision);
        true
    }

    /// Takes changes of hosts up to a revision, unless a newer one is known.
    pub fn change_hosts(&mut self, changes: Vec<StoreChange>, revision: u64) {
        if revision < self.hosts_revision() {
            return;
        }
        for change in &changes {
            match change {
                StoreChange::Set(StoreItem {
                    value: StoreValue::Host(entry),
                    ..
                }) => {
                    self.hosts.insert(entry.name.clone(), entry.clone());
                }
                StoreChange::Set(_) => {}
                StoreChange::Removed(name) => {
                    self.hosts.remove(name);
                }
            }
        }
        self.host_history.record(revision, changes);
    }

    /// Takes what another host told of the hosts.
    pub fn take_host_news(&mut self, news: KindNews) {
        match news.is_whole {
            true => {
                let hosts = news.changes.into_iter().filter_map(host_of).collect();
                self.set_hosts(hosts, news.revision);
            }
            false => self.change_hosts(news.changes, news.revision),
        }
    }

    /// What another host lacks of the hosts that knows them up to `held`.
    pub fn host_news(&self, held: u64) -> KindNews {
        kind_news(&self.host_history, held, || {
            self.hosts.values().map(host_item).collect()
        })
    }

    /// The hosts that are listed.
    pub fn hosts(&self) -> impl Iterator<Item = &HostEntry> + Clone {
        self.hosts.values()
    }

    /// Hosts that are listed, at least this one.
    pub fn host_count(&self) -> usize {
        self.hosts.len().max(1)
    }
}

fn kind_news(history: &ChangeHistory, held: u64, all: impl FnOnce() -> Vec<StoreItem>) -> KindNews {
    let missing = history.since(held);
    KindNews {
        revision: history.revision(),
        is_whole: missing == MissingNews::Whole,
        changes: match missing {
            MissingNews::Nothing => Vec::new(),
            MissingNews::Changes(changes) => changes,
            MissingNews::Whole => all().into_iter().map(StoreChange::Set).collect(),
        },
    }
}

// Revisions of single objects are not kept: nothing is written under their condition.
fn backend_item(info: &BackendInfo) -> StoreItem {
    StoreItem {
        name: info.id.clone(),
        revision: 0,
        value: StoreValue::Backend(info.clone()),
    }
}

fn host_item(entry: &HostEntry) -> StoreItem {
    StoreItem {
        name: entry.name.clone(),
        revision: 0,
        value: StoreValue::Host(entry.clone()),
    }
}

fn backend_of(change: StoreChange) -> Option<BackendInfo> {
    match change {
        StoreChange::Set(StoreItem {
            value: StoreValue::Backend(info),
            ..
        }) => Some(info),
        _ => None,
    }
}

fn host_of(change: StoreChange) -> Option<HostEntry> {
    match change {
        StoreChange::Set(StoreItem {
            value: StoreValue::Host(entry),
            ..
        }) => Some(entry),
        _ => None,
    }
}

//! What a host believes of the configuration, the backend servers and the other hosts.
//!
//! A plain state machine: what the store or another host said goes in, what is in force comes out. A
//! newer version is never replaced by an older one, also where the store was restored from a copy that has the older.

use {
    super::{backend_list::BackendList, history::KindNews, host_list::HostList},
    crate::{
        relay::{
            backend::BackendInfo,
            config::RelayConfig,
            link::{HostEntry, StoreChange, StoreKind},
            policy::{past_time::PastTime, route::RouteTable},
        },
        store::StorePosition,
    },
    std::{rc::Rc, time::Duration},
};

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
    backends: BackendList,
    hosts: HostList,
    // The latest era of the store that was seen, and when it was found restored.
    era: u32,
    restored: Option<RestoreMark>,
    restores: u32,
    // How long operators and servers have to write again what a restored store lacks.
    settle_time: Duration,
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

/// When the store was found restored.
#[derive(Debug, Clone, Copy)]
struct RestoreMark {
    seen: Duration,
    // All lists that other hosts follow have been read again.
    is_reread: bool,
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
            backends: BackendList::new(heartbeat),
            hosts: HostList::default(),
            era: 0,
            restored: None,
            restores: 0,
            settle_time: heartbeat,
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

    /// The store's position that the list of backend servers shows.
    pub fn backends_position(&self) -> StorePosition {
        self.backends.position()
    }

    /// Counts the lists and changes of backend servers that were taken.
    pub fn changes_seen(&self) -> u64 {
        self.backends.recorded()
    }

    /// The store's position that the list of hosts shows.
    pub fn hosts_position(&self) -> StorePosition {
        self.hosts.position()
    }

    /// The latest era of the store that was seen.
    pub fn era(&self) -> u32 {
        self.era
    }

    /// How often the store was found restored since the host's start.
    pub fn restores(&self) -> u32 {
        self.restores
    }

    /// The store, or another host, named an era; gives the one before where the store was restored since.
    pub fn note_era(&mut self, era: u32, now: Duration) -> Option<u32> {
        if era <= self.era {
            return None;
        }
        let before = std::mem::replace(&mut self.era, era);
        let knows_more = self.backends_position().is_known() || self.hosts_position().is_known();
        if before == 0 && !knows_more {
            return None;
        }
        self.restores += 1;
        self.restored = Some(RestoreMark {
            seen: now,
            is_reread: false,
        });
        Some(before)
    }

    /// Whether all lists have been read again since the store was restored; true once.
    pub fn take_reread(&mut self) -> bool {
        let era = self.era;
        let is_read = self.backends_position().era == era && self.hosts_position().era == era;
        match &mut self.restored {
            Some(mark) if is_read && !mark.is_reread => {
                mark.is_reread = true;
                true
            }
            _ => false,
        }
    }

    // Whether a reading at this time shows all that was accepted: what a restored store has lost has to be written again.
    fn is_settled(&self, at: PastTime) -> bool {
        let settled = |mark: RestoreMark| {
            let settled = mark.seen.saturating_add(self.settle_time);
            at >= PastTime::at(settled)
        };
        self.restored.is_none_or(settled)
    }

    /// What is known of a kind was the newest at this time of the host's clock.
    pub fn confirm(&mut self, kind: StoreKind, at: Duration) {
        self.confirm_as(kind, PastTime::at(at));
    }

    /// What is known of a kind was the newest then, be it before the host's start.
    pub fn confirm_as(&mut self, kind: StoreKind, at: PastTime) {
        let confirmed = match kind {
            StoreKind::Config => &mut self.config_confirmed,
            StoreKind::Backends => {
                self.backends.set_unconfirmed(false);
                &mut self.backends_confirmed
            }
            StoreKind::Hosts => return self.hosts.set_unconfirmed(false),
            StoreKind::Leases => return,
        };
        *confirmed = Some(confirmed.map_or(at, |before| before.max(at)));
    }

    /// The configuration was surely the newest at this time, be it before the host's start: the store was read, or
    /// another host says so.
    pub fn prove_config(&mut self, at: PastTime) {
        if self.is_before_restore(at) || self.is_settled(at) {
            self.config_proved = self.config_proved.max(Some(at));
        }
    }

    fn is_before_restore(&self, at: PastTime) -> bool {
        let restored = self.restored.as_ref();
        restored.is_some_and(|mark| at < PastTime::at(mark.seen))
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

    /// Takes the whole list of backend servers as of a position, unless a newer one is known.
    pub fn set_backends(
        &mut self,
        list: Vec<BackendInfo>,
        position: StorePosition,
        now: Duration,
    ) -> bool {
        if position < self.backends_position() {
            return false;
        }
        self.look_for_outage(now);
        let had_outage = self.had_outage(now);
        self.backends.set(list, &[], position, had_outage, now)
    }

    /// The list of a kind that was just taken may lag.
    pub fn doubt(&mut self, kind: StoreKind) {
        match kind {
            StoreKind::Backends => self.backends.set_unconfirmed(true),
            StoreKind::Hosts => self.hosts.set_unconfirmed(true),
            StoreKind::Config | StoreKind::Leases => {}
        }
    }

    /// The store does not have the position that a kind is known up to, if its list may have lagged.
    pub fn drop_doubted(&mut self, kind: StoreKind) {
        match kind {
            StoreKind::Backends => self.backends.drop_unconfirmed(),
            StoreKind::Hosts => self.hosts.drop_unconfirmed(),
            StoreKind::Config | StoreKind::Leases => {}
        }
    }

    /// Takes changes of backend servers up to a position, unless a newer one is known.
    pub fn change_backends(
        &mut self,
        changes: Vec<StoreChange>,
        position: StorePosition,
        now: Duration,
    ) {
        if position < self.backends_position() {
            return;
        }
        self.look_for_outage(now);
        let had_outage = self.had_outage(now);
        self.backends.change(changes, position, had_outage, now);
    }

    /// Takes what another host told of the backend servers.
    pub fn take_backend_news(&mut self, news: KindNews, now: Duration) {
        if news.position < self.backends_position() {
            return;
        }
        self.look_for_outage(now);
        let had_outage = self.had_outage(now);
        self.backends.take_news(news, had_outage, now);
    }

    /// What another host lacks of the backend servers that knows them up to `held`.
    pub fn backend_news(&self, held: StorePosition) -> KindNews {
        self.backends.news(held)
    }

    /// Evicts what was kept for a time that is over; gives whether other backend servers may be used than before.
    pub fn expire(&mut self, now: Duration) -> bool {
        self.hosts.expire(now);
        self.backends.expire(now)
    }

    /// The backend servers that may be used.
    pub fn usable(&self) -> Vec<BackendInfo> {
        self.backends.usable()
    }

    /// The backend servers that are listed.
    pub fn backends(&self) -> impl Iterator<Item = &BackendInfo> {
        self.backends.listed()
    }

    /// Takes the whole list of hosts as of a position, unless a newer one is known.
    pub fn set_hosts(
        &mut self,
        hosts: Vec<HostEntry>,
        position: StorePosition,
        now: Duration,
    ) -> bool {
        self.hosts.set(hosts, position, now)
    }

    /// Takes changes of hosts up to a position, unless a newer one is known.
    pub fn change_hosts(&mut self, changes: Vec<StoreChange>, position: StorePosition) {
        self.hosts.change(changes, position);
    }

    /// Takes what another host told of the hosts.
    pub fn take_host_news(&mut self, news: KindNews, now: Duration) {
        self.hosts.take_news(news, now);
    }

    /// What another host lacks of the hosts that knows them up to `held`.
    pub fn host_news(&self, held: StorePosition) -> KindNews {
        self.hosts.news(held)
    }

    /// The hosts that are known.
    pub fn hosts(&self) -> impl Iterator<Item = &HostEntry> + Clone {
        self.hosts.entries()
    }

    /// Whether the store lists a host with this entry.
    pub fn is_host_listed(&self, entry: &HostEntry) -> bool {
        self.hosts.is_listed(entry)
    }

    /// Hosts that are known, at least this one.
    pub fn host_count(&self) -> usize {
        self.hosts.count().max(1)
    }
}

//! The cluster state known to a host: the configuration, the backend servers and the other hosts.
//!
//! A state machine without I/O: data read from the store or received from another host goes in, the state in force
//! comes out. A newer version is never replaced by an older one, even if the store was restored from a backup that
//! contains the older one.

use {
    super::{
        backend_list::BackendList,
        config_state::ConfigState,
        evacuations::EvacuationList,
        history::KindNews,
        host_list::HostList,
        list_parts::{ListCursor, PartialList},
        outages::OutageRecord,
    },
    crate::{
        relay::{
            backend::BackendInfo,
            config::RelayConfig,
            link::{HostEntry, StoreChange, StoreKind},
            policy::{past_time::PastTime, route::RouteTable},
        },
        store::StorePosition,
    },
    faststr::FastStr,
    std::{net::IpAddr, rc::Rc, time::Duration},
};

/// Default interval at which backend servers renew their entries.
const DEFAULT_HEARTBEAT: Duration = Duration::from_secs(1);

/// The configuration, backend servers and hosts known to a host, and how recent that knowledge is.
#[derive(Debug)]
pub struct ClusterState {
    /// The configuration.
    pub config: ConfigState,
    backends: BackendList,
    // The list of backend servers that is being received from another host.
    partial_backends: PartialList,
    hosts: HostList,
    /// The evacuated availability zones.
    pub evacuations: EvacuationList,
    // The latest store era observed, and when a restore was last detected.
    era: u32,
    last_restore: Option<StoreRestore>,
    restores: u32,
    // How long operators and servers have to rewrite what a restored store lacks.
    rewrite_time: Duration,
    outages: OutageRecord,
    // The latest time at which the latest known version of the configuration and the list of backend servers are known
    // to have been up to date.
    config_confirmed_at: Option<PastTime>,
    backends_confirmed_at: Option<PastTime>,
    // The latest time at which the configuration was proved up to date: a request sent then found nothing newer.
    config_proved_at: Option<PastTime>,
    // When the list of backend servers was last read from the store, even if from a lagging replica.
    backends_read_at: Option<Duration>,
    // When the list of backend servers was read from a replica that may lag, if nothing has confirmed it since.
    backends_unconfirmed_since: Option<Duration>,
    // The store does not respond to this host, or to the host that it follows.
    store_lost: bool,
}

/// A detected restore of the store.
#[derive(Debug, Clone, Copy)]
struct StoreRestore {
    detected_at: Duration,
    // The lists that are shared with other hosts have been read again.
    is_reread: bool,
}

impl Default for ClusterState {
    fn default() -> Self {
        Self::new(DEFAULT_HEARTBEAT)
    }
}

impl ClusterState {
    /// An empty state; backend servers renew their entries every `heartbeat`.
    pub fn new(heartbeat: Duration) -> Self {
        Self {
            config: ConfigState::default(),
            backends: BackendList::new(heartbeat),
            partial_backends: PartialList::default(),
            hosts: HostList::default(),
            evacuations: EvacuationList::default(),
            era: 0,
            last_restore: None,
            restores: 0,
            rewrite_time: heartbeat,
            outages: OutageRecord::new(heartbeat),
            config_confirmed_at: None,
            backends_confirmed_at: None,
            config_proved_at: None,
            backends_read_at: None,
            backends_unconfirmed_since: None,
            store_lost: false,
        }
    }

    /// Sets whether the store fails to respond to this host, if it reads the store itself, or to the host it follows.
    pub fn set_store_lost(&mut self, is_lost: bool) {
        self.store_lost = is_lost;
    }

    /// Whether the store fails to respond, as last set by [`Self::set_store_lost`].
    pub fn is_store_lost(&self) -> bool {
        self.store_lost
    }

    /// The routes in force.
    pub fn routes(&self) -> Option<Rc<RouteTable>> {
        self.config.routes().cloned()
    }

    /// Version of the configuration in force; 0 if there is none.
    pub fn config_version(&self) -> u64 {
        self.config.version()
    }

    /// The store position that the list of backend servers reflects.
    pub fn backends_position(&self) -> StorePosition {
        self.backends.position()
    }

    /// Number of lists and batches of changes of backend servers that were applied.
    pub fn backend_update_count(&self) -> u64 {
        self.backends.update_count()
    }

    /// The store position that the list of hosts reflects.
    pub fn hosts_position(&self) -> StorePosition {
        self.hosts.position()
    }

    /// The latest store era observed.
    pub fn era(&self) -> u32 {
        self.era
    }

    /// Number of store restores detected since the host started.
    pub fn restores(&self) -> u32 {
        self.restores
    }

    /// Records an era reported by the store or another host. Returns the previous era if the new one shows that the
    /// store was restored.
    pub fn record_era(&mut self, era: u32, now: Duration) -> Option<u32> {
        if era <= self.era {
            return None;
        }
        let before = std::mem::replace(&mut self.era, era);
        let knows_more = self.backends_position().is_known() || self.hosts_position().is_known();
        if before == 0 && !knows_more {
            return None;
        }
        self.restores += 1;
        self.last_restore = Some(StoreRestore {
            detected_at: now,
            is_reread: false,
        });
        Some(before)
    }

    /// Whether all lists have been read again since the last restore; returns true once per restore.
    pub fn take_reread_complete(&mut self) -> bool {
        let era = self.era;
        let is_read = self.backends_position().era == era && self.hosts_position().era == era;
        match &mut self.last_restore {
            Some(restore) if is_read && !restore.is_reread => {
                restore.is_reread = true;
                true
            }
            _ => false,
        }
    }

    // Whether a read at this time returns all accepted writes: what a restored store has lost must first be rewritten.
    fn is_rewritten(&self, at: PastTime) -> bool {
        let is_rewritten = |restore: StoreRestore| {
            let rewritten = restore.detected_at.saturating_add(self.rewrite_time);
            at >= PastTime::at(rewritten)
        };
        self.last_restore.is_none_or(is_rewritten)
    }

    /// Records that the state known of a kind was up to date at this time of the host's clock.
    pub fn confirm(&mut self, kind: StoreKind, at: Duration) {
        self.confirm_at(kind, PastTime::at(at));
    }

    /// Records that the state known of a kind was up to date at this time, which may precede the host's start.
    pub fn confirm_at(&mut self, kind: StoreKind, at: PastTime) {
        let confirmed = match kind {
            StoreKind::Config => &mut self.config_confirmed_at,
            StoreKind::Backends => {
                self.backends.set_unconfirmed(false);
                self.backends_unconfirmed_since = None;
                &mut self.backends_confirmed_at
            }
            StoreKind::Hosts => return self.hosts.set_unconfirmed(false),
            StoreKind::Leases | StoreKind::Evacuations | StoreKind::Streams => return,
        };
        *confirmed = Some(confirmed.map_or(at, |before| before.max(at)));
    }

    /// Records that the configuration was proved up to date at this time, which may precede the host's start: it was
    /// read from the store, or another host reports so. A read from a restored store proves nothing until lost writes
    /// have had time to be repeated.
    pub fn prove_config(&mut self, at: PastTime) {
        if self.is_before_restore(at) || self.is_rewritten(at) {
            self.config_proved_at = self.config_proved_at.max(Some(at));
        }
    }

    fn is_before_restore(&self, at: PastTime) -> bool {
        let restore = self.last_restore.as_ref();
        restore.is_some_and(|restore| at < PastTime::at(restore.detected_at))
    }

    /// Records that the store was read at this time and named no version that is newer than the latest known one. This
    /// proves the configuration in force only if that is the one.
    pub fn prove_newest_config(&mut self, at: PastTime) {
        if self.config.behind_since().is_none() {
            self.prove_config(at);
        }
    }

    /// How long ago the configuration was last proved up to date; none if it never was.
    pub fn proof_age(&self, now: Duration) -> Option<Duration> {
        Some(self.config_proved_at?.age(now))
    }

    /// The latest time at which both the configuration and the backend servers are known to have been up to date;
    /// none until both are known.
    pub fn confirmed(&self) -> Option<PastTime> {
        Some(self.config_confirmed_at?.min(self.backends_confirmed_at?))
    }

    /// Maximum age of the configuration and the backend servers, whichever is older; none until both are known.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        Some(self.confirmed()?.age(now))
    }

    /// Puts a configuration in force if it is newer than the current one, and returns whether it was.
    pub fn update_config(&mut self, config: RelayConfig) -> bool {
        self.config.update(config)
    }

    /// Records that the list of backend servers was read from the store, even if from a lagging replica: entries
    /// missing from the next read were removed after this one.
    pub fn record_backends_read(&mut self, now: Duration) {
        self.backends_read_at = Some(now);
    }

    /// Records that a store outage ended at this time.
    pub fn record_outage(&mut self, ended: Duration) {
        self.outages.record_end(ended);
    }

    /// How long ago the last store outage ended, if there was one.
    pub fn outage_age(&self, now: Duration) -> Option<Duration> {
        self.outages.age(now)
    }

    /// Records that this process ran again at this time after it had stood still.
    pub fn record_stall(&mut self, ended: Duration) {
        self.outages.record_stall(ended);
    }

    /// Records that this host heard from another one at this time.
    pub fn record_contact(&mut self, now: Duration) {
        self.outages.record_contact(now);
    }

    // Returns whether an entry that is missing from what was read now may have expired in an outage.
    fn had_outage(&mut self, now: Duration) -> bool {
        let read = self.backends_read_at.map(PastTime::at);
        if let Some(known) = self.backends_confirmed_at.max(read) {
            let has_others = self.host_count() > 1;
            self.outages.detect_end(known, has_others, now);
        }
        self.outages.is_recent(now)
    }

    /// Replaces the list of backend servers by that of a position, unless a newer one is known.
    pub fn set_backends(
        &mut self,
        list: Vec<BackendInfo>,
        position: StorePosition,
        now: Duration,
    ) -> bool {
        if position < self.backends_position() {
            return false;
        }
        self.partial_backends.clear();
        let had_outage = self.had_outage(now);
        self.backends.set(list, &[], position, had_outage, now)
    }

    /// When the list of backend servers was read from a replica that may lag; none if it was confirmed since.
    pub fn backends_unconfirmed_since(&self) -> Option<Duration> {
        self.backends_unconfirmed_since
    }

    /// Marks the list of a kind that was just set as read from a replica that may lag.
    pub fn mark_unconfirmed(&mut self, kind: StoreKind, now: Duration) {
        match kind {
            StoreKind::Backends => {
                self.backends.set_unconfirmed(true);
                self.backends_unconfirmed_since = Some(now);
            }
            StoreKind::Hosts => self.hosts.set_unconfirmed(true),
            StoreKind::Config | StoreKind::Leases | StoreKind::Evacuations | StoreKind::Streams => {
            }
        }
    }

    /// Forgets the revision up to which a kind is known, if its list is marked as possibly lagging: the store does not
    /// have that revision.
    pub fn forget_unconfirmed(&mut self, kind: StoreKind) {
        match kind {
            StoreKind::Backends => self.backends.forget_unconfirmed(),
            StoreKind::Hosts => self.hosts.forget_unconfirmed(),
            StoreKind::Config | StoreKind::Leases | StoreKind::Evacuations | StoreKind::Streams => {
            }
        }
    }

    /// Whether the software version of a listed backend server is not known: a host of an earlier version has passed its
    /// entry on.
    pub fn lacks_software(&self) -> bool {
        self.backends.lacks_software()
    }

    /// Forgets the revision up to which the backend servers are known if software versions are missing, so that the list is
    /// received again from a host that passes them on.
    pub fn forget_incomplete_backends(&mut self) {
        self.backends.forget_incomplete();
    }

    /// Applies changes of backend servers up to a position, unless a newer one is known.
    pub fn change_backends(
        &mut self,
        changes: Vec<StoreChange>,
        position: StorePosition,
        now: Duration,
    ) {
        if position < self.backends_position() {
            return;
        }
        let had_outage = self.had_outage(now);
        self.backends.change(changes, position, had_outage, now);
    }

    /// Applies an update of the backend servers received from another host. Returns false if it is a part of the list
    /// and others are missing.
    pub fn apply_backend_news(&mut self, news: KindNews, now: Duration) -> bool {
        let news = match news.part.is_some() {
            true => match self.partial_backends.add(news) {
                Some(news) => news,
                None => return false,
            },
            false => news,
        };
        if news.position.is_known() {
            self.partial_backends.clear();
        }
        if news.position < self.backends_position() {
            return true;
        }
        let had_outage = self.had_outage(now);
        self.backends.apply_news(news, had_outage, now);
        true
    }

    /// The update of the backend servers for another host that knows them up to `held`.
    pub fn backend_news(&self, held: StorePosition) -> KindNews {
        self.backends.news(held)
    }

    /// The same, but of the complete list only the part of at most `count` entries that follows the cursor.
    pub fn backend_news_part(
        &self,
        held: StorePosition,
        cursor: Option<&ListCursor>,
        count: usize,
    ) -> KindNews {
        self.backends.news_part(held, cursor, count)
    }

    /// Where the list of backend servers is to be continued, if parts of it were received.
    pub fn list_cursor(&self) -> Option<&ListCursor> {
        self.partial_backends.cursor()
    }

    /// Evicts entries whose retention time is over, and returns whether the set of usable backend servers changed.
    pub fn expire(&mut self, now: Duration) -> bool {
        self.hosts.expire(now);
        self.backends.expire(now)
    }

    /// The backend servers that may be used.
    pub fn usable(&self) -> Vec<BackendInfo> {
        self.backends.usable()
    }

    /// The backend servers whose usable entry may have changed since the last call, with that entry if they may be used.
    pub fn take_touched_backends(&mut self) -> Vec<(FastStr, Option<BackendInfo>)> {
        self.backends.take_touched()
    }

    /// The backend servers that are listed.
    pub fn backends(&self) -> impl Iterator<Item = &BackendInfo> {
        self.backends.listed()
    }

    /// Replaces the list of hosts by that of a position, unless a newer one is known.
    pub fn set_hosts(
        &mut self,
        hosts: Vec<HostEntry>,
        position: StorePosition,
        now: Duration,
    ) -> bool {
        self.hosts.set(hosts, position, now)
    }

    /// Applies changes of hosts up to a position, unless a newer one is known.
    pub fn change_hosts(&mut self, changes: Vec<StoreChange>, position: StorePosition) {
        self.hosts.change(changes, position);
    }

    /// Applies an update of the hosts received from another host.
    pub fn apply_host_news(&mut self, news: KindNews, now: Duration) {
        self.hosts.apply_news(news, now);
    }

    /// The update of the hosts for another host that knows them up to `held`.
    pub fn host_news(&self, held: StorePosition) -> KindNews {
        self.hosts.news(held)
    }

    /// The known hosts.
    pub fn hosts(&self) -> impl Iterator<Item = &HostEntry> + Clone {
        self.hosts.entries()
    }

    /// Whether a known host has this address.
    pub fn has_host_at(&self, ip: IpAddr) -> bool {
        self.hosts().any(|entry| entry.peers.ip() == ip)
    }

    /// The entry of a host, if it is known.
    pub fn host(&self, name: &str) -> Option<&HostEntry> {
        self.hosts.entry(name)
    }

    /// Whether the store lists exactly this entry of a host.
    pub fn is_host_listed(&self, entry: &HostEntry) -> bool {
        self.hosts.is_listed(entry)
    }

    /// Number of known hosts; at least 1, for this host.
    pub fn host_count(&self) -> usize {
        self.hosts.count().max(1)
    }
}

//! Selects the host that allocates the permits of a rate-limited server.
//!
//! A state machine without I/O. All hosts agree on the owner without communication: it is selected by a hash from the
//! hosts of the server's zone, which reach the server whenever any host does.

use {
    super::{loads::EngineKey, permit_allocator::TAKEOVER_TIME},
    crate::{
        account::{BucketRate, RateBucket},
        peer,
        relay::link::HostEntry,
    },
    faststr::FastStr,
    std::{collections::HashMap, time::Duration},
};

/// Rate and burst of denied permit requests that a host may send. When all servers are rate-limited, further requests
/// would yield no more permits.
const DENIED_REQUESTS: BucketRate = BucketRate {
    rate: 5.0,
    burst: 20.0,
};

/// Initial and maximum time for which an unresponsive host is skipped; it doubles with each failure. The maximum is the
/// takeover time, since two hosts allocate permits while some hosts ask this one again and others still skip it.
const INITIAL_SKIP_TIME: Duration = Duration::from_millis(500);
const MAX_SKIP_TIME: Duration = TAKEOVER_TIME;

// A host that did not respond.
#[derive(Debug, Clone, Copy)]
struct UnresponsiveHost {
    skipped_until: Duration,
    skip_time: Duration,
    // The connection was refused, so the host is down and not just unreachable.
    is_down: bool,
}

/// The owners of permits from the view of one host.
#[derive(Debug, Default)]
pub struct PermitOwners {
    unresponsive: HashMap<FastStr, UnresponsiveHost>,
    denials: RateBucket,
}

impl PermitOwners {
    /// The owner of a server's permits: the responsive host with the highest rendezvous hash, among the listed hosts of
    /// the server's zone or, if it has none, among all. Hashing by server spreads the load of many rate-limited
    /// servers.
    pub fn owner<'a>(
        &self,
        hosts: impl Iterator<Item = &'a HostEntry> + Clone,
        zone: &str,
        server: EngineKey,
        now: Duration,
    ) -> Option<&'a HostEntry> {
        let server_key = server.0.to_string();
        let has_local = hosts.clone().any(|entry| entry.zone == zone);
        let candidates = hosts.filter(|entry| !has_local || entry.zone == zone);
        let responsive = candidates.filter(|entry| self.is_responsive(&entry.name, now));
        responsive.max_by_key(|entry| peer::draw(&entry.name, &server_key))
    }

    fn is_responsive(&self, name: &FastStr, now: Duration) -> bool {
        let unresponsive = self.unresponsive.get(name);
        unresponsive.is_none_or(|host| now >= host.skipped_until)
    }

    /// Records that a host responded.
    pub fn record_response(&mut self, name: &FastStr) {
        self.unresponsive.remove(name);
    }

    /// Records that a host did not respond, or, with `is_down`, that it refused the connection.
    pub fn record_no_response(&mut self, name: &FastStr, is_down: bool, now: Duration) {
        let doubled = self.unresponsive.get(name).map(|host| host.skip_time * 2);
        let skip_time = doubled.unwrap_or(INITIAL_SKIP_TIME).min(MAX_SKIP_TIME);
        let host = UnresponsiveHost {
            skipped_until: now + skip_time,
            skip_time,
            is_down,
        };
        self.unresponsive.insert(name.clone(), host);
    }

    /// The number of listed hosts that are known to be down.
    pub fn down_count(&self) -> usize {
        self.unresponsive
            .values()
            .filter(|host| host.is_down)
            .count()
    }

    /// Whether a permit request may be sent to another host.
    pub fn may_request(&mut self, now: Duration) -> bool {
        !self.denials.is_full(DENIED_REQUESTS, now)
    }

    /// Records that another host denied a permit.
    pub fn record_denial(&mut self) {
        self.denials.add(1.0);
    }

    /// Removes hosts that are no longer listed.
    pub fn retain_listed(&mut self, is_listed: impl Fn(&FastStr) -> bool) {
        self.unresponsive.retain(|name, _| is_listed(name));
    }
}

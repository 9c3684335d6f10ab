//! Chooses the hosts through which this host reaches backend servers to which it has lost its own link.
//!
//! No host is told which others have lost theirs: that list would grow with the fleet. A host that can't help says so
//! when it is asked, and is then skipped for a while.

use {
    super::link_tracker::LinkGroup,
    crate::relay::{backend::BackendInfo, link::HostEntry},
    faststr::FastStr,
    std::{
        collections::{BTreeMap, HashMap},
        net::SocketAddr,
        time::Duration,
    },
    xxhash_rust::xxh3,
};

/// How long a host that could not help is skipped; doubled each time until it helps.
const SKIP_FIRST: Duration = Duration::from_secs(1);

/// Maximum time for which a host is skipped.
const SKIP_MAX: Duration = Duration::from_secs(8);

/// Time after its end for which a skip still counts towards the next one.
const SKIP_MEMORY: Duration = Duration::from_secs(10);

/// Maximum number of hosts that one connection asks.
const CANDIDATES_MAX: usize = 8;

/// A host that may carry connections.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CarrierHost {
    /// The host's name.
    pub name: FastStr,
    /// The address at which it accepts connections to carry.
    pub address: SocketAddr,
}

/// What a host needs a carried connection for.
#[derive(Debug, Clone, Copy)]
pub struct CarrierQuery<'a> {
    /// The asking host's name.
    pub host: &'a FastStr,
    /// The asking host's availability zone.
    pub zone: &'a FastStr,
    /// The region of each availability zone; empty if regions are not configured.
    pub regions: &'a BTreeMap<FastStr, FastStr>,
    /// The server to connect to.
    pub backend: &'a BackendInfo,
}

/// Why a host could not help.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CarrierFailure {
    /// It does not answer, is stopping or has no room.
    Unavailable,
    /// It has lost its own links to a group of servers.
    NoLink(LinkGroup),
}

#[derive(Debug)]
struct SkippedHost {
    until: Duration,
    time: Duration,
}

// A host, with the group of servers that it does not reach; none if it does not help at all.
type SkipKey = (FastStr, Option<LinkGroup>);

/// The hosts that could not help lately.
#[derive(Debug, Default)]
pub struct CarrierTable {
    skipped: HashMap<SkipKey, SkippedHost>,
}

impl CarrierTable {
    /// The hosts to ask for a connection to a server, best first: near ones, in an order that differs at each host, so
    /// that hosts which lose their links together ask different ones.
    ///
    /// All of them are in the server's region: what may reach the server may also pass through it there.
    pub fn candidates<'a>(
        &self,
        query: CarrierQuery<'_>,
        hosts: impl Iterator<Item = &'a HostEntry>,
        now: Duration,
    ) -> Vec<CarrierHost> {
        let CarrierQuery { regions, .. } = query;
        let group = LinkGroup::of(query.backend);
        let region = regions.get(&query.backend.zone);
        let seed = xxh3::xxh3_64(query.host.as_bytes());
        let usable = hosts.filter(|entry| {
            entry.carrier_port != 0
                && entry.name != *query.host
                && regions.get(&entry.zone) == region
                && !self.is_skipped(&entry.name, &group, now)
        });
        let mut ranked: Vec<_> = usable
            .map(|entry| {
                let distance = match &entry.zone {
                    zone if zone == query.zone => 0_u8,
                    zone if *zone == query.backend.zone => 1,
                    _ => 2,
                };
                let order = xxh3::xxh3_64_with_seed(entry.name.as_bytes(), seed);
                (distance, order, entry)
            })
            .collect();
        let key = |ranked: &(u8, u64, &HostEntry)| (ranked.0, ranked.1);
        if ranked.len() > CANDIDATES_MAX {
            ranked.select_nth_unstable_by_key(CANDIDATES_MAX, key);
            ranked.truncate(CANDIDATES_MAX);
        }
        ranked.sort_unstable_by_key(key);
        let hosts = ranked.into_iter().map(|(_, _, entry)| CarrierHost {
            name: entry.name.clone(),
            address: SocketAddr::new(entry.peers.ip(), entry.carrier_port),
        });
        hosts.collect()
    }

    fn is_skipped(&self, host: &FastStr, group: &LinkGroup, now: Duration) -> bool {
        if self.skipped.is_empty() {
            return false;
        }
        let is_active = |key: &SkipKey| {
            let skipped = self.skipped.get(key);
            skipped.is_some_and(|skipped| now < skipped.until)
        };
        is_active(&(host.clone(), None)) || is_active(&(host.clone(), Some(group.clone())))
    }

    /// Records that a host connected this one to a server of a group.
    pub fn record_success(&mut self, host: &FastStr, group: &LinkGroup) {
        if !self.skipped.is_empty() {
            self.skipped.remove(&(host.clone(), None));
            self.skipped.remove(&(host.clone(), Some(group.clone())));
        }
    }

    /// Records that a host could not help.
    pub fn record_failure(&mut self, host: &FastStr, failure: CarrierFailure, now: Duration) {
        let group = match failure {
            CarrierFailure::Unavailable => None,
            CarrierFailure::NoLink(group) => Some(group),
        };
        let skipped = self.skipped.entry((host.clone(), group));
        let skipped = skipped.or_insert(SkippedHost {
            until: now,
            time: SKIP_FIRST / 2,
        });
        // Connections that were opened at the same time fail together.
        if now >= skipped.until {
            skipped.time = (skipped.time * 2).min(SKIP_MAX);
            skipped.until = now + skipped.time;
        }
    }

    /// Evicts hosts whose skip ended a while ago.
    pub fn evict(&mut self, now: Duration) {
        self.skipped
            .retain(|_, skipped| now < skipped.until + SKIP_MEMORY);
    }
}

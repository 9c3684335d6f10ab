//! Chooses the hosts through which this host reaches backend servers to which it has lost its own link.
//!
//! No host is told which others have lost theirs: that list would grow with the fleet. A host that can't help says so
//! when it is asked, and is then skipped for a while.

use {
    super::link_tracker::LinkGroup,
    crate::{
        relay::{backend::BackendInfo, link::HostEntry},
        store::StorePosition,
    },
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

// All hosts that may connect this one to the servers of a zone, best first, and the list of hosts that they are from.
#[derive(Debug)]
struct RankedHosts {
    position: StorePosition,
    hosts: Vec<CarrierHost>,
}

/// The hosts that may help, and those that could not lately.
#[derive(Debug, Default)]
pub struct CarrierTable {
    skipped: HashMap<SkipKey, SkippedHost>,
    // By the zone of the servers; ranked again once the list of hosts has changed.
    ranked: HashMap<FastStr, RankedHosts>,
    visited: u64,
}

impl CarrierTable {
    /// The hosts to ask for a connection to a server, best first: near ones, in an order that differs at each host, so
    /// that hosts which lose their links together ask different ones.
    ///
    /// All of them are in the server's region: what may reach the server may also pass through it there.
    pub fn candidates<'a>(
        &mut self,
        query: CarrierQuery<'_>,
        hosts: impl Iterator<Item = &'a HostEntry>,
        position: StorePosition,
        now: Duration,
    ) -> Vec<CarrierHost> {
        let zone = &query.backend.zone;
        let ranked = self.ranked.get(zone);
        if ranked.is_none_or(|ranked| ranked.position != position) {
            let hosts = rank_hosts(query, hosts);
            let ranked = RankedHosts { position, hosts };
            self.ranked.insert(zone.clone(), ranked);
        }
        let group = LinkGroup::of(query.backend);
        let mut visited = 0;
        let hosts = self.ranked[zone].hosts.iter().inspect(|_| visited += 1);
        let usable = hosts.filter(|host| !self.is_skipped(&host.name, &group, now));
        let candidates = usable.take(CANDIDATES_MAX).cloned().collect();
        self.visited += visited;
        candidates
    }

    /// Number of hosts that choices have looked at so far, a measure of their cost.
    pub fn visited(&self) -> u64 {
        self.visited
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

fn rank_hosts<'a>(
    query: CarrierQuery<'_>,
    hosts: impl Iterator<Item = &'a HostEntry>,
) -> Vec<CarrierHost> {
    let region = query.regions.get(&query.backend.zone);
    let seed = xxh3::xxh3_64(query.host.as_bytes());
    let usable = hosts.filter(|entry| {
        entry.carrier_port != 0
            && entry.name != *query.host
            && query.regions.get(&entry.zone) == region
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
    ranked.sort_unstable_by_key(|(distance, order, _)| (*distance, *order));
    let hosts = ranked.into_iter().map(|(_, _, entry)| CarrierHost {
        name: entry.name.clone(),
        address: SocketAddr::new(entry.peers.ip(), entry.carrier_port),
    });
    hosts.collect()
}

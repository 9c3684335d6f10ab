//! The lists that the hosts of a fleet of a given size work with.

use {
    crate::{
        account::{AccountLimit, ClientAccount, KeyHash, LimitUnit},
        engine::EngineRole,
        relay::{
            BackendInfo, BackendRegistry, CallerLimits, ClusterState, HostEntry, RelayConfig,
            RelayRoute, RequestKind, SoftwareVersion, subset_of,
        },
        store::StorePosition,
    },
    faststr::FastStr,
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{net::SocketAddr, rc::Rc, time::Duration},
};

/// Of 100 backend servers, the number that are plain servers, and that are prefill engines; the others are decode
/// engines.
const PLAIN_SERVERS: usize = 4;
const PREFILL_ENGINES: usize = 33;

/// Of 20 hosts of a zone, the number that have a fast link.
const STRONG_HOSTS: usize = 1;

/// Links of hosts in Mbit/s.
const STRONG_LINK: u32 = 1_000;
const WEAK_LINK: u32 = 20;

/// The time in the model's fleet.
pub const MODEL_NOW: Duration = Duration::from_secs(60);

/// The size of a fleet.
#[derive(Debug, Clone, Copy)]
pub struct FleetSize {
    /// Hosts in all zones.
    pub hosts: usize,
    /// Availability zones.
    pub zones: usize,
    /// Backend servers in all zones.
    pub servers: usize,
    /// Client accounts.
    pub accounts: usize,
    /// Routes of the configuration.
    pub routes: usize,
}

impl FleetSize {
    /// A fleet with this many times the hosts, servers, accounts and routes in the same zones.
    pub fn scaled(self, factor: f64) -> Self {
        let scaled = |count: usize| (count as f64 * factor).ceil() as usize;
        Self {
            hosts: scaled(self.hosts).max(self.zones),
            zones: self.zones,
            servers: scaled(self.servers).max(self.zones),
            accounts: scaled(self.accounts),
            routes: scaled(self.routes),
        }
    }
}

/// A fleet of a given size.
#[derive(Debug)]
pub struct FleetModel {
    /// Its size.
    pub size: FleetSize,
    /// The hosts.
    pub hosts: Vec<HostEntry>,
    /// The backend servers.
    pub servers: Vec<BackendInfo>,
    /// The configuration.
    pub config: RelayConfig,
}

impl FleetModel {
    /// Draws the fleet of a seed.
    pub fn new(size: FleetSize, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let hosts = (0..size.hosts).map(|index| host(index, size.zones, &mut rng));
        let hosts = hosts.collect();
        let servers = (0..size.servers).map(|index| server(index, size.zones, &mut rng));
        Self {
            size,
            hosts,
            servers: servers.collect(),
            config: config(size),
        }
    }

    /// The first host, for which costs are measured.
    pub fn own(&self) -> &HostEntry {
        &self.hosts[0]
    }

    /// The store position of the lists.
    pub fn position(&self) -> StorePosition {
        StorePosition::new(1, 1)
    }

    /// The state of a host that has read all lists from the store.
    pub fn cluster(&self) -> ClusterState {
        let mut cluster = ClusterState::default();
        cluster.set_backends(self.servers.clone(), self.position(), MODEL_NOW);
        cluster.set_hosts(self.hosts.clone(), self.position(), MODEL_NOW);
        cluster
    }

    /// The registry of the first host, with its preferred engines.
    pub fn registry(&self) -> BackendRegistry {
        let mut registry = BackendRegistry::new(&self.own().name);
        registry.set_backends(self.servers.clone());
        let hosts = self.zone_hosts();
        let pools = registry.zone_engines(&self.own().zone, MODEL_NOW);
        let subsets = pools
            .iter()
            .map(|engines| subset_of(&self.own().name, &hosts, engines));
        let preferred = subsets.flatten().collect();
        registry.set_preferred(preferred);
        registry
    }

    /// The names of the hosts in the first host's zone.
    pub fn zone_hosts(&self) -> Vec<FastStr> {
        let zone = &self.own().zone;
        let near = self.hosts.iter().filter(|entry| entry.zone == *zone);
        near.map(|entry| entry.name.clone()).collect()
    }
}

fn zone(index: usize) -> FastStr {
    FastStr::from_string(format!("zone-{index}"))
}

fn address(index: usize) -> SocketAddr {
    let [_, high, middle, low] = (index as u32).to_be_bytes();
    SocketAddr::from(([10, high, middle, low], 8_000))
}

fn host(index: usize, zones: usize, rng: &mut StdRng) -> HostEntry {
    let is_strong = index / zones % 20 < STRONG_HOSTS;
    HostEntry {
        name: FastStr::from_string(format!("host-{:08x}", rng.random::<u32>())),
        zone: zone(index % zones),
        peers: address(index),
        link_mbps: if is_strong { STRONG_LINK } else { WEAK_LINK },
        carrier_port: 7_380,
        judged: Vec::new(),
        software: Vec::new(),
    }
}

fn server(index: usize, zones: usize, rng: &mut StdRng) -> BackendInfo {
    let kind = index / zones % 100;
    let (service, role) = match kind {
        _ if kind < PLAIN_SERVERS => ("plain", None),
        _ if kind < PLAIN_SERVERS + PREFILL_ENGINES => ("models", Some(EngineRole::Prefill)),
        _ => ("models", Some(EngineRole::Decode)),
    };
    BackendInfo {
        id: FastStr::from_string(format!("{service}-{:08x}", rng.random::<u32>())),
        born: 1_760_000_000_000 + index as u64,
        service: FastStr::from_static_str(service),
        address: address(index),
        zone: zone(index % zones),
        leaving: false,
        slots: 12,
        role,
        orders_taken: 0,
        cold_left: Duration::ZERO,
        // A release that is under way.
        software: SoftwareVersion::of_name(FastStr::from_static_str(match index % 3 {
            0 => "v1.1",
            _ => "v1",
        })),
    }
}

fn config(size: FleetSize) -> RelayConfig {
    let account = |index: usize| ClientAccount {
        name: FastStr::from_string(format!("account-{index}")),
        keys: vec![KeyHash::of(format!("key-{index}").as_bytes())],
        priority: None,
        limit: Some(AccountLimit {
            unit: LimitUnit::Tokens { unnamed: 1_000 },
            rate: 5_000.0,
            burst: 20_000.0,
        }),
        allowed_regions: None,
    };
    RelayConfig {
        version: 1,
        routes: (0..size.routes).map(route).map(Rc::new).collect(),
        services: Vec::new(),
        limits: CallerLimits::default(),
        accounts: Some((0..size.accounts).map(account).collect()),
    }
}

fn route(index: usize) -> RelayRoute {
    RelayRoute {
        name: FastStr::from_string(format!("route-{index}")),
        host: FastStr::from_string(format!("tenant-{}.example", index % 100)),
        path_prefix: FastStr::from_string(format!("/{index}/")),
        kind: RequestKind::Repeatable,
        time_limit: Duration::from_secs(4),
        latency_target: Duration::from_millis(900),
        event_gap_target: None,
        attempts: 2,
        priority: 1,
        shares: Vec::new(),
        is_public: false,
        allowed_regions: None,
    }
}

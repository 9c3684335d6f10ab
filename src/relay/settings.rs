//! Settings of a host that relays requests.

use {
    super::policy::budget::RetryBudget,
    crate::{
        account::{KeyRules, LimitTolerance},
        web::{BudgetLimits, PoolSettings, StreamOpener},
    },
    faststr::FastStr,
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
};

/// The settings that a relaying host is started with.
#[derive(Debug, Clone)]
pub struct RelaySettings {
    /// The host's name.
    pub name: FastStr,
    /// The host's availability zone.
    pub zone: FastStr,
    /// The address that callers connect to.
    pub callers: SocketAddr,
    /// The address of the load balancer's readiness check.
    pub checks: SocketAddr,
    /// Path of the readiness check.
    pub ready_path: FastStr,
    /// An additional address for metrics, with a port known to the operators' collectors. If the port is taken the host
    /// runs without it.
    pub metrics: Option<SocketAddr>,
    /// The address that other hosts connect to.
    pub peers: SocketAddr,
    /// The address on which other hosts ask this one to carry connections to backend servers; none if it carries none.
    pub carriers: Option<SocketAddr>,
    /// Addresses of some other hosts to contact at the start; any of them may be gone.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole fleet starts for the first time, so that the store has no host entries yet.
    pub first_start: bool,
    /// The host's capacity to serve other hosts: its link bandwidth in Mbit/s, 0 if unknown.
    pub link_mbps: u32,
    /// The region of each availability zone; empty if regions are not configured.
    pub regions: BTreeMap<FastStr, FastStr>,
    /// The store's address.
    pub store: SocketAddr,
    /// Opens connections to other hosts.
    pub opener: StreamOpener,
    /// Maximum number of concurrent requests.
    pub requests_limit: u64,
    /// What all callers may take together.
    pub caller_limits: BudgetLimits,
    /// Maximum size of an event in a response, in bytes: what a host buffers of a stream.
    pub max_event_bytes: usize,
    /// The pool of connections to backend servers.
    pub pool: PoolSettings,
    /// Bounds set by the operators.
    pub bounds: RelayBounds,
}

/// Default of [`RelaySettings::max_event_bytes`]. An event has some hundred bytes, with alternatives for each token some
/// kilobytes; a hundred streams that exceed it take 6.5 MB at once.
pub const MAX_EVENT_BYTES: usize = 64 << 10;

impl RelaySettings {
    /// The port of `carriers`; 0 if there is none.
    pub fn carrier_port(&self) -> u16 {
        self.carriers.map_or(0, |address| address.port())
    }
}

/// Bounds on the behaviour of hosts, set by the operators.
#[derive(Debug, Clone)]
pub struct RelayBounds {
    /// Number of retries allowed to all hosts together: sends of a request after its first.
    pub retries: RetryBudget,
    /// Maximum time until a change of the configuration or of the servers is in force.
    pub change_time: Duration,
    /// Interval at which backend servers renew their entries in the store.
    pub heartbeat: Duration,
    /// Minimum time between the orders of two holders of the lease.
    pub lease_time: Duration,
    /// Time from the request to stop until the process is killed.
    pub stop_grace: Duration,
    /// Whether engines refuse orders with an older fencing token.
    pub engines_check_tokens: bool,
    /// How soon added and revoked keys have to be known.
    pub keys: KeyRules,
    /// How far the limits of client accounts may be exceeded.
    pub limits: LimitTolerance,
    /// Maximum time from an operator's evacuation of a zone until its servers get no more requests; none if zones are
    /// never evacuated, so that evacuations are not read.
    pub evacuation_time: Option<Duration>,
}

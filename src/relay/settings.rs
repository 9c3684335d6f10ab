//! Settings of a host that passes requests through.

use {
    super::policy::budget::RetryBudget,
    crate::{
        account::{KeyRules, LimitTolerance},
        web::PoolSettings,
    },
    faststr::FastStr,
    std::{net::SocketAddr, time::Duration},
};

/// What a relaying host is told at its start.
#[derive(Debug, Clone)]
pub struct RelaySettings {
    /// The host's name.
    pub name: FastStr,
    /// Its availability zone.
    pub zone: FastStr,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the balancer asks whether the host is ready.
    pub checks: SocketAddr,
    /// Path of that question.
    pub ready_path: FastStr,
    /// Where the metrics are served besides, at a port that operators' collectors know; the host goes on
    /// without it where the port is taken.
    pub metrics: Option<SocketAddr>,
    /// Where other hosts connect.
    pub peers: SocketAddr,
    /// Where some other hosts may be found at the start; any may be gone.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole fleet starts for the first time, so that no host is entered in the store yet.
    pub first_start: bool,
    /// How much the host can do for others, in Mbit/s of its link; 0 where that is not known.
    pub strength: u32,
    /// Where the store is.
    pub store: SocketAddr,
    /// Requests that are held at once at most.
    pub requests_limit: u64,
    /// Connections to backend servers.
    pub pool: PoolSettings,
    /// What operators bind the hosts to.
    pub bounds: RelayBounds,
}

/// What operators bind the hosts to.
#[derive(Debug, Clone)]
pub struct RelayBounds {
    /// Sends beyond the first of each request, by all hosts together.
    pub retries: RetryBudget,
    /// Time within which a change of the configuration or of the servers has to be in force.
    pub change_time: Duration,
    /// How often backend servers renew their entries in the store.
    pub heartbeat: Duration,
    /// Least time between the orders of two holders of the lease.
    pub lease_time: Duration,
    /// From the request to stop to the kill.
    pub stop_grace: Duration,
    /// Engines refuse orders with an older token.
    pub engines_check_tokens: bool,
    /// By when keys that were taken away, or added, have to be known.
    pub keys: KeyRules,
    /// What may go beyond the limits of client accounts.
    pub limits: LimitTolerance,
}

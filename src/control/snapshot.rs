//! What control publishes to traffic: immutable, replaced as a whole.

use {
    crate::{object::ObjectSet, route::ServerInfo},
    faststr::FastStr,
    std::{net::SocketAddr, sync::Arc},
};

/// Another entry host, as traffic needs it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerAddress {
    /// Its name.
    pub name: FastStr,
    /// Its availability zone.
    pub zone: FastStr,
    /// Where callers reach it.
    pub callers: SocketAddr,
    /// It was heard of lately.
    pub is_live: bool,
}

/// What control publishes to traffic.
#[derive(Debug, Clone)]
pub struct ControlSnapshot {
    /// Generation of the accepted configuration; 0 before there is one.
    pub generation: u64,
    /// The operators' objects in force.
    pub objects: Arc<ObjectSet>,
    /// The servers of plain services.
    pub servers: Arc<[ServerInfo]>,
    /// The other entry hosts.
    pub peers: Arc<[PeerAddress]>,
    /// This host's share of the tenants' limits.
    pub limit_share: f64,
}

impl Default for ControlSnapshot {
    fn default() -> Self {
        Self {
            generation: 0,
            objects: Arc::default(),
            servers: Arc::new([]),
            peers: Arc::new([]),
            limit_share: 1.0,
        }
    }
}

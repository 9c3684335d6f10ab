//! Backend servers as the store lists them.

use {
    crate::engine::EngineRole,
    faststr::FastStr,
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// One run of a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendInfo {
    /// Id of this run; another run, also at the same address, has another.
    pub id: FastStr,
    /// The service that it belongs to.
    pub service: FastStr,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: FastStr,
    /// It takes no new work.
    pub leaving: bool,
    /// Requests that it works on at once.
    pub slots: u32,
    /// What it does, if it is an engine.
    pub role: Option<EngineRole>,
    /// Orders that it has taken; an order may name the count it expects.
    pub orders_taken: u64,
}

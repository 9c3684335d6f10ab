//! Backend servers as the store lists them.

use {
    super::policy::{availability::ServerRun, loads::EngineKey},
    crate::engine::EngineRole,
    faststr::FastStr,
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// One run of a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendInfo {
    /// Its id. A run that begins later may have the same one, also at the same address.
    pub id: FastStr,
    /// When this run began, Unix milliseconds; 0 where that is not known. Of two runs with one id the later has the
    /// larger.
    #[serde(default)]
    pub born: u64,
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

impl BackendInfo {
    /// The run, told from all others.
    pub fn run(&self) -> ServerRun {
        ServerRun {
            id: self.id.clone(),
            born: self.born,
            address: self.address,
        }
    }

    /// The run as hosts name it to each other.
    pub fn key(&self) -> EngineKey {
        EngineKey::of_run(&self.id, self.born)
    }
}

//! Backend servers as listed in the store.

use {
    super::{
        policy::{availability::ServerRun, loads::EngineKey},
        software_version::{ServerSoftware, SoftwareVersion},
    },
    crate::engine::EngineRole,
    faststr::FastStr,
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, time::Duration},
};

/// One run of a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendInfo {
    /// The server's id. A later run may have the same id, even at the same address.
    pub id: FastStr,
    /// When this run began, Unix milliseconds; 0 if unknown. Of two runs with the same id the later one has the larger
    /// value.
    #[serde(default)]
    pub born: u64,
    /// The service that the server belongs to.
    pub service: FastStr,
    /// The address that the server listens on.
    pub address: SocketAddr,
    /// The server's availability zone.
    pub zone: FastStr,
    /// Whether the server is leaving and accepts no new requests.
    pub leaving: bool,
    /// Number of requests that the server processes concurrently.
    pub slots: u32,
    /// The engine's role; none if the server is not an engine.
    pub role: Option<EngineRole>,
    /// Number of role orders that the engine has accepted; an order may be conditional on this count.
    pub orders_taken: u64,
    /// How much longer the server is cold, as of the last change of its entry; zero if it is not.
    #[serde(default, skip_serializing_if = "Duration::is_zero")]
    pub cold_left: Duration,
    /// The version of the software that this run serves with.
    #[serde(default, skip_serializing_if = "is_unknown")]
    pub software: SoftwareVersion,
}

fn is_unknown(software: &SoftwareVersion) -> bool {
    !software.is_known()
}

impl BackendInfo {
    /// The identity of the run, distinct from that of any other.
    pub fn run(&self) -> ServerRun {
        ServerRun {
            id: self.id.clone(),
            born: self.born,
            address: self.address,
        }
    }

    /// The service and the version of its software that this run serves with.
    pub fn server_software(&self) -> ServerSoftware {
        ServerSoftware {
            service: self.service.clone(),
            software: self.software.clone(),
        }
    }

    /// Whether two entries differ at most in how much longer the server is cold.
    pub fn is_equal_but_for_coldness(&self, other: &Self) -> bool {
        let same = Self {
            cold_left: self.cold_left,
            ..other.clone()
        };
        same == *self
    }

    /// The identity of the run in messages between hosts.
    pub fn key(&self) -> EngineKey {
        EngineKey::of_run(&self.id, self.born)
    }
}

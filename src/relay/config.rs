//! What operators configure for requests that are passed through: routes, services, limits.

use {
    crate::account::ClientAccount,
    faststr::FastStr,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// One version of the configuration, whole.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RelayConfig {
    /// Its version; only grows.
    pub version: u64,
    /// Which requests go where.
    pub routes: Vec<RelayRoute>,
    /// The services that routes lead to.
    pub services: Vec<RelayService>,
    /// What callers may send.
    pub limits: CallerLimits,
    /// The client accounts; none where requests need no key. Where there is a list, a request on a route that is
    /// not public needs a key of one of them, also where the list is empty.
    #[serde(default)]
    pub accounts: Option<Vec<ClientAccount>>,
}

impl RelayConfig {
    /// A service by its name.
    pub fn service(&self, name: &str) -> Option<&RelayService> {
        self.services.iter().find(|service| service.name == name)
    }
}

/// Which requests go to which services, and within what bounds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RelayRoute {
    /// Its name, for logs and metrics.
    pub name: FastStr,
    /// The `Host` that requests name, in lower case and without a port.
    pub host: FastStr,
    /// What their paths begin with; ends with a slash.
    pub path_prefix: FastStr,
    /// Whether they may run more than once, and how they are answered.
    pub kind: RequestKind,
    /// Longest time that a request may be held.
    pub time_limit: Duration,
    /// Time within which an answer, or its first event, is in time.
    pub latency_target: Duration,
    /// Longest pause between two events of a stream that is in time.
    pub event_gap_target: Option<Duration>,
    /// Backend servers that one request may be sent to at most.
    pub attempts: u32,
    /// 0 is the most urgent.
    pub priority: u8,
    /// The services, with their shares of the requests.
    pub shares: Vec<ServiceShare>,
    /// Its requests need no key.
    #[serde(default)]
    pub is_public: bool,
}

/// How a request may be run and how it is answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestKind {
    /// May run more than once.
    Repeatable,
    /// Runs at most once.
    Once,
    /// Answered by a stream of events; runs at most once.
    Stream,
    /// Answered by a stream of events that another backend server may continue.
    ResumableStream,
}

impl RequestKind {
    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }

    /// Whether a request that may have run may be sent again as it is.
    pub fn is_repeatable(self) -> bool {
        self == Self::Repeatable
    }
}

/// A service's share of a route's requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceShare {
    /// The service.
    pub service: FastStr,
    /// Its weight against the other shares.
    pub weight: u32,
}

/// A service behind routes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RelayService {
    /// Its name.
    pub name: FastStr,
    /// Connections that one of its backend servers accepts from all hosts together, if that is known.
    pub connection_limit: Option<u32>,
    /// Set where its backend servers are model engines.
    pub engine: Option<EngineLimits>,
}

/// What all engines of a service have in common.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineLimits {
    /// Requests that an engine runs at once.
    pub slots: u32,
    /// Tokens that its memory holds.
    pub memory_tokens: u64,
    /// How long a prefill's KV cache is kept for a decode engine.
    pub cache_life: Duration,
    /// How long an engine takes to change its role, once idle.
    pub switch_time: Duration,
    /// Longest time for which memory can be reserved ahead.
    pub hold_limit: Duration,
}

/// What callers may send and how long they may take.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Bytes of a request's headers.
    pub header_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Time for the headers to arrive.
    pub header_time: Duration,
    /// Time for which a connection may be idle.
    pub idle_time: Duration,
}

impl Default for CallerLimits {
    // In force only until the first configuration arrives.
    fn default() -> Self {
        Self {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            header_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}

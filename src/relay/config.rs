//! The operators' configuration for relayed requests: routes, services, limits.

use {
    super::policy::server_limit::ServerLimit,
    crate::account::ClientAccount,
    faststr::FastStr,
    serde::{Deserialize, Serialize},
    std::{rc::Rc, time::Duration},
};

/// One complete version of the configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RelayConfig {
    /// The version, which only increases.
    pub version: u64,
    /// The routes, which map requests to services.
    pub routes: Vec<Rc<RelayRoute>>,
    /// The services that routes lead to.
    pub services: Vec<RelayService>,
    /// Limits on callers' requests and connections.
    pub limits: CallerLimits,
    /// The client accounts; none if requests need no key. If there is a list, even an empty one, a request on a route
    /// that is not public needs a key of one of these accounts.
    #[serde(default)]
    pub accounts: Option<Vec<ClientAccount>>,
}

impl RelayConfig {
    /// Finds a service by name.
    pub fn service(&self, name: &str) -> Option<&RelayService> {
        self.services.iter().find(|service| service.name == name)
    }
}

/// Maps requests to services, and sets their time limits, attempts and priority.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RelayRoute {
    /// The route's name, for logs and metrics.
    pub name: FastStr,
    /// The `Host` header of matching requests, in lower case and without a port.
    pub host: FastStr,
    /// The path prefix of matching requests; ends with a slash.
    pub path_prefix: FastStr,
    /// Whether requests may run more than once, and how they are answered.
    pub kind: RequestKind,
    /// Maximum total time for a request.
    pub time_limit: Duration,
    /// Latency target for the response, or for the first event of a stream.
    pub latency_target: Duration,
    /// Target for the longest pause between two events of a stream.
    pub event_gap_target: Option<Duration>,
    /// Maximum number of backend servers that a request may be sent to.
    pub attempts: u32,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// The target services with their shares of the requests.
    pub shares: Vec<ServiceShare>,
    /// Whether requests need no key.
    #[serde(default)]
    pub is_public: bool,
    /// The regions whose servers may run the route's requests and store their data; none if all may.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub allowed_regions: Option<Vec<FastStr>>,
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
    /// Answered by a stream of events that another backend server can resume.
    ResumableStream,
}

impl RequestKind {
    /// Whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }

    /// Whether a request that may already have run can be sent again: a client that resumes a stream does that as well.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Repeatable | Self::ResumableStream)
    }
}

/// A service's share of a route's requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceShare {
    /// The service.
    pub service: FastStr,
    /// The weight relative to the other shares.
    pub weight: u32,
}

/// A service that routes lead to.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RelayService {
    /// The service's name.
    pub name: FastStr,
    /// Maximum number of connections that each of its backend servers accepts from all hosts together, if known.
    pub connection_limit: Option<u32>,
    /// Properties of its engines; none if its backend servers are not model engines.
    pub engine: Option<EngineLimits>,
    /// Requests a second that a cold server accepts from all hosts together; none if its servers are never cold.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cold_rate: Option<ServerLimit>,
}

/// Properties shared by all engines of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineLimits {
    /// Number of requests that an engine runs concurrently.
    pub slots: u32,
    /// Memory capacity of an engine, in tokens.
    pub memory_tokens: u64,
    /// How long a prefill engine keeps a KV cache for a decode engine.
    pub cache_life: Duration,
    /// How long an idle engine takes to change its role.
    pub switch_time: Duration,
    /// Maximum time for which memory can be reserved in advance.
    pub hold_limit: Duration,
}

/// Limits on the size of callers' requests and on the time to send them.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Maximum size of a request's headers, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: usize,
    /// Maximum time for the headers to arrive.
    pub header_time: Duration,
    /// Maximum time for which a connection may be idle.
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

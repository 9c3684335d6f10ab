//! Routing policies and their tuning parameters.

use std::{fmt, str::FromStr, time::Duration};

/// How engines are chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RoutePolicy {
    /// A random engine of the pool.
    Random,
    /// The pool's engines in turn.
    RoundRobin,
    /// The engine whose last report shows the least load.
    LeastLoaded,
    /// The load in the last report plus the requests that this host has sent since.
    Thin,
    /// Prefill and decode engines are chosen together; requests queue at the host and are refused early.
    Joint,
}

impl RoutePolicy {
    /// All policies, baselines first.
    pub const ALL: [RoutePolicy; 5] = [
        Self::Random,
        Self::RoundRobin,
        Self::LeastLoaded,
        Self::Thin,
        Self::Joint,
    ];

    /// Name of the policy in settings and tables.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Random => "random",
            Self::RoundRobin => "round-robin",
            Self::LeastLoaded => "least-loaded",
            Self::Thin => "thin",
            Self::Joint => "joint",
        }
    }

    /// Whether requests queue at the host until engines have capacity, and are refused early.
    pub fn queues_requests(self) -> bool {
        self == Self::Joint
    }
}

impl fmt::Display for RoutePolicy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for RoutePolicy {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let known = Self::ALL.iter().find(|policy| policy.as_str() == text);
        known.copied().ok_or_else(|| {
            let names: Vec<&str> = Self::ALL.iter().map(|policy| policy.as_str()).collect();
            format!(
                "unknown policy {text:?}; expected one of {}",
                names.join(", ")
            )
        })
    }
}

/// Tuning parameters of routing decisions.
#[derive(Debug, Clone)]
pub struct RouteTuning {
    /// How engines are chosen.
    pub policy: RoutePolicy,
    /// Target time to first token.
    pub first_token: Duration,
    /// Target time between tokens.
    pub between_tokens: Duration,
    /// Part of the first-token target kept as a margin for prediction errors.
    pub margin: Duration,
    /// Backlog of a prefill engine above which requests wait at the host instead.
    pub prefill_backlog: Duration,
    /// Prefill rate in tokens per second, assumed until it has been measured.
    pub prefill_rate: f64,
    /// KV cache size in bytes per token, assumed until it has been measured.
    pub kv_bytes_per_token: f64,
    /// Bandwidth of an engine's link, in bytes per second.
    pub link_rate: f64,
    /// Fraction of the decode slots left free for requests that other hosts send meanwhile.
    pub decode_reserve: f64,
    /// How long an engine stays ejected after failures.
    pub eject_time: Duration,
    /// Fraction of the engines that may be ejected at once.
    pub eject_share: f64,
    /// An engine slower than the median of its pool by this factor is an outlier.
    pub outlier_factor: f64,
    /// Number of prompt blocks remembered per engine.
    pub prefix_blocks: usize,
}

impl Default for RouteTuning {
    fn default() -> Self {
        Self {
            policy: RoutePolicy::Joint,
            first_token: Duration::from_millis(1_400),
            between_tokens: Duration::from_millis(56),
            margin: Duration::from_millis(150),
            prefill_backlog: Duration::from_millis(60),
            prefill_rate: 20_000.0,
            kv_bytes_per_token: 150_000.0,
            link_rate: 12.5e9,
            decode_reserve: 0.05,
            eject_time: Duration::from_secs(3),
            eject_share: 0.5,
            outlier_factor: 1.6,
            prefix_blocks: 4_096,
        }
    }
}

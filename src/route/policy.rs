//! The policies that can be chosen, and what they are tuned by.

use std::{fmt, str::FromStr, time::Duration};

/// How engines are chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RoutePolicy {
    /// Any engine of the pool.
    Random,
    /// The pool's engines in turn.
    RoundRobin,
    /// The engine whose last report shows the least load.
    LeastLoaded,
    /// This project's first version: the report and what this host sent since.
    Thin,
    /// Prefill and decode chosen together, queueing here, refusing early.
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

    /// The policy's name in settings and tables.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Random => "random",
            Self::RoundRobin => "round-robin",
            Self::LeastLoaded => "least-loaded",
            Self::Thin => "thin",
            Self::Joint => "joint",
        }
    }

    /// Whether requests wait at the host until engines have room, and are refused early.
    pub fn queues_here(self) -> bool {
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

/// Numbers that the decisions use.
#[derive(Debug, Clone)]
pub struct RouteTuning {
    /// How engines are chosen.
    pub policy: RoutePolicy,
    /// First-token target.
    pub first_token: Duration,
    /// Between-token target.
    pub between_tokens: Duration,
    /// Part of the first-token target that predictions leave unused.
    pub margin: Duration,
    /// Work that a prefill engine may have waiting before requests wait here instead.
    pub prefill_backlog: Duration,
    /// Prompt tokens a second that an engine computes, before it has been observed.
    pub prefill_rate: f64,
    /// Bytes of KV cache a token, before it has been observed.
    pub kv_bytes_per_token: f64,
    /// Bytes a second of an engine's link.
    pub link_rate: f64,
    /// Share of the decode slots left free for what the other hosts send meanwhile.
    pub decode_reserve: f64,
    /// How long an engine stays out after it failed.
    pub eject_time: Duration,
    /// Share of a pool that may be out at once.
    pub eject_share: f64,
    /// An engine this many times slower than its pool's median is an outlier.
    pub outlier_factor: f64,
    /// Blocks of prompts remembered for each engine.
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

//! A model request, the answer sent to its caller, and its statistics.

use {
    super::{
        replay::ReplayLog,
        step::{EngineAttempt, RequestEnd},
    },
    crate::{object, relay::RequestDigest},
    faststr::FastStr,
    std::{sync::Arc, time::Duration},
};

/// A model request to be run.
#[derive(Debug, Clone)]
pub struct ModelRequest {
    /// Request id used in logs.
    pub id: FastStr,
    /// Name of the model.
    pub model: FastStr,
    /// The complete prompt.
    pub prompt: FastStr,
    /// Hashes of the prompt's blocks, for matching cached prefixes.
    pub blocks: Arc<[u64]>,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// The tenant that the request belongs to.
    pub tenant: FastStr,
    /// Priority; larger values are more urgent.
    pub priority: u8,
    /// Label selectors of the prefill pools.
    pub prefills: Arc<[object::LabelSelector]>,
    /// Label selectors of the decode pools.
    pub decodes: Arc<[object::LabelSelector]>,
    /// Time limit from arrival to completion.
    pub time_limit: Duration,
    /// How long the answer may have no reader before the request is cancelled.
    pub grace: Duration,
    /// Digest that identifies repeats of the same request, independent of the request id.
    pub digest: RequestDigest,
    /// An attempt started by another host that this host continues.
    pub adopted: Option<AdoptedAttempt>,
}

/// An attempt started by another host whose caller reconnected to this host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdoptedAttempt {
    /// The attempt.
    pub target: EngineAttempt,
    /// Number of tokens that the caller already has.
    pub caller_token_count: usize,
}

/// One item of the answer sent to a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AnswerItem {
    /// The next token.
    Token {
        /// Index in the answer, starting at 0.
        position: u32,
        /// Text of the token.
        text: FastStr,
        /// The attempt that generated it, used for the event id.
        origin: Arc<EngineAttempt>,
    },
    /// The end of the answer.
    End(RequestEnd),
}

/// The answer of a request so far, for any number of readers.
pub type AnswerLog = ReplayLog<AnswerItem>;

/// Timing and token statistics of a request.
#[derive(Debug, Clone, Default)]
pub struct RequestStats {
    /// Time from arrival to the first token.
    pub first_token: Option<Duration>,
    /// Times between consecutive tokens.
    pub gaps: Vec<Duration>,
    /// Time from arrival to the end of the request.
    pub whole: Duration,
    /// Prompt tokens computed by prefill engines.
    pub computed_tokens: u64,
    /// Computed tokens whose KV cache was never imported by a decode engine.
    pub wasted_tokens: u64,
    /// Number of prefills started, without those that engines refused.
    pub prefills: u32,
    /// Whether the connection to an engine broke during a prefill.
    pub prefill_broke: bool,
}

/// Share of the gaps between tokens that must meet the target.
const GAP_PERCENTILE: f64 = 0.95;

impl RequestStats {
    /// Returns the 95th percentile of the gaps between tokens; zero for fewer than two tokens.
    pub fn gap_p95(&self) -> Duration {
        let mut gaps = self.gaps.clone();
        gaps.sort_unstable();
        let rank = (gaps.len() as f64 * GAP_PERCENTILE).ceil() as usize;
        match rank.checked_sub(1) {
            Some(index) => gaps[index],
            None => Duration::ZERO,
        }
    }

    /// Returns whether the request met both latency targets.
    pub fn meets(&self, first_token: Duration, between_tokens: Duration) -> bool {
        let first = self.first_token.is_some_and(|time| time <= first_token);
        first && self.gap_p95() <= between_tokens
    }
}

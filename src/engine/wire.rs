//! The messages exchanged with model engines, as JSON over HTTP.
//!
//! `docs/interface.md` describes the paths that carry them.

use {
    faststr::FastStr,
    serde::{Deserialize, Serialize},
};

/// Bytes of text that count as one token when only the text is known.
pub const BYTES_PER_TOKEN: usize = 4;

/// The part that an engine plays for a model.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum EngineRole {
    /// Computes the KV cache of a prompt.
    Prefill,
    /// Imports a KV cache and generates the answer.
    Decode,
}

/// What an engine says of its load; it lags behind the truth.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The role the engine has now.
    pub role: EngineRole,
    /// Models that are loaded.
    pub models: Vec<FastStr>,
    /// Requests that a decode engine's memory holds at most.
    pub slots_total: u32,
    /// Requests that it holds now.
    pub slots_used: u32,
    /// Prompt tokens queued or being computed.
    pub queued_tokens: u64,
    /// Attempts queued, computing or decoding.
    pub attempts: u32,
    /// The engine asks for no new work.
    pub leaving: bool,
}

/// The order to compute the KV cache of a prompt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefillOrder {
    /// The attempt, unique over all hosts and time.
    pub attempt: FastStr,
    /// The model to use.
    pub model: FastStr,
    /// The whole prompt.
    pub prompt: FastStr,
    /// Tokens of the answer that the caller already has, in order.
    #[serde(default)]
    pub delivered: Vec<FastStr>,
    /// Larger is more urgent.
    pub priority: u8,
    /// Whom the attempt is for; given back when the attempt is resumed.
    pub tenant: FastStr,
}

/// The answer to a [`PrefillOrder`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PrefillReply {
    /// Names the KV cache at this engine, for under a second.
    pub handle: FastStr,
    /// Prompt tokens that were computed.
    pub computed_tokens: u64,
    /// Prompt tokens that were found in the prefix cache.
    pub cached_tokens: u64,
    /// Time that computing took, without queueing, milliseconds.
    pub compute_ms: f64,
    /// Size of the KV cache, bytes.
    pub kv_bytes: u64,
    /// The engine's load after this attempt.
    pub load: LoadReport,
}

/// The order to import a KV cache and generate from it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DecodeOrder {
    /// The attempt, unique over all hosts and time.
    pub attempt: FastStr,
    /// The model to use.
    pub model: FastStr,
    /// Name of the KV cache at the prefill engine.
    pub handle: FastStr,
    /// Address of the prefill engine.
    pub source: FastStr,
    /// Tokens to generate at most, those already delivered included.
    pub max_tokens: u32,
    /// Larger is more urgent.
    pub priority: u8,
    /// Whom the attempt is for; given back when the attempt is resumed.
    pub tenant: FastStr,
}

/// One thing a decode engine says on an attempt's stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "lowercase")]
pub enum StreamItem {
    /// The KV cache is here; the prefill engine may forget it.
    Imported {
        /// The engine's load, if it says so.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        load: Option<LoadReport>,
    },
    /// One token of the answer.
    Token {
        /// Place in the answer, from 0.
        position: u32,
        /// The token's text.
        text: FastStr,
    },
    /// The answer is whole.
    Finished {
        /// Tokens in the whole answer.
        tokens: u32,
        /// Why generation ended, as callers know it: `stop` or `length`.
        reason: FastStr,
        /// The engine's load, if it says so.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        load: Option<LoadReport>,
    },
    /// The attempt ended without a whole answer.
    Aborted {
        /// Why, for people.
        reason: FastStr,
    },
}

/// Why an engine did not take an order; it did not run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineRefusal {
    /// What stood against it.
    pub cause: RefusalCause,
    /// The engine's load, if it said so.
    #[serde(default)]
    pub load: Option<LoadReport>,
}

/// What stood against an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalCause {
    /// No memory or queue place is free.
    Full,
    /// The engine takes no new work.
    Leaving,
    /// The attempt was cancelled before it started.
    Cancelled,
    /// The KV cache is no longer at the prefill engine.
    Expired,
    /// The engine has another role, or not the model.
    WrongEngine,
    /// The order's token is older than one already seen.
    Fenced,
    /// The order could not be understood.
    Invalid,
}

/// Asks an engine to cancel what an ended host left behind.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SweepOrder {
    /// Attempts of this host incarnation only.
    pub incarnation: FastStr,
    /// Only attempts that nobody has read for this long, milliseconds.
    pub idle_ms: u64,
}

/// The answer to a [`SweepOrder`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SweepReply {
    /// Attempts that were cancelled.
    pub cancelled: u32,
    /// Attempts that are left: somebody read them lately.
    pub left: u32,
}

/// A fenced order to change what an engine is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FencedOrder {
    /// Version of the lease under which the order is given.
    pub token: u64,
    /// The role to take.
    pub role: EngineRole,
    /// The models to have loaded.
    pub models: Vec<FastStr>,
}

/// Tokens in a text, estimated from its length; at least 1.
pub fn estimate_tokens(text: &str) -> u64 {
    text.len().div_ceil(BYTES_PER_TOKEN).max(1) as u64
}

/// Header in which an engine names the tenant of a resumed attempt.
pub const TENANT_HEADER: &str = "engine-tenant";

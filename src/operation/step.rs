//! What happens in the life of a model request, and what is done about it.

use {
    super::verdict::Refusal,
    crate::engine::{CallFailure, PrefillReply, StreamItem},
    faststr::FastStr,
    std::time::Duration,
};

/// Limits on what one request may cost.
#[derive(Debug, Clone, Copy)]
pub struct LifeLimits {
    /// Prefills that engines took, at most.
    pub prefills: u32,
    /// Prefill orders that engines did not take, at most.
    pub refusals: u32,
    /// Decode orders sent at most for one KV cache.
    pub imports: u32,
    /// Reconnects to a decode engine whose stream broke.
    pub resumes: u32,
    /// How long a KV cache may be counted on after its prefill.
    pub kv_life: Duration,
}

impl Default for LifeLimits {
    fn default() -> Self {
        Self {
            prefills: 4,
            refusals: 100,
            imports: 5,
            resumes: 2,
            kv_life: Duration::from_millis(700),
        }
    }
}

/// An attempt at an engine.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct EngineAttempt {
    /// The engine's name.
    pub engine: FastStr,
    /// The attempt's name.
    pub attempt: FastStr,
}

/// What happened to a request.
#[derive(Debug, Clone)]
pub enum LifeEvent {
    /// Engines were chosen and the attempts named.
    Placed {
        /// Where to compute the prompt.
        prefill: EngineAttempt,
        /// Where to generate.
        decode: EngineAttempt,
    },
    /// Another decode engine was chosen for the same KV cache.
    DecodePlaced(EngineAttempt),
    /// No engine was found, or the request was dropped before it was handed over.
    PlaceRefused(Refusal),
    /// The KV cache is computed.
    PrefillDone(PrefillReply),
    /// The prefill gave nothing.
    PrefillFailed(CallFailure),
    /// The decode order was not taken, or its answer was lost.
    DecodeFailed(CallFailure),
    /// The import did not end in time.
    ImportStalled,
    /// The decode engine said something.
    Item(StreamItem),
    /// The decode engine's stream ended too early, or could not be read again.
    StreamBroken,
    /// The caller is gone or cancelled.
    CallerGone,
    /// Time ran out.
    DeadlinePassed,
}

/// What to do next; at most one action of a step waits for an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LifeAction {
    /// Choose engines; answered by `Placed` or `PlaceRefused`.
    Place {
        /// Work is being done again, which the retry budget has to allow.
        again: bool,
    },
    /// Choose another decode engine; answered by `DecodePlaced` or `PlaceRefused`.
    PlaceDecode,
    /// Start the prefill; answered by `PrefillDone` or `PrefillFailed`.
    Prefill(EngineAttempt),
    /// Start import and generation; answered by `Item`s, `DecodeFailed` or `ImportStalled`.
    Decode {
        /// The attempt to start.
        target: EngineAttempt,
        /// Engine that holds the KV cache.
        source: FastStr,
        /// The KV cache's name there.
        handle: FastStr,
    },
    /// Read the stream again; answered like `Decode`.
    Resume {
        /// The attempt to read.
        target: EngineAttempt,
        /// First token wanted.
        from: u32,
    },
    /// Do not choose this engine for this request again.
    Exclude(FastStr),
    /// End an attempt, until the engine acknowledges.
    Cancel(EngineAttempt),
    /// Give the caller the next token.
    Emit {
        /// Its place in the answer.
        position: u32,
        /// Its text.
        text: FastStr,
    },
    /// The request ended.
    End(LifeEnd),
}

/// How a request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LifeEnd {
    /// The caller has its whole answer.
    Answered {
        /// Tokens in the answer.
        tokens: u32,
        /// Why generation ended, as callers know it.
        reason: FastStr,
    },
    /// The caller is told why there is no whole answer.
    Refused(Refusal),
}

//! Inputs and outputs of the request state machine: events, actions and limits.

use {
    super::verdict::Refusal,
    crate::engine::{CallFailure, PrefillReply, StreamItem},
    faststr::FastStr,
    std::time::Duration,
};

/// Limits on the work done for one request.
#[derive(Debug, Clone, Copy)]
pub struct RequestLimits {
    /// Maximum number of prefills, without those that engines refused.
    pub prefills: u32,
    /// Maximum number of prefill orders that engines refused or that did not reach them.
    pub refusals: u32,
    /// Maximum number of decode orders for one KV cache, without those refused by a full engine.
    pub imports: u32,
    /// Maximum number of times the stream of one decode attempt is resumed.
    pub resumes: u32,
    /// How long after its prefill a KV cache is assumed to be available.
    pub kv_life: Duration,
}

impl Default for RequestLimits {
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

/// An attempt to run a prefill or decode at an engine.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct EngineAttempt {
    /// The engine's name.
    pub engine: FastStr,
    /// The attempt's name.
    pub attempt: FastStr,
}

/// Input to the request state machine.
#[derive(Debug, Clone)]
pub enum RequestEvent {
    /// Engines were chosen and the attempts named.
    Placed {
        /// The prefill attempt.
        prefill: EngineAttempt,
        /// The decode attempt.
        decode: EngineAttempt,
    },
    /// Another decode engine was chosen for the same KV cache.
    DecodePlaced(EngineAttempt),
    /// No engine was found, or the request was refused before it was sent to one.
    PlaceRefused(Refusal),
    /// The prefill succeeded and its KV cache is available.
    PrefillDone(PrefillReply),
    /// The prefill failed or was refused.
    PrefillFailed(CallFailure),
    /// The decode order was refused, or its answer was lost.
    DecodeFailed(CallFailure),
    /// The KV cache import did not finish in time.
    ImportStalled,
    /// The decode engine sent a stream item.
    Item(StreamItem),
    /// The decode engine's stream ended too early or could not be resumed.
    StreamBroken,
    /// The caller disconnected or cancelled the request.
    CallerGone,
    /// The request's time limit expired.
    DeadlinePassed,
}

/// Output of the request state machine; at most one action of a step is answered by a later event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestAction {
    /// Choose engines; answered by `Placed` or `PlaceRefused`.
    Place {
        /// Whether this repeats work, so that the retry budget must allow it.
        again: bool,
    },
    /// Choose another decode engine; answered by `DecodePlaced` or `PlaceRefused`.
    PlaceDecode,
    /// Start the prefill; answered by `PrefillDone` or `PrefillFailed`.
    Prefill(EngineAttempt),
    /// Start the import and generation; answered by `Item`s, `DecodeFailed` or `ImportStalled`.
    Decode {
        /// The decode attempt to start.
        target: EngineAttempt,
        /// The prefill engine that holds the KV cache.
        source: FastStr,
        /// Handle of the KV cache at `source`.
        handle: FastStr,
    },
    /// Resume the stream; answered like `Decode`.
    Resume {
        /// The decode attempt to resume.
        target: EngineAttempt,
        /// Index of the first token to send.
        from: u32,
    },
    /// Do not choose this engine for this request again.
    Exclude(FastStr),
    /// Cancel an attempt, repeating the order until the engine acknowledges it.
    Cancel(EngineAttempt),
    /// Send the next token to the caller.
    Emit {
        /// Index in the answer, starting at 0.
        position: u32,
        /// Text of the token.
        text: FastStr,
    },
    /// The request ended.
    End(RequestEnd),
}

/// How a request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestEnd {
    /// The answer is complete.
    Answered {
        /// Number of tokens in the answer.
        tokens: u32,
        /// Finish reason, as sent to the caller.
        reason: FastStr,
    },
    /// The request was refused or failed, and the caller receives the reason.
    Refused(Refusal),
}

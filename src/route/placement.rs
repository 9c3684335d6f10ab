//! Requests to the engine scheduler, and its answers.

use {
    crate::{object, operation::Refusal},
    faststr::FastStr,
    std::{sync::Arc, time::Duration},
};

/// Request for engines.
#[derive(Debug, Clone)]
pub struct PlacementRequest {
    /// Number of this request, unique within the scheduler.
    pub queue_id: u64,
    /// Id of the client request, for explanations.
    pub request: FastStr,
    /// Name of the model.
    pub model: FastStr,
    /// Selectors of the prefill pools.
    pub prefills: Arc<[object::LabelSelector]>,
    /// Selectors of the decode pools.
    pub decodes: Arc<[object::LabelSelector]>,
    /// Tokens of the prompt and of the output delivered so far.
    pub tokens: u64,
    /// Hashes of the prompt's blocks.
    pub blocks: Arc<[u64]>,
    /// Priority; larger is more urgent.
    pub priority: u8,
    /// Arrival time of the request.
    pub arrived: Duration,
    /// Whether tokens were delivered before, so that the first-token target does not apply.
    pub resumed: bool,
    /// Engines on which this request has failed.
    pub excluded: Vec<FastStr>,
    /// Engines that are needed.
    pub stage: PlacementStage,
}

/// Engines that a request needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacementStage {
    /// A prefill and a decode engine.
    PrefillAndDecode,
    /// A decode engine, by the given time at which the KV cache expires.
    DecodeOnly(Duration),
}

/// Answer to a [`PlacementRequest`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlacementAnswer {
    /// The chosen engines, which count the request's load from now on.
    Placed {
        /// Prefill engine, if one was needed.
        prefill: Option<FastStr>,
        /// Decode engine.
        decode: FastStr,
    },
    /// No engine will be available in time.
    Refused(Refusal),
}

/// Result of one placement attempt.
pub(super) enum PlacementAttempt {
    Placed(PlacementAnswer),
    // No engine has capacity now.
    Blocked,
    // The best engine would deliver the first token this much too late.
    Late(Duration),
}

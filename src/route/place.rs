//! What requests ask of the desk, and what it answers.

use {
    crate::{object, operation::Refusal},
    faststr::FastStr,
    std::{sync::Arc, time::Duration},
};

/// A request that wants engines.
#[derive(Debug, Clone)]
pub struct PlaceRequest {
    /// Number of this question, unique at the desk.
    pub ticket: u64,
    /// The request's id, for explanations.
    pub request: FastStr,
    /// Its model.
    pub model: FastStr,
    /// The prefill pools' selectors.
    pub prefills: Arc<[object::LabelSelector]>,
    /// The decode pools' selectors.
    pub decodes: Arc<[object::LabelSelector]>,
    /// Tokens of the prompt and of what was delivered.
    pub tokens: u64,
    /// The prompt's block hashes.
    pub blocks: Arc<[u64]>,
    /// Larger is more urgent.
    pub priority: u8,
    /// When the request arrived.
    pub arrived: Duration,
    /// Tokens were delivered before, so that the first-token target does not apply.
    pub resumed: bool,
    /// Engines that this request has tried in vain.
    pub excluded: Vec<FastStr>,
    /// What is wanted.
    pub stage: PlaceStage,
}

/// What a request wants from the desk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlaceStage {
    /// A prefill and a decode engine.
    Whole,
    /// A decode engine, while the KV cache lives until then.
    DecodeOnly(Duration),
}

/// The desk's answer to a [`PlaceRequest`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DeskAnswer {
    /// The engines; their load is counted from now.
    Placed {
        /// Prefill engine, if one was wanted.
        prefill: Option<FastStr>,
        /// Decode engine.
        decode: FastStr,
    },
    /// None, and none will come in time.
    Refused(Refusal),
}

/// What became of a try to place a request.
pub(super) enum Placement {
    Placed(DeskAnswer),
    // Engines are there and have no room now.
    Blocked,
    // Even the best engine would be this late.
    Late(Duration),
}

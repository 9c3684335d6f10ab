//! How the router calls an engine, whatever carries the calls.

use {
    super::wire,
    crate::operation::RunVerdict,
    faststr::FastStr,
    futures::{future::BoxFuture, stream::BoxStream},
    std::fmt,
};

/// Why a call to an engine gave no result.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallFailure {
    /// Whether the engine may have run it.
    pub verdict: RunVerdict,
    /// The engine's own refusal, where it answered.
    pub refusal: Option<wire::EngineRefusal>,
    /// What happened, for people.
    pub detail: String,
}

impl CallFailure {
    /// The engine answered that it did not take the order.
    pub fn refused(refusal: wire::EngineRefusal) -> Self {
        Self {
            verdict: RunVerdict::NotRun,
            detail: format!("refused: {:?}", refusal.cause),
            refusal: Some(refusal),
        }
    }

    /// No connection was made, so no byte was sent.
    pub fn unreachable(detail: impl fmt::Display) -> Self {
        Self {
            verdict: RunVerdict::NotRun,
            refusal: None,
            detail: format!("unreachable: {detail}"),
        }
    }

    /// Bytes were sent and no answer came.
    pub fn unanswered(detail: impl fmt::Display) -> Self {
        Self {
            verdict: RunVerdict::MayHaveRun,
            refusal: None,
            detail: format!("unanswered: {detail}"),
        }
    }

    /// Whether the engine got the call and its answer was lost.
    pub fn is_break(&self) -> bool {
        self.refusal.is_none() && self.verdict != RunVerdict::NotRun
    }

    /// The engine's own cause, where it gave one.
    pub fn cause(&self) -> Option<wire::RefusalCause> {
        self.refusal.as_ref().map(|refusal| refusal.cause)
    }
}

impl fmt::Display for CallFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({})", self.detail, self.verdict)
    }
}

/// The result of a call to an engine.
pub type CallResult<T> = Result<T, CallFailure>;

/// An attempt's stream; it ends after `Finished` or `Aborted`, or early when the engine is lost.
pub type ItemStream = BoxStream<'static, CallResult<wire::StreamItem>>;

/// Which stream to read again.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResumeOrder {
    /// The attempt.
    pub attempt: FastStr,
    /// First position wanted.
    pub from: u32,
    /// Whom it has to be for.
    pub tenant: FastStr,
}

type Call<A, R> = Box<dyn Fn(A) -> BoxFuture<'static, CallResult<R>> + Send + Sync>;

/// The calls that one engine answers: over HTTP in the daemon, in process in the bench.
pub struct EngineLink {
    /// Computes a prompt's KV cache.
    pub prefill: Call<wire::PrefillOrder, wire::PrefillReply>,
    /// Imports a KV cache and generates; the stream's items follow.
    pub decode: Call<wire::DecodeOrder, ItemStream>,
    /// Reads an attempt's stream again.
    pub resume: Call<ResumeOrder, ItemStream>,
    /// Ends an attempt; done when the engine has acknowledged.
    pub cancel: Call<FastStr, ()>,
}

impl fmt::Debug for EngineLink {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("EngineLink")
    }
}

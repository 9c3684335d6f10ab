//! Run verdicts, refusal codes and refusals.
//!
//! Every refusal tells the caller whether the request may have run.

use {
    serde::{Deserialize, Serialize},
    std::{fmt, time::Duration},
};

/// Whether a request may have taken effect at a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunVerdict {
    /// It had no effect: it was never sent to a backend server, or was refused there before it ran.
    NotRun,
    /// It was sent to a backend server and the result is unknown.
    MayHaveRun,
    /// It ran.
    Ran,
}

impl RunVerdict {
    /// All verdicts, by increasing certainty that the request ran.
    pub const ALL: [RunVerdict; 3] = [Self::NotRun, Self::MayHaveRun, Self::Ran];

    /// Returns the verdict as sent to callers.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
            Self::Ran => "ran",
        }
    }

    /// Returns whether the request may be sent again: it did not run, or repeating it is harmless. Asked with the
    /// verdict of all its sends, of which those with an open outcome may have run.
    pub fn allows_retry(self, repeatable: bool) -> bool {
        self == Self::NotRun || repeatable
    }
}

impl fmt::Display for RunVerdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Reason sent to the caller of a request that ends without its complete answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalCode {
    /// The request is malformed or invalid.
    InvalidRequest,
    /// The body or the headers exceed their size limit.
    TooLarge,
    /// The headers alone exceed their size limit.
    HeadersTooLarge,
    /// The caller's API key belongs to no tenant.
    UnknownCaller,
    /// No model with this name is served.
    UnknownModel,
    /// No route exists for this service or path.
    UnknownRoute,
    /// The path does not allow this method.
    WrongMethod,
    /// The caller took too long to send the request.
    SlowCaller,
    /// The tenant exceeds its limit.
    OverLimit,
    /// The host or its backend servers are overloaded, or the request would miss its latency target.
    Overloaded,
    /// Backend servers crash when they run the request.
    EndsServers,
    /// No backend server can take the request.
    NoBackend,
    /// No backend server of the software version that began the stream takes new requests.
    SoftwareGone,
    /// The software version that began the stream is not known.
    OriginUnknown,
    /// The host has not received a configuration yet.
    NotConfigured,
    /// The host is stopping and accepts no new requests.
    Stopping,
    /// A call that is not repeatable requires a ticket as its key.
    TicketRequired,
    /// The key was already used for a different request.
    KeyConflict,
    /// The record of this key is lost or never existed on this host.
    OperationLost,
    /// The backend server failed or its answer was lost.
    BackendLost,
    /// The time limit of the request expired.
    DeadlinePassed,
    /// The caller disconnected or cancelled the request.
    Cancelled,
}

impl RefusalCode {
    /// Returns the code as sent to callers.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::InvalidRequest => "invalid-request",
            Self::TooLarge => "too-large",
            Self::HeadersTooLarge => "headers-too-large",
            Self::UnknownCaller => "unknown-caller",
            Self::UnknownModel => "unknown-model",
            Self::UnknownRoute => "unknown-route",
            Self::WrongMethod => "wrong-method",
            Self::SlowCaller => "slow-caller",
            Self::OverLimit => "over-limit",
            Self::Overloaded => "overloaded",
            Self::EndsServers => "ends-servers",
            Self::NoBackend => "no-backend",
            Self::SoftwareGone => "software-gone",
            Self::OriginUnknown => "origin-unknown",
            Self::NotConfigured => "not-configured",
            Self::Stopping => "stopping",
            Self::TicketRequired => "ticket-required",
            Self::KeyConflict => "key-conflict",
            Self::OperationLost => "operation-lost",
            Self::BackendLost => "backend-lost",
            Self::DeadlinePassed => "deadline-passed",
            Self::Cancelled => "cancelled",
        }
    }

    /// Returns the HTTP status of this refusal.
    pub fn status(self) -> u16 {
        match self {
            Self::InvalidRequest => 400,
            Self::UnknownCaller => 401,
            Self::UnknownModel | Self::UnknownRoute => 404,
            Self::WrongMethod => 405,
            Self::SlowCaller => 408,
            Self::OperationLost => 410,
            Self::TooLarge => 413,
            Self::KeyConflict => 422,
            Self::TicketRequired => 428,
            Self::OverLimit => 429,
            Self::HeadersTooLarge => 431,
            Self::Cancelled => 499,
            Self::BackendLost => 502,
            Self::Overloaded
            | Self::EndsServers
            | Self::NoBackend
            | Self::SoftwareGone
            | Self::OriginUnknown
            | Self::NotConfigured
            | Self::Stopping => 503,
            Self::DeadlinePassed => 504,
        }
    }
}

/// The end of a request without its complete answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// Whether the request may have run.
    pub verdict: RunVerdict,
    /// Machine-readable reason.
    pub code: RefusalCode,
    /// Human-readable reason.
    pub message: String,
    /// When a retry may succeed.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal of a request that had no effect.
    pub fn not_run(code: RefusalCode, message: impl Into<String>) -> Self {
        Self::new(RunVerdict::NotRun, code, message)
    }

    /// Creates a refusal with the given verdict.
    pub fn new(verdict: RunVerdict, code: RefusalCode, message: impl Into<String>) -> Self {
        Self {
            verdict,
            code,
            message: message.into(),
            retry_after: None,
        }
    }

    /// Raises the verdict to at least this one.
    pub fn with_least(mut self, verdict: RunVerdict) -> Self {
        self.verdict = self.verdict.max(verdict);
        self
    }

    /// Sets the retry delay sent to the caller.
    pub fn after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} [{}]", self.message, self.verdict)
    }
}

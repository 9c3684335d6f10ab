//! Whether a request may have run, and how a refusal says so.

use {
    serde::{Deserialize, Serialize},
    std::{fmt, time::Duration},
};

/// Whether a request may have had its effect at a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunVerdict {
    /// It had no effect: nothing that could run it was sent.
    NotRun,
    /// It was handed over and nobody can say what became of it.
    MayHaveRun,
    /// It ran.
    Ran,
}

impl RunVerdict {
    /// All verdicts, in order of certainty that it ran.
    pub const ALL: [RunVerdict; 3] = [Self::NotRun, Self::MayHaveRun, Self::Ran];

    /// The verdict as callers read it.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
            Self::Ran => "ran",
        }
    }

    /// Whether the same work may be sent again: it never ran, or running it twice does no harm.
    pub fn allows_retry(self, repeatable: bool) -> bool {
        self == Self::NotRun || repeatable
    }
}

impl fmt::Display for RunVerdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Why a request ends without its answer, as its caller is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalCode {
    /// The request itself is wrong.
    InvalidRequest,
    /// The body or the headers are larger than allowed.
    TooLarge,
    /// The headers alone are larger than allowed.
    HeadersTooLarge,
    /// The caller's key names no tenant.
    UnknownCaller,
    /// No model of that name is served.
    UnknownModel,
    /// No service or path of that name is routed.
    UnknownRoute,
    /// The path does not take this method.
    WrongMethod,
    /// The caller took too long to send its request.
    SlowCaller,
    /// The tenant is over its limit.
    OverLimit,
    /// The request would miss its target.
    Overloaded,
    /// Backend servers end under it.
    EndsServers,
    /// No backend server can take it.
    NoBackend,
    /// The host has no configuration yet.
    NotConfigured,
    /// The host takes no new work.
    Stopping,
    /// A call that may not be repeated needs a ticket as its key.
    TicketRequired,
    /// The key was used with another request.
    KeyConflict,
    /// The record of this key is lost, or was never here.
    OperationLost,
    /// The backend server was lost, or its answer was.
    BackendLost,
    /// Time ran out.
    DeadlinePassed,
    /// The caller cancelled.
    Cancelled,
}

impl RefusalCode {
    /// The code as callers read it.
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

    /// HTTP status of this refusal.
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
            | Self::NotConfigured
            | Self::Stopping => 503,
            Self::DeadlinePassed => 504,
        }
    }
}

/// The honest end of a request without its answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// Whether it may have run.
    pub verdict: RunVerdict,
    /// Why, for programs.
    pub code: RefusalCode,
    /// Why, for people.
    pub message: String,
    /// When asking again may help.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// A refusal of something that had no effect.
    pub fn not_run(code: RefusalCode, message: impl Into<String>) -> Self {
        Self::new(RunVerdict::NotRun, code, message)
    }

    /// A refusal with the given verdict.
    pub fn new(verdict: RunVerdict, code: RefusalCode, message: impl Into<String>) -> Self {
        Self {
            verdict,
            code,
            message: message.into(),
            retry_after: None,
        }
    }

    /// The same, telling the caller when to come back.
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

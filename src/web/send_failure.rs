//! Why a request got no answer, and whether it may have run.

use {crate::operation::RunVerdict, std::fmt};

/// What kept a request from its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailureCause {
    /// The connection failed, or broke off.
    Broken,
    /// Nobody listens at the server's address.
    Refused,
    /// Nothing came in time.
    Silent,
    /// As many connections are open to the server as may be, and all are in use.
    Limited,
    /// The server takes no new requests.
    Withheld,
}

/// Why a request got no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SendFailure {
    /// Whether it may have run.
    pub verdict: RunVerdict,
    /// What kept it.
    pub cause: FailureCause,
    /// What happened.
    pub detail: String,
    /// Whether it was sent over a connection that another host carries.
    pub is_carried: bool,
}

impl fmt::Display for SendFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.detail)
    }
}

impl std::error::Error for SendFailure {}

impl SendFailure {
    /// Whether the connection broke off after the request was handed over.
    pub fn is_break(&self) -> bool {
        self.cause == FailureCause::Broken && self.verdict == RunVerdict::MayHaveRun
    }

    /// Nothing of a request was sent, since no connection could be opened in time.
    pub fn no_connection_in_time() -> Self {
        Self {
            cause: FailureCause::Silent,
            ..not_sent("no connection in time")
        }
    }

    /// Nothing was sent: the server takes no new requests.
    pub fn withheld(detail: impl Into<String>) -> Self {
        Self {
            cause: FailureCause::Withheld,
            ..not_sent(detail)
        }
    }

    /// A request was handed over and nothing came in time.
    pub fn no_answer_in_time() -> Self {
        Self {
            verdict: RunVerdict::MayHaveRun,
            cause: FailureCause::Silent,
            detail: "no answer in time".into(),
            is_carried: false,
        }
    }
}

/// Nothing of a request was handed over.
pub fn not_sent(detail: impl Into<String>) -> SendFailure {
    SendFailure {
        verdict: RunVerdict::NotRun,
        cause: FailureCause::Broken,
        detail: detail.into(),
        is_carried: false,
    }
}

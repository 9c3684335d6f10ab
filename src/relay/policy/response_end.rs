//! How a backend server's response ended.

use {super::view::BackendFailure, crate::web::BodyFraming};

/// How reading the body of a response came to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyEnd {
    /// As its framing says: its length, its last chunk, or an orderly end of the connection.
    Regular,
    /// The connection was reset, closed too early or fell silent for good.
    Lost,
    /// The deadline of the request passed.
    TimeLimit,
    /// It has more bytes than may be buffered.
    TooLarge,
}

/// What decided that a response has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndCause {
    /// Its length was reached or its last chunk came.
    Framed,
    /// Its connection ended, which is all that marks its end.
    ConnectionEnd,
    /// It ended inside an event.
    InsideEvent,
    /// Its connection ended before its first event.
    NoEvent,
    /// Its connection was lost.
    ConnectionLost,
    /// The deadline of the request passed.
    TimeLimit,
    /// It has more bytes than may be buffered.
    TooLarge,
}

impl EndCause {
    /// The value in log events and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Framed => "framed",
            Self::ConnectionEnd => "connection-end",
            Self::InsideEvent => "inside-event",
            Self::NoEvent => "no-event",
            Self::ConnectionLost => "connection-lost",
            Self::TimeLimit => "time-limit",
            Self::TooLarge => "too-large",
        }
    }
}

/// How a response ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResponseEnd {
    /// How its end was marked.
    pub framing: BodyFraming,
    /// What decided that it ended.
    pub cause: EndCause,
}

/// The framing and the cause of an end in log events; empty if there is none.
pub fn log_values(end: Option<ResponseEnd>) -> (&'static str, &'static str) {
    let values = end.map(|end| (end.framing.as_str(), end.cause.as_str()));
    values.unwrap_or_default()
}

impl ResponseEnd {
    /// Whether all of the response came.
    pub fn is_complete(self) -> bool {
        matches!(self.cause, EndCause::Framed | EndCause::ConnectionEnd)
    }

    /// Whether its server broke it off, so that the server may have crashed.
    pub fn is_broken(self) -> bool {
        !self.is_complete() && self.cause != EndCause::TimeLimit
    }

    /// How its server failed, if it broke the response off.
    pub fn failure(self) -> BackendFailure {
        match self.cause {
            EndCause::TooLarge => BackendFailure::Endless,
            _ => BackendFailure::Broken,
        }
    }

    /// The end of the request in log events.
    pub fn as_str(self) -> &'static str {
        match self.cause {
            EndCause::TimeLimit => "time-limit",
            _ if self.is_complete() => "whole",
            _ => "broken",
        }
    }
}

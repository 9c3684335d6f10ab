//! What a response states about its server, apart from its contents.

use {
    super::{decimal::parse_decimal, server_limit::LimitSignal},
    std::time::Duration,
};

/// Maximum backoff that is honored, so that one wrong response cannot take a server out of service for good.
pub const MAX_BACKOFF: Duration = Duration::from_secs(300);

/// What a response states about its server.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ServerSignals {
    /// How many requests a second it accepts.
    pub limit: LimitSignal,
    /// Whether it is leaving.
    pub leaving: LeavingSignal,
    /// For how long it asks this host to send no requests.
    pub backoff: BackoffSignal,
}

/// Whether a response states that its server is leaving: its run accepts no more requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LeavingSignal {
    /// It does not.
    #[default]
    Absent,
    /// The header has another value. Treated like a missing header.
    Invalid,
    /// The server is leaving.
    Leaving,
}

impl LeavingSignal {
    /// Parses all values of the leaving header: `1` in each, or a single `0`.
    pub fn parse<'a>(mut values: impl Iterator<Item = &'a [u8]>) -> Self {
        let Some(first) = values.next() else {
            return Self::Absent;
        };
        match first.trim_ascii() {
            b"0" if values.next().is_none() => Self::Absent,
            b"1" if values.all(|value| value.trim_ascii() == b"1") => Self::Leaving,
            _ => Self::Invalid,
        }
    }
}

/// For how long a server that rejected a request asks this host to send no others.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum BackoffSignal {
    /// No backoff.
    #[default]
    Absent,
    /// A value that is not a number of seconds, or several values. Treated like a missing backoff.
    Invalid,
    /// A backoff of this length, at most [`MAX_BACKOFF`].
    Backoff(Duration),
}

impl BackoffSignal {
    /// Parses all values of the header that states the backoff in seconds, which may have a fraction.
    pub fn parse<'a>(mut values: impl Iterator<Item = &'a [u8]>) -> Self {
        match (values.next(), values.next()) {
            (None, _) => Self::Absent,
            (Some(value), None) => parse_decimal(value).map_or(Self::Invalid, Self::from_seconds),
            (Some(_), Some(_)) => Self::Invalid,
        }
    }

    fn from_seconds(seconds: f64) -> Self {
        let max = MAX_BACKOFF.as_secs_f64();
        Self::Backoff(Duration::from_secs_f64(seconds.min(max)))
    }
}

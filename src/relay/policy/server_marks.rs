//! What a response states about its server, apart from its contents.

use {
    super::{plain_number::parse_decimal, server_limit::LimitMark},
    std::time::Duration,
};

/// Maximum backoff that is honored, so that one wrong response cannot take a server out of service for good.
pub const MAX_BACKOFF: Duration = Duration::from_secs(300);

/// What a response states about its server.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ServerMarks {
    /// How many requests a second it accepts.
    pub limit: LimitMark,
    /// Whether it is shutting down.
    pub leaving: LeavingMark,
    /// For how long it asks this host to send no requests.
    pub backoff: BackoffMark,
}

/// Whether a response states that its server is leaving, that is, about to shut down.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LeavingMark {
    /// It does not.
    #[default]
    Unsaid,
    /// The header has another value. Treated like a missing header.
    Unreadable,
    /// The server is leaving.
    Leaving,
}

impl LeavingMark {
    /// Parses all values of the leaving header: `1` in each, or a single `0`.
    pub fn read<'a>(mut values: impl Iterator<Item = &'a [u8]>) -> Self {
        let Some(first) = values.next() else {
            return Self::Unsaid;
        };
        match first.trim_ascii() {
            b"0" if values.next().is_none() => Self::Unsaid,
            b"1" if values.all(|value| value.trim_ascii() == b"1") => Self::Leaving,
            _ => Self::Unreadable,
        }
    }
}

/// For how long a server that rejected a request asks this host to send no others.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum BackoffMark {
    /// No backoff.
    #[default]
    Unsaid,
    /// A value that is not a number of seconds, or several values. Treated like a missing backoff.
    Unreadable,
    /// A backoff of this length, at most [`MAX_BACKOFF`].
    Lasting(Duration),
}

impl BackoffMark {
    /// Parses all values of the header that states the backoff in seconds, which may have a fraction.
    pub fn read<'a>(mut values: impl Iterator<Item = &'a [u8]>) -> Self {
        match (values.next(), values.next()) {
            (None, _) => Self::Unsaid,
            (Some(value), None) => {
                parse_decimal(value).map_or(Self::Unreadable, Self::from_seconds)
            }
            (Some(_), Some(_)) => Self::Unreadable,
        }
    }

    fn from_seconds(seconds: f64) -> Self {
        let max = MAX_BACKOFF.as_secs_f64();
        Self::Lasting(Duration::from_secs_f64(seconds.min(max)))
    }
}

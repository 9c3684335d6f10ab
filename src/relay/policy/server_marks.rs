//! What an answer says of its server, beside what it answers.

use {
    super::{plain_number::read_plain_number, server_limit::LimitMark},
    std::time::Duration,
};

/// Longest backoff that is kept to: one mistaken answer does not take a server out of service for good.
pub const BACKOFF_LONGEST: Duration = Duration::from_secs(300);

/// Everything that an answer says of its server.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ServerMarks {
    /// How many requests a second it takes.
    pub limit: LimitMark,
    /// Whether it is leaving.
    pub leaving: LeavingMark,
    /// For how long it wants no requests of this host.
    pub backoff: BackoffMark,
}

/// Whether an answer says that its server is leaving.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LeavingMark {
    /// It does not.
    #[default]
    Unsaid,
    /// It says something else in that place: as if nothing were said.
    Unreadable,
    /// The server is leaving.
    Leaving,
}

impl LeavingMark {
    /// Reads all values of the header that says it: `1`, in each of them.
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

/// For how long a server that turned a request away wants no others of this host.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum BackoffMark {
    /// Nothing is said.
    #[default]
    Unsaid,
    /// Something that is no number of seconds, or several things: as if nothing were said.
    Unreadable,
    /// For this long, at most [`BACKOFF_LONGEST`].
    Lasting(Duration),
}

impl BackoffMark {
    /// Reads all values of the header that names the seconds, fractions included.
    pub fn read<'a>(mut values: impl Iterator<Item = &'a [u8]>) -> Self {
        match (values.next(), values.next()) {
            (None, _) => Self::Unsaid,
            (Some(value), None) => {
                read_plain_number(value).map_or(Self::Unreadable, Self::of_seconds)
            }
            (Some(_), Some(_)) => Self::Unreadable,
        }
    }

    fn of_seconds(seconds: f64) -> Self {
        let longest = BACKOFF_LONGEST.as_secs_f64();
        Self::Lasting(Duration::from_secs_f64(seconds.min(longest)))
    }
}

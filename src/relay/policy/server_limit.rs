//! The limit that a backend server names in its answers while it is rate-limited.

use {super::plain_number::read_plain_number, std::fmt};

/// Requests a second that a backend server takes from all hosts together, for as long as its answers say so.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct ServerLimit(f64);

// It is always a number.
impl Eq for ServerLimit {}

impl ServerLimit {
    /// A limit of so many requests a second; none where that is no number of requests.
    pub fn new(per_second: f64) -> Option<Self> {
        (per_second.is_finite() && per_second >= 0.0).then_some(Self(per_second))
    }

    /// Requests a second, of all hosts together.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl fmt::Display for ServerLimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// What an answer says of its server's limit.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum LimitMark {
    /// Nothing: the server is not rate-limited.
    #[default]
    Unsaid,
    /// Something that is no number of requests a second, or several things: as if nothing were said.
    Unreadable,
    /// This limit.
    Named(ServerLimit),
}

impl LimitMark {
    /// Reads all values of the header or field that names the limit.
    pub fn read<'a>(mut values: impl Iterator<Item = &'a [u8]>) -> Self {
        match (values.next(), values.next()) {
            (None, _) => Self::Unsaid,
            (Some(value), None) => read_limit(value).map_or(Self::Unreadable, Self::Named),
            (Some(_), Some(_)) => Self::Unreadable,
        }
    }
}

fn read_limit(value: &[u8]) -> Option<ServerLimit> {
    ServerLimit::new(read_plain_number(value)?)
}

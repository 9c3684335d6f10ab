//! The request rate limit that a backend server states in its responses while it is rate-limited.

use {
    super::decimal::parse_decimal,
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// Requests a second that a backend server accepts from all hosts together, for as long as its responses state it.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct ServerLimit(f64);

// Sound because the value is never NaN.
impl Eq for ServerLimit {}

impl ServerLimit {
    /// A limit in requests a second; `None` if the number is negative or not finite.
    pub fn new(per_second: f64) -> Option<Self> {
        (per_second.is_finite() && per_second >= 0.0).then_some(Self(per_second))
    }

    /// A fraction of the limit.
    pub fn scaled(self, fraction: f64) -> Self {
        Self(self.0 * fraction)
    }

    /// The lower of two limits.
    pub fn lower(one: Option<Self>, other: Option<Self>) -> Option<Self> {
        match (one, other) {
            (Some(one), Some(other)) if one > other => Some(other),
            (one, other) => one.or(other),
        }
    }

    /// Requests a second from all hosts together.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl fmt::Display for ServerLimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// What a response states about its server's limit.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum LimitSignal {
    /// No limit: the server is not rate-limited.
    #[default]
    Absent,
    /// A value that is not a valid limit, or several values. Treated like a missing limit.
    Invalid,
    /// A valid limit.
    Limited(ServerLimit),
}

impl LimitSignal {
    /// Parses all values of the header or field that states the limit.
    pub fn parse<'a>(mut values: impl Iterator<Item = &'a [u8]>) -> Self {
        match (values.next(), values.next()) {
            (None, _) => Self::Absent,
            (Some(value), None) => parse_limit(value).map_or(Self::Invalid, Self::Limited),
            (Some(_), Some(_)) => Self::Invalid,
        }
    }
}

fn parse_limit(value: &[u8]) -> Option<ServerLimit> {
    ServerLimit::new(parse_decimal(value)?)
}

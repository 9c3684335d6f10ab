//! The rate limit of a cold backend server: until it is warm, all hosts together send it no more than a rate that the
//! configuration names for its service.

use {super::server_limit::ServerLimit, std::time::Duration};

/// How long the end of a server's coldness is remembered after it. Requests of hosts whose list is older do not make it
/// cold again meanwhile.
const END_RETENTION: Duration = Duration::from_secs(5);

/// By how much later another host's end of a server's coldness has to be to count. Messages take a while, so two hosts
/// that tell each other the time left would otherwise move the end further and further.
const MIN_EXTENSION: Duration = Duration::from_secs(1);

/// The limit of a cold server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdLimit {
    /// Requests a second that it accepts from all hosts together.
    pub rate: ServerLimit,
    /// When it ends, on this host's clock.
    pub until: Duration,
}

impl ColdLimit {
    /// The limit of a server that stays cold for this long. Hosts tell each other the time left, since their clocks
    /// differ.
    pub fn from_left(rate: ServerLimit, left: Duration, now: Duration) -> Self {
        let until = now.saturating_add(left);
        Self { rate, until }
    }

    /// How much longer the server is cold; zero if it is warm.
    pub fn left(self, now: Duration) -> Duration {
        self.until.saturating_sub(now)
    }

    /// Whether the server is still cold.
    pub fn is_cold(self, now: Duration) -> bool {
        now < self.until
    }

    /// The limit that ends later.
    pub fn later(one: Option<Self>, other: Option<Self>) -> Option<Self> {
        match (one, other) {
            (Some(one), Some(other)) if one.until < other.until => Some(other),
            (one, other) => one.or(other),
        }
    }
}

/// What a host knows of a server that is cold or was until recently.
#[derive(Debug, Clone, Copy)]
pub(super) struct ColdState {
    limit: ColdLimit,
    // Whether operators were told that it is cold, but not yet that it is warm.
    is_shown: bool,
}

impl ColdState {
    pub(super) fn new(limit: ColdLimit) -> Self {
        Self {
            limit,
            is_shown: true,
        }
    }

    /// The limit; `None` once the server is warm.
    pub(super) fn current(&self, now: Duration) -> Option<ColdLimit> {
        Some(self.limit).filter(|limit| limit.is_cold(now))
    }

    /// Whether another host knows that the server is cold for longer.
    pub(super) fn is_extended_by(&self, told: ColdLimit, now: Duration) -> bool {
        let known = self.current(now);
        known.is_some_and(|known| told.until > known.until + MIN_EXTENSION)
    }

    /// Whether the end is past and no longer remembered.
    pub(super) fn is_expired(&self, now: Duration) -> bool {
        !self.is_shown && now.saturating_sub(self.limit.until) >= END_RETENTION
    }

    /// Ends the coldness.
    pub(super) fn end(&mut self, now: Duration) {
        self.limit.until = self.limit.until.min(now);
    }

    /// Sets the rate.
    pub(super) fn set_rate(&mut self, rate: ServerLimit) {
        self.limit.rate = rate;
    }

    /// Whether operators are to be told that the server is warm; true once.
    pub(super) fn take_end(&mut self, now: Duration) -> bool {
        let has_ended = self.is_shown && !self.limit.is_cold(now);
        self.is_shown &= !has_ended;
        has_ended
    }
}

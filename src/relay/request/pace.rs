//! How evenly a stream's events reach its caller.

use {std::time::Duration, tokio::time::Instant};

/// The pauses between the events of one stream.
#[derive(Debug, Default)]
pub(super) struct EventPace {
    last: Option<Instant>,
    longest: Duration,
}

impl EventPace {
    /// Events were passed on.
    pub(super) fn passed(&mut self, now: Instant) {
        if let Some(last) = self.last.replace(now) {
            self.longest = self.longest.max(now.saturating_duration_since(last));
        }
    }

    /// The longest pause so far.
    pub(super) fn longest(&self) -> Duration {
        self.longest
    }
}

//! Measures the gaps between the events of a stream that are sent to the client.

use {std::time::Duration, tokio::time::Instant};

/// The gaps between the events of one stream.
#[derive(Debug, Default)]
pub(super) struct EventGaps {
    last: Option<Instant>,
    longest: Duration,
}

impl EventGaps {
    /// Records that events were sent at `now`.
    pub(super) fn record(&mut self, now: Instant) {
        if let Some(last) = self.last.replace(now) {
            self.longest = self.longest.max(now.saturating_duration_since(last));
        }
    }

    /// The longest gap so far.
    pub(super) fn longest(&self) -> Duration {
        self.longest
    }
}

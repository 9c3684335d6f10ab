//! Exponential backoff between calls to a store that does not respond.

use std::time::Duration;

/// Smallest factor of the jitter, which keeps hosts from calling the store at the same moment.
const JITTER_MIN: f64 = 0.5;

/// Backoff after failed calls to the store; doubles from the first pause up to the longest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreBackoff {
    /// Pause after the first failure.
    pub first: Duration,
    /// Upper bound.
    pub longest: Duration,
}

/// Backoff of a reader: changes have to take effect within a few seconds of the store's recovery.
pub const READER_BACKOFF: StoreBackoff = StoreBackoff {
    first: Duration::from_millis(250),
    longest: Duration::from_millis(1_000),
};

/// Backoff of any other host that tries the store for a while: calls to a store that rejects everybody have a cost.
pub const FOLLOWER_BACKOFF: StoreBackoff = StoreBackoff {
    first: Duration::from_millis(700),
    longest: Duration::from_millis(2_500),
};

impl StoreBackoff {
    /// The pause after `failures` earlier failures and one more; `draw`, from 0 to 1, is the jitter.
    pub fn after(&self, failures: u32, draw: f64) -> Duration {
        let doubled = self.first.saturating_mul(2_u32.saturating_pow(failures));
        let share = JITTER_MIN + (1.0 - JITTER_MIN) * draw;
        doubled.min(self.longest).mul_f64(share)
    }
}

//! How soon a store that did not answer is asked again.

use std::time::Duration;

/// Least part of a pause that is waited: not all hosts ask at the same moment.
const SPREAD_FROM: f64 = 0.5;

/// Pauses after failed calls to the store, doubled from the first to the longest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StorePauses {
    /// After the first failure.
    pub first: Duration,
    /// The longest.
    pub longest: Duration,
}

/// Those of a host that reads for its zone: changes are due a few seconds after the store is back.
pub const READER_PAUSES: StorePauses = StorePauses {
    first: Duration::from_millis(250),
    longest: Duration::from_millis(1_000),
};

/// Those of another one, which tries the store for a while: each call to a store that turns all away has its price.
pub const FOLLOWER_PAUSES: StorePauses = StorePauses {
    first: Duration::from_millis(700),
    longest: Duration::from_millis(2_500),
};

impl StorePauses {
    /// The pause after one more failure than `failures`; `draw` from 0 to 1 spreads the hosts.
    pub fn after(&self, failures: u32, draw: f64) -> Duration {
        let doubled = self.first.saturating_mul(2_u32.saturating_pow(failures));
        let share = SPREAD_FROM + (1.0 - SPREAD_FROM) * draw;
        doubled.min(self.longest).mul_f64(share)
    }
}

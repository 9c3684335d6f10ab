//! When bytes come or go too slowly to keep their room.

use {std::time::Duration, tokio::time::Instant};

/// What has not moved for this long is stalled.
const STALL_TIME: Duration = Duration::from_secs(1);

/// What moves more slowly than this after [`SLOW_START`] is stalled as well, in bytes a second.
const MIN_RATE: f64 = 65_536.0;

/// How long bytes may move at any rate.
const SLOW_START: Duration = Duration::from_secs(2);

/// Bytes that come from a caller or go to one.
#[derive(Debug, Clone, Copy)]
pub(in crate::web) struct BytePace {
    /// When the first was expected.
    pub started: Instant,
    /// When one last moved.
    pub moved: Instant,
    /// How many have moved.
    pub bytes: usize,
}

impl BytePace {
    /// Whether others that need the room may have it.
    pub(in crate::web) fn is_stalled(&self, now: Instant) -> bool {
        let expected = SLOW_START.as_secs_f64() + self.bytes as f64 / MIN_RATE;
        let is_slow = (now - self.started).as_secs_f64() > expected;
        is_slow || now - self.moved > STALL_TIME
    }
}

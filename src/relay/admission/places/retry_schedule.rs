//! When refused callers may come back, so that they return over the time in which there is room for them.

use std::{collections::BTreeMap, time::Duration};

/// Longest time after which a caller is told to come back: beyond it, nobody knows what room there is.
const MAX_RETURN_TIME: Duration = Duration::from_secs(2);

/// The times that were given to refused callers, by priority.
#[derive(Debug, Default)]
pub struct RetrySchedule {
    last_returns: BTreeMap<u8, Duration>,
}

impl RetrySchedule {
    /// Returns the time after which a caller may come back: once there is room, and after the callers of the same or a
    /// more urgent priority that were refused before. `interval` is the time in which a place becomes free.
    pub fn assign(
        &mut self,
        priority: u8,
        room_in: Duration,
        interval: Duration,
        now: Duration,
    ) -> Duration {
        self.last_returns.retain(|_, last| *last > now);
        let before = self.last_returns.range(..=priority);
        let last = before.map(|(_, last)| *last).max().unwrap_or(now);
        let return_at = last.max(now + room_in) + interval;
        let return_at = return_at.min(now + MAX_RETURN_TIME);
        self.last_returns.insert(priority, return_at);
        return_at - now
    }
}

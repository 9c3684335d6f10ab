//! Room at backend servers: what is free now, and when more becomes free.

use std::time::Duration;

/// What a server or a pool of servers can hold at once, in one unit: places of plain requests, or tokens of memory.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ServerRoom {
    /// Units that can be held at once.
    pub capacity: u64,
    /// Units that are used, or promised to requests on their way.
    pub promised: u64,
    /// Units that running requests give back per second; 0 if it is not known.
    pub freed_per_second: f64,
}

impl ServerRoom {
    /// Units that are neither used nor promised.
    pub fn free(&self) -> u64 {
        self.capacity.saturating_sub(self.promised)
    }

    /// Time until `needed` units are free for a request while `ahead` units are wanted by requests that go first.
    /// `None` if that cannot be foreseen, or if the server never holds as much.
    pub fn wait_for(&self, ahead: u64, needed: u64) -> Option<Duration> {
        if needed > self.capacity {
            return None;
        }
        let wanted = self.promised + ahead + needed;
        let missing = wanted.saturating_sub(self.capacity);
        if missing == 0 {
            return Some(Duration::ZERO);
        }
        let seconds = missing as f64 / self.freed_per_second;
        Duration::try_from_secs_f64(seconds).ok()
    }
}

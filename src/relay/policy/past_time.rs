//! When something was, on the host's own clock, also before the host started.

use std::time::Duration;

/// A time on the host's clock, microseconds since its start; negative where another host's view is older than this host.
/// Taken for no older than this host's start, old news would look new at each host that starts, and be passed on so.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct PastTime(i64);

impl PastTime {
    /// A time since the host's start.
    pub fn at(time: Duration) -> Self {
        Self(micros(time))
    }

    /// As much earlier.
    pub fn before(self, time: Duration) -> Self {
        Self(self.0.saturating_sub(micros(time)))
    }

    /// How long ago it was; zero for one to come.
    pub fn age(self, now: Duration) -> Duration {
        let age = micros(now).saturating_sub(self.0);
        Duration::from_micros(u64::try_from(age).unwrap_or_default())
    }
}

fn micros(time: Duration) -> i64 {
    i64::try_from(time.as_micros()).unwrap_or(i64::MAX)
}

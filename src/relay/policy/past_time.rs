//! Times on the host's own clock that may lie before the start of the host.

use std::time::Duration;

/// A time on the host's clock in microseconds since its start, negative for times before it, as other hosts may report.
/// If such times were clamped to the start, old information would look new on each host that starts, and would be
/// passed on as new.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct PastTime(i64);

impl PastTime {
    /// A time since the host's start.
    pub fn at(time: Duration) -> Self {
        Self(micros(time))
    }

    /// The time that is earlier by a duration.
    pub fn before(self, time: Duration) -> Self {
        Self(self.0.saturating_sub(micros(time)))
    }

    /// The time elapsed since then; zero for a time in the future.
    pub fn age(self, now: Duration) -> Duration {
        let age = micros(now).saturating_sub(self.0);
        Duration::from_micros(u64::try_from(age).unwrap_or_default())
    }
}

fn micros(time: Duration) -> i64 {
    i64::try_from(time.as_micros()).unwrap_or(i64::MAX)
}

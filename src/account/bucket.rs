//! Leaky bucket for rate limits: usage fills it and it drains over time.

use std::time::Duration;

/// Upper bound of the wait that a refused caller is told.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// Lower bound of the wait that a refused caller is told.
const MIN_WAIT: Duration = Duration::from_millis(1);

/// Drain rate and capacity of a bucket.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BucketRate {
    /// Units drained per second.
    pub rate: f64,
    /// Capacity in units.
    pub burst: f64,
}

/// Leaky bucket that may overflow by one request: a request larger than the remaining capacity is admitted as
/// soon as any capacity is left, so that small requests cannot starve it.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RateBucket {
    // Units used and not yet drained.
    level: f64,
    // The level plus the units of refused callers that were told when to retry.
    reserved: f64,
    // Time up to which the level is drained.
    drained: Duration,
}

impl RateBucket {
    /// Creates a bucket filled to `level`.
    pub fn with_level(level: f64, now: Duration) -> Self {
        Self {
            level,
            reserved: level,
            drained: now,
        }
    }

    /// Units used and not yet drained, as of the last call.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Drains the bucket up to `now`.
    pub fn drain(&mut self, rate: f64, now: Duration) {
        let passed = now.saturating_sub(self.drained).as_secs_f64();
        self.drained = self.drained.max(now);
        let drained = passed * rate.max(0.0);
        self.level = (self.level - drained).max(0.0);
        self.reserved = (self.reserved - drained).max(self.level);
    }

    /// Adds used units, or subtracts refunded ones if negative.
    pub fn add(&mut self, units: f64) {
        self.level = (self.level + units).max(0.0);
        self.reserved = self.reserved.max(self.level);
    }

    /// Limits the level to `most` and drops the excess.
    pub fn cap(&mut self, most: f64) {
        self.level = self.level.min(most);
    }

    /// Takes units if the bucket is not full, or returns how long to wait before a retry.
    pub fn take(&mut self, units: f64, bounds: BucketRate, now: Duration) -> Result<(), Duration> {
        if self.is_full(bounds, now) {
            return Err(self.schedule_retry(units, bounds));
        }
        self.add(units);
        Ok(())
    }

    /// Whether the bucket admits nothing more.
    pub fn is_full(&mut self, bounds: BucketRate, now: Duration) -> bool {
        self.drain(bounds.rate, now);
        self.level >= bounds.burst
    }

    /// Returns how long a caller refused with `units` should wait.
    ///
    /// Each refused caller gets a slot after the previous ones. With the same wait for all, they would retry
    /// at once and be refused again.
    pub fn schedule_retry(&mut self, units: f64, bounds: BucketRate) -> Duration {
        if bounds.rate <= 0.0 {
            return MAX_WAIT;
        }
        let wait = (self.reserved - bounds.burst) / bounds.rate;
        let longest = MAX_WAIT.as_secs_f64();
        if wait < longest {
            self.reserved += units;
        }
        let wait = Duration::from_secs_f64(wait.clamp(0.0, longest));
        wait.max(MIN_WAIT)
    }
}

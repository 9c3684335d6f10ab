//! A limit as a bucket: what is used fills it, time drains it.

use std::time::Duration;

/// Longest time for which a caller is told to stay away.
const WAIT_LONGEST: Duration = Duration::from_secs(30);

/// Shortest time for which a caller is told to stay away.
const WAIT_LEAST: Duration = Duration::from_millis(1);

/// What a bucket allows.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BucketRate {
    /// Units that drain each second.
    pub rate: f64,
    /// Units that fill it.
    pub burst: f64,
}

/// A bucket. It may overflow by one request: a request larger than what is left goes in as soon as any is left, so
/// small ones do not slip past it forever.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RateBucket {
    // Units used and not yet drained.
    level: f64,
    // The level with what those callers will use that were sent away and told when to come back.
    promised: f64,
    // Time up to which it was drained.
    drained: Duration,
}

impl RateBucket {
    /// One that is full to this level.
    pub fn filled(level: f64, now: Duration) -> Self {
        Self {
            level,
            promised: level,
            drained: now,
        }
    }

    /// Units used and not yet drained, as of the last call.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Drains it up to now.
    pub fn drain(&mut self, rate: f64, now: Duration) {
        let passed = now.saturating_sub(self.drained).as_secs_f64();
        self.drained = self.drained.max(now);
        let drained = passed * rate.max(0.0);
        self.level = (self.level - drained).max(0.0);
        self.promised = (self.promised - drained).max(self.level);
    }

    /// Units were used, by whomever, or given back.
    pub fn add(&mut self, units: f64) {
        self.level = (self.level + units).max(0.0);
        self.promised = self.promised.max(self.level);
    }

    /// It holds no more than this; what is beyond is forgotten.
    pub fn cap(&mut self, most: f64) {
        self.level = self.level.min(most);
    }

    /// Takes units if it is not full; gives otherwise when to come back.
    pub fn take(&mut self, units: f64, bounds: BucketRate, now: Duration) -> Result<(), Duration> {
        if self.is_full(bounds, now) {
            return Err(self.turn_away(units, bounds));
        }
        self.add(units);
        Ok(())
    }

    /// Whether nothing more is let in.
    pub fn is_full(&mut self, bounds: BucketRate, now: Duration) -> bool {
        self.drain(bounds.rate, now);
        self.level >= bounds.burst
    }

    /// When a caller is to come back that found it full with so many units.
    ///
    /// Each is promised its own place behind those before it: told the same moment, all would return at once and be
    /// refused again.
    pub fn turn_away(&mut self, units: f64, bounds: BucketRate) -> Duration {
        if bounds.rate <= 0.0 {
            return WAIT_LONGEST;
        }
        let wait = (self.promised - bounds.burst) / bounds.rate;
        let longest = WAIT_LONGEST.as_secs_f64();
        if wait < longest {
            self.promised += units;
        }
        let wait = Duration::from_secs_f64(wait.clamp(0.0, longest));
        wait.max(WAIT_LEAST)
    }
}

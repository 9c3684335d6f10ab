//! Retry budget shared by all requests of a host: retries are limited to a share of recent traffic, in addition to the
//! limits of each request.

use std::time::Duration;

/// Upper limit of saved credits, so that credits from a quiet period cannot pay for a retry storm.
const MAX_CREDITS: f64 = 20.0;

/// Credits added each second regardless of traffic, so that a single request can be retried on an idle host.
const CREDITS_PER_SECOND: f64 = 1.0;

/// A token bucket that is filled by requests and drained by retries.
#[derive(Debug)]
pub struct RetryBudget {
    share: f64,
    credits: f64,
    last_refill: Duration,
}

impl RetryBudget {
    /// Creates a half-full budget that earns `share` retries for each request.
    pub fn new(share: f64) -> Self {
        Self {
            share,
            credits: MAX_CREDITS / 2.0,
            last_refill: Duration::ZERO,
        }
    }

    /// Adds the share of one new request.
    pub fn earn(&mut self) {
        self.credits = (self.credits + self.share).min(MAX_CREDITS);
    }

    /// Takes one credit for a retry; returns whether one was available.
    pub fn spend(&mut self, now: Duration) -> bool {
        let elapsed = now.saturating_sub(self.last_refill).as_secs_f64();
        self.last_refill = self.last_refill.max(now);
        self.credits = (self.credits + elapsed * CREDITS_PER_SECOND).min(MAX_CREDITS);
        let allowed = self.credits >= 1.0;
        if allowed {
            self.credits -= 1.0;
        }
        allowed
    }
}

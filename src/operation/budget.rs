//! How much work may be done again: a share of recent traffic, not a count for each request.

use std::time::Duration;

/// Credits that are kept at most, so that a quiet time does not save up for a storm.
const CREDIT_MAX: f64 = 20.0;

/// Credits that come back each second without traffic, so that a lone request may be retried.
const CREDIT_PER_SECOND: f64 = 1.0;

/// Allows retries for a share of the requests.
#[derive(Debug)]
pub struct RetryBudget {
    share: f64,
    credits: f64,
    last: Duration,
}

impl RetryBudget {
    /// A budget of `share` retries for each request.
    pub fn new(share: f64) -> Self {
        Self {
            share,
            credits: CREDIT_MAX / 2.0,
            last: Duration::ZERO,
        }
    }

    /// A request came.
    pub fn earn(&mut self) {
        self.credits = (self.credits + self.share).min(CREDIT_MAX);
    }

    /// Whether work may be done again now; if so, it is counted.
    pub fn spend(&mut self, now: Duration) -> bool {
        let passed = now.saturating_sub(self.last).as_secs_f64();
        self.last = self.last.max(now);
        self.credits = (self.credits + passed * CREDIT_PER_SECOND).min(CREDIT_MAX);
        let allowed = self.credits >= 1.0;
        if allowed {
            self.credits -= 1.0;
        }
        allowed
    }
}

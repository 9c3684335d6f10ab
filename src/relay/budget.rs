//! This host's share of the sends beyond the first that a service is allowed from all hosts.

use std::{collections::VecDeque, time::Duration};

/// Part of the allowance that is spent on purpose: hosts count apart, and windows slide.
const SPENT_SHARE: f64 = 0.65;

/// Part of the allowance up to which sends are made that turn out to be repeats only when they fail.
const RISKED_SHARE: f64 = 0.9;

/// What all hosts together may send beyond the first of each request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryAllowance {
    /// Share of the window's requests.
    pub share: f64,
    /// Added to that share, for all hosts together.
    pub extra: f64,
    /// Length of the window.
    pub window: Duration,
}

/// Counts a service's requests and repeats at this host within a sliding window.
#[derive(Debug, Default)]
pub struct WindowBudget {
    requests: VecDeque<Duration>,
    repeats: VecDeque<Duration>,
}

impl WindowBudget {
    /// A request for the service came.
    pub fn earn(&mut self, window: Duration, now: Duration) {
        self.forget(window, now);
        self.requests.push_back(now);
    }

    /// Requests and repeats that are remembered.
    pub fn remembered(&self) -> usize {
        self.requests.len() + self.repeats.len()
    }

    fn forget(&mut self, window: Duration, now: Duration) {
        let since = now.saturating_sub(window);
        for times in [&mut self.requests, &mut self.repeats] {
            while times.front().is_some_and(|at| *at < since) {
                times.pop_front();
            }
        }
    }

    /// A repeat was sent, allowed or not.
    pub fn count(&mut self, now: Duration) {
        self.repeats.push_back(now);
    }

    /// Whether one repeat more may be sent by this host, one of `hosts`.
    pub fn allows(&mut self, allowance: RetryAllowance, hosts: usize, now: Duration) -> bool {
        self.is_within(SPENT_SHARE, allowance, hosts, now)
    }

    /// Whether a send may be made that counts as a repeat if it fails, or a repeat that saves more than
    /// itself.
    pub fn may_risk(&mut self, allowance: RetryAllowance, hosts: usize, now: Duration) -> bool {
        self.is_within(RISKED_SHARE, allowance, hosts, now)
    }

    fn is_within(
        &mut self,
        part: f64,
        allowance: RetryAllowance,
        hosts: usize,
        now: Duration,
    ) -> bool {
        self.forget(allowance.window, now);
        let earned = allowance.share * self.requests.len() as f64;
        let most = part * (earned + allowance.extra / hosts.max(1) as f64);
        ((self.repeats.len() + 1) as f64) <= most
    }
}

//! Retry budget: this host's share of the retries that a service allows to all hosts together.
//!
//! In a large fleet the share of a host is less than one retry. A part of a retry is therefore granted in a part of the
//! periods, which each host draws for itself, so that all hosts together use what they are allowed.

use {
    std::{collections::VecDeque, time::Duration},
    xxhash_rust::xxh3,
};

/// Fraction of a host's share that it uses for planned retries. The margin covers that hosts count independently and
/// that their windows slide.
const PLANNED_FRACTION: f64 = 0.65;

/// Fraction of a host's share available to attempts that count as retries only if they fail.
const SPECULATIVE_FRACTION: f64 = 0.9;

/// Fraction of the whole budget that all hosts together may use when one needs more than its share. With what the
/// other hosts may still use of theirs, the total stays below the budget (tests/relay_budget.rs).
const POOLED_FRACTION: f64 = 0.6;

/// Maximum age of what is known of the other hosts, equal to the lifetime of load reports.
const POOL_PERIOD: Duration = Duration::from_millis(1_500);

/// Fraction of the unused budget given out in each such period: all hosts may use theirs before they hear of each
/// other.
const POOL_STEP: f64 = 0.7;

/// Requests added to each host's count when the budget is divided by demand. An idle host can thus start to retry, and
/// a few requests do not shift the shares faster than hosts learn of it.
const BASELINE_REQUESTS: u64 = 10;

/// Factor applied for the first window after a start, when retries of the host's previous run may still count.
const RESTART_FACTOR: f64 = 0.55;

/// Retry budget of a service for all hosts together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudget {
    /// Retries allowed per request in the window.
    pub share: f64,
    /// Retries allowed in addition, for all hosts together.
    pub extra: f64,
    /// Length of the window.
    pub window: Duration,
}

/// Counts a service's requests and retries at this host in a sliding window.
#[derive(Debug, Default)]
pub struct RetryWindow {
    // Seed of the periods in which a part of a retry is granted; none if parts are not granted.
    seed: Option<u64>,
    requests: VecDeque<Duration>,
    retries: VecDeque<Duration>,
}

impl RetryWindow {
    /// The window of a host that grants parts of a retry in periods drawn by this seed.
    pub fn new(seed: u64) -> Self {
        Self {
            seed: Some(seed),
            ..Self::default()
        }
    }

    // A part of a retry, from 0 up to 1, that is the same for a whole period.
    fn part(&self, period: Duration, now: Duration) -> f64 {
        let Some(seed) = self.seed else { return 0.0 };
        let index = (now.as_millis() / period.as_millis().max(1)) as u64;
        let mut drawn = period.as_millis().to_le_bytes().to_vec();
        drawn.extend(index.to_le_bytes());
        xxh3::xxh3_64_with_seed(&drawn, seed) as f64 / (u64::MAX as f64 + 1.0)
    }

    /// Records a request for the service.
    pub fn count_request(&mut self, window: Duration, now: Duration) {
        self.forget(window, now);
        self.requests.push_back(now);
    }

    /// Number of entries kept in the window.
    pub fn entry_count(&self) -> usize {
        self.requests.len() + self.retries.len()
    }

    fn forget(&mut self, window: Duration, now: Duration) {
        let since = now.saturating_sub(window);
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|at| *at < since) {
                times.pop_front();
            }
        }
    }

    /// Records a retry, allowed or not.
    pub fn count_retry(&mut self, now: Duration) {
        self.retries.push_back(now);
    }

    /// This host's requests and retries in the window.
    pub fn counts(&mut self, window: Duration, now: Duration) -> RetryCounts {
        self.forget(window, now);
        RetryCounts {
            requests: self.requests.len() as u64,
            retries: self.retries.len() as u64,
        }
    }

    /// Whether this host may send one more retry.
    pub fn allows_retry(
        &mut self,
        budget: RetryBudget,
        fleet: &FleetDemand,
        now: Duration,
    ) -> bool {
        let part = self.part(budget.window, now);
        self.is_within(PLANNED_FRACTION, part, budget, fleet, now)
    }

    /// Whether this host may make an attempt that counts as a retry only if it fails, or a retry that saves more work
    /// than it costs.
    pub fn allows_speculative(
        &mut self,
        budget: RetryBudget,
        fleet: &FleetDemand,
        now: Duration,
    ) -> bool {
        self.is_within(SPECULATIVE_FRACTION, 0.0, budget, fleet, now)
    }

    fn is_within(
        &mut self,
        fraction: f64,
        part: f64,
        budget: RetryBudget,
        fleet: &FleetDemand,
        now: Duration,
    ) -> bool {
        let own = self.counts(budget.window, now);
        let share = fleet.share(own.requests);
        let earned = budget.share * own.requests as f64 + budget.extra * share;
        let next = (own.retries + 1) as f64;
        if now < budget.window {
            return next <= RESTART_FACTOR * fraction * earned;
        }
        next <= fraction * earned + part || self.may_pool(own, budget, fleet, now)
    }

    // Whether the retry fits into this host's share of the budget that other hosts leave unused in this period.
    fn may_pool(
        &self,
        own: RetryCounts,
        budget: RetryBudget,
        fleet: &FleetDemand,
        now: Duration,
    ) -> bool {
        let Some(others) = fleet.others else {
            return false;
        };
        let requests = (own.requests + others.requests) as f64;
        let spent = (own.retries + others.retries) as f64;
        let left = POOLED_FRACTION * (budget.share * requests + budget.extra) - spent;
        let since = now.saturating_sub(POOL_PERIOD);
        let in_period = self.retries.iter().rev().take_while(|at| **at >= since);
        let granted = POOL_STEP * left * fleet.share(own.requests);
        left >= 1.0 && (in_period.count() + 1) as f64 <= granted + self.part(POOL_PERIOD, now)
    }
}

/// Requests for a service and retries of them in the window.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RetryCounts {
    /// Requests.
    pub requests: u64,
    /// Repeats.
    pub retries: u64,
}

/// What a host knows of all hosts that share the budget.
#[derive(Debug, Clone, Copy)]
pub struct FleetDemand {
    /// Number of hosts, including this one.
    pub hosts: usize,
    /// Sum of the other hosts' counts, if reported recently.
    pub others: Option<RetryCounts>,
}

impl FleetDemand {
    /// The share of the budget of a host with this many requests.
    pub fn share(&self, own_requests: u64) -> f64 {
        let hosts = self.hosts.max(1) as u64;
        let own = own_requests + BASELINE_REQUESTS;
        match self.others {
            Some(others) => {
                own as f64 / (own + others.requests + BASELINE_REQUESTS * (hosts - 1)) as f64
            }
            None => 1.0 / hosts as f64,
        }
    }
}

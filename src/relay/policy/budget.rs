//! This host's share of the sends beyond the first that a service is allowed from all hosts.

use std::{collections::VecDeque, time::Duration};

/// Part of a host's share of the allowance that it spends on purpose: hosts count apart, and windows slide.
const SPENT_PART: f64 = 0.65;

/// Part of its share up to which sends are made that turn out to be repeats only when they fail.
const RISKED_PART: f64 = 0.9;

/// Part of the allowance that all hosts together spend where one needs more than its share: with what the
/// others then still take of theirs it stays below the whole (tests/relay_decisions.rs).
const POOLED_PART: f64 = 0.6;

/// How old what is known of the other hosts may be: reports are taken that long.
const POOL_TURN: Duration = Duration::from_millis(1_500);

/// Part of what is left that is shared out in each such time: all may take theirs before they hear of it.
const POOL_STEP: f64 = 0.7;

/// Requests that each host counts as having beside its own when the allowance is shared out by demand: an idle
/// host can begin to repeat, and few requests do not move the shares about faster than hosts hear of it.
const USUAL_REQUESTS: u64 = 10;

/// What a host takes of all that while its own window may hold repeats of an earlier run.
const RESTARTED_PART: f64 = 0.55;

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

    /// Requests and repeats of this host within the window.
    pub fn counts(&mut self, window: Duration, now: Duration) -> DemandCounts {
        self.forget(window, now);
        DemandCounts {
            requests: self.requests.len() as u64,
            repeats: self.repeats.len() as u64,
        }
    }

    /// Whether one repeat more may be sent by this host.
    pub fn allows(
        &mut self,
        allowance: RetryAllowance,
        fleet: &FleetDemand,
        now: Duration,
    ) -> bool {
        self.is_within(SPENT_PART, allowance, fleet, now)
    }

    /// Whether a send may be made that counts as a repeat if it fails, or a repeat that saves more than
    /// itself.
    pub fn may_risk(
        &mut self,
        allowance: RetryAllowance,
        fleet: &FleetDemand,
        now: Duration,
    ) -> bool {
        self.is_within(RISKED_PART, allowance, fleet, now)
    }

    fn is_within(
        &mut self,
        part: f64,
        allowance: RetryAllowance,
        fleet: &FleetDemand,
        now: Duration,
    ) -> bool {
        let own = self.counts(allowance.window, now);
        let share = fleet.share(own.requests);
        let earned = allowance.share * own.requests as f64 + allowance.extra * share;
        let next = (own.repeats + 1) as f64;
        if now < allowance.window {
            return next <= RESTARTED_PART * part * earned;
        }
        next <= part * earned || self.may_pool(own, allowance, fleet, now)
    }

    // What other hosts do not need is shared out anew in each turn.
    fn may_pool(
        &self,
        own: DemandCounts,
        allowance: RetryAllowance,
        fleet: &FleetDemand,
        now: Duration,
    ) -> bool {
        let Some(others) = fleet.others else {
            return false;
        };
        let requests = (own.requests + others.requests) as f64;
        let spent = (own.repeats + others.repeats) as f64;
        let left = POOLED_PART * (allowance.share * requests + allowance.extra) - spent;
        let since = now.saturating_sub(POOL_TURN);
        let in_turn = self.repeats.iter().rev().take_while(|at| **at >= since);
        (in_turn.count() + 1) as f64 <= POOL_STEP * left * fleet.share(own.requests)
    }
}

/// Requests for a service, and sends beyond the first of each, within the window.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DemandCounts {
    /// Requests.
    pub requests: u64,
    /// Repeats.
    pub repeats: u64,
}

/// What a host knows of the hosts among which the allowance is shared out.
#[derive(Debug, Clone, Copy)]
pub struct FleetDemand {
    /// How many hosts there are, this one included.
    pub hosts: usize,
    /// What all others count together, if that was told lately.
    pub others: Option<DemandCounts>,
}

impl FleetDemand {
    /// The share of a host that has so many requests.
    pub fn share(&self, own_requests: u64) -> f64 {
        let hosts = self.hosts.max(1) as u64;
        let own = own_requests + USUAL_REQUESTS;
        match self.others {
            Some(others) => {
                own as f64 / (own + others.requests + USUAL_REQUESTS * (hosts - 1)) as f64
            }
            None => 1.0 / hosts as f64,
        }
    }
}

//! Estimate of how long callers have already waited when their requests arrive. Refused callers retry, at any host,
//! with a shorter timeout than at first.
//!
//! A state machine without I/O whose input is each caller's timeout. In bursts beyond the engines' capacity a third
//! of the queued requests are such retries. They will miss their latency target in any case, and the memory that they
//! use makes others late that could still meet theirs. The estimate raises the worth of a day, before prices, by
//! 0.007 (docs/worth.md, round 22).

use {
    faststr::FastStr,
    std::{collections::HashMap, time::Duration},
};

/// Weight of the newest caller in the moving average of the share with less than the longest timeout.
const SHORT_WEIGHT: f64 = 0.02;

/// Share of shorter timeouts from which they are ignored: callers of the route then use different timeouts anyway.
const SHORT_SHARE_MAX: f64 = 0.5;

/// Smaller differences are attributed to the network and to clocks, such as the time to reopen a connection.
const MIN_WAITED: Duration = Duration::from_millis(100);

/// Timeouts of the callers of one route.
#[derive(Debug, Default)]
struct RouteTimeouts {
    longest: Duration,
    short_share: f64,
}

/// Timeouts of callers, by route.
#[derive(Debug, Default)]
pub struct CallerTimeouts {
    routes: HashMap<FastStr, RouteTimeouts>,
}

impl CallerTimeouts {
    /// Records the timeout of a caller of a route and returns the estimated time that it has already waited.
    pub fn observe(&mut self, route: &FastStr, time_left: Duration) -> Duration {
        let waits = self.routes.entry(route.clone()).or_default();
        waits.longest = waits.longest.max(time_left);
        let waited = waits.longest - time_left;
        let is_short = waited >= MIN_WAITED;
        waits.short_share += SHORT_WEIGHT * (f64::from(u8::from(is_short)) - waits.short_share);
        match is_short && waits.short_share < SHORT_SHARE_MAX {
            true => waited,
            false => Duration::ZERO,
        }
    }

    /// Clears all routes, since a new configuration may bring them other callers.
    pub fn clear(&mut self) {
        self.routes.clear();
    }
}

//! How long callers have been waiting when their requests arrive: those that were refused come back, at any host,
//! and say less time than at first.
//!
//! A plain state machine: the time that each caller says goes in. It answers bursts beyond what engines hold,
//! in which a third of the waiting requests have come back: they can only be late, and memory that they take
//! makes others late that could still be in time. With it 0.007 more of a day's worth is served before prices
//! (docs/worth.md, round 22).

use {
    faststr::FastStr,
    std::{collections::HashMap, time::Duration},
};

/// Weight of the newest caller in the share of those that say less than the longest time.
const SHORT_WEIGHT: f64 = 0.02;

/// Share of callers that say less from which on nothing is made of it: callers of this route then wait for
/// different times by themselves.
const SHORT_SHARE_MOST: f64 = 0.5;

/// Less than this is taken for the way here: connections that were opened again, clocks.
const LEAST_WAITED: Duration = Duration::from_millis(100);

/// What callers of one route said.
#[derive(Debug, Default)]
struct RouteWaits {
    longest: Duration,
    short_share: f64,
}

/// How long callers say that they will wait, by route.
#[derive(Debug, Default)]
pub struct CallerWaits {
    routes: HashMap<FastStr, RouteWaits>,
}

impl CallerWaits {
    /// A caller of a route will wait for this time; gives how long it has waited before, as far as that can be
    /// told.
    pub fn waited(&mut self, route: &FastStr, time_left: Duration) -> Duration {
        let waits = self.routes.entry(route.clone()).or_default();
        waits.longest = waits.longest.max(time_left);
        let waited = waits.longest - time_left;
        let is_short = waited >= LEAST_WAITED;
        waits.short_share += SHORT_WEIGHT * (f64::from(u8::from(is_short)) - waits.short_share);
        match is_short && waits.short_share < SHORT_SHARE_MOST {
            true => waited,
            false => Duration::ZERO,
        }
    }

    /// Forgets all routes: another configuration may give them other callers.
    pub fn clear(&mut self) {
        self.routes.clear();
    }
}

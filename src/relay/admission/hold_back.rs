//! How less urgent requests that wait for memory hold back for more urgent ones, and when those that were refused come
//! back.

use {
    super::service_work::{self, ServiceWork},
    std::{ops::RangeInclusive, time::Duration},
};

/// Least share of the memory that becomes free which goes to less urgent requests while more urgent ones wait.
const LESS_URGENT_SHARE: f64 = 0.5;

/// Longest pause between two tries of a less urgent request. Several fit into the time for which requests wait.
const PAUSE_MAX: Duration = Duration::from_millis(150);

/// Least part of the time span of refused requests that those of one priority spread over.
const RETURN_PART_MIN: f64 = 0.2;

/// The pause between two tries of a request because more urgent ones wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HoldBackPause {
    /// Priority of the most urgent request that waits.
    pub for_priority: u8,
    /// The pause.
    pub pause: Duration,
}

/// The pause of a request that waits at one of this many hosts, where requests that wait try each `interval`. `None`
/// if no more urgent request waits.
///
/// Whoever tries when memory becomes free gets it, so the less urgent requests together try as often, relative to the
/// more urgent, as is their share. Only the first request of each host's queue tries.
pub fn hold_back(
    work: &ServiceWork,
    priority: u8,
    hosts: usize,
    interval: Duration,
) -> Option<HoldBackPause> {
    let urgent = work.more_urgent(priority);
    let first = urgent.iter().find(|load| load.waiting > 0)?;
    let tries = |waiting: u64| waiting.min(hosts.max(1) as u64) as f64;
    let others = work.waiting() - service_work::waiting(urgent);
    let ratio = tries(others.max(1)) / tries(service_work::waiting(urgent));
    let shares = (1.0 - LESS_URGENT_SHARE) / LESS_URGENT_SHARE;
    Some(HoldBackPause {
        for_priority: first.class.priority,
        pause: interval.mul_f64((ratio * shares).max(1.0)).min(PAUSE_MAX),
    })
}

/// The part of a time span after which requests of a priority that were refused come back: the more urgent first, each
/// in the time in which memory for the requests that wait before and beside them becomes free.
pub fn return_span(
    span: &RangeInclusive<Duration>,
    work: &ServiceWork,
    priority: u8,
) -> RangeInclusive<Duration> {
    let before = service_work::waiting_tokens(work.more_urgent(priority)) as f64;
    let until = service_work::waiting_tokens(work.at_least(priority)) as f64;
    let all = until + service_work::waiting_tokens(work.less_urgent(priority)) as f64;
    if all == 0.0 {
        return span.clone();
    }
    let start = (before / all).min(1.0 - RETURN_PART_MIN);
    let end = (until / all).max(start + RETURN_PART_MIN);
    let length = span.end().saturating_sub(*span.start());
    let at = |part: f64| *span.start() + length.mul_f64(part.min(1.0));
    at(start)..=at(end)
}

//! How long a server takes for its requests, as their hosts measure it.

use std::{collections::VecDeque, time::Duration};

/// Service time that is assumed until one was seen.
pub(super) const ASSUMED_SERVICE_TIME: Duration = Duration::from_millis(50);

/// The shortest service time that rates are computed with.
const MIN_SERVICE_TIME: Duration = Duration::from_millis(1);

/// Weight of the latest response in the mean of service times, in their mean deviation from it and in the mean overhead.
const MEAN_WEIGHT: f64 = 0.1;

/// Mean deviations by which a response is expected to take longer than the mean, so that nearly all that are granted a place
/// in time are answered in time.
const EXPECTED_DEVIATIONS: u32 = 2;

/// When responses on average take this many times as long as they did, others use the server too.
const SLOW_FACTOR: f64 = 1.8;

/// Weight of the latest response in the mean by which that is decided: requests differ in their work, and single long ones
/// must not count as slowness. The lowest mean counts from as many responses as it covers.
const STEADY_WEIGHT: f64 = 0.02;
const STEADY_RESPONSES: u32 = 50;

/// Growth of the lowest mean with each further response, so that it follows a server that becomes slower.
const LOWEST_GROWTH: f64 = 1.002;

/// Number of recent responses of which the quick ones tell how long the server itself takes.
const RECENT_RESPONSES: usize = 24;

/// Fraction of the recent responses that are quick: also of those that come over links that lose packets.
const QUICK_FRACTION: f64 = 0.25;

/// Time, as a multiple of that of a quick response, that a response takes at most at the server. What is longer was spent on
/// the way.
const WORK_FACTOR: u32 = 3;

/// The same for the mean by which slowness is decided.
const STEADY_FACTOR: u32 = 2;

/// Means of the times of a server's responses.
#[derive(Debug)]
pub(super) struct ServiceTimes {
    mean: Duration,
    mean_deviation: Duration,
    // Time of a lease in which its request is not at the server: the way from the owner to the host and back.
    mean_overhead: Duration,
    // Times of recent responses, and that of a quick one of them.
    recent: VecDeque<Duration>,
    quick: Duration,
    // Mean of more responses, and its lowest value.
    steady_mean: Duration,
    lowest_mean: Option<Duration>,
    // Number of responses, up to those that the steady mean covers.
    responses: u32,
}

impl ServiceTimes {
    /// Times of a server of which only a first estimate is known; zero if there is none.
    pub(super) fn new(estimate: Duration, overhead: Duration) -> Self {
        let service_time = match estimate.is_zero() {
            true => ASSUMED_SERVICE_TIME,
            false => estimate.max(MIN_SERVICE_TIME),
        };
        Self {
            mean: service_time,
            mean_deviation: Duration::ZERO,
            mean_overhead: overhead,
            recent: VecDeque::new(),
            quick: service_time,
            steady_mean: service_time,
            lowest_mean: None,
            responses: 1,
        }
    }

    /// The mean time of recent responses.
    pub(super) fn mean(&self) -> Duration {
        self.mean
    }

    /// The time after which the server has answered a request, if it answers others. A host may still wait for that answer.
    pub(super) fn work_limit(&self) -> Duration {
        self.quick * WORK_FACTOR
    }

    /// The time within which nearly all responses come.
    pub(super) fn expected(&self) -> Duration {
        self.mean + self.mean_deviation * EXPECTED_DEVIATIONS
    }

    /// The mean time for which a place is leased.
    pub(super) fn lease_time(&self) -> Duration {
        self.mean + self.mean_overhead
    }

    /// Records a response, and the rest of the time for which its place was leased. Returns whether responses have become
    /// slow.
    pub(super) fn record(&mut self, time: Duration, overhead: Duration) -> bool {
        self.record_quick(time);
        let steady_time = time.min(self.quick * STEADY_FACTOR);
        let time = time.min(self.work_limit());
        self.responses = (self.responses + 1).min(STEADY_RESPONSES);
        let first_weight = 1.0 / f64::from(self.responses);
        let weight = MEAN_WEIGHT.max(first_weight);
        let deviation = time.abs_diff(self.mean);
        self.mean_deviation = weighted(self.mean_deviation, deviation, weight);
        self.mean_overhead = weighted(self.mean_overhead, overhead, weight);
        self.mean = weighted(self.mean, time, weight).max(MIN_SERVICE_TIME);
        let steady_weight = STEADY_WEIGHT.max(first_weight);
        let steady_mean = weighted(self.steady_mean, steady_time, steady_weight);
        self.steady_mean = steady_mean.max(MIN_SERVICE_TIME);
        self.responses == STEADY_RESPONSES && self.update_lowest()
    }

    fn record_quick(&mut self, time: Duration) {
        if self.recent.len() == RECENT_RESPONSES {
            self.recent.pop_front();
        }
        self.recent.push_back(time);
        let mut times: Vec<Duration> = self.recent.iter().copied().collect();
        let index = (times.len() as f64 * QUICK_FRACTION) as usize;
        let (_, quick, _) = times.select_nth_unstable(index);
        self.quick = (*quick).max(MIN_SERVICE_TIME);
    }

    fn update_lowest(&mut self) -> bool {
        let lowest = self.lowest_mean.unwrap_or(self.steady_mean);
        let grown = lowest.mul_f64(LOWEST_GROWTH);
        self.lowest_mean = Some(self.steady_mean.min(grown));
        self.steady_mean > lowest.mul_f64(SLOW_FACTOR)
    }

    /// Requests that may wait in the own queue of a server with so many slots: up to `wanted`, and no more than are answered
    /// within `in_time`.
    pub(super) fn queued_places(&self, slots: u32, wanted: u32, in_time: Duration) -> u32 {
        let service_time = self.service_time();
        let spare_time = in_time.saturating_sub(service_time).as_secs_f64();
        let in_time = f64::from(slots) * spare_time / service_time.as_secs_f64();
        wanted.min(in_time as u32)
    }

    /// Places whose requests are on their way between the owner, a host and the server while the server is busy; at most
    /// as many as it has slots.
    pub(super) fn moving_places(&self, slots: u32) -> u32 {
        let share = self.mean_overhead.as_secs_f64() / self.service_time().as_secs_f64();
        (f64::from(slots) * share.min(1.0)).round() as u32
    }

    // The time that a response takes if the server is not used by others.
    fn service_time(&self) -> Duration {
        self.lowest_mean.unwrap_or(self.steady_mean)
    }
}

fn weighted(mean: Duration, latest: Duration, weight: f64) -> Duration {
    mean.mul_f64(1.0 - weight) + latest.mul_f64(weight)
}

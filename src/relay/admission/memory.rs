//! Queue order and memory headroom when the engines have no memory for all requests.
//!
//! Pure functions, for bursts beyond the capacity of the decode engines. Hosts decide independently, so a request that
//! will miss its latency target leaves memory to requests, also of other hosts, that can still meet theirs.

use {
    super::wait_queue::QueueKey,
    crate::relay::dialect::RequestMetadata,
    std::{ops::RangeInclusive, time::Duration},
};

/// Fraction of an engine's memory that must stay free beside a request's reservation, because answers grow beyond
/// what is reserved for them. When it runs out, the engine preempts and recomputes a request, which costs more than
/// letting one wait.
const HEADROOM_SHARE: f64 = 0.055;

/// The same for a request that can no longer meet its latency target: the memory is left to requests that can,
/// including those queued at other hosts.
const LATE_HEADROOM_SHARE: f64 = 0.2;

/// Time from the reservation to the first event: the prefill and the first decode step.
const SERVICE_TIME: Duration = Duration::from_millis(250);

/// Fraction of an answer's expected tokens that is reserved; the rest comes out of the headroom, which all answers of
/// an engine share.
const RESERVED_ANSWER: f64 = 0.3;

/// Tokens of a typical request, prompt and answer.
const TYPICAL_TOKENS: f64 = 4_000.0;

/// Bounds of the factor by which a request's size scales its latency target in the queue order: the largest requests
/// rank at most one target later than a typical one.
const SIZE_FACTOR_MIN: f64 = 0.3;
const SIZE_FACTOR_MAX: f64 = 2.0;

/// Maximum time that a request waits for memory. Callers abandon a stream after a few seconds without events, and
/// longer waits serve more requests late and fewer in time.
pub(crate) const WAIT_LIMIT: Duration = Duration::from_millis(1_200);

/// Retry delay given to callers that are refused for lack of memory. The requests that fill it run for about three
/// seconds and a burst lasts four or five, so a retry after one second is mostly refused again. The delay is
/// randomized so that callers refused together do not return together.
pub(crate) const RETRY_AFTER: RangeInclusive<Duration> =
    Duration::from_millis(2_400)..=Duration::from_millis(4_600);

/// A request queued for memory at an engine.
#[derive(Debug, Clone, Copy)]
pub struct QueuedRequest {
    /// Arrival time on the host's clock.
    pub arrived: Duration,
    /// How long its caller had already waited in earlier attempts.
    pub waited: Duration,
    /// Latency target for the first event, counted from the caller's first attempt.
    pub target: Duration,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Tokens of its prompt and, if known, of its answer.
    pub tokens: u64,
}

impl QueuedRequest {
    /// Sort key of the request in the queue as of now. Requests that can still meet their target come first. Small
    /// requests go ahead of large ones that arrived slightly earlier: they need less memory for a shorter time, so
    /// more requests are served in time when the queue cannot be served in full.
    pub fn key(&self, ticket: u64, now: Duration) -> QueueKey {
        let due = self.arrived + self.target.saturating_sub(self.waited);
        let size = (self.tokens as f64 / TYPICAL_TOKENS).clamp(SIZE_FACTOR_MIN, SIZE_FACTOR_MAX);
        QueueKey {
            late: now + SERVICE_TIME > due,
            priority: self.priority,
            rank: self.arrived + self.target.mul_f64(size),
            ticket,
        }
    }
}

/// Memory that a request reserves, in tokens. Running answers are at all stages of their growth, so reserving every
/// answer in full would leave memory unused.
pub fn reserved_tokens(marks: &RequestMetadata) -> u64 {
    let expected = marks.answer_hint.unwrap_or(marks.answer_limit / 2);
    let expected = expected.min(marks.answer_limit);
    marks.prompt_tokens + (expected as f64 * RESERVED_ANSWER) as u64
}

/// Tokens that must stay free at an engine beside a request's reservation. The headroom shrinks to nothing for a
/// request that fills the engine's whole memory.
pub fn headroom(memory: u64, tokens: u64, is_late: bool) -> u64 {
    let share = match is_late {
        true => LATE_HEADROOM_SHARE,
        false => HEADROOM_SHARE,
    };
    let wanted = (memory as f64 * share) as u64;
    wanted.min(memory.saturating_sub(tokens))
}

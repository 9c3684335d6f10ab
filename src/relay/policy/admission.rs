//! Who is served next when engines have no memory for all, and what has to stay free for the others.
//!
//! Plain functions without clock or socket. They answer bursts beyond what the decode engines hold: hosts decide
//! apart, so a request that can only be late must leave memory to those that others could still serve in time.

use {
    super::line::LineKey,
    crate::relay::dialect::RequestMetadata,
    std::{ops::RangeInclusive, time::Duration},
};

/// Part of an engine's memory that has to be free beside what a request reserves: answers grow into it
/// beyond what is reserved for them. Where none is free one of those is put back and computed anew, which
/// costs more than a request that waits.
const HEADROOM_SHARE: f64 = 0.055;

/// The same for a request that can no longer be in time: memory that others could still use in time is left to
/// them, also to those that wait at other hosts.
const LATE_HEADROOM_SHARE: f64 = 0.2;

/// From the reservation to the first event: the prefill and the first step.
const SERVICE_TIME: Duration = Duration::from_millis(250);

/// Part of an answer's expected tokens that is reserved for it alone; the rest it finds in the headroom, which
/// all answers of an engine share.
const RESERVED_ANSWER: f64 = 0.3;

/// Tokens of a request of the usual size, prompt and answer.
const USUAL_TOKENS: f64 = 4_000.0;

/// Bounds of what a request's size makes of its latency target when the line is ordered: the largest
/// wait one target longer than the usual, no more.
const SIZE_FACTOR_LEAST: f64 = 0.3;
const SIZE_FACTOR_MOST: f64 = 2.0;

/// Longest wait of a request for memory: callers give a stream up after some seconds without events. Longer waits
/// serve more of them late and fewer in time.
pub(crate) const WAIT_LIMIT: Duration = Duration::from_millis(1_200);

/// When callers are to come back after a refusal for lack of memory: what fills it runs for some three seconds, and a
/// burst lasts four or five. Who comes back after one second is mostly refused again. Spread, so that those refused
/// together come back apart.
pub(crate) const COME_BACK: RangeInclusive<Duration> =
    Duration::from_millis(2_400)..=Duration::from_millis(4_600);

/// A request that waits for memory at an engine.
#[derive(Debug, Clone, Copy)]
pub struct LineEntrant {
    /// When it came, on the host's clock.
    pub arrived: Duration,
    /// How long its caller had waited before, with an earlier try.
    pub waited: Duration,
    /// Time from the caller's first try to the first event that is in time.
    pub target: Duration,
    /// 0 is the most urgent.
    pub priority: u8,
    /// Tokens of its prompt and, as far as that is known, of its answer.
    pub tokens: u64,
}

impl LineEntrant {
    /// Its place in the line as of now. Who can no longer be in time lets those go first who can; small requests
    /// go before large ones that came a little earlier, since they take less memory for less time, and a line
    /// that is not served in full serves more of them in time.
    pub fn key(&self, ticket: u64, now: Duration) -> LineKey {
        let due = self.arrived + self.target.saturating_sub(self.waited);
        let size = (self.tokens as f64 / USUAL_TOKENS).clamp(SIZE_FACTOR_LEAST, SIZE_FACTOR_MOST);
        LineKey {
            late: now + SERVICE_TIME > due,
            priority: self.priority,
            rank: self.arrived + self.target.mul_f64(size),
            ticket,
        }
    }
}

/// Tokens of memory that a request reserves. An engine's memory fills as answers grow, and those that run are at
/// all stages of it: reserving each whole answer would leave memory unused.
pub fn reserved_tokens(marks: &RequestMetadata) -> u64 {
    let expected = marks.answer_hint.unwrap_or(marks.answer_limit / 2);
    let expected = expected.min(marks.answer_limit);
    marks.prompt_tokens + (expected as f64 * RESERVED_ANSWER) as u64
}

/// Tokens that have to be free at an engine beside what a request reserves there. One that fills the engine's memory
/// leaves no headroom.
pub fn headroom(memory: u64, tokens: u64, is_late: bool) -> u64 {
    let share = match is_late {
        true => LATE_HEADROOM_SHARE,
        false => HEADROOM_SHARE,
    };
    let wanted = (memory as f64 * share) as u64;
    wanted.min(memory.saturating_sub(tokens))
}

//! Health and load of one backend server as this host observes them.

use {
    super::{availability::ServerRun, loads::EngineKey},
    crate::relay::backend::BackendInfo,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Consecutive failures after which a backend server is ejected.
pub(super) const FAILURES_TO_EJECT: u32 = 2;

/// Duration of the first ejection; doubled each time the server fails again.
pub(super) const EJECT_FIRST: Duration = Duration::from_millis(500);

/// Score penalty, in requests in flight, of a server in another zone: the round trip costs more than a short queue.
const OTHER_ZONE_PENALTY: f64 = 2.0;

/// Age of an unanswered request from which its server counts as slow; a plain request takes some tens of
/// milliseconds.
const SLOW_AFTER: Duration = Duration::from_millis(150);

/// Score penalty, in requests in flight, of a slow server.
const SLOW_PENALTY: f64 = 6.0;

/// Score penalty, in requests in flight, of an error rate of 1.
const ERROR_PENALTY: f64 = 12.0;

/// Score penalty, in requests in flight, of a request that the server has just rejected.
const REJECTION_PENALTY: f64 = 4.0;

/// Half-life of the weight of rejected requests: queues drain within a few hundred milliseconds.
const REJECTION_HALF_LIFE: Duration = Duration::from_millis(500);

/// Weight of rejected requests from which a server counts as full: one within the half-life.
const FULL_REJECTION_WEIGHT: f64 = 0.5;

/// Decay time constant of an observed prefill queueing delay, which says little about the queue later on.
const PREFILL_DELAY_DECAY: Duration = Duration::from_millis(300);

/// How a backend server failed to respond.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BackendFailure {
    /// The connection failed or was reset.
    Broken,
    /// The response timed out.
    Silent,
    /// It wrote more than a response may have.
    Endless,
}

/// Health and load of one backend server as this host observes them.
#[derive(Debug)]
pub struct BackendView {
    /// Identity, address and role of the server.
    pub info: BackendInfo,
    // Identifies this run of the server among all runs.
    pub(super) run: ServerRun,
    // Identifies this run in load reports.
    pub(super) key: EngineKey,
    // Send time of each request in flight, by its number.
    pub(super) calls: BTreeMap<u64, Duration>,
    // Requests in flight that servers have crashed under before.
    pub(super) suspects: BTreeSet<u64>,
    // Consecutive failures.
    pub(super) failures: u32,
    pub(super) ejected_until: Duration,
    // When it reached `FAILURES_TO_EJECT`: a request sent since then acts as a probe.
    pub(super) failing_since: Duration,
    pub(super) ejection_time: Duration,
    // Moving average of the share of failed requests.
    pub(super) error_rate: f64,
    // Decaying weight of the plain requests that it rejected, and the time of that value.
    pub(super) rejections: (f64, Duration),
    // Memory that requests of this host use.
    pub(super) memory_tokens: u64,
    // Memory that it is being asked for.
    pub(super) asked_tokens: u64,
    // Memory that requests of other hosts use.
    pub(super) peer_tokens: u64,
    // How many other hosts have ejected it.
    pub(super) peer_ejections: u32,
    // Size of the last request refused for lack of memory, and until when that counts.
    pub(super) refused: Option<(Duration, u64)>,
    // Prompt tokens of this host's prefills in flight.
    pub(super) prefill_tokens: u64,
    // Until when it is expected to decline every request.
    pub(super) declines_until: Duration,
    // Queueing delay of the last prefill (its duration without its own computation), and when it was observed.
    pub(super) prefill_delay: Option<(Duration, Duration)>,
}

impl BackendView {
    /// A server that nothing was observed of yet.
    pub(super) fn new(info: BackendInfo) -> Self {
        Self {
            key: info.key(),
            run: info.run(),
            info,
            calls: BTreeMap::new(),
            suspects: BTreeSet::new(),
            failures: 0,
            ejected_until: Duration::ZERO,
            failing_since: Duration::ZERO,
            ejection_time: EJECT_FIRST,
            error_rate: 0.0,
            rejections: (0.0, Duration::ZERO),
            memory_tokens: 0,
            asked_tokens: 0,
            peer_tokens: 0,
            peer_ejections: 0,
            refused: None,
            prefill_tokens: 0,
            declines_until: Duration::ZERO,
            prefill_delay: None,
        }
    }

    /// Estimated queueing delay of a new prompt, in seconds: this host's own prefills in flight, plus the decayed delay
    /// that the last response showed other hosts' prompts to cause.
    pub(super) fn prefill_backlog(&self, rate: f64, now: Duration) -> f64 {
        let own = self.prefill_tokens as f64 / rate;
        let Some((delay, at)) = self.prefill_delay else {
            return own;
        };
        let age = now.saturating_sub(at).as_secs_f64() / PREFILL_DELAY_DECAY.as_secs_f64();
        own + delay.as_secs_f64() * (-age).exp()
    }

    /// Whether this host has ejected the server.
    pub fn is_ejected(&self, now: Duration) -> bool {
        now < self.ejected_until
    }

    /// Whether other hosts need to know of it: requests of this host, or an ejection.
    pub(super) fn is_reportable(&self, now: Duration) -> bool {
        self.memory_tokens + self.prefill_tokens > 0 || self.is_ejected(now)
    }

    /// Whether a request in flight probes a server that failed: no other is sent until it responds.
    pub fn is_probing(&self) -> bool {
        self.failures >= FAILURES_TO_EJECT && self.is_being_probed()
    }

    /// Whether a request in flight was sent since the server began to fail, and so probes whether it responds again.
    pub(super) fn is_being_probed(&self) -> bool {
        let mut sent = self.calls.values();
        sent.any(|sent| *sent >= self.failing_since)
    }

    /// Whether a request of this host that servers have crashed under before runs there. Other requests go elsewhere
    /// where possible, so that fewer of them are lost if the server crashes.
    pub(super) fn runs_suspects(&self) -> bool {
        !self.suspects.is_empty()
    }

    /// Number of this host's requests in flight.
    pub fn calls(&self) -> usize {
        self.calls.len()
    }

    /// Memory that this host's requests use, in tokens.
    pub fn memory_tokens(&self) -> u64 {
        self.memory_tokens
    }

    /// Records a rejected plain request.
    pub(super) fn note_rejection(&mut self, now: Duration) {
        self.rejections = (self.rejection_weight(now) + 1.0, now);
    }

    fn rejection_weight(&self, now: Duration) -> f64 {
        let (weight, at) = self.rejections;
        if weight == 0.0 {
            return 0.0;
        }
        let age = now.saturating_sub(at).as_secs_f64();
        weight * (-age / REJECTION_HALF_LIFE.as_secs_f64()).exp2()
    }

    /// Whether a plain server is seen to have no room: this host's own requests take all its places, or it has just
    /// rejected one.
    pub(super) fn is_full(&self, now: Duration) -> bool {
        self.calls.len() >= self.info.slots.max(1) as usize
            || self.rejection_weight(now) >= FULL_REJECTION_WEIGHT
    }

    fn is_slow(&self, now: Duration) -> bool {
        let oldest = self.calls.values().min();
        oldest.is_some_and(|sent| now.saturating_sub(*sent) >= SLOW_AFTER)
    }

    /// Cost of sending a plain request there, in equivalent requests in flight.
    pub(super) fn plain_score(&self, zone: &str, now: Duration) -> f64 {
        let distance = f64::from(u8::from(self.info.zone != zone)) * OTHER_ZONE_PENALTY;
        let slowness = f64::from(u8::from(self.is_slow(now))) * SLOW_PENALTY;
        let rejections = self.rejection_weight(now) * REJECTION_PENALTY;
        self.calls.len() as f64 + distance + slowness + rejections + self.error_rate * ERROR_PENALTY
    }

    /// Whether it recently had no memory for a request of this size or smaller.
    pub(super) fn has_refused(&self, tokens: u64, now: Duration) -> bool {
        self.refused
            .is_some_and(|(until, refused)| now < until && tokens >= refused)
    }
}

//! What this host knows of one backend server.

use {
    super::{availability::ServerRun, loads::EngineKey},
    crate::relay::backend::BackendInfo,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Failures in a row after which a backend server is passed over.
pub(super) const FAILURES_TO_EJECT: u32 = 2;

/// How long a backend server is passed over at first; doubled each time it fails again.
pub(super) const EJECT_FIRST: Duration = Duration::from_millis(500);

/// Requests in progress that another zone counts as: a way there and back costs more than a short queue.
const AWAY_PENALTY: f64 = 2.0;

/// Silence of a request in progress from which its server counts as doubtful; a plain call takes some
/// tens of milliseconds.
const DOUBT_AFTER: Duration = Duration::from_millis(150);

/// Requests in progress that doubt counts as.
const DOUBT_PENALTY: f64 = 6.0;

/// Requests in progress that a share of failed answers of 1 counts as.
const ERROR_PENALTY: f64 = 12.0;

/// Requests in progress that a request counts as which the server has just turned away.
const TURNED_AWAY_PENALTY: f64 = 4.0;

/// Time in which the weight of requests that were turned away halves: queues empty in some hundred milliseconds.
const TURNED_AWAY_HALF_LIFE: Duration = Duration::from_millis(500);

/// How long an observed delay of a prefill engine tells of its present queue.
const DELAY_MEMORY: Duration = Duration::from_millis(300);

/// How a backend server failed to answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BackendFailure {
    /// The connection failed, or broke off.
    Broken,
    /// Nothing came in time.
    Silent,
}

/// What this host knows of one backend server.
#[derive(Debug)]
pub struct BackendView {
    /// Who it is.
    pub info: BackendInfo,
    // The same, told from all other runs.
    pub(super) run: ServerRun,
    // The same in reports of other hosts.
    pub(super) key: EngineKey,
    // Whether it is an engine that this host works with first.
    pub(super) is_preferred: bool,
    // When each request in progress was sent, by its number.
    pub(super) calls: BTreeMap<u64, Duration>,
    // Those of them under which servers ended before.
    pub(super) suspects: BTreeSet<u64>,
    pub(super) failures: u32,
    pub(super) out_until: Duration,
    // Since when it fails: all that was sent since then shows whether it answers again.
    pub(super) failing_since: Duration,
    pub(super) out_time: Duration,
    pub(super) error_share: f64,
    // Weight of the plain requests that it turned away, as of a time.
    pub(super) turned_away: (f64, Duration),
    pub(super) memory_tokens: u64,
    // What the requests of other hosts take.
    pub(super) others_tokens: u64,
    // Other hosts that pass it over.
    pub(super) others_out: u32,
    pub(super) refused: Option<(Duration, u64)>,
    pub(super) prefill_tokens: u64,
    // Until when it is taken to decline whatever comes.
    pub(super) declines_until: Duration,
    // How much longer than its own prompt the last prefill took, and when that was seen.
    pub(super) prefill_delay: Option<(Duration, Duration)>,
}

impl BackendView {
    /// One of which nothing is known yet.
    pub(super) fn new(info: BackendInfo) -> Self {
        Self {
            key: info.key(),
            run: info.run(),
            info,
            is_preferred: true,
            calls: BTreeMap::new(),
            suspects: BTreeSet::new(),
            failures: 0,
            out_until: Duration::ZERO,
            failing_since: Duration::ZERO,
            out_time: EJECT_FIRST,
            error_share: 0.0,
            turned_away: (0.0, Duration::ZERO),
            memory_tokens: 0,
            others_tokens: 0,
            others_out: 0,
            refused: None,
            prefill_tokens: 0,
            declines_until: Duration::ZERO,
            prefill_delay: None,
        }
    }

    /// What stands before a new prompt there, seconds, as far as this host can know: its own prompts, and
    /// what the last answer showed of others'.
    pub(super) fn prefill_backlog(&self, rate: f64, now: Duration) -> f64 {
        let own = self.prefill_tokens as f64 / rate;
        let Some((delay, at)) = self.prefill_delay else {
            return own;
        };
        let age = now.saturating_sub(at).as_secs_f64() / DELAY_MEMORY.as_secs_f64();
        own + delay.as_secs_f64() * (-age).exp()
    }

    /// Whether it is passed over.
    pub fn is_out(&self, now: Duration) -> bool {
        now < self.out_until
    }

    /// Whether a request that was sent after its time out is to show whether it answers again: until then
    /// no other follows.
    pub fn is_on_trial(&self) -> bool {
        let mut sent = self.calls.values();
        self.failures >= FAILURES_TO_EJECT && sent.any(|sent| *sent >= self.out_until)
    }

    /// Whether a request of this host, sent since it fails, shows whether it answers again.
    pub(super) fn is_being_tried(&self) -> bool {
        let mut sent = self.calls.values();
        sent.any(|sent| *sent >= self.failing_since)
    }

    /// Whether requests of this host run there under which servers ended before. Others are sent elsewhere if they
    /// can be, so that fewer innocent ones are lost with it.
    pub(super) fn runs_suspects(&self) -> bool {
        !self.suspects.is_empty()
    }

    /// Requests of this host in progress.
    pub fn calls(&self) -> usize {
        self.calls.len()
    }

    /// Tokens of memory that this host's requests take.
    pub fn memory_tokens(&self) -> u64 {
        self.memory_tokens
    }

    /// It turned a plain request away.
    pub(super) fn note_turned_away(&mut self, now: Duration) {
        self.turned_away = (self.turned_away_weight(now) + 1.0, now);
    }

    fn turned_away_weight(&self, now: Duration) -> f64 {
        let (weight, at) = self.turned_away;
        if weight == 0.0 {
            return 0.0;
        }
        let age = now.saturating_sub(at).as_secs_f64();
        weight * (-age / TURNED_AWAY_HALF_LIFE.as_secs_f64()).exp2()
    }

    fn is_doubtful(&self, now: Duration) -> bool {
        let oldest = self.calls.values().min();
        oldest.is_some_and(|sent| now.saturating_sub(*sent) >= DOUBT_AFTER)
    }

    /// What speaks against sending a plain request there, in requests in progress.
    pub(super) fn plain_score(&self, zone: &str, now: Duration) -> f64 {
        let away = f64::from(u8::from(self.info.zone != zone)) * AWAY_PENALTY;
        let doubt = f64::from(u8::from(self.is_doubtful(now))) * DOUBT_PENALTY;
        let turned_away = self.turned_away_weight(now) * TURNED_AWAY_PENALTY;
        self.calls.len() as f64 + away + doubt + turned_away + self.error_share * ERROR_PENALTY
    }

    /// Whether it had no room lately for as many tokens.
    pub(super) fn has_refused(&self, tokens: u64, now: Duration) -> bool {
        self.refused
            .is_some_and(|(until, refused)| now < until && tokens >= refused)
    }
}

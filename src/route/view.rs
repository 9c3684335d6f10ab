//! State of one engine as this host knows it: the last load report, which lags, and the work that this host
//! has sent since.

use {
    super::policy::RouteTuning,
    crate::{
        engine::{self, EngineLink, EngineRole, LoadReport, PrefixIndex},
        object,
    },
    faststr::FastStr,
    std::{sync::Arc, time::Duration},
};

/// Weight of a new sample in a moving average.
const SAMPLE_WEIGHT: f64 = 0.2;

/// How long a measured gap between tokens is valid.
const GAP_MAX_AGE: Duration = Duration::from_secs(3);

/// Identity and address of an engine.
#[derive(Debug, Clone)]
pub struct EngineInfo {
    /// Name.
    pub name: FastStr,
    /// Address at which other engines reach it.
    pub address: FastStr,
    /// Availability zone.
    pub zone: FastStr,
    /// Labels, by which pools select engines.
    pub labels: object::LabelMap,
    /// Client for calls to the engine.
    pub link: Arc<EngineLink>,
}

/// State of one engine as this host knows it.
#[derive(Debug)]
pub struct EngineView {
    /// Identity and address.
    pub info: EngineInfo,
    /// Whether the platform, the engine itself or an operator says that the engine is leaving.
    pub leaving: bool,
    report: Option<LoadReport>,
    reported_at: Option<Duration>,
    peer_leaving_until: Duration,
    own_prefill_tokens: u64,
    own_prefills: u32,
    own_decodes: u32,
    // This host's own work that the last report may include.
    own_tokens_in_report: u64,
    own_decodes_in_report: u32,
    rate: Option<f64>,
    kv_per_token: Option<f64>,
    token_gap: Option<(f64, Duration)>,
    failures: u32,
    ejected_until: Duration,
    full_until: Duration,
    prefixes: PrefixIndex,
}

impl EngineView {
    /// Creates the state of an engine that has not reported yet.
    pub fn new(info: EngineInfo, tuning: &RouteTuning) -> Self {
        Self {
            info,
            leaving: false,
            report: None,
            reported_at: None,
            peer_leaving_until: Duration::ZERO,
            own_prefill_tokens: 0,
            own_prefills: 0,
            own_decodes: 0,
            own_tokens_in_report: 0,
            own_decodes_in_report: 0,
            rate: None,
            kv_per_token: None,
            token_gap: None,
            failures: 0,
            ejected_until: Duration::ZERO,
            full_until: Duration::ZERO,
            prefixes: PrefixIndex::new(tuning.prefix_blocks),
        }
    }

    /// Stores a load report.
    pub fn reported(&mut self, report: LoadReport, now: Duration) {
        self.reported_at = Some(now);
        self.own_tokens_in_report = self.own_prefill_tokens;
        self.own_decodes_in_report = self.own_decodes;
        self.report = Some(report);
    }

    /// Time of the last report, or of the last failed request for one.
    pub fn reported_at(&self) -> Option<Duration> {
        self.reported_at
    }

    /// Records that a request for a report failed.
    pub fn report_missed(&mut self, now: Duration) {
        self.reported_at = Some(now);
    }

    /// Records that another host reported the engine as leaving; valid until `until`.
    pub fn peer_reported_leaving(&mut self, until: Duration) {
        self.peer_leaving_until = until;
    }

    /// Whether the engine itself reports that it is leaving.
    pub fn says_leaving(&self) -> bool {
        self.report.as_ref().is_some_and(|report| report.leaving)
    }

    /// Whether new work of this role and model may be sent to the engine.
    pub fn is_usable(&self, role: EngineRole, model: &str, now: Duration) -> bool {
        let leaving = self.leaving || self.says_leaving() || now < self.peer_leaving_until;
        let fits = self.report.as_ref().is_none_or(|report| {
            report.role == role && report.models.iter().any(|loaded| loaded == model)
        });
        !leaving && fits && now >= self.ejected_until
    }

    /// Whether the engine has this role or has not reported one yet.
    pub fn may_have_role(&self, role: EngineRole) -> bool {
        self.report
            .as_ref()
            .is_none_or(|report| report.role == role)
    }

    /// Whether the engine is ejected because of failures or as an outlier.
    pub fn is_ejected(&self, now: Duration) -> bool {
        now < self.ejected_until
    }

    /// Ejects the engine until `until`.
    pub fn eject(&mut self, until: Duration) {
        self.ejected_until = self.ejected_until.max(until);
    }

    /// Records a call that failed without an answer and returns the number of consecutive failures.
    pub fn failed(&mut self) -> u32 {
        self.failures += 1;
        self.failures
    }

    /// Records that the engine refused a request as full.
    pub fn refused_full(&mut self, until: Duration) {
        self.full_until = until;
    }

    /// Whether the engine recently refused a request as full.
    pub fn is_full(&self, now: Duration) -> bool {
        now < self.full_until
    }

    /// Records that a prefill of `tokens` was sent.
    pub fn prefill_began(&mut self, tokens: u64, blocks: &[u64]) {
        self.own_prefill_tokens += tokens;
        self.own_prefills += 1;
        self.prefixes.admit(blocks);
    }

    /// Records that a prefill of `tokens` ended, with or without a result.
    pub fn prefill_ended(&mut self, tokens: u64) {
        self.own_prefill_tokens -= tokens;
        self.own_prefills -= 1;
        self.own_tokens_in_report = self.own_tokens_in_report.saturating_sub(tokens);
        if let Some(report) = &mut self.report {
            report.queued_tokens = report.queued_tokens.saturating_sub(tokens);
        }
    }

    /// Updates the prefill rate and the KV cache size per token from a prefill's result.
    pub fn prefill_observed(&mut self, reply: &engine::PrefillReply) {
        self.failures = 0;
        if reply.computed_tokens > 0 && reply.compute_ms > 0.0 {
            let rate = reply.computed_tokens as f64 * 1_000.0 / reply.compute_ms;
            self.rate = Some(mean(self.rate, rate));
        }
        let tokens = (reply.computed_tokens + reply.cached_tokens).max(1) as f64;
        self.kv_per_token = Some(reply.kv_bytes as f64 / tokens);
    }

    /// Records that a decode slot is in use.
    pub fn decode_began(&mut self) {
        self.own_decodes += 1;
    }

    /// Records that a decode slot was released or not used.
    pub fn decode_ended(&mut self) {
        self.own_decodes = self.own_decodes.saturating_sub(1);
        self.own_decodes_in_report = self.own_decodes_in_report.saturating_sub(1);
        if let Some(report) = &mut self.report {
            report.slots_used = report.slots_used.saturating_sub(1);
        }
        self.full_until = Duration::ZERO;
    }

    /// Records the gap between two tokens, in seconds.
    pub fn token_gap_observed(&mut self, gap: f64, now: Duration) {
        self.failures = 0;
        let known = self.token_gap.map(|(gap, _)| gap);
        self.token_gap = Some((mean(known, gap), now));
    }

    /// Moving average of the gap between tokens, in seconds, if measured recently.
    pub fn token_gap(&self, now: Duration) -> Option<f64> {
        let (gap, at) = self.token_gap?;
        (now < at + GAP_MAX_AGE).then_some(gap)
    }

    /// Prefill rate in tokens per second.
    pub fn rate(&self, tuning: &RouteTuning) -> f64 {
        self.rate.unwrap_or(tuning.prefill_rate)
    }

    /// Queued prompt tokens: those of this host, plus those of other hosts as reported less what the engine
    /// has computed since.
    pub fn backlog_tokens(&self, tuning: &RouteTuning, now: Duration) -> u64 {
        let reported = self.reported_tokens();
        let others = reported.saturating_sub(self.own_tokens_in_report);
        let age = now.saturating_sub(self.reported_at.unwrap_or(now));
        let worked_off = (age.as_secs_f64() * self.rate(tuning)) as u64;
        others.saturating_sub(worked_off) + self.own_prefill_tokens
    }

    /// Queued prompt tokens in the last report.
    pub fn reported_tokens(&self) -> u64 {
        self.report
            .as_ref()
            .map_or(0, |report| report.queued_tokens)
    }

    /// Decode slots in use: those of other hosts as reported plus those of this host.
    pub fn slots_used(&self) -> u32 {
        let reported = self.report.as_ref().map_or(0, |report| report.slots_used);
        let others = reported.saturating_sub(self.own_decodes_in_report);
        others + self.own_decodes
    }

    /// Decode slots in use in the last report.
    pub fn reported_slots(&self) -> u32 {
        self.report.as_ref().map_or(0, |report| report.slots_used)
    }

    /// Total number of decode slots, once the engine has reported.
    pub fn slots_total(&self) -> Option<u32> {
        self.report.as_ref().map(|report| report.slots_total)
    }

    /// Prefills and decodes of this host on the engine.
    pub fn own_work(&self) -> (u32, u32) {
        (self.own_prefills, self.own_decodes)
    }

    /// Number of prompt tokens expected in the engine's prefix cache.
    pub fn cached_tokens(&self, blocks: &[u64]) -> u64 {
        self.prefixes.covered(blocks)
    }

    /// KV cache size in bytes per token.
    pub fn kv_per_token(&self, tuning: &RouteTuning) -> f64 {
        self.kv_per_token.unwrap_or(tuning.kv_bytes_per_token)
    }
}

fn mean(known: Option<f64>, new: f64) -> f64 {
    match known {
        Some(known) => known + SAMPLE_WEIGHT * (new - known),
        None => new,
    }
}

//! What this host knows of one engine: its lagging reports, and what this host did to it since.

use {
    super::policy::RouteTuning,
    crate::{
        engine::{self, EngineLink, EngineRole, LoadReport, PrefixIndex},
        object,
    },
    faststr::FastStr,
    std::{sync::Arc, time::Duration},
};

/// Share of a new observation in a running mean.
const MEAN_WEIGHT: f64 = 0.2;

/// How long an observed gap between tokens says something of the engine.
const GAP_LIFE: Duration = Duration::from_secs(3);

/// Who an engine is and how it is reached.
#[derive(Debug, Clone)]
pub struct EngineInfo {
    /// Its name.
    pub name: FastStr,
    /// Its address, as other engines reach it.
    pub address: FastStr,
    /// Its availability zone.
    pub zone: FastStr,
    /// Its labels, which pools select by.
    pub labels: object::LabelMap,
    /// The calls it answers.
    pub link: Arc<EngineLink>,
}

/// What this host knows of one engine.
#[derive(Debug)]
pub struct EngineView {
    /// Who it is.
    pub info: EngineInfo,
    /// The platform's list, the engine itself or an operator says that it is leaving.
    pub leaving: bool,
    report: Option<LoadReport>,
    reported_at: Option<Duration>,
    heard_leaving: Duration,
    own_prefill_tokens: u64,
    own_prefills: u32,
    own_decodes: u32,
    // What of this host's own work the last report may have counted.
    own_tokens_reported: u64,
    own_decodes_reported: u32,
    rate: Option<f64>,
    kv_per_token: Option<f64>,
    token_gap: Option<(f64, Duration)>,
    failures: u32,
    out_until: Duration,
    full_until: Duration,
    prefixes: PrefixIndex,
}

impl EngineView {
    /// An engine of which nothing is known yet.
    pub fn new(info: EngineInfo, tuning: &RouteTuning) -> Self {
        Self {
            info,
            leaving: false,
            report: None,
            reported_at: None,
            heard_leaving: Duration::ZERO,
            own_prefill_tokens: 0,
            own_prefills: 0,
            own_decodes: 0,
            own_tokens_reported: 0,
            own_decodes_reported: 0,
            rate: None,
            kv_per_token: None,
            token_gap: None,
            failures: 0,
            out_until: Duration::ZERO,
            full_until: Duration::ZERO,
            prefixes: PrefixIndex::new(tuning.prefix_blocks),
        }
    }

    /// Takes a load report.
    pub fn reported(&mut self, report: LoadReport, now: Duration) {
        self.reported_at = Some(now);
        self.own_tokens_reported = self.own_prefill_tokens;
        self.own_decodes_reported = self.own_decodes;
        self.report = Some(report);
    }

    /// When it was last heard of, or asked in vain.
    pub fn reported_at(&self) -> Option<Duration> {
        self.reported_at
    }

    /// It was asked for a report and gave none.
    pub fn asked(&mut self, now: Duration) {
        self.reported_at = Some(now);
    }

    /// Another host says that the engine leaves.
    pub fn heard_leaving(&mut self, until: Duration) {
        self.heard_leaving = until;
    }

    /// Whether the engine itself says that it leaves.
    pub fn says_leaving(&self) -> bool {
        self.report.as_ref().is_some_and(|report| report.leaving)
    }

    /// Whether the engine may be given new work of this role and model.
    pub fn is_usable(&self, role: EngineRole, model: &str, now: Duration) -> bool {
        let leaving = self.leaving || self.says_leaving() || now < self.heard_leaving;
        let fits = self.report.as_ref().is_none_or(|report| {
            report.role == role && report.models.iter().any(|loaded| loaded == model)
        });
        !leaving && fits && now >= self.out_until
    }

    /// Whether the engine has this role, as far as is known.
    pub fn may_be(&self, role: EngineRole) -> bool {
        self.report
            .as_ref()
            .is_none_or(|report| report.role == role)
    }

    /// Whether the engine is out for a while because it failed or is an outlier.
    pub fn is_out(&self, now: Duration) -> bool {
        now < self.out_until
    }

    /// Takes the engine out until then.
    pub fn eject(&mut self, until: Duration) {
        self.out_until = self.out_until.max(until);
    }

    /// A call to it failed without an answer of its own; gives the failures in a row.
    pub fn failed(&mut self) -> u32 {
        self.failures += 1;
        self.failures
    }

    /// It refused because it is full.
    pub fn refused_full(&mut self, until: Duration) {
        self.full_until = until;
    }

    /// Whether it said lately that it is full.
    pub fn is_full(&self, now: Duration) -> bool {
        now < self.full_until
    }

    /// A prefill of `tokens` was sent.
    pub fn prefill_began(&mut self, tokens: u64, blocks: &[u64]) {
        self.own_prefill_tokens += tokens;
        self.own_prefills += 1;
        self.prefixes.admit(blocks);
    }

    /// A prefill of `tokens` ended, with or without a result.
    pub fn prefill_ended(&mut self, tokens: u64) {
        self.own_prefill_tokens -= tokens;
        self.own_prefills -= 1;
        self.own_tokens_reported = self.own_tokens_reported.saturating_sub(tokens);
        if let Some(report) = &mut self.report {
            report.queued_tokens = report.queued_tokens.saturating_sub(tokens);
        }
    }

    /// Learns from a prefill's result.
    pub fn prefill_observed(&mut self, reply: &engine::PrefillReply) {
        self.failures = 0;
        if reply.computed_tokens > 0 && reply.compute_ms > 0.0 {
            let rate = reply.computed_tokens as f64 * 1_000.0 / reply.compute_ms;
            self.rate = Some(mean(self.rate, rate));
        }
        let tokens = (reply.computed_tokens + reply.cached_tokens).max(1) as f64;
        self.kv_per_token = Some(reply.kv_bytes as f64 / tokens);
    }

    /// A decode slot is counted on from now.
    pub fn decode_began(&mut self) {
        self.own_decodes += 1;
    }

    /// A decode slot is free, or was never taken.
    pub fn decode_ended(&mut self) {
        self.own_decodes = self.own_decodes.saturating_sub(1);
        self.own_decodes_reported = self.own_decodes_reported.saturating_sub(1);
        if let Some(report) = &mut self.report {
            report.slots_used = report.slots_used.saturating_sub(1);
        }
        self.full_until = Duration::ZERO;
    }

    /// Learns from the gap between two tokens, seconds.
    pub fn gap_observed(&mut self, gap: f64, now: Duration) {
        self.failures = 0;
        let known = self.token_gap.map(|(gap, _)| gap);
        self.token_gap = Some((mean(known, gap), now));
    }

    /// Running mean of the gap between tokens, seconds, if it was observed lately.
    pub fn token_gap(&self, now: Duration) -> Option<f64> {
        let (gap, at) = self.token_gap?;
        (now < at + GAP_LIFE).then_some(gap)
    }

    /// Prompt tokens a second that it computes.
    pub fn rate(&self, tuning: &RouteTuning) -> f64 {
        self.rate.unwrap_or(tuning.prefill_rate)
    }

    /// Prompt tokens it has before it: this host's own as known, the others' as reported, less
    /// what it has worked off since.
    pub fn backlog_tokens(&self, tuning: &RouteTuning, now: Duration) -> u64 {
        let reported = self.reported_tokens();
        let others = reported.saturating_sub(self.own_tokens_reported);
        let age = now.saturating_sub(self.reported_at.unwrap_or(now));
        let worked_off = (age.as_secs_f64() * self.rate(tuning)) as u64;
        others.saturating_sub(worked_off) + self.own_prefill_tokens
    }

    /// Prompt tokens it had when it last reported.
    pub fn reported_tokens(&self) -> u64 {
        self.report
            .as_ref()
            .map_or(0, |report| report.queued_tokens)
    }

    /// Decode slots in use: the others' as reported, this host's own as known.
    pub fn slots_used(&self) -> u32 {
        let reported = self.report.as_ref().map_or(0, |report| report.slots_used);
        let others = reported.saturating_sub(self.own_decodes_reported);
        others + self.own_decodes
    }

    /// Decode slots that were in use when it last reported.
    pub fn reported_slots(&self) -> u32 {
        self.report.as_ref().map_or(0, |report| report.slots_used)
    }

    /// Decode slots in all, once it has reported.
    pub fn slots_total(&self) -> Option<u32> {
        self.report.as_ref().map(|report| report.slots_total)
    }

    /// This host's own prefills and decodes there.
    pub fn own_work(&self) -> (u32, u32) {
        (self.own_prefills, self.own_decodes)
    }

    /// Tokens of the prompt that its prefix cache probably has.
    pub fn cached_tokens(&self, blocks: &[u64]) -> u64 {
        self.prefixes.covered(blocks)
    }

    /// Bytes of KV cache a token.
    pub fn kv_per_token(&self, tuning: &RouteTuning) -> f64 {
        self.kv_per_token.unwrap_or(tuning.kv_bytes_per_token)
    }
}

fn mean(known: Option<f64>, new: f64) -> f64 {
    match known {
        Some(known) => known + MEAN_WEIGHT * (new - known),
        None => new,
    }
}

//! Choice of the prefill and decode engines of a request.

use {
    super::{
        limit_tracker::{PermitState, PermitWait},
        registry::{self, BackendRegistry},
        view::BackendView,
    },
    crate::{engine::EngineRole, relay::backend::BackendInfo},
    faststr::FastStr,
    std::time::Duration,
};

/// Delay penalty, in seconds, of a prefill engine in another zone: its KV cache takes the more expensive link.
const OTHER_ZONE_DELAY: f64 = 0.04;

/// Delay penalty, in seconds, of a prefill engine outside the host's subset: a new connection takes only a
/// millisecond, but what is known of its queue is older.
const OUTSIDE_SUBSET_DELAY: f64 = 0.12;

/// Limit of the expected final memory use of all requests, as a fraction of an engine's memory. Beyond it, growing
/// answers preempt other requests, which then have to be recomputed.
const MEMORY_OVERCOMMIT: f64 = 1.2;

/// Range of the random tokens added to an engine's load, about one typical request: otherwise all hosts would send to
/// the same least loaded engine at once.
const LOAD_JITTER: u64 = 4_000;

/// Load penalty, in tokens, of a decode engine whose backoff has just ended: its load ramps up gradually.
const RETURN_TOKENS: f64 = 16_000.0;

/// The same penalty for a prefill engine, in seconds of delay.
const RETURN_DELAY: f64 = 0.12;

impl BackendRegistry {
    /// The decode engines expected to have memory for a request, best first. Engines that run no suspect request of
    /// this host come first, then those of its own zone, then its preferred ones, then the least loaded. `memory` is
    /// an engine's capacity in tokens.
    pub fn rank_decodes(
        &self,
        service: &str,
        zone: &str,
        tokens: u64,
        memory: Option<u64>,
        now: Duration,
    ) -> Vec<BackendInfo> {
        let views = self
            .engines(service, EngineRole::Decode, now)
            .filter(|view| !view.has_refused(tokens, now))
            .filter(|view| self.fits(view, tokens, memory, now));
        registry::sorted(views, |view| {
            let jitter = rand::random::<u64>() % LOAD_JITTER;
            let is_other_zone = view.info.zone != zone;
            (
                view.runs_suspects(),
                is_other_zone,
                !view.is_preferred,
                self.known_load(view, now) + jitter + self.return_tokens(view, now),
            )
        })
    }

    fn return_tokens(&self, view: &BackendView, now: Duration) -> u64 {
        (self.availability.ramp_up_remaining(&view.run, now) * RETURN_TOKENS) as u64
    }

    /// Whether an engine is expected to have memory for a request.
    pub(super) fn fits(
        &self,
        view: &BackendView,
        tokens: u64,
        memory: Option<u64>,
        now: Duration,
    ) -> bool {
        let taken = self.known_load(view, now);
        let limit = memory.map(|memory| (memory as f64 * MEMORY_OVERCOMMIT) as u64);
        // An idle engine accepts any request that fits into its memory at all.
        taken == 0 || limit.is_none_or(|limit| taken + tokens <= limit)
    }

    /// The decode engines of a service that may take requests now.
    pub fn decode_engines(&self, service: &str, now: Duration) -> Vec<BackendInfo> {
        self.engines(service, EngineRole::Decode, now)
            .map(|view| view.info.clone())
            .collect()
    }

    /// The shortest wait for a permit at a decode engine, for a request of this priority. `None` if some engine can
    /// take the request without waiting, or if none may take requests at all.
    pub fn decode_wait(&self, service: &str, priority: u8, now: Duration) -> Option<PermitWait> {
        let mut least = None;
        for view in self.engines(service, EngineRole::Decode, now) {
            let server = view.key;
            let PermitState::Denied(time) = self.limits.permit(server, priority, now) else {
                return None;
            };
            least = Some(PermitWait::shorter(least, PermitWait { server, time }));
        }
        least
    }

    /// Predicted duration in seconds of a prefill of this many tokens, without queueing.
    pub fn prefill_time(&self, tokens: u64) -> f64 {
        tokens as f64 / self.prefill_rate
    }

    /// The untried prefill engine expected to start on a prompt first, and its predicted queueing delay in seconds.
    pub fn best_prefill(
        &self,
        service: &str,
        zone: &str,
        tried: &[FastStr],
        now: Duration,
    ) -> Option<(BackendInfo, f64)> {
        let engines = self.engines(service, EngineRole::Prefill, now);
        let untried = engines.filter(|view| !tried.contains(&view.info.id));
        let scored = untried.map(|view| {
            let penalty = f64::from(u8::from(view.info.zone != zone)) * OTHER_ZONE_DELAY;
            let penalty = penalty + f64::from(u8::from(!view.is_preferred)) * OUTSIDE_SUBSET_DELAY;
            let penalty =
                penalty + self.availability.ramp_up_remaining(&view.run, now) * RETURN_DELAY;
            let backlog = view.prefill_backlog(self.prefill_rate, now);
            (view, backlog, backlog + penalty, rand::random::<u16>())
        });
        let best = scored.min_by(|a, b| a.2.total_cmp(&b.2).then(a.3.cmp(&b.3)))?;
        Some((best.0.info.clone(), best.1))
    }

    fn engines<'a>(
        &'a self,
        service: &'a str,
        role: EngineRole,
        now: Duration,
    ) -> impl Iterator<Item = &'a BackendView> {
        self.usable(service, now)
            .filter(move |view| view.info.role == Some(role))
            .filter(move |view| !self.is_avoided(view, now) && now >= view.declines_until)
    }

    /// Records the duration of a prefill, which updates the throughput estimate and the engine's queueing delay.
    pub fn prefill_observed(&mut self, id: &str, tokens: u64, took: Duration, now: Duration) {
        let seen = tokens as f64 / took.as_secs_f64().max(0.001);
        self.prefill_rate = self.prefill_rate.max(seen);
        let own = Duration::from_secs_f64(tokens as f64 / self.prefill_rate);
        if let Some(view) = self.views.get_mut(id) {
            view.prefill_delay = Some((took.saturating_sub(own), now));
        }
    }
}

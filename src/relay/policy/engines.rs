//! Which engine computes a prompt, and which one decodes: choices by what the book knows.

use {
    super::{
        book::{self, BackendBook},
        limit_tracker::{PermitState, PermitWait},
        view::BackendView,
    },
    crate::{engine::EngineRole, relay::backend::BackendInfo},
    faststr::FastStr,
    std::time::Duration,
};

/// Delay that a prefill engine of another zone counts as: its KV cache takes the dearer way.
const AWAY_DELAY: f64 = 0.04;

/// Delay that a prefill engine outside the host's subset counts as, seconds: a new connection takes a millisecond, but what
/// is known of its queue is older.
const OUTSIDE_DELAY: f64 = 0.12;

/// Part of an engine's memory that all requests together may be expected to take at their end; beyond it,
/// answers that grow drive others out, which are then computed anew.
const MEMORY_SHARE: f64 = 1.2;

/// Tokens by which two engines' loads have to differ to count as different: hosts that all see the same
/// one as the emptiest would all send there. The usual size of a request.
const LOAD_NOISE: u64 = 4_000;

/// Tokens that a backoff which has just ended counts as at a decode engine: work comes back step by step.
const RETURN_TOKENS: f64 = 16_000.0;

/// The same at a prefill engine, seconds of delay.
const RETURN_DELAY: f64 = 0.12;

impl BackendBook {
    /// The decode engines that have room for a request as far as is known, best first: where no suspect of this host runs, own
    /// zone, those that this host works with, least taken. `memory` is what an engine's memory holds.
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
        book::sorted(views, |view| {
            let noise = rand::random::<u64>() % LOAD_NOISE;
            let is_other = view.info.zone != zone;
            (
                view.runs_suspects(),
                is_other,
                !view.is_preferred,
                self.known_tokens(view, now) + noise + self.return_tokens(view, now),
            )
        })
    }

    fn return_tokens(&self, view: &BackendView, now: Duration) -> u64 {
        (self.availability.ramp_up_remaining(&view.run, now) * RETURN_TOKENS) as u64
    }

    /// Whether an engine has room for a request, as far as is known.
    pub(super) fn fits(
        &self,
        view: &BackendView,
        tokens: u64,
        memory: Option<u64>,
        now: Duration,
    ) -> bool {
        let taken = self.known_tokens(view, now);
        let limit = memory.map(|memory| (memory as f64 * MEMORY_SHARE) as u64);
        // An empty engine takes whatever fits into its memory at all.
        taken == 0 || limit.is_none_or(|limit| taken + tokens <= limit)
    }

    /// The decode engines of a service that are not passed over.
    pub fn decode_engines(&self, service: &str, now: Duration) -> Vec<BackendInfo> {
        self.engines(service, EngineRole::Decode, now)
            .map(|view| view.info.clone())
            .collect()
    }

    /// When a permit is likely at a decode engine of a service, for a request of a rank, where all that are not passed over are
    /// rate-limited and none has one left; nothing where another one may take the request.
    pub fn decode_wait(&self, service: &str, rank: u8, now: Duration) -> Option<PermitWait> {
        let mut least = None;
        for view in self.engines(service, EngineRole::Decode, now) {
            let server = view.key;
            let PermitState::Denied(time) = self.limits.permit(server, rank, now) else {
                return None;
            };
            least = Some(PermitWait::shorter(least, PermitWait { server, time }));
        }
        least
    }

    /// Predicted time of a prefill of this many tokens that begins at once, seconds.
    pub fn prefill_time(&self, tokens: u64) -> f64 {
        tokens as f64 / self.prefill_rate
    }

    /// The prefill engine that would compute a prompt first, of those that were not tried, and the
    /// predicted time until it would begin, seconds.
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
            let away = f64::from(u8::from(view.info.zone != zone)) * AWAY_DELAY;
            let away = away + f64::from(u8::from(!view.is_preferred)) * OUTSIDE_DELAY;
            let away = away + self.availability.ramp_up_remaining(&view.run, now) * RETURN_DELAY;
            let backlog = view.prefill_backlog(self.prefill_rate, now);
            (view, backlog, backlog + away, rand::random::<u16>())
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
            .filter(move |view| !self.is_passed_over(view, now) && now >= view.declines_until)
    }

    /// A prefill of this many tokens took this long.
    pub fn prefill_observed(&mut self, id: &str, tokens: u64, took: Duration, now: Duration) {
        let seen = tokens as f64 / took.as_secs_f64().max(0.001);
        self.prefill_rate = self.prefill_rate.max(seen);
        let own = Duration::from_secs_f64(tokens as f64 / self.prefill_rate);
        if let Some(view) = self.views.get_mut(id) {
            view.prefill_delay = Some((took.saturating_sub(own), now));
        }
    }
}

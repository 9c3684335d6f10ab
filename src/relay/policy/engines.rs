//! Choice of the prefill and decode engines of a request.

use {
    super::{
        limit_tracker::{PermitState, PermitWait},
        loads::EngineKey,
        regions::RequestOrigin,
        registry::BackendRegistry,
        server_index::ServerPool,
        view::BackendView,
    },
    crate::{engine::EngineRole, relay::backend::BackendInfo},
    faststr::FastStr,
    std::{cmp::Ordering, iter, time::Duration},
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

/// Number of suitable decode engines from which no less preferred ones are ranked; a request asks fewer than that.
const RANKED_ENGINES: usize = 32;

/// Load penalty, in tokens, of a decode engine whose backoff has just ended: its load ramps up gradually.
const RETURN_TOKENS: f64 = 16_000.0;

/// The same penalty for a prefill engine, in seconds of delay.
const RETURN_DELAY: f64 = 0.12;

/// Delay penalty, in seconds, of a cold prefill engine: it is slower, and its permits are for prompts that would wait
/// elsewhere.
const COLD_DELAY: f64 = 0.1;

impl BackendRegistry {
    /// The decode engines expected to have memory for a request, best first. Engines that run no suspect request of
    /// this host come first, then warm ones, then those of its own zone, then its preferred ones, then the least loaded. `memory` is
    /// an engine's capacity in tokens.
    pub fn rank_decodes<'a>(
        &self,
        service: &str,
        origin: impl Into<RequestOrigin<'a>>,
        tokens: u64,
        memory: Option<u64>,
        now: Duration,
    ) -> Vec<BackendInfo> {
        self.rank_decodes_by(service, origin.into(), tokens, memory, now, &|_| 0)
    }

    /// The same for a request that leaves some tokens free at an engine, by the engine's id. They count as used there.
    pub fn rank_decodes_by(
        &self,
        service: &str,
        origin: RequestOrigin<'_>,
        tokens: u64,
        memory: Option<u64>,
        now: Duration,
        left_free: &dyn Fn(&str) -> u64,
    ) -> Vec<BackendInfo> {
        let role = EngineRole::Decode;
        let zone = origin.zone;
        let need = DecodeNeed {
            origin,
            tokens,
            memory,
            left_free,
            now,
        };
        let preferred = self.preferred_engines(service, role);
        let (near, far): (Vec<_>, Vec<_>) = preferred.partition(|view| view.info.zone == zone);
        let mut ranked = self.suitable_decodes(near.into_iter(), &need);
        if unimpaired(&ranked) < RANKED_ENGINES {
            let near = self.further_engines(service, role, origin, |other| other == zone);
            ranked.extend(self.suitable_decodes(near, &need));
        }
        if unimpaired(&ranked) < RANKED_ENGINES {
            let others = self.further_engines(service, role, origin, |other| other != zone);
            ranked.extend(self.suitable_decodes(far.into_iter().chain(others), &need));
        }
        ranked.sort_by_key(|(rank, _)| *rank);
        ranked.into_iter().map(|(_, info)| info.clone()).collect()
    }

    fn suitable_decodes<'a>(
        &self,
        views: impl Iterator<Item = &'a BackendView>,
        need: &DecodeNeed<'_>,
    ) -> Vec<(DecodeRank, &'a BackendInfo)> {
        let views = views.filter(|view| need.origin.allows_server(&view.info));
        let views = views.filter(|view| self.accepts(view, need.now));
        let views = views.filter(|view| !view.has_refused(need.tokens, need.now));
        let views = views.filter(|view| self.fits(view, need.tokens, need.memory, need.now));
        let ranked = views.map(|view| (self.decode_rank(view, need), &view.info));
        ranked.collect()
    }

    fn decode_rank(&self, view: &BackendView, need: &DecodeNeed<'_>) -> DecodeRank {
        let jitter = self.draw() % LOAD_JITTER;
        let load = self.known_load(view, need.now) + self.return_tokens(view, need.now);
        let left_free = (need.left_free)(&view.info.id);
        DecodeRank {
            runs_suspects: view.runs_suspects(),
            is_cold: self.limits.is_cold(view.key, need.now),
            is_other_zone: view.info.zone != need.origin.zone,
            is_outside_subset: !self.is_preferred(view),
            load: load + left_free + jitter,
        }
    }

    // The preferred engines of a role.
    fn preferred_engines<'a>(
        &'a self,
        service: &'a str,
        role: EngineRole,
    ) -> Box<dyn Iterator<Item = &'a BackendView> + 'a> {
        let Some(preferred) = &self.preferred else {
            let pools = self.index.pools(service);
            return Box::new(self.pool_views(pools.filter(move |pool| pool.role == Some(role))));
        };
        let views = preferred.iter().filter_map(|id| self.views.get(id));
        let views = views.inspect(|_| self.visit());
        Box::new(
            views.filter(move |view| view.info.role == Some(role) && view.info.service == service),
        )
    }

    // Other engines of a role in some zones that a request may reach; of a large pool only a random part.
    fn further_engines<'a>(
        &'a self,
        service: &'a str,
        role: EngineRole,
        origin: RequestOrigin<'a>,
        is_in_zone: impl Fn(&str) -> bool + 'a,
    ) -> impl Iterator<Item = &'a BackendView> {
        let pools = self.index.pools(service);
        let pools = pools.filter(move |pool| {
            pool.role == Some(role)
                && is_in_zone(&pool.zone)
                && origin.allows(&pool.zone, &pool.software)
        });
        let ids = pools.flat_map(|pool| pool.sample(self.draw()));
        let views = ids.filter_map(|id| self.views.get(id));
        views
            .inspect(|_| self.visit())
            .filter(|view| !self.is_preferred(view))
    }

    /// The ids of a zone's engines that are not leaving, by service and role.
    pub fn zone_engines(&self, zone: &str, now: Duration) -> Vec<Vec<FastStr>> {
        let pools = self.index.zone_pools(zone);
        let pools = pools.filter(|pool| pool.role.is_some());
        let engines = pools.map(|pool| self.staying_engines(pool, now));
        engines.collect()
    }

    // The ids of a pool's engines that are not leaving.
    fn staying_engines(&self, pool: &ServerPool, now: Duration) -> Vec<FastStr> {
        let views = self.pool_views(iter::once(pool));
        let staying = views.filter(|view| !self.is_leaving(view, now));
        staying.map(|view| view.info.id.clone()).collect()
    }

    // Whether an engine may take requests now.
    fn accepts(&self, view: &BackendView, now: Duration) -> bool {
        self.in_rotation(view, now) && !self.is_avoided(view, now) && now >= view.declines_until
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

    /// The ids of a service's decode engines that are not leaving, by zone.
    pub fn zone_decodes(&self, service: &str, now: Duration) -> Vec<Vec<FastStr>> {
        let pools = self.index.pools(service);
        let decodes = pools.filter(|pool| pool.role == Some(EngineRole::Decode));
        let zones = decodes.map(|pool| self.staying_engines(pool, now));
        zones.collect()
    }

    /// Decode engines of a service that may take requests now: at most `count` of a zone and as many of all others.
    pub fn decode_engines<'a>(
        &self,
        service: &str,
        origin: impl Into<RequestOrigin<'a>>,
        count: usize,
        now: Duration,
    ) -> [Vec<BackendInfo>; 2] {
        let origin = origin.into();
        let pools = self.index.pools(service);
        let pools = pools.filter(|pool| origin.allows(&pool.zone, &pool.software));
        let decodes = pools.filter(|pool| pool.role == Some(EngineRole::Decode));
        let (near, far): (Vec<_>, Vec<_>) = decodes.partition(|pool| pool.zone == origin.zone);
        [near, far].map(|pools| {
            let of_pool = count.div_ceil(pools.len().max(1));
            let engines = pools.into_iter().flat_map(|pool| {
                let views = self.pool_views(iter::once(pool));
                views.filter(|view| self.accepts(view, now)).take(of_pool)
            });
            engines.map(|view| view.info.clone()).take(count).collect()
        })
    }

    /// The decode engines among these runs that may take a request now, in the same order.
    pub fn usable_decodes(
        &self,
        runs: &[EngineKey],
        origin: RequestOrigin<'_>,
        now: Duration,
    ) -> Vec<BackendInfo> {
        let ids = runs.iter().filter_map(|run| self.index.by_key(*run));
        let views = ids.filter_map(|id| self.views.get(id));
        let decodes = views.filter(|view| view.info.role == Some(EngineRole::Decode));
        let usable =
            decodes.filter(|view| origin.allows_server(&view.info) && self.accepts(view, now));
        usable.map(|view| view.info.clone()).collect()
    }

    /// The shortest wait for a permit at a decode engine, for a request of this priority. `None` if some engine can
    /// take the request without waiting, or if none may take requests at all.
    pub fn decode_wait<'a>(
        &self,
        service: &str,
        priority: u8,
        origin: impl Into<RequestOrigin<'a>>,
        now: Duration,
    ) -> Option<PermitWait> {
        let origin = origin.into();
        let mut least = None;
        let engines = self.engines(service, EngineRole::Decode, now);
        for view in engines.filter(|view| origin.allows_server(&view.info)) {
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
    pub fn best_prefill<'a>(
        &self,
        service: &str,
        origin: impl Into<RequestOrigin<'a>>,
        tried: &[FastStr],
        now: Duration,
    ) -> Option<(BackendInfo, f64)> {
        let role = EngineRole::Prefill;
        let origin = origin.into();
        let zone = origin.zone;
        let best_of = |views: &mut dyn Iterator<Item = &'_ BackendView>| {
            let allowed = views.filter(|view| origin.allows_server(&view.info));
            let untried = allowed.filter(|view| !tried.contains(&view.info.id));
            let accepting = untried.filter(|view| self.accepts(view, now));
            let candidates = accepting.map(|view| self.prefill_candidate(view, zone, now));
            candidates.min_by(PrefillCandidate::order)
        };
        let mut best = best_of(&mut self.preferred_engines(service, role));
        // Other engines matter only if the best one is worse than their delay penalty.
        let penalty = OUTSIDE_SUBSET_DELAY;
        if best.as_ref().is_none_or(|best| best.delay > penalty) {
            let near =
                best_of(&mut self.further_engines(service, role, origin, |other| other == zone));
            best = best.into_iter().chain(near).min_by(PrefillCandidate::order);
        }
        let penalty = OUTSIDE_SUBSET_DELAY + OTHER_ZONE_DELAY;
        if best.as_ref().is_none_or(|best| best.delay > penalty) {
            let far =
                best_of(&mut self.further_engines(service, role, origin, |other| other != zone));
            best = best.into_iter().chain(far).min_by(PrefillCandidate::order);
        }
        best.map(|best| (best.info, best.backlog))
    }

    fn prefill_candidate(&self, view: &BackendView, zone: &str, now: Duration) -> PrefillCandidate {
        let is_far = view.info.zone != zone;
        let is_outside = !self.is_preferred(view);
        let penalty = f64::from(u8::from(is_far)) * OTHER_ZONE_DELAY
            + f64::from(u8::from(is_outside)) * OUTSIDE_SUBSET_DELAY
            + self.availability.ramp_up_remaining(&view.run, now) * RETURN_DELAY
            + f64::from(u8::from(self.limits.is_cold(view.key, now))) * COLD_DELAY;
        let backlog = view.prefill_backlog(self.prefill_rate, now);
        PrefillCandidate {
            info: view.info.clone(),
            backlog,
            delay: backlog + penalty,
            jitter: self.draw() as u16,
        }
    }

    fn engines<'a>(
        &'a self,
        service: &'a str,
        role: EngineRole,
        now: Duration,
    ) -> impl Iterator<Item = &'a BackendView> {
        let pools = self.index.pools(service);
        let views = self.pool_views(pools.filter(move |pool| pool.role == Some(role)));
        views.filter(move |view| self.accepts(view, now))
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

/// What a request needs of a decode engine.
struct DecodeNeed<'a> {
    origin: RequestOrigin<'a>,
    tokens: u64,
    // An engine's capacity in tokens.
    memory: Option<u64>,
    // Tokens that the request leaves free at an engine, by its id.
    left_free: &'a dyn Fn(&str) -> u64,
    now: Duration,
}

/// The order of decode engines; the first criterion that differs decides.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct DecodeRank {
    runs_suspects: bool,
    is_cold: bool,
    is_other_zone: bool,
    is_outside_subset: bool,
    load: u64,
}

// The number of engines that are as good as any: a further one is needed in place of the others.
fn unimpaired(ranked: &[(DecodeRank, &BackendInfo)]) -> usize {
    let unimpaired = ranked
        .iter()
        .filter(|(rank, _)| !rank.runs_suspects && !rank.is_cold);
    unimpaired.count()
}

/// A prefill engine that a prompt may be sent to.
#[derive(Debug)]
struct PrefillCandidate {
    info: BackendInfo,
    // Predicted queueing delay, and the same with all penalties, in seconds.
    backlog: f64,
    delay: f64,
    // Spreads the hosts over equal engines.
    jitter: u16,
}

impl PrefillCandidate {
    fn order(&self, other: &Self) -> Ordering {
        let by_delay = self.delay.total_cmp(&other.delay);
        by_delay.then(self.jitter.cmp(&other.jitter))
    }
}

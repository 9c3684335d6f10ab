//! Inputs of a scheduling decision: the candidate engines, their ranking, and how late the first token would
//! be.

use {
    super::{
        choose::{self, ScoredEngine},
        placement::{PlacementRequest, PlacementStage},
        policy::RoutePolicy,
        scheduler::EngineScheduler,
        view::EngineView,
    },
    crate::engine::EngineRole,
    faststr::FastStr,
    rand::rngs::StdRng,
    std::time::Duration,
};

/// Upper bound of predicted times, in seconds.
const MAX_PREDICTION: f64 = 3_600.0;

impl EngineScheduler {
    // Whether any prefill and any decode engine have capacity, regardless of pools. A cheap check before a
    // full search.
    pub(super) fn has_any_capacity(&self, now: Duration) -> bool {
        let mut views = self.views.values();
        let prefill = views.any(|view| {
            view.may_have_role(EngineRole::Prefill) && self.has_prefill_capacity(view, now)
        });
        let mut views = self.views.values();
        let decode =
            views.any(|view| view.may_have_role(EngineRole::Decode) && self.has_free_slot(view));
        // If all engines are ejected, the full search produces the refusal.
        (prefill && decode) || self.views.values().all(|view| view.is_ejected(now))
    }

    // Time until the least busy prefill engine is idle, in seconds.
    pub(super) fn least_backlog(&self, now: Duration) -> f64 {
        let views = self.views.values();
        let times = views
            .filter(|view| view.may_have_role(EngineRole::Prefill) && !view.is_ejected(now))
            .map(|view| view.backlog_tokens(&self.tuning, now) as f64 / view.rate(&self.tuning));
        times.reduce(f64::min).unwrap_or(0.0).min(MAX_PREDICTION)
    }

    // Sort key of waiting requests: those with computed work first, then by priority, then by least slack.
    pub(super) fn urgency(&self, request: &PlacementRequest) -> (u8, u8, Duration) {
        let stage = match request.stage {
            PlacementStage::DecodeOnly(_) => 0,
            PlacementStage::PrefillAndDecode if request.resumed => 1,
            PlacementStage::PrefillAndDecode => 2,
        };
        let service = self.service_time(request);
        let slack = self.first_token_by(request).saturating_sub(service);
        (stage, u8::MAX - request.priority, slack)
    }

    // Time that the request takes without queueing.
    pub(super) fn service_time(&self, request: &PlacementRequest) -> Duration {
        let compute = request.tokens as f64 / self.tuning.prefill_rate;
        Duration::from_secs_f64(compute) + self.after_prefill(request)
    }

    // Time from the end of the prefill to the first token: the transfer and one decode step.
    pub(super) fn after_prefill(&self, request: &PlacementRequest) -> Duration {
        let bytes = request.tokens as f64 * self.tuning.kv_bytes_per_token;
        let transfer = Duration::from_secs_f64(bytes / self.tuning.link_rate);
        transfer + self.tuning.between_tokens
    }

    // Time by which the first token is due. A prompt too long for the target is still served: it gets 1.5
    // times its own service time.
    pub(super) fn first_token_by(&self, request: &PlacementRequest) -> Duration {
        let target = self.tuning.first_token - self.tuning.margin;
        let own = self.service_time(request).mul_f64(1.5);
        request.arrived + target.max(own)
    }

    // How much too late the first token would come, or none if it would be in time.
    pub(super) fn lateness(
        &self,
        request: &PlacementRequest,
        prefill: &ScoredEngine<'_>,
        now: Duration,
    ) -> Option<Duration> {
        if request.resumed {
            return None;
        }
        let compute = Duration::from_secs_f64(prefill.score.min(MAX_PREDICTION));
        let predicted = now + compute + self.after_prefill(request);
        predicted
            .checked_sub(self.first_token_by(request))
            .filter(|late| !late.is_zero())
    }

    // Whether the engine's backlog is short enough that waiting here would gain nothing.
    pub(super) fn has_prefill_capacity(&self, view: &EngineView, now: Duration) -> bool {
        let ahead = view.backlog_tokens(&self.tuning, now) as f64 / view.rate(&self.tuning);
        ahead <= self.tuning.prefill_backlog.as_secs_f64() && !view.is_full(now)
    }

    pub(super) fn has_free_slot(&self, view: &EngineView) -> bool {
        let Some(total) = view.slots_total() else {
            return true;
        };
        let room = f64::from(total) * (1.0 - self.tuning.decode_reserve);
        f64::from(view.slots_used()) < room
    }

    pub(super) fn candidates<'a>(
        &'a self,
        request: &'a PlacementRequest,
        role: EngineRole,
        zone: Option<&'a FastStr>,
        now: Duration,
    ) -> Vec<&'a EngineView> {
        let pools = match role {
            EngineRole::Prefill => &request.prefills,
            EngineRole::Decode => &request.decodes,
        };
        self.views
            .values()
            .filter(|view| zone.is_none_or(|zone| view.info.zone == *zone))
            .filter(|view| pools.iter().any(|pool| pool.matches(&view.info.labels)))
            .filter(|view| view.is_usable(role, &request.model, now))
            .filter(|view| !request.excluded.contains(&view.info.name))
            .collect()
    }

    pub(super) fn has_candidates(&self, request: &PlacementRequest, now: Duration) -> bool {
        [EngineRole::Prefill, EngineRole::Decode]
            .into_iter()
            .all(|role| !self.candidates(request, role, None, now).is_empty())
    }

    /// Engines of a role that could serve a request, best first by the policy.
    pub(super) fn rank_engines<'a>(
        &'a self,
        request: &'a PlacementRequest,
        role: EngineRole,
        zone: Option<&'a FastStr>,
        now: Duration,
        random: &mut StdRng,
    ) -> Vec<ScoredEngine<'a>> {
        let views = self.candidates(request, role, zone, now);
        if self.tuning.policy == RoutePolicy::RoundRobin {
            return round_robin(views, self.turn);
        }
        choose::rank(views, random, |view| match role {
            EngineRole::Prefill => self.prefill_score(request, view, now),
            EngineRole::Decode => self.decode_score(view, now),
        })
    }

    // Score of a prefill engine for `joint`: the predicted time until the prompt is computed. An engine that
    // refused as full gets a penalty of 1 s.
    fn prefill_score(&self, request: &PlacementRequest, view: &EngineView, now: Duration) -> f64 {
        let policy = self.tuning.policy;
        if policy != RoutePolicy::Joint {
            return choose::prefill_load(policy, view, &self.tuning, now);
        }
        let full = if view.is_full(now) { 1.0 } else { 0.0 };
        let time =
            choose::predict_prefill(view, request.tokens, &request.blocks, &self.tuning, now);
        time.as_secs_f64() + full
    }

    // Score of a decode engine for `joint`: its slot utilization. A slow or full engine gets a penalty of 1.
    fn decode_score(&self, view: &EngineView, now: Duration) -> f64 {
        let policy = self.tuning.policy;
        if policy != RoutePolicy::Joint {
            return choose::decode_load(policy, view);
        }
        let total = f64::from(view.slots_total().unwrap_or(1).max(1));
        let target = self.tuning.between_tokens.as_secs_f64();
        let slow = view.token_gap(now).is_some_and(|gap| gap > target);
        let penalty = f64::from(u8::from(slow)) + f64::from(u8::from(view.is_full(now)));
        f64::from(view.slots_used()) / total + penalty
    }
}

fn round_robin(views: Vec<&EngineView>, turn: usize) -> Vec<ScoredEngine<'_>> {
    let count = views.len().max(1);
    let mut ranked: Vec<ScoredEngine<'_>> = views
        .into_iter()
        .enumerate()
        .map(|(index, view)| ScoredEngine {
            view,
            score: ((index + count - turn % count) % count) as f64,
        })
        .collect();
    ranked.sort_by(|a, b| a.score.total_cmp(&b.score));
    ranked
}

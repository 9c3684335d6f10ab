//! Scheduler that assigns engines to waiting requests, or refuses them early.
//!
//! A plain state machine: its inputs are requests, load reports and the time; its outputs are answers.

use {
    super::{
        choose::{self, ScoredEngine},
        explain::{DecisionLog, DecisionRecord, WeighedEngine},
        placement::{PlacementAnswer, PlacementAttempt, PlacementRequest, PlacementStage},
        policy::RouteTuning,
        view::{EngineInfo, EngineView},
    },
    crate::{
        engine::{EngineLink, EngineRole},
        operation::{Refusal, RefusalCode},
    },
    faststr::FastStr,
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{collections::BTreeMap, sync::Arc, time::Duration},
};

/// Number of waiting requests without capacity after which later ones are not tried, so that a full queue
/// does not cost a search of all engines for each entry.
const MAX_BLOCKED: usize = 6;

/// Upper bound of the retry delay sent to a refused caller.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Assigns engines to waiting requests.
#[derive(Debug)]
pub struct EngineScheduler {
    pub(super) tuning: RouteTuning,
    pub(super) zone: FastStr,
    pub(super) views: BTreeMap<FastStr, EngineView>,
    // Links to engines that this host does not schedule but may still have to contact.
    pub(super) unscheduled: BTreeMap<FastStr, Arc<EngineLink>>,
    pub(super) waiting: Vec<PlacementRequest>,
    pub(super) log: DecisionLog,
    pub(super) random: StdRng,
    pub(super) turn: usize,
    // Mean time between two placements while requests wait, in seconds.
    pub(super) placement_interval: Option<f64>,
    pub(super) last_placed: Option<Duration>,
}

impl EngineScheduler {
    /// Creates the scheduler of a host in `zone`. The seed makes its random choices reproducible.
    pub fn new(zone: FastStr, tuning: RouteTuning, seed: u64) -> Self {
        Self {
            tuning,
            zone,
            views: BTreeMap::new(),
            unscheduled: BTreeMap::new(),
            waiting: Vec::new(),
            log: DecisionLog::default(),
            random: StdRng::seed_from_u64(seed),
            turn: 0,
            placement_interval: None,
            last_placed: None,
        }
    }

    /// Returns the tuning parameters in use.
    pub fn tuning(&self) -> &RouteTuning {
        &self.tuning
    }

    /// Replaces the list of engines and keeps the state of those that remain.
    pub fn set_engines(&mut self, engines: Vec<(EngineInfo, bool)>) {
        let mut known = std::mem::take(&mut self.views);
        for (info, leaving) in engines {
            let mut view = match known.remove(&info.name) {
                Some(view) if view.info.address == info.address => view,
                _ => EngineView::new(info.clone(), &self.tuning),
            };
            view.info = info;
            view.leaving = leaving;
            self.views.insert(view.info.name.clone(), view);
        }
        // An engine that is no longer listed stays known while this host has work there.
        for (name, mut view) in known {
            if view.own_work() != (0, 0) {
                view.leaving = true;
                self.views.insert(name, view);
            }
        }
    }

    /// Sets the links to engines that this host does not schedule.
    pub fn set_unscheduled(&mut self, others: BTreeMap<FastStr, Arc<EngineLink>>) {
        self.unscheduled = others;
    }

    /// Returns the link to an engine, whether scheduled by this host or not. None if it is not listed.
    pub fn link(&self, engine: &str) -> Option<Arc<EngineLink>> {
        match self.views.get(engine) {
            Some(view) => Some(view.info.link.clone()),
            None => self.unscheduled.get(engine).cloned(),
        }
    }

    /// Records that this host has taken over a decode from another host.
    pub fn decode_adopted(&mut self, engine: &str) {
        if let Some(view) = self.views.get_mut(engine) {
            view.decode_began();
        }
    }

    /// Returns the state of an engine.
    pub fn view(&self, engine: &str) -> Option<&EngineView> {
        self.views.get(engine)
    }

    /// Returns the states of all engines.
    pub fn views(&self) -> impl Iterator<Item = &EngineView> {
        self.views.values()
    }

    /// Engines whose last report is older than `period`, the oldest first: at most `most`, but always all
    /// that never reported.
    pub fn stale_engines(&self, period: Duration, most: usize, now: Duration) -> Vec<&EngineView> {
        let mut stale: Vec<&EngineView> = self
            .views
            .values()
            .filter(|view| {
                let at = view.reported_at();
                at.is_none_or(|at| now.saturating_sub(at) >= period)
            })
            .collect();
        stale.sort_by_key(|view| view.reported_at());
        let unknown = stale.iter().filter(|view| view.reported_at().is_none());
        let count = most.max(unknown.count());
        stale.truncate(count);
        stale
    }

    /// Returns the decisions made for a request.
    pub fn explain(&self, request: &str) -> Vec<DecisionRecord> {
        self.log.of(request)
    }

    /// Returns the decisions made for the latest request.
    pub fn latest(&self) -> Vec<DecisionRecord> {
        self.log.latest()
    }

    /// Number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Adds a request; [`Self::schedule`] returns its answer.
    pub fn enqueue(&mut self, request: PlacementRequest) {
        self.waiting.push(request);
    }

    /// Removes a request whose caller no longer waits.
    pub fn cancel(&mut self, queue_id: u64) {
        self.waiting.retain(|request| request.queue_id != queue_id);
    }

    /// Answers every waiting request that can be answered now, in the order of urgency.
    pub fn schedule(&mut self, now: Duration) -> Vec<(u64, PlacementAnswer)> {
        let mut waiting = std::mem::take(&mut self.waiting);
        waiting.sort_by_key(|request| (self.urgency(request), request.queue_id));
        let mut answers = Vec::new();
        let mut ahead = 0;
        for request in waiting {
            let needs_both = request.stage == PlacementStage::PrefillAndDecode && !request.resumed;
            let skips_search = ahead >= MAX_BLOCKED || !self.has_any_capacity(now);
            let answer = match needs_both && self.tuning.policy.queues_requests() && skips_search {
                true => self.refuse_overdue(&request, ahead, now),
                false => self.answer(&request, ahead, now),
            };
            match answer {
                Some(answer) => {
                    self.record_placement(&answer, ahead, now);
                    answers.push((request.queue_id, answer));
                }
                None => {
                    ahead += 1;
                    self.waiting.push(request);
                }
            }
        }
        if self.waiting.is_empty() {
            self.last_placed = None;
        }
        answers
    }

    fn answer(
        &mut self,
        request: &PlacementRequest,
        ahead: usize,
        now: Duration,
    ) -> Option<PlacementAnswer> {
        match request.stage {
            PlacementStage::PrefillAndDecode => self.answer_both(request, ahead, now),
            PlacementStage::DecodeOnly(until) => self.answer_decode(request, until, now),
        }
    }

    fn answer_both(
        &mut self,
        request: &PlacementRequest,
        ahead: usize,
        now: Duration,
    ) -> Option<PlacementAnswer> {
        // A request that would be late in one zone may be placed in another at once, but does not wait for
        // capacity there, since the state of engines in other zones is known less accurately
        // (docs/performance.md).
        let mut late = None;
        for zone in self.zones_to_try() {
            match self.try_place(request, zone, now) {
                PlacementAttempt::Placed(answer) => return Some(answer),
                PlacementAttempt::Late(by) => late = late.or(Some(by)),
                PlacementAttempt::Blocked => {}
            }
        }
        if let Some(by) = late {
            return Some(self.refuse_late(request, by, now));
        }
        if !self.has_candidates(request, now) {
            let text = format!("no backend server of model {} can take work", request.model);
            return Some(self.refuse(request, RefusalCode::NoBackend, text, now));
        }
        self.refuse_overdue(request, ahead, now)
    }

    // Refuses a request behind `ahead` others if it has waited, or is expected to wait, too long.
    fn refuse_overdue(
        &mut self,
        request: &PlacementRequest,
        ahead: usize,
        now: Duration,
    ) -> Option<PlacementAnswer> {
        if !self.tuning.policy.queues_requests() || request.resumed {
            return None;
        }
        let drain = self.placement_interval.unwrap_or(0.0) * ahead as f64;
        let wait = drain.max(self.least_backlog(now));
        let predicted = now + Duration::from_secs_f64(wait) + self.service_time(request);
        let by = self.first_token_by(request);
        (predicted > by).then(|| self.refuse_late(request, predicted - by, now))
    }

    fn refuse_late(
        &mut self,
        request: &PlacementRequest,
        by: Duration,
        now: Duration,
    ) -> PlacementAnswer {
        let late = by.as_millis();
        let text = format!("the first token would come {late} ms too late");
        self.refuse(request, RefusalCode::Overloaded, text, now)
    }

    // The own zone first, then all zones.
    fn zones_to_try(&self) -> [Option<FastStr>; 2] {
        [Some(self.zone.clone()), None]
    }

    fn try_place(
        &mut self,
        request: &PlacementRequest,
        zone: Option<FastStr>,
        now: Duration,
    ) -> PlacementAttempt {
        let mut random = StdRng::seed_from_u64(self.random.random());
        let prefills = self.rank_engines(
            request,
            EngineRole::Prefill,
            zone.as_ref(),
            now,
            &mut random,
        );
        let decodes =
            self.rank_engines(request, EngineRole::Decode, zone.as_ref(), now, &mut random);
        let (Some(prefill), Some(decode)) = (prefills.first(), decodes.first()) else {
            return PlacementAttempt::Blocked;
        };
        if self.tuning.policy.queues_requests() {
            if let Some(by) = self.lateness(request, prefill, now) {
                return PlacementAttempt::Late(by);
            }
            if !self.has_prefill_capacity(prefill.view, now) || !self.has_free_slot(decode.view) {
                return PlacementAttempt::Blocked;
            }
        }
        let record = self.record(request, "placed", now, &prefills, &decodes);
        let prefill = prefill.view.info.name.clone();
        let decode = decode.view.info.name.clone();
        self.turn += 1;
        self.log.add(record);
        self.begin(request, Some(&prefill), &decode);
        PlacementAttempt::Placed(PlacementAnswer::Placed {
            prefill: Some(prefill),
            decode,
        })
    }

    fn answer_decode(
        &mut self,
        request: &PlacementRequest,
        until: Duration,
        now: Duration,
    ) -> Option<PlacementAnswer> {
        if now >= until {
            let text = "no decode engine was free while the KV cache lived";
            return Some(self.refuse(request, RefusalCode::Overloaded, text.into(), now));
        }
        let mut random = StdRng::seed_from_u64(self.random.random());
        let decodes = self.rank_engines(request, EngineRole::Decode, None, now, &mut random);
        let decode = decodes.first()?;
        if decode.view.is_full(now) {
            return None;
        }
        let record = self.record(request, "decode placed", now, &[], &decodes);
        let name = decode.view.info.name.clone();
        self.turn += 1;
        self.log.add(record);
        self.begin(request, None, &name);
        Some(PlacementAnswer::Placed {
            prefill: None,
            decode: name,
        })
    }

    fn begin(&mut self, request: &PlacementRequest, prefill: Option<&FastStr>, decode: &FastStr) {
        if let Some(view) = prefill.and_then(|name| self.views.get_mut(name)) {
            view.prefill_began(request.tokens, &request.blocks);
        }
        if let Some(view) = self.views.get_mut(decode) {
            view.decode_began();
        }
    }

    fn record_placement(&mut self, answer: &PlacementAnswer, ahead: usize, now: Duration) {
        if !matches!(answer, PlacementAnswer::Placed { .. }) {
            return;
        }
        if let (Some(last), true) = (self.last_placed, ahead + self.waiting.len() > 0) {
            let gap = now.saturating_sub(last).as_secs_f64();
            self.placement_interval = Some(match self.placement_interval {
                Some(known) => known + 0.1 * (gap - known),
                None => gap,
            });
        }
        self.last_placed = Some(now);
    }

    fn refuse(
        &mut self,
        request: &PlacementRequest,
        code: RefusalCode,
        text: String,
        now: Duration,
    ) -> PlacementAnswer {
        let prefills = Vec::new();
        let record = DecisionRecord {
            request: request.request.clone(),
            at_ms: millis(now.saturating_sub(request.arrived)),
            decision: format!("refused: {text}"),
            prefills,
            decodes: Vec::new(),
        };
        self.log.add(record);
        let drain = self.placement_interval.unwrap_or(0.0) * self.waiting.len() as f64;
        let wait = Duration::from_secs_f64(drain).clamp(Duration::from_secs(1), MAX_RETRY_AFTER);
        PlacementAnswer::Refused(Refusal::not_run(code, text).after(wait))
    }

    fn record(
        &self,
        request: &PlacementRequest,
        decision: &str,
        now: Duration,
        prefills: &[ScoredEngine<'_>],
        decodes: &[ScoredEngine<'_>],
    ) -> DecisionRecord {
        let prefills: Vec<WeighedEngine> = choose::explain_ranking(prefills, |view| {
            let cached = view.cached_tokens(&request.blocks);
            format!(
                "{} tokens before it, {cached} cached",
                view.backlog_tokens(&self.tuning, now)
            )
        });
        let decodes: Vec<WeighedEngine> = choose::explain_ranking(decodes, |view| {
            let total = view.slots_total().unwrap_or(0);
            format!("{} of {total} slots used", view.slots_used())
        });
        DecisionRecord {
            request: request.request.clone(),
            at_ms: millis(now.saturating_sub(request.arrived)),
            decision: format!("{decision} by {}", self.tuning.policy),
            prefills,
            decodes,
        }
    }
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}

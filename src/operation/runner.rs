//! Runs a request's life: performs its actions against engines and feeds the answers back.

use {
    super::{
        awaited::{self, Awaited},
        budget::RetryBudget,
        crashes::SharedCrashes,
        life::RequestLife,
        request::{AnswerItem, AnswerLog, ModelRequest, RequestStats},
        signal::OnceSignal,
        step::{EngineAttempt, LifeAction, LifeEnd, LifeEvent, LifeLimits},
        verdict::{Refusal, RefusalCode},
    },
    crate::{
        engine::{self, AttemptNamer, CallResult, EngineLink, ItemStream},
        relay::RequestDigest,
        route::{PlacementAnswer, PlacementRequest, PlacementStage, SharedScheduler},
    },
    faststr::FastStr,
    futures::{FutureExt, future::BoxFuture},
    std::{
        collections::VecDeque,
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::time::Instant,
};

/// What an import may take beyond its predicted transfer before it counts as stalled.
const IMPORT_PATIENCE: Duration = Duration::from_millis(150);

/// What all requests of a host share.
pub struct RunnerParts {
    /// Where engines are chosen.
    pub desk: Arc<SharedScheduler>,
    /// Names attempts.
    pub namer: AttemptNamer,
    /// Ends attempts.
    pub canceller: Arc<engine::Canceller>,
    /// Allows work to be done again.
    pub budget: Mutex<RetryBudget>,
    /// Limits on each request.
    pub limits: LifeLimits,
    /// Requests that end their servers.
    pub crashes: SharedCrashes,
}

/// Runs a request to its end; the answer goes to `log`.
pub async fn run_request(
    parts: Arc<RunnerParts>,
    request: ModelRequest,
    log: Arc<AnswerLog>,
    cancel: Arc<OnceSignal>,
) -> (LifeEnd, RequestStats) {
    let mut runner = RequestRunner::new(parts, request, log.clone());
    let grace = runner.request.grace;
    let deadline = runner.started + runner.request.time_limit;
    let mut actions: VecDeque<LifeAction> = runner.life.start().into();
    // Made once, not for each token.
    let abandoned = std::pin::pin!(log.abandoned(grace));
    let cancelled = std::pin::pin!(cancel.wait());
    let deadline = std::pin::pin!(tokio::time::sleep_until(deadline));
    let mut outside = std::pin::pin!(first_of(abandoned, cancelled, deadline));
    let end = loop {
        if let Some(end) = runner.perform_all(&mut actions) {
            break end;
        }
        let event = tokio::select! {
            event = runner.next_event() => event,
            event = &mut outside => event,
        };
        actions.extend(runner.take(event));
    };
    log.push(AnswerItem::End(end.clone()));
    log.end();
    runner.finish();
    (end, std::mem::take(&mut runner.stats))
}

// What ends a request from outside, whichever comes first.
async fn first_of(
    abandoned: impl Future<Output = ()>,
    cancelled: impl Future<Output = ()>,
    deadline: impl Future<Output = ()>,
) -> LifeEvent {
    tokio::select! {
        () = abandoned => LifeEvent::CallerGone,
        () = cancelled => LifeEvent::CallerGone,
        () = deadline => LifeEvent::DeadlinePassed,
    }
}

pub(super) struct RequestRunner {
    pub(super) parts: Arc<RunnerParts>,
    pub(super) request: ModelRequest,
    pub(super) log: Arc<AnswerLog>,
    pub(super) life: RequestLife,
    pub(super) awaited: Awaited,
    pub(super) import_by: Option<Instant>,
    pub(super) excluded: Vec<FastStr>,
    pub(super) prefill_held: Option<(FastStr, u64)>,
    pub(super) decode_held: Option<FastStr>,
    pub(super) origin: Arc<EngineAttempt>,
    pub(super) kv_until: Duration,
    pub(super) unimported: u64,
    pub(super) started: Instant,
    pub(super) arrived: Duration,
    pub(super) last_token: Option<Instant>,
    pub(super) stats: RequestStats,
    // Engines that broke off under the request, of which it is not known yet whether they ended.
    pub(super) broken: Vec<(FastStr, SocketAddr)>,
}

impl RequestRunner {
    fn new(parts: Arc<RunnerParts>, request: ModelRequest, log: Arc<AnswerLog>) -> Self {
        let arrived = parts.desk.now();
        let none = EngineAttempt {
            engine: FastStr::empty(),
            attempt: FastStr::empty(),
        };
        parts.budget.lock().expect("budget").earn();
        let life = match &request.adopted {
            Some(adopted) => {
                let target = adopted.target.clone();
                RequestLife::adopt(parts.limits, target, adopted.caller_has)
            }
            None => RequestLife::new(parts.limits),
        };
        let (origin, decode_held) = match &request.adopted {
            Some(adopted) => {
                let engine = adopted.target.engine.clone();
                parts.desk.change(|desk, _| desk.decode_adopted(&engine));
                (adopted.target.clone(), Some(engine))
            }
            None => (none, None),
        };
        Self {
            life,
            parts,
            request,
            log,
            awaited: Awaited::Nothing,
            import_by: None,
            excluded: Vec::new(),
            prefill_held: None,
            decode_held,
            origin: Arc::new(origin),
            kv_until: Duration::ZERO,
            unimported: 0,
            started: Instant::now(),
            arrived,
            last_token: None,
            stats: RequestStats::default(),
            broken: Vec::new(),
        }
    }

    // Performs actions until one has to be waited for, or the life ends.
    fn perform_all(&mut self, actions: &mut VecDeque<LifeAction>) -> Option<LifeEnd> {
        while let Some(action) = actions.pop_front() {
            match action {
                LifeAction::Place { again } => self.place(again, actions),
                LifeAction::PlaceDecode => {
                    self.release_decode();
                    self.ask(PlacementStage::DecodeOnly(self.kv_until));
                }
                LifeAction::Prefill(target) => self.send_prefill(target),
                LifeAction::Decode {
                    target,
                    source,
                    handle,
                } => self.send_decode(target, &source, handle),
                LifeAction::Resume { target, from } => self.send_resume(&target, from),
                LifeAction::Exclude(engine) => self.excluded.push(engine),
                LifeAction::Cancel(attempt) => self.parts.canceller.add(attempt),
                LifeAction::Emit { position, text } => self.emit(position, text),
                LifeAction::End(end) => return Some(end),
            }
        }
        None
    }

    fn place(&mut self, again: bool, actions: &mut VecDeque<LifeAction>) {
        self.release_decode();
        let now = self.parts.desk.now();
        if again && !self.parts.budget.lock().expect("budget").spend(now) {
            let text = "too much work is being done again";
            let refusal =
                Refusal::not_run(RefusalCode::Overloaded, text).after(Duration::from_secs(1));
            let event = LifeEvent::PlaceRefused(refusal);
            actions.extend(self.take(event));
            return;
        }
        self.ask(PlacementStage::PrefillAndDecode);
    }

    fn ask(&mut self, stage: PlacementStage) {
        let delivered = self.life.delivered().len();
        let question = PlacementRequest {
            queue_id: 0,
            request: self.request.id.clone(),
            model: self.request.model.clone(),
            prefills: self.request.prefills.clone(),
            decodes: self.request.decodes.clone(),
            tokens: engine::estimate_tokens(&self.request.prompt) + delivered as u64,
            blocks: self.request.blocks.clone(),
            priority: self.request.priority,
            arrived: self.arrived,
            resumed: delivered > 0,
            excluded: self.excluded.clone(),
            stage,
        };
        let (parts, digest, verdict) =
            (self.parts.clone(), self.request.digest, self.life.verdict());
        let broken = std::mem::take(&mut self.broken);
        let asked = async move {
            learn_ends(&parts, digest, broken).await;
            match parts.crashes.check(digest, verdict) {
                Ok(()) => parts.desk.place(question).await,
                Err(refusal) => PlacementAnswer::Refused(refusal),
            }
        };
        self.awaited = Awaited::Desk(asked.boxed(), stage);
    }

    fn link(&self, engine: &str) -> Option<Arc<EngineLink>> {
        self.parts.desk.read(|desk| desk.link(engine))
    }

    fn send_prefill(&mut self, target: EngineAttempt) {
        let order = engine::PrefillOrder {
            attempt: target.attempt,
            model: self.request.model.clone(),
            prompt: self.request.prompt.clone(),
            delivered: self.life.delivered().to_vec(),
            priority: self.request.priority,
            tenant: self.request.tenant.clone(),
        };
        self.awaited = Awaited::Prefill(match self.link(&target.engine) {
            Some(link) => (link.prefill)(order),
            None => awaited::gone(),
        });
    }

    fn send_decode(&mut self, target: EngineAttempt, source: &str, handle: FastStr) {
        let source = self
            .parts
            .desk
            .read(|desk| desk.view(source).map(|view| view.info.address.clone()));
        let order = engine::DecodeOrder {
            attempt: target.attempt.clone(),
            model: self.request.model.clone(),
            handle,
            source: source.unwrap_or_default(),
            max_tokens: self.request.max_tokens,
            priority: self.request.priority,
            tenant: self.request.tenant.clone(),
        };
        self.awaited = Awaited::Opening(match self.link(&target.engine) {
            Some(link) => (link.decode)(order),
            None => awaited::gone(),
        });
        self.import_by = Some(Instant::now() + self.import_patience());
        self.origin = Arc::new(target);
    }

    // Twice the predicted transfer, and then some.
    fn import_patience(&self) -> Duration {
        let tokens = engine::estimate_tokens(&self.request.prompt) as f64;
        let seconds = self.parts.desk.read(|desk| {
            let tuning = desk.tuning();
            tokens * tuning.kv_bytes_per_token / tuning.link_rate
        });
        IMPORT_PATIENCE + Duration::from_secs_f64(seconds * 2.0)
    }

    fn send_resume(&mut self, target: &EngineAttempt, from: u32) {
        let opened: BoxFuture<'static, CallResult<ItemStream>> = match self.link(&target.engine) {
            Some(link) => (link.resume)(engine::ResumeOrder {
                attempt: target.attempt.clone(),
                from,
                tenant: self.request.tenant.clone(),
            }),
            None => awaited::gone(),
        };
        let paused = async move {
            tokio::time::sleep(awaited::RESUME_PAUSE).await;
            opened.await
        };
        self.awaited = Awaited::Opening(paused.boxed());
    }

    fn emit(&mut self, position: u32, text: FastStr) {
        let now = Instant::now();
        match self.last_token {
            None => self.stats.first_token = Some(now - self.started),
            Some(last) => {
                let gap = now - last;
                self.stats.gaps.push(gap);
                let engine = self.origin.engine.clone();
                self.parts
                    .desk
                    .record(|desk, now| desk.token_gap_observed(&engine, gap.as_secs_f64(), now));
            }
        }
        self.last_token = Some(now);
        self.log.push(AnswerItem::Token {
            position,
            text,
            origin: self.origin.clone(),
        });
    }

    // The next thing that happens to what the life waits for.
    async fn next_event(&mut self) -> LifeEvent {
        match &mut self.awaited {
            Awaited::Nothing => std::future::pending().await,
            Awaited::Desk(answer, stage) => {
                let stage = *stage;
                let answer = answer.await;
                self.placed(answer, stage)
            }
            Awaited::Prefill(reply) => match reply.await {
                Ok(reply) => LifeEvent::PrefillDone(reply),
                Err(failure) => LifeEvent::PrefillFailed(failure),
            },
            Awaited::Opening(opening) => match awaited::within(self.import_by, opening).await {
                Some(Ok(items)) => {
                    self.awaited = Awaited::Items(items);
                    awaited::next_item(&mut self.awaited, self.import_by).await
                }
                Some(Err(failure)) => LifeEvent::DecodeFailed(failure),
                None => LifeEvent::ImportStalled,
            },
            Awaited::Items(_) => awaited::next_item(&mut self.awaited, self.import_by).await,
        }
    }

    fn placed(&mut self, answer: PlacementAnswer, stage: PlacementStage) -> LifeEvent {
        match answer {
            PlacementAnswer::Refused(refusal) => LifeEvent::PlaceRefused(refusal),
            PlacementAnswer::Placed { prefill, decode } => {
                self.decode_held = Some(decode.clone());
                let decode = self.name_attempt(decode);
                match (prefill, stage) {
                    (Some(prefill), PlacementStage::PrefillAndDecode) => {
                        let tokens = self.prompt_tokens();
                        self.prefill_held = Some((prefill.clone(), tokens));
                        let prefill = self.name_attempt(prefill);
                        LifeEvent::Placed { prefill, decode }
                    }
                    _ => LifeEvent::DecodePlaced(decode),
                }
            }
        }
    }

    fn prompt_tokens(&self) -> u64 {
        engine::estimate_tokens(&self.request.prompt) + self.life.delivered().len() as u64
    }

    fn name_attempt(&self, engine: FastStr) -> EngineAttempt {
        let attempt = self.parts.namer.next();
        EngineAttempt { engine, attempt }
    }

    // Accounts for an event, then lets the life decide.
    fn take(&mut self, event: LifeEvent) -> Vec<LifeAction> {
        self.account(&event);
        let now = self.parts.desk.now();
        let actions = self.life.step(event, now);
        let waits = actions.iter().any(|action| {
            matches!(
                action,
                LifeAction::Place { .. }
                    | LifeAction::PlaceDecode
                    | LifeAction::Prefill(_)
                    | LifeAction::Decode { .. }
                    | LifeAction::Resume { .. }
            )
        });
        if waits {
            self.awaited = Awaited::Nothing;
        }
        actions
    }
}

/// Finds out which of the engines that broke off under a request ended.
pub(super) async fn learn_ends(
    parts: &RunnerParts,
    digest: RequestDigest,
    broken: Vec<(FastStr, SocketAddr)>,
) {
    for (engine, address) in broken {
        parts.crashes.learn_end(digest, &engine, address).await;
    }
}

impl Drop for RequestRunner {
    // Also when the task is dropped in the middle: what was sent is cancelled, places are given back.
    fn drop(&mut self) {
        for open in self.life.open_attempts() {
            self.parts.canceller.add(open.clone());
        }
        self.release_prefill(None);
        self.release_decode();
    }
}

//! Runs a request: performs the actions of its state machine against engines and feeds the results back.

use {
    super::{
        awaited::{self, Awaited},
        budget::RetryBudget,
        crashes::SharedCrashes,
        request::{AnswerItem, AnswerLog, ModelRequest, RequestStats},
        signal::OnceSignal,
        state_machine::RequestStateMachine,
        step::{EngineAttempt, RequestAction, RequestEnd, RequestEvent, RequestLimits},
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

/// Fixed part of the import timeout, added to twice the predicted transfer time.
const IMPORT_BASE_TIMEOUT: Duration = Duration::from_millis(150);

/// State shared by all requests of a host.
pub struct RunnerParts {
    /// Chooses engines.
    pub desk: Arc<SharedScheduler>,
    /// Generates attempt names.
    pub namer: AttemptNamer,
    /// Cancels attempts at engines until they acknowledge.
    pub canceller: Arc<engine::Canceller>,
    /// Limits retries.
    pub budget: Mutex<RetryBudget>,
    /// Limits of each request.
    pub limits: RequestLimits,
    /// Requests that crash their servers.
    pub crashes: SharedCrashes,
}

/// Runs a request to its end and writes its answer to `log`.
pub async fn run_request(
    parts: Arc<RunnerParts>,
    request: ModelRequest,
    log: Arc<AnswerLog>,
    cancel: Arc<OnceSignal>,
) -> (RequestEnd, RequestStats) {
    let mut runner = RequestRunner::new(parts, request, log.clone());
    let grace = runner.request.grace;
    let deadline = runner.started + runner.request.time_limit;
    let mut actions: VecDeque<RequestAction> = runner.state.start().into();
    // Created once rather than for each token.
    let abandoned = std::pin::pin!(log.abandoned(grace));
    let cancelled = std::pin::pin!(cancel.wait());
    let deadline = std::pin::pin!(tokio::time::sleep_until(deadline));
    let mut external_end = std::pin::pin!(wait_for_external_end(abandoned, cancelled, deadline));
    let end = loop {
        if let Some(end) = runner.perform_all(&mut actions) {
            break end;
        }
        let event = tokio::select! {
            event = runner.next_event() => event,
            event = &mut external_end => event,
        };
        actions.extend(runner.handle_event(event));
    };
    log.push(AnswerItem::End(end.clone()));
    log.end();
    runner.finish();
    (end, std::mem::take(&mut runner.stats))
}

// Waits until the caller leaves, the request is cancelled or its deadline passes, whichever is first.
async fn wait_for_external_end(
    abandoned: impl Future<Output = ()>,
    cancelled: impl Future<Output = ()>,
    deadline: impl Future<Output = ()>,
) -> RequestEvent {
    tokio::select! {
        () = abandoned => RequestEvent::CallerGone,
        () = cancelled => RequestEvent::CallerGone,
        () = deadline => RequestEvent::DeadlinePassed,
    }
}

pub(super) struct RequestRunner {
    pub(super) parts: Arc<RunnerParts>,
    pub(super) request: ModelRequest,
    pub(super) log: Arc<AnswerLog>,
    pub(super) state: RequestStateMachine,
    pub(super) awaited: Awaited,
    pub(super) import_deadline: Option<Instant>,
    pub(super) excluded: Vec<FastStr>,
    pub(super) reserved_prefill: Option<(FastStr, u64)>,
    pub(super) reserved_decode: Option<FastStr>,
    pub(super) origin: Arc<EngineAttempt>,
    pub(super) kv_expires_at: Duration,
    pub(super) unimported_tokens: u64,
    pub(super) started: Instant,
    pub(super) arrived: Duration,
    pub(super) last_token: Option<Instant>,
    pub(super) stats: RequestStats,
    // Engines whose connection broke during the request and that were not probed for a crash yet.
    pub(super) unchecked_crashes: Vec<(FastStr, SocketAddr)>,
}

impl RequestRunner {
    fn new(parts: Arc<RunnerParts>, request: ModelRequest, log: Arc<AnswerLog>) -> Self {
        let arrived = parts.desk.now();
        let no_origin = EngineAttempt {
            engine: FastStr::empty(),
            attempt: FastStr::empty(),
        };
        parts.budget.lock().expect("budget").earn();
        let state = match &request.adopted {
            Some(adopted) => {
                let target = adopted.target.clone();
                RequestStateMachine::adopt(parts.limits, target, adopted.caller_token_count)
            }
            None => RequestStateMachine::new(parts.limits),
        };
        let (origin, reserved_decode) = match &request.adopted {
            Some(adopted) => {
                let engine = adopted.target.engine.clone();
                parts.desk.change(|desk, _| desk.decode_adopted(&engine));
                (adopted.target.clone(), Some(engine))
            }
            None => (no_origin, None),
        };
        Self {
            state,
            parts,
            request,
            log,
            awaited: Awaited::Nothing,
            import_deadline: None,
            excluded: Vec::new(),
            reserved_prefill: None,
            reserved_decode,
            origin: Arc::new(origin),
            kv_expires_at: Duration::ZERO,
            unimported_tokens: 0,
            started: Instant::now(),
            arrived,
            last_token: None,
            stats: RequestStats::default(),
            unchecked_crashes: Vec::new(),
        }
    }

    // Performs all actions; returns the end of the request if it is among them.
    fn perform_all(&mut self, actions: &mut VecDeque<RequestAction>) -> Option<RequestEnd> {
        while let Some(action) = actions.pop_front() {
            match action {
                RequestAction::Place { again } => self.place(again, actions),
                RequestAction::PlaceDecode => {
                    self.release_decode();
                    self.request_placement(PlacementStage::DecodeOnly(self.kv_expires_at));
                }
                RequestAction::Prefill(target) => self.send_prefill(target),
                RequestAction::Decode {
                    target,
                    source,
                    handle,
                } => self.send_decode(target, &source, handle),
                RequestAction::Resume { target, from } => self.send_resume(&target, from),
                RequestAction::Exclude(engine) => self.excluded.push(engine),
                RequestAction::Cancel(attempt) => self.parts.canceller.add(attempt),
                RequestAction::Emit { position, text } => self.emit(position, text),
                RequestAction::End(end) => return Some(end),
            }
        }
        None
    }

    fn place(&mut self, again: bool, actions: &mut VecDeque<RequestAction>) {
        self.release_decode();
        let now = self.parts.desk.now();
        if again && !self.parts.budget.lock().expect("budget").spend(now) {
            let text = "too much work is being done again";
            let refusal =
                Refusal::not_run(RefusalCode::Overloaded, text).after(Duration::from_secs(1));
            let event = RequestEvent::PlaceRefused(refusal);
            actions.extend(self.handle_event(event));
            return;
        }
        self.request_placement(PlacementStage::PrefillAndDecode);
    }

    fn request_placement(&mut self, stage: PlacementStage) {
        let delivered = self.state.delivered().len();
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
        let (parts, digest, verdict) = (
            self.parts.clone(),
            self.request.digest,
            self.state.verdict(),
        );
        let unchecked = std::mem::take(&mut self.unchecked_crashes);
        let placement = async move {
            check_for_crashes(&parts, digest, unchecked).await;
            match parts.crashes.check(digest, verdict) {
                Ok(()) => parts.desk.place(question).await,
                Err(refusal) => PlacementAnswer::Refused(refusal),
            }
        };
        self.awaited = Awaited::Desk(placement.boxed(), stage);
    }

    fn link(&self, engine: &str) -> Option<Arc<EngineLink>> {
        self.parts.desk.read(|desk| desk.link(engine))
    }

    fn send_prefill(&mut self, target: EngineAttempt) {
        let order = engine::PrefillOrder {
            attempt: target.attempt,
            model: self.request.model.clone(),
            prompt: self.request.prompt.clone(),
            delivered: self.state.delivered().to_vec(),
            priority: self.request.priority,
            tenant: self.request.tenant.clone(),
        };
        self.awaited = Awaited::Prefill(match self.link(&target.engine) {
            Some(link) => (link.prefill)(order),
            None => awaited::unlisted_engine(),
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
            None => awaited::unlisted_engine(),
        });
        self.import_deadline = Some(Instant::now() + self.import_timeout());
        self.origin = Arc::new(target);
    }

    // Twice the predicted transfer time plus a fixed allowance.
    fn import_timeout(&self) -> Duration {
        let tokens = engine::estimate_tokens(&self.request.prompt) as f64;
        let seconds = self.parts.desk.read(|desk| {
            let tuning = desk.tuning();
            tokens * tuning.kv_bytes_per_token / tuning.link_rate
        });
        IMPORT_BASE_TIMEOUT + Duration::from_secs_f64(seconds * 2.0)
    }

    fn send_resume(&mut self, target: &EngineAttempt, from: u32) {
        let opened: BoxFuture<'static, CallResult<ItemStream>> = match self.link(&target.engine) {
            Some(link) => (link.resume)(engine::ResumeOrder {
                attempt: target.attempt.clone(),
                from,
                tenant: self.request.tenant.clone(),
            }),
            None => awaited::unlisted_engine(),
        };
        let delayed = async move {
            tokio::time::sleep(awaited::RESUME_DELAY).await;
            opened.await
        };
        self.awaited = Awaited::Opening(delayed.boxed());
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

    // Waits for the next event of the pending call or stream.
    async fn next_event(&mut self) -> RequestEvent {
        match &mut self.awaited {
            Awaited::Nothing => std::future::pending().await,
            Awaited::Desk(answer, stage) => {
                let stage = *stage;
                let answer = answer.await;
                self.placement_event(answer, stage)
            }
            Awaited::Prefill(reply) => match reply.await {
                Ok(reply) => RequestEvent::PrefillDone(reply),
                Err(failure) => RequestEvent::PrefillFailed(failure),
            },
            Awaited::Opening(opening) => {
                match awaited::until_deadline(self.import_deadline, opening).await {
                    Some(Ok(items)) => {
                        self.awaited = Awaited::Items(items);
                        awaited::next_item(&mut self.awaited, self.import_deadline).await
                    }
                    Some(Err(failure)) => RequestEvent::DecodeFailed(failure),
                    None => RequestEvent::ImportStalled,
                }
            }
            Awaited::Items(_) => awaited::next_item(&mut self.awaited, self.import_deadline).await,
        }
    }

    fn placement_event(&mut self, answer: PlacementAnswer, stage: PlacementStage) -> RequestEvent {
        match answer {
            PlacementAnswer::Refused(refusal) => RequestEvent::PlaceRefused(refusal),
            PlacementAnswer::Placed { prefill, decode } => {
                self.reserved_decode = Some(decode.clone());
                let decode = self.name_attempt(decode);
                match (prefill, stage) {
                    (Some(prefill), PlacementStage::PrefillAndDecode) => {
                        let tokens = self.prompt_tokens();
                        self.reserved_prefill = Some((prefill.clone(), tokens));
                        let prefill = self.name_attempt(prefill);
                        RequestEvent::Placed { prefill, decode }
                    }
                    _ => RequestEvent::DecodePlaced(decode),
                }
            }
        }
    }

    fn prompt_tokens(&self) -> u64 {
        engine::estimate_tokens(&self.request.prompt) + self.state.delivered().len() as u64
    }

    fn name_attempt(&self, engine: FastStr) -> EngineAttempt {
        let attempt = self.parts.namer.next();
        EngineAttempt { engine, attempt }
    }

    // Records an event and passes it to the state machine.
    fn handle_event(&mut self, event: RequestEvent) -> Vec<RequestAction> {
        self.record_event(&event);
        let now = self.parts.desk.now();
        let actions = self.state.step(event, now);
        let starts_call = actions.iter().any(|action| {
            matches!(
                action,
                RequestAction::Place { .. }
                    | RequestAction::PlaceDecode
                    | RequestAction::Prefill(_)
                    | RequestAction::Decode { .. }
                    | RequestAction::Resume { .. }
            )
        });
        if starts_call {
            self.awaited = Awaited::Nothing;
        }
        actions
    }
}

/// Checks which of the engines that lost a request's connection have crashed.
pub(super) async fn check_for_crashes(
    parts: &RunnerParts,
    digest: RequestDigest,
    unchecked: Vec<(FastStr, SocketAddr)>,
) {
    for (engine, address) in unchecked {
        parts
            .crashes
            .probe_for_crash(digest, &engine, address)
            .await;
    }
}

impl Drop for RequestRunner {
    // Cancels open attempts and releases reservations, also if the task is dropped before the request ends.
    fn drop(&mut self) {
        for open in self.state.open_attempts() {
            self.parts.canceller.add(open.clone());
        }
        self.release_prefill(None);
        self.release_decode();
    }
}

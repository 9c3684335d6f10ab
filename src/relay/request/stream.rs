//! Requests answered by streams of events from model engines.
//!
//! Memory at a decode engine is reserved first, then a prefill engine computes the prompt, then the
//! decode engine takes the KV cache over and streams. So no prompt is computed that finds no memory.

use {
    super::{
        answer::{self, RelayAnswer},
        call::RelayCall,
        chunks::{self, ChunkEnd, ChunkStep},
        guard::CallGuard,
        judge,
        pace::EventPace,
        prefill::{self, WaitingCache},
        reserve::{self, MemoryHold},
        resume, seek,
        stream_log::StreamTimes,
    },
    crate::{
        operation::{Refusal, RefusalCode, RunVerdict},
        relay::{
            config::RequestKind,
            dialect::DecodeParams,
            parts::shared::RelayParts,
            policy::{kept::KeptAt, view::BackendFailure},
        },
        web::PooledBody,
    },
    faststr::FastStr,
    http::{HeaderMap, StatusCode},
    std::{rc::Rc, time::Duration},
    tokio::time::Instant,
};

/// Prefill engines that a request is offered to one after the other while none of them got it.
const PREFILLS_MAX: usize = 3;

/// Rounds of reserving, computing and decoding until a request's answer begins.
const ROUNDS_MAX: u32 = 3;

/// The same for going on with a stream that broke.
const RESUME_ROUNDS_MAX: u32 = 8;

/// How long a stream that broke waits for a repeat to be allowed: its caller has part of the answer, and
/// waits for some seconds.
const RESUME_PATIENCE: Duration = Duration::from_millis(2_800);

/// How much longer than a new request a stream that broke waits for memory: its caller has waited less
/// for it so far.
const RESUME_EXTRA_WAIT: Duration = Duration::from_millis(1_000);

/// Pause before a stream that broke is tried again.
const RESUME_PAUSE: Duration = Duration::from_millis(60);

/// When a caller is to come back after engines failed a request that did not run.
const COME_BACK: Duration = Duration::from_millis(300);

/// A request running at a decode engine.
pub(super) struct RunningStream {
    pub(super) status: StatusCode,
    headers: HeaderMap,
    pub(super) body: PooledBody,
    pub(super) held: EngineHeld,
}

/// What a running request counts for at its engine, until dropped.
pub(super) struct EngineHeld {
    _memory: MemoryHold,
    pub(super) guard: CallGuard,
}

/// Why a round brought no stream.
pub(super) struct RoundFailure {
    pub(super) verdict: RunVerdict,
    pub(super) detail: String,
    /// Why no further round may follow.
    pub(super) refused: Option<Refusal>,
}

impl RoundFailure {
    /// One after which another round may follow.
    pub(super) fn new(verdict: RunVerdict, detail: impl Into<String>) -> Self {
        Self {
            verdict,
            detail: detail.into(),
            refused: None,
        }
    }

    // The failure, unless the request is refused for good.
    fn or_refused(self) -> Result<Self, Refusal> {
        match self.refused {
            Some(refusal) => Err(refusal),
            None => Ok(self),
        }
    }
}

/// A streamed request on its way.
pub(super) struct StreamRelay {
    pub(super) parts: Rc<RelayParts>,
    pub(super) call: Rc<RelayCall>,
    pub(super) service: FastStr,
    pub(super) rounds: u32,
    // Whether the one prefill that costs no repeat was sent.
    computed: bool,
    // Whether an engine broke off while it computed the prompt: that it runs well elsewhere then speaks for nothing.
    pub(super) prefill_broke: bool,
    // Decodes that were sent, run or not.
    decodes: u32,
    pub(super) skip_prefill: bool,
    // Whether the engine whose memory is reserved keeps the prompt from an earlier run.
    is_kept: bool,
    // The engine that kept the prompt when the stream went on, for the log.
    pub(super) kept_at: FastStr,
    // Whether any decode so far may have run.
    verdict: RunVerdict,
    // Whether the repeat of the next decode is counted already.
    repeat_paid: bool,
    pub(super) times: StreamTimes,
    /// When events were passed on.
    pub(super) pace: EventPace,
    // The decode engine of the last round.
    pub(super) engine: FastStr,
    // Whether the end was logged.
    pub(super) ended: bool,
}

/// Answers a streamed request.
pub async fn relay_stream(
    parts: Rc<RelayParts>,
    call: Rc<RelayCall>,
    service: FastStr,
) -> Result<RelayAnswer, Refusal> {
    let mut relay = StreamRelay {
        parts,
        call,
        service,
        rounds: 0,
        computed: false,
        prefill_broke: false,
        decodes: 0,
        skip_prefill: false,
        is_kept: false,
        kept_at: FastStr::default(),
        verdict: RunVerdict::NotRun,
        repeat_paid: false,
        times: StreamTimes::default(),
        pace: EventPace::default(),
        engine: FastStr::default(),
        ended: false,
    };
    let arrived = relay.call.arrived;
    let running = match relay.begin(arrived).await {
        Ok(running) => running,
        Err(refusal) => {
            relay.log_end("refused");
            return Err(refusal);
        }
    };
    let (status, headers) = (running.status, running.headers.clone());
    let body = match relay.call.route.kind {
        RequestKind::ResumableStream if status == StatusCode::OK => {
            answer::streamed_body(resume::resumable_chunks(relay, running))
        }
        _ => {
            let call = relay.call.clone();
            let RunningStream { body, held, .. } = running;
            let note = |kept: &mut (StreamRelay, EngineHeld), step: ChunkStep| match step {
                ChunkStep::Passed => kept.0.pace.passed(Instant::now()),
                ChunkStep::Ended(end) => {
                    kept.0.note_end(&kept.1.guard, end);
                    kept.0.log_end(end.as_str());
                }
            };
            answer::streamed_body(chunks::pass_on(body, call, (relay, held), note))
        }
    };
    Ok(answer::relayed(status, headers, body))
}

impl StreamRelay {
    pub(super) fn is_resumable(&self) -> bool {
        self.call.route.kind == RequestKind::ResumableStream
    }

    // Rounds until an engine answers; a round that may have run ends the tries unless the stream is
    // resumable. What any round may have run stays so.
    async fn begin(&mut self, since: Duration) -> Result<RunningStream, Refusal> {
        for round in 1.. {
            let failure = match self.round(None, since).await? {
                Ok(running) => return Ok(running),
                Err(failure) => failure.or_refused()?,
            };
            let again = failure.verdict.allows_retry(self.is_resumable());
            if !again || round >= ROUNDS_MAX || self.call.time_left().is_zero() {
                let refusal = Refusal::new(self.verdict, RefusalCode::BackendLost, failure.detail);
                return Err(refusal.after(COME_BACK));
            }
        }
        unreachable!("the rounds are bounded")
    }

    /// Goes on after an event with a stream that broke: rounds until an engine answers.
    pub(super) async fn resume(
        &mut self,
        after: Option<FastStr>,
        hold: Option<MemoryHold>,
    ) -> Result<RunningStream, Refusal> {
        let now = self.parts.now();
        let since = now + RESUME_EXTRA_WAIT;
        let pay_until = self.call.until.min(now + RESUME_PATIENCE);
        let mut hold = hold;
        for round in 1.. {
            while !self.pay_repeat() {
                if self.parts.now() >= pay_until {
                    let detail = "no repeats are left to go on with the stream";
                    return Err(Refusal::new(self.verdict, RefusalCode::BackendLost, detail));
                }
                tokio::time::sleep(RESUME_PAUSE).await;
            }
            let result = match hold.take() {
                Some(hold) => self.run_on(hold, after.clone()).await,
                None => self.round(after.clone(), since).await?,
            };
            let failure = match result {
                Ok(running) => return Ok(running),
                Err(failure) => failure.or_refused()?,
            };
            if round >= RESUME_ROUNDS_MAX || self.call.time_left().is_zero() {
                let refusal = Refusal::new(self.verdict, RefusalCode::BackendLost, failure.detail);
                return Err(refusal);
            }
            tokio::time::sleep(RESUME_PAUSE).await;
        }
        unreachable!("the rounds are bounded")
    }

    /// The answer of an engine came to its end.
    pub(super) fn note_end(&self, guard: &CallGuard, end: ChunkEnd) {
        if !(self.prefill_broke && end == ChunkEnd::Whole) {
            guard.note_chunk_end(&self.call, end);
        }
    }

    fn with_verdict(&self, refusal: Refusal) -> Refusal {
        Refusal {
            verdict: refusal.verdict.max(self.verdict),
            ..refusal
        }
    }

    async fn round(
        &mut self,
        after: Option<FastStr>,
        since: Duration,
    ) -> Result<Result<RunningStream, RoundFailure>, Refusal> {
        let goes_on = after.is_some();
        let kept = self.find_kept(goes_on).await;
        let (parts, call) = (&self.parts, &self.call);
        let service = &self.service;
        let reserved = reserve::reserve(parts, call, service, since, goes_on, kept.as_ref()).await;
        let hold = reserved.map_err(|refusal| self.with_verdict(refusal))?;
        self.is_kept = kept
            .as_ref()
            .is_some_and(|kept| kept.engine.id == hold.engine.id);
        self.kept_at = kept.map(|kept| kept.engine.id).unwrap_or_default();
        Ok(self.run_on(hold, after).await)
    }

    // Where a stream that goes on was begun, its prompt may still be kept.
    async fn find_kept(&self, goes_on: bool) -> Option<KeptAt> {
        let marks = &self.call.marks;
        if !goes_on && marks.last_event.is_none() {
            return None;
        }
        seek::find_kept(&self.parts, &self.service, marks.last_part.as_deref()?).await
    }

    // Computes the prompt and decodes on memory that is reserved.
    async fn run_on(
        &mut self,
        hold: MemoryHold,
        after: Option<FastStr>,
    ) -> Result<RunningStream, RoundFailure> {
        self.check_send()?;
        self.rounds += 1;
        self.times.reserved = self.call.age();
        self.engine = hold.engine.id.clone();
        let cache = self.compute(&hold).await;
        self.times.computed = self.call.age();
        let running = self.decode(hold, cache, after).await;
        self.times.answered = self.call.age();
        if let Err(failure) = &running {
            self.verdict = self.verdict.max(failure.verdict);
        }
        running
    }

    // Without a cache the decode engine computes the prompt itself: no prefill engine is free soon, or
    // the one that was asked failed.
    async fn compute(&mut self, hold: &MemoryHold) -> Option<WaitingCache> {
        let mut tried = Vec::new();
        // A trial is one send.
        let is_trial = self.call.is_on_trial;
        let is_needless = self.skip_prefill || is_trial || std::mem::take(&mut self.is_kept);
        while !is_needless && tried.len() < PREFILLS_MAX {
            let zone = &hold.engine.zone;
            let (parts, rank) = (&self.parts, self.call.priority());
            let chosen = prefill::choose_engine(parts, &self.service, zone, rank, &tried)?;
            let engine = chosen.0.id.clone();
            // Rate-limited and without a permit: as one that the request does not reach.
            let Ok(permit) = parts.take_permit(&chosen.0, rank).await else {
                tried.push(engine);
                continue;
            };
            if !parts.may_send(&chosen.0, None) {
                tried.push(engine);
                continue;
            }
            if !self.may_compute() {
                return None;
            }
            permit.use_up();
            let failure = match prefill::compute_prompt(&self.parts, &self.call, chosen).await {
                Ok(cache) => {
                    self.computed = true;
                    return Some(cache);
                }
                Err(failure) => failure,
            };
            self.log_prefill_failure(&engine, &failure);
            self.prefill_broke |= failure.arrived && failure.kind == BackendFailure::Broken;
            if failure.arrived {
                self.computed = true;
                self.parts.count_repeat(&self.service);
                return None;
            }
            tried.push(engine);
        }
        None
    }

    // The first prefill costs a repeat too if its engine does not do it.
    fn may_compute(&self) -> bool {
        match self.computed {
            true => self.parts.spend_repeat(&self.service),
            false => self.parts.may_risk_repeat(&self.service),
        }
    }

    fn may_decode_again(&self) -> bool {
        self.parts.spend_repeat(&self.service)
    }

    /// Counts the repeat with which this stream would go on elsewhere; what its caller has of it is lost if
    /// it cannot. Gives whether it is allowed.
    pub(super) fn pay_repeat(&mut self) -> bool {
        self.repeat_paid = self.repeat_paid || self.parts.spend_dear_repeat(&self.service);
        self.repeat_paid
    }

    // While it waited and its prompt was computed, servers may have ended under it elsewhere.
    fn check_send(&self) -> Result<(), RoundFailure> {
        let Self {
            parts,
            call,
            service,
            verdict,
            ..
        } = self;
        judge::check_send(parts, call, service, *verdict).map_err(|refusal| RoundFailure {
            verdict: RunVerdict::NotRun,
            detail: refusal.message.clone(),
            refused: Some(refusal),
        })
    }

    async fn decode(
        &mut self,
        mut hold: MemoryHold,
        cache: Option<WaitingCache>,
        after: Option<FastStr>,
    ) -> Result<RunningStream, RoundFailure> {
        if !self.parts.may_send(&hold.engine, Some(hold.reserved_at)) {
            let detail = format!("{} takes no new requests", hold.engine.id);
            return Err(RoundFailure::new(RunVerdict::NotRun, detail));
        }
        if self.decodes > 0 && !std::mem::take(&mut self.repeat_paid) && !self.may_decode_again() {
            let detail = "no repeats are left for another decode";
            return Err(RoundFailure::new(RunVerdict::NotRun, detail));
        }
        self.check_send()?;
        self.decodes += 1;
        let cache_source = cache
            .as_ref()
            .and_then(|cache| Some((cache.engine.address, cache.name()?)));
        let start = DecodeParams {
            cache_source,
            reservation: hold.use_up(),
            after_event: after,
        };
        let guard = CallGuard::begin(&self.parts, &hold.engine, self.call.is_suspected);
        let answer = self.send_decode(&hold, &start, &guard).await?;
        let answer = self
            .check_answer(&hold.engine, &guard, cache, answer)
            .await?;
        Ok(RunningStream {
            status: answer.status,
            headers: answer.headers,
            body: answer.body,
            held: EngineHeld {
                _memory: hold,
                guard,
            },
        })
    }
}

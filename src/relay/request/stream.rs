//! Requests that model engines answer with a stream of events.
//!
//! Each round first reserves memory at a decode engine, then has a prefill engine compute the prompt, then sends the
//! decode, which transfers the KV cache and streams the tokens. With this order no prompt is computed for which no
//! decode engine has memory.

use {
    super::{
        client_request::ClientRequest,
        event_gaps::EventGaps,
        forward::{self, ForwardEvent},
        guard::InFlightGuard,
        reserve::{self, MemoryReservation, ReservePurpose},
        response::{self, RelayResponse},
        response_body::ResponseBody,
        resume, seek, send_check,
        stream_log::StreamTimes,
        take_up,
    },
    crate::{
        operation::{Refusal, RefusalCode, RunVerdict},
        relay::{
            config::RequestKind,
            parts::shared::RelayParts,
            policy::{loads::EngineKey, prompt_cache::CachedAt, response_end::ResponseEnd},
            software_version::ServerSoftware,
        },
    },
    faststr::FastStr,
    http::{HeaderMap, StatusCode},
    std::{rc::Rc, time::Duration},
    tokio::time::Instant,
};

/// Maximum number of rounds (reservation, prefill, decode) until the response begins.
const MAX_ROUNDS: u32 = 3;

/// Maximum number of rounds to resume an interrupted stream.
const MAX_RESUME_ROUNDS: u32 = 8;

/// How long an interrupted stream waits until the retry budget allows resuming it. Its client already has part of the
/// response and waits for some seconds.
const RESUME_BUDGET_TIMEOUT: Duration = Duration::from_millis(2_800);

/// How much longer than a new request an interrupted stream waits for memory: its client has waited for memory for less
/// time so far.
const RESUME_EXTRA_WAIT: Duration = Duration::from_millis(1_000);

/// Pause before the next try to resume a stream.
const RESUME_RETRY_DELAY: Duration = Duration::from_millis(60);

/// `Retry-After` when no round started the response.
const RETRY_AFTER: Duration = Duration::from_millis(300);

/// A response that a decode engine is streaming.
pub(super) struct DecodeStream {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) body: ResponseBody,
    pub(super) guards: EngineGuards,
}

impl DecodeStream {
    /// Whether it is a successful stream of events, which another engine can continue.
    pub(super) fn continues_events(&self) -> bool {
        self.status == StatusCode::OK && self.body.is_event_stream()
    }
}

/// What a running decode occupies at its engine, released when dropped.
pub(super) struct EngineGuards {
    pub(super) memory: MemoryReservation,
    pub(super) guard: InFlightGuard,
}

impl EngineGuards {
    /// The run of the decode engine.
    pub(super) fn engine(&self) -> EngineKey {
        self.memory.engine.key()
    }

    // The software of the decode engine.
    fn software(&self) -> ServerSoftware {
        self.memory.engine.server_software()
    }
}

/// Why a round started no stream.
pub(super) struct RoundFailure {
    pub(super) verdict: RunVerdict,
    pub(super) detail: String,
    /// The refusal to return if no further round may follow.
    pub(super) final_refusal: Option<Refusal>,
}

impl RoundFailure {
    /// A failure after which another round may follow.
    pub(super) fn new(verdict: RunVerdict, detail: impl Into<String>) -> Self {
        Self {
            verdict,
            detail: detail.into(),
            final_refusal: None,
        }
    }

    // Returns the refusal as the error if no further round may follow.
    fn or_refusal(self) -> Result<Self, Refusal> {
        match self.final_refusal {
            Some(refusal) => Err(refusal),
            None => Ok(self),
        }
    }
}

/// The state of a streamed request.
pub(super) struct StreamRelay {
    pub(super) parts: Rc<RelayParts>,
    pub(super) request: Rc<ClientRequest>,
    pub(super) service: FastStr,
    pub(super) rounds: u32,
    // Whether a prefill engine has received the request. Further prefills count against the retry budget.
    pub(super) prefill_received: bool,
    // Whether the connection to a prefill engine was lost during the prefill. A good decode elsewhere is then no evidence
    // that the request is harmless.
    pub(super) prefill_broken: bool,
    // Number of decodes sent, whether they ran or not.
    pub(super) decodes_sent: u32,
    pub(super) skip_prefill: bool,
    // Whether the decode engine with the reservation still has the prompt cached from an earlier run.
    pub(super) is_prompt_cached: bool,
    // The engine that had the prompt cached when the stream was resumed, for the log.
    pub(super) cache_engine: FastStr,
    // Whether the next decode is already counted as a retry.
    pub(super) is_retry_counted: bool,
    pub(super) times: StreamTimes,
    /// The gaps between the events sent to the client.
    pub(super) event_gaps: EventGaps,
    // The decode engine of the last round.
    pub(super) decode_engine: FastStr,
    // All decode engines that the request was sent to, and the engine that computed the last prompt, each with the version of
    // its software; for the log.
    pub(super) decode_log: String,
    pub(super) prefill_log: String,
    // How the response of the last round ended.
    pub(super) response_end: Option<ResponseEnd>,
    // Whether the end of the request was logged.
    pub(super) is_end_logged: bool,
}

/// Relays a streamed request and returns its response.
pub async fn relay_stream(
    parts: Rc<RelayParts>,
    request: Rc<ClientRequest>,
    service: FastStr,
) -> Result<RelayResponse, Refusal> {
    let mut relay = StreamRelay {
        parts,
        request,
        service,
        rounds: 0,
        prefill_received: false,
        prefill_broken: false,
        decodes_sent: 0,
        skip_prefill: false,
        is_prompt_cached: false,
        cache_engine: FastStr::default(),
        is_retry_counted: false,
        times: StreamTimes::default(),
        event_gaps: EventGaps::default(),
        decode_engine: FastStr::default(),
        decode_log: String::new(),
        prefill_log: String::new(),
        response_end: None,
        is_end_logged: false,
    };
    let received_at = relay.request.received_at;
    let parts = relay.parts.clone();
    let started = parts.until_given_up(relay.start(received_at)).await;
    let running = match started.unwrap_or_else(|| Err(relay.give_up())) {
        Ok(running) => running,
        Err(refusal) => {
            relay.log_end("refused");
            return Err(refusal);
        }
    };
    let (status, headers) = (running.status, running.headers.clone());
    let body = match relay.request.route.kind {
        RequestKind::ResumableStream if running.continues_events() => {
            response::streamed_body(resume::resumable_body(relay, running))
        }
        _ => {
            let request = relay.request.clone();
            let DecodeStream { body, guards, .. } = running;
            let observe = |state: &mut (StreamRelay, EngineGuards), event: ForwardEvent| match event
            {
                ForwardEvent::Chunk => state.0.record_events(&state.1.guard),
                ForwardEvent::End(end) => {
                    state.0.note_response_end(&state.1.guard, end);
                    state.0.record_end(&state.1.guard, end);
                    state.0.log_end(end.as_str());
                }
            };
            response::streamed_body(forward::forward_body(
                body,
                request,
                (relay, guards),
                observe,
            ))
        }
    };
    Ok(response::relayed_response(status, headers, body))
}

impl StreamRelay {
    pub(super) fn is_resumable(&self) -> bool {
        self.request.route.kind == RequestKind::ResumableStream
    }

    // The refusal of a stream that a planned stop gives up before it began.
    fn give_up(&self) -> Refusal {
        self.parts.stopped_refusal(self.request.verdict())
    }

    // Runs rounds until an engine responds. After a round that may have run, only a resumable stream is tried again.
    async fn start(&mut self, since: Duration) -> Result<DecodeStream, Refusal> {
        for round in 1.. {
            let failure = match self.run_round(None, since).await? {
                Ok(running) => return Ok(running),
                Err(failure) => failure.or_refusal()?,
            };
            let may_retry = self.request.budget.borrow().allows_send();
            if !may_retry || round >= MAX_ROUNDS || self.request.time_left().is_zero() {
                let (verdict, code) = (self.request.verdict(), RefusalCode::BackendLost);
                let refusal = Refusal::new(verdict, code, failure.detail);
                return Err(refusal.after(RETRY_AFTER));
            }
        }
        unreachable!("the rounds are bounded")
    }

    /// Resumes an interrupted stream after the event `after`: runs rounds until an engine responds. The first round uses
    /// the reservation if one is given.
    pub(super) async fn resume(
        &mut self,
        after: Option<FastStr>,
        reservation: Option<MemoryReservation>,
    ) -> Result<DecodeStream, Refusal> {
        let now = self.parts.now();
        let since = now + RESUME_EXTRA_WAIT;
        let budget_deadline = self.request.deadline.min(now + RESUME_BUDGET_TIMEOUT);
        let mut reservation = reservation;
        for round in 1.. {
            self.check_software()?;
            while !self.count_retry() {
                if self.parts.now() >= budget_deadline {
                    let detail = "no repeats are left to go on with the stream";
                    let (verdict, code) = (self.request.verdict(), RefusalCode::BackendLost);
                    return Err(Refusal::new(verdict, code, detail));
                }
                tokio::time::sleep(RESUME_RETRY_DELAY).await;
            }
            let result = match reservation.take() {
                Some(reservation) => self.prefill_and_decode(reservation, after.clone()).await,
                None => self.run_round(after.clone(), since).await?,
            };
            let failure = match result {
                Ok(running) => return Ok(running),
                Err(failure) => failure.or_refusal()?,
            };
            if round >= MAX_RESUME_ROUNDS || self.request.time_left().is_zero() {
                let (verdict, code) = (self.request.verdict(), RefusalCode::BackendLost);
                return Err(Refusal::new(verdict, code, failure.detail));
            }
            tokio::time::sleep(RESUME_RETRY_DELAY).await;
        }
        unreachable!("the rounds are bounded")
    }

    // Refuses to wait for a software version that no server has any more.
    fn check_software(&self) -> Result<(), Refusal> {
        let (parts, request, service) = (&self.parts, &self.request, &self.service);
        take_up::check_software(parts, request, service)
            .inspect_err(|_| take_up::log_refusal(parts, request, service, "gone"))
    }

    /// Binds the stream to the software of the engine that sends its first event.
    pub(super) fn record_first_event(&self, running: &DecodeStream) {
        take_up::record_first_event(&self.parts, &self.request, || running.guards.software());
    }

    /// Records that an engine sent events.
    pub(super) fn record_events(&mut self, guard: &InFlightGuard) {
        self.event_gaps.record(Instant::now());
        if !self.prefill_broken {
            guard.record_writing(&self.request);
        }
    }

    /// Records how the stream of an engine ended.
    pub(super) fn record_end(&self, guard: &InFlightGuard, end: ResponseEnd) {
        if !(self.prefill_broken && end.is_complete()) {
            guard.record_end(&self.request, end);
        }
    }

    /// Counts how the stream of an engine ended, and keeps it for the log.
    pub(super) fn note_response_end(&mut self, guard: &InFlightGuard, end: ResponseEnd) {
        self.parts.metrics.response_ended(end);
        guard.record_endless(end);
        self.response_end = Some(end);
    }

    async fn run_round(
        &mut self,
        after: Option<FastStr>,
        since: Duration,
    ) -> Result<Result<DecodeStream, RoundFailure>, Refusal> {
        let is_resumed = after.is_some();
        let cached = self.find_cached_prompt(is_resumed).await;
        let (parts, request) = (&self.parts, &self.request);
        let service = &self.service;
        let purpose = match is_resumed {
            true => ReservePurpose::Resume,
            false => ReservePurpose::Begin,
        };
        let reserved =
            reserve::reserve_memory(parts, request, service, since, purpose, cached.as_ref()).await;
        let reservation = reserved?;
        self.is_prompt_cached = cached
            .as_ref()
            .is_some_and(|cached| cached.engine.id == reservation.engine.id);
        self.cache_engine = cached.map(|cached| cached.engine.id).unwrap_or_default();
        Ok(self.prefill_and_decode(reservation, after).await)
    }

    // The decode engine at which a resumed stream ran before may still have its prompt cached.
    async fn find_cached_prompt(&self, is_resumed: bool) -> Option<CachedAt> {
        let marks = &self.request.marks;
        if !is_resumed && marks.last_event.is_none() {
            return None;
        }
        let origin = self.request.origin(&self.parts.settings.zone);
        let part = marks.last_part.as_deref()?;
        seek::find_cached_prompt(&self.parts, &self.service, origin, part).await
    }

    // Has the prompt computed and sends the decode to the engine that has memory reserved.
    async fn prefill_and_decode(
        &mut self,
        reservation: MemoryReservation,
        after: Option<FastStr>,
    ) -> Result<DecodeStream, RoundFailure> {
        self.check_send()?;
        self.rounds += 1;
        self.times.reserved = self.request.age();
        self.decode_engine = reservation.engine.id.clone();
        let cache = self.prefill(&reservation).await;
        self.times.computed = self.request.age();
        let running = self.decode(reservation, cache, after).await;
        self.times.responded = self.request.age();
        running
    }

    /// Counts the retry that resumes this stream at another engine, and returns whether the budget allows it. If not, the
    /// part of the response that the client has is lost, so these retries may use a larger part of the budget.
    pub(super) fn count_retry(&mut self) -> bool {
        self.is_retry_counted =
            self.is_retry_counted || self.parts.spend_costly_retry(&self.service);
        self.is_retry_counted
    }

    // The request may have crashed servers elsewhere while it waited or its prompt was computed.
    pub(super) fn check_send(&self) -> Result<(), RoundFailure> {
        let Self {
            parts,
            request,
            service,
            ..
        } = self;
        send_check::check_send(parts, request, service).map_err(|refusal| RoundFailure {
            verdict: RunVerdict::NotRun,
            detail: refusal.message.clone(),
            final_refusal: Some(refusal),
        })
    }
}

//! Reserves KV memory at a decode engine, and queues requests until some is free.

use {
    super::{client_request::ClientRequest, priority_wait, queue_place::QueuePlace, take_up},
    crate::{
        engine::EngineRole,
        operation::{Refusal, RefusalCode},
        relay::{
            admission::{memory, priority_work::WorkStage},
            backend::BackendInfo,
            config::EngineLimits,
            parts::{permits::ServerPermit, priorities::CountedWork, shared::RelayParts},
            policy::{
                attempt_budget::AttemptBudget, decode_exclusions::DecodeExclusions,
                loads::EngineKey, prompt_cache::CachedAt, rotation::RotationWait,
            },
        },
    },
    faststr::FastStr,
    http::StatusCode,
    std::{rc::Rc, time::Duration},
};

/// Timeout of a reservation call; engines respond to these at once.
const RESERVE_TIMEOUT: Duration = Duration::from_millis(120);

/// Lifetime of a reservation. It covers the prefill and the time until the decode reaches the engine.
const RESERVATION_LIFETIME: Duration = Duration::from_millis(1_500);

/// Number of engines asked for memory before the request waits until some is free.
const MAX_ENGINES_ASKED: usize = 9;

/// Lifetime of the headroom reservation that is held while the request's own memory is reserved.
const HEADROOM_LIFETIME: Duration = Duration::from_millis(300);

/// Pause before engines are asked again while no memory is known to have been released.
pub(super) const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Minimum reservation for a resumed stream at an engine that has its prompt cached; room for some events.
const MIN_UNCACHED_TOKENS: u64 = 128;

/// What memory is reserved for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReservePurpose {
    /// A response that its client has nothing of.
    Begin,
    /// A stream that was interrupted.
    Resume,
    /// A stream that has stopped at an engine, which may still go on with it.
    Move,
}

impl ReservePurpose {
    pub(super) fn is_resumed(self) -> bool {
        self != Self::Begin
    }

    // Whether an engine may receive the attempt.
    fn allows(self, budget: &AttemptBudget, server: EngineKey) -> bool {
        match self {
            Self::Begin | Self::Resume => budget.allows(server),
            Self::Move => budget.allows_move(server),
        }
    }
}

/// A reservation at an engine, released when dropped.
struct EngineReservation {
    parts: Rc<RelayParts>,
    engine: BackendInfo,
    // Its name at the engine; `None` once it was used.
    name: Option<FastStr>,
}

impl Drop for EngineReservation {
    fn drop(&mut self) {
        if let Some(name) = self.name.take() {
            let call = (self.parts.dialect.engines.release_memory)(&name);
            self.parts
                .clone()
                .call_in_background(self.engine.clone(), call);
        }
    }
}

/// KV memory reserved at a decode engine for one request, with the permit to send it there. Released when dropped.
pub struct MemoryReservation {
    parts: Rc<RelayParts>,
    /// The decode engine.
    pub engine: BackendInfo,
    /// When the memory was reserved.
    pub reserved_at: Duration,
    reservation: EngineReservation,
    // Permit to send the request to the engine; `None` once it was used.
    permit: Option<ServerPermit>,
    /// When the permit was asked for that is used.
    pub admitted_at: Option<Duration>,
    tokens: u64,
    _work: Option<CountedWork>,
}

impl MemoryReservation {
    fn new(
        reservation: EngineReservation,
        permit: ServerPermit,
        tokens: u64,
        work: Option<CountedWork>,
    ) -> Self {
        let (parts, engine) = (reservation.parts.clone(), reservation.engine.clone());
        let mut book = parts.book.borrow_mut();
        book.note_response(&engine.id, true);
        book.memory_reserved(&engine.id, tokens);
        drop(book);
        Self {
            reserved_at: parts.now(),
            parts,
            engine,
            reservation,
            permit: Some(permit),
            admitted_at: None,
            tokens,
            _work: work,
        }
    }

    /// Acquires a permit for a request of this rank if the engine has turned cold since its memory was reserved. Returns
    /// whether the request may be sent.
    pub async fn renew_permit(&mut self, rank: u8) -> bool {
        let now = self.parts.now();
        let is_cold = self
            .parts
            .book
            .borrow()
            .limits
            .is_cold(self.engine.key(), now);
        let is_outdated = self.permit.as_ref().is_some_and(ServerPermit::is_unlimited);
        if !is_cold || !is_outdated {
            return true;
        }
        self.permit = self.parts.acquire_permit(&self.engine, rank).await.ok();
        self.permit.is_some()
    }

    /// Uses up the permit and returns the name of the reservation, for the decode that is sent now.
    pub fn use_up(&mut self) -> Option<FastStr> {
        if let Some(permit) = self.permit.take() {
            self.admitted_at = Some(permit.consume());
        }
        self.reservation.name.take()
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        let mut book = self.parts.book.borrow_mut();
        if book.is_current(&self.engine) {
            book.memory_released(&self.engine.id, self.tokens);
        }
        drop(book);
        self.parts.capacity_freed.notify_waiters();
    }
}

// Memory that an engine is being asked for, which counts as used there until it has responded.
struct PendingMemory {
    parts: Rc<RelayParts>,
    engine: FastStr,
    tokens: u64,
}

impl PendingMemory {
    fn begin(parts: &Rc<RelayParts>, engine: &BackendInfo, tokens: u64) -> Self {
        parts.book.borrow_mut().memory_asked(&engine.id, tokens);
        Self {
            parts: parts.clone(),
            engine: engine.id.clone(),
            tokens,
        }
    }
}

impl Drop for PendingMemory {
    fn drop(&mut self) {
        let mut book = self.parts.book.borrow_mut();
        book.memory_answered(&self.engine, self.tokens);
    }
}

/// Waits for memory at a decode engine of the service and reserves it. The wait is limited from `since`, the request's
/// arrival or the time at which its stream was interrupted.
///
/// An engine that has the prompt cached is asked first, and only for the memory that the cache does not cover: a
/// reservation for the whole request would evict prompts that other streams can resume from.
///
/// An attempt that no further server may receive is reserved memory only at those that did.
///
/// A resumed stream also waits while no engine takes new requests, because its client already has part of the response;
/// not if all are in evacuated zones, which lasts longer than its client waits.
pub async fn reserve_memory(
    parts: &Rc<RelayParts>,
    request: &ClientRequest,
    service: &str,
    since: Duration,
    purpose: ReservePurpose,
    cached: Option<&CachedAt>,
) -> Result<MemoryReservation, Refusal> {
    let tokens = memory::reserved_tokens(&request.marks);
    let rank = request.priority();
    let origin = request.origin(&parts.settings.zone);
    let wait_until = request.deadline.min(since + memory::WAIT_LIMIT);
    let mut place = QueuePlace::join(parts, request, purpose);
    loop {
        let freed = parts.capacity_freed.notified();
        tokio::pin!(freed);
        freed.as_mut().enable();
        take_up::check_software(parts, request, service)?;
        if place.may_ask(request) {
            let is_late = place.is_late();
            if let Some(reservation) =
                try_engines(parts, request, service, purpose, cached, is_late).await
            {
                parts.metrics.reserved(&request.route, request.age());
                return Ok(reservation);
            }
            place.note_refused();
        }
        let decode = Some(EngineRole::Decode);
        let wait = parts
            .book
            .borrow()
            .rotation_wait(service, decode, origin, parts.now());
        let is_refused =
            |wait: &RotationWait| !purpose.is_resumed() || *wait == RotationWait::Evacuated;
        if let Some(wait) = wait.filter(is_refused) {
            let service = FastStr::new(service);
            return Err(parts.out_of_rotation(&service, request.verdict(), wait, rank));
        }
        let wait = parts
            .book
            .borrow()
            .decode_wait(service, rank, origin, parts.now());
        if let Some(wait) = wait {
            let service = FastStr::new(service);
            return Err(parts.permit_denied(&service, request.verdict(), wait));
        }
        place.count_wait(request);
        let left = wait_until.saturating_sub(parts.now());
        tokio::select! {
            () = freed => {}
            () = tokio::time::sleep(POLL_INTERVAL.min(left)) => {}
        }
        if parts.now() >= wait_until {
            return Err(out_of_memory(parts, request, service, tokens));
        }
        place.update_order();
    }
}

fn out_of_memory(
    parts: &RelayParts,
    request: &ClientRequest,
    service: &str,
    tokens: u64,
) -> Refusal {
    let memory = engine_limits(parts, service).map(|limits| limits.memory_tokens);
    let book = parts.book.borrow();
    let room = DecodeExclusions::of(&book, service, tokens, memory, parts.now());
    let text = format!("no decode engine has memory for this request: {room}");
    let class = request.priority_class.as_ref();
    if let Some(class) = class {
        parts.metrics.priorities.refused(class);
    }
    let retry_after = rand::random_range(parts.return_span(class));
    Refusal::new(request.verdict(), RefusalCode::Overloaded, text).after(retry_after)
}

async fn try_engines(
    parts: &Rc<RelayParts>,
    request: &ClientRequest,
    service: &str,
    purpose: ReservePurpose,
    cached: Option<&CachedAt>,
    is_late: bool,
) -> Option<MemoryReservation> {
    let tokens = memory::reserved_tokens(&request.marks);
    let rank = request.priority();
    request
        .budget
        .borrow_mut()
        .forget_ended(|server| parts.has_known_end(server));
    let is_allowed = |engine: &BackendInfo| purpose.allows(&request.budget.borrow(), engine.key());
    if let Some(cached) = cached.filter(|cached| is_allowed(&cached.engine)) {
        let uncached = tokens
            .saturating_sub(cached.tokens)
            .max(MIN_UNCACHED_TOKENS);
        if let Some(reservation) =
            reserve_with_headroom(parts, cached.engine.clone(), request, uncached, 0).await
        {
            return Some(reservation);
        }
    }
    let now = parts.now();
    let origin = request.origin(&parts.settings.zone);
    parts.update_preferred_engines();
    let capacity = engine_limits(parts, service).map(|limits| limits.memory_tokens);
    let room = priority_wait::urgent_room(parts, request, capacity);
    let engines = {
        let book = parts.book.borrow();
        let without_permit = book.without_permit(service, rank, now);
        let mut engines = book.rank_decodes_by(service, origin, tokens, capacity, now, &|id| {
            room.left_free(id)
        });
        if request.budget.borrow().is_used_up() {
            let used = request.budget.borrow().used_servers();
            engines = book.usable_decodes(&used, origin, now);
        }
        engines.retain(|engine| is_allowed(engine) && !without_permit.contains(&engine.id));
        engines
    };
    let headroom = capacity.map_or(0, |capacity| memory::headroom(capacity, tokens, is_late));
    let most = capacity.map_or(0, |capacity| capacity.saturating_sub(tokens));
    for engine in engines.into_iter().take(MAX_ENGINES_ASKED) {
        let headroom = (headroom + room.left_free(&engine.id)).min(most);
        if let Some(reservation) =
            reserve_with_headroom(parts, engine, request, tokens, headroom).await
        {
            return Some(reservation);
        }
    }
    None
}

// Reserves memory at an engine that has `headroom` free in addition. That is tested by reserving the headroom as well
// until the request's own memory is reserved. At a rate-limited engine the permit is taken first: without one, the
// memory would be reserved for a request that cannot be sent.
async fn reserve_with_headroom(
    parts: &Rc<RelayParts>,
    engine: BackendInfo,
    request: &ClientRequest,
    tokens: u64,
    headroom: u64,
) -> Option<MemoryReservation> {
    let rank = request.priority();
    let _pending = PendingMemory::begin(parts, &engine, tokens);
    let permit = parts.acquire_permit(&engine, rank).await.ok()?;
    let headroom_reservation = match headroom {
        0 => None,
        _ => Some(reserve_at(parts, &engine, headroom, HEADROOM_LIFETIME).await?),
    };
    let reservation = reserve_at(parts, &engine, tokens, RESERVATION_LIFETIME).await;
    drop(headroom_reservation);
    let reservation = reservation?;
    let work = priority_wait::count_work(parts, request, WorkStage::Running, tokens);
    Some(MemoryReservation::new(reservation, permit, tokens, work))
}

fn engine_limits(parts: &RelayParts, service: &str) -> Option<EngineLimits> {
    let service = parts.routes()?.service(service)?;
    service.engine.clone()
}

// Limits the lifetime of a reservation to the maximum that operators set.
fn limit_lifetime(parts: &RelayParts, engine: &BackendInfo, wanted: Duration) -> Duration {
    let limits = engine_limits(parts, &engine.service);
    limits.map_or(wanted, |limits| wanted.min(limits.hold_limit))
}

async fn reserve_at(
    parts: &Rc<RelayParts>,
    engine: &BackendInfo,
    tokens: u64,
    lifetime: Duration,
) -> Option<EngineReservation> {
    let engines = &parts.dialect.engines;
    let call = (engines.reserve_memory)(tokens, limit_lifetime(parts, engine, lifetime));
    let response = parts.call_backend(engine, call, RESERVE_TIMEOUT).await;
    let name = match response {
        Ok((StatusCode::OK, body)) => (engines.read_reservation)(&body),
        // The engine takes no new requests, as its response announced and is recorded already; it need not lack memory.
        Ok((StatusCode::SERVICE_UNAVAILABLE, _)) if !parts.may_send(engine, None) => return None,
        Ok((StatusCode::SERVICE_UNAVAILABLE, _)) => None,
        Ok((status, _)) => {
            parts.record_decline(engine, status);
            None
        }
        Err(failure) => {
            parts.record_send_failure(engine, &failure);
            return None;
        }
    };
    if name.is_none() {
        let mut book = parts.book.borrow_mut();
        book.note_out_of_memory(&engine.id, tokens, parts.now());
        return None;
    }
    Some(EngineReservation {
        parts: parts.clone(),
        engine: engine.clone(),
        name,
    })
}

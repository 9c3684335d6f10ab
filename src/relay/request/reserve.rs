//! Waiting for memory at a decode engine, and reserving it.

use {
    super::call::RelayCall,
    crate::{
        engine::EngineRole,
        operation::{Refusal, RefusalCode, RunVerdict},
        relay::{
            backend::BackendInfo,
            config::EngineLimits,
            parts::{permits::ServerPermit, shared::RelayParts},
            policy::{
                admission::{self, LineEntrant},
                kept::KeptAt,
                line::LineKey,
                room::DecodeRoom,
            },
        },
    },
    faststr::FastStr,
    http::StatusCode,
    std::{rc::Rc, time::Duration},
};

/// Longest wait for the answer to a reservation; engines answer these at once.
const HOLD_PATIENCE: Duration = Duration::from_millis(120);

/// How long memory is reserved: the prefill and the way to the engine fit into it.
const HOLD_TIME: Duration = Duration::from_millis(1_500);

/// Engines asked for memory before the request waits for some to become free.
const HOLD_TRIES: usize = 9;

/// How long headroom is reserved while a request's own memory is asked for.
const HEADROOM_TIME: Duration = Duration::from_millis(300);

/// Pause between two rounds of asking while nothing is known to have become free.
const ROUND_PAUSE: Duration = Duration::from_millis(25);

/// Least memory that is reserved for a stream that goes on where its prompt is kept: some events.
const LACKED_LEAST: u64 = 128;

/// A reservation as its engine knows it; given back when dropped.
struct EngineHold {
    parts: Rc<RelayParts>,
    engine: BackendInfo,
    // What it is called there; none once it was used.
    name: Option<FastStr>,
}

impl Drop for EngineHold {
    fn drop(&mut self) {
        if let Some(name) = self.name.take() {
            let call = (self.parts.dialect.engines.release_memory)(&name);
            self.parts.clone().call_later(self.engine.clone(), call);
        }
    }
}

/// Memory at a decode engine, reserved for one request; given back when dropped.
pub struct MemoryHold {
    parts: Rc<RelayParts>,
    /// The engine.
    pub engine: BackendInfo,
    /// When the memory was reserved.
    pub reserved_at: Duration,
    hold: EngineHold,
    // Leave to send the request there; none once it was used.
    permit: Option<ServerPermit>,
    tokens: u64,
}

impl MemoryHold {
    fn new(hold: EngineHold, permit: ServerPermit, tokens: u64) -> Self {
        let (parts, engine) = (hold.parts.clone(), hold.engine.clone());
        let mut book = parts.book.borrow_mut();
        book.answered(&engine.id, true);
        book.memory_taken(&engine.id, tokens);
        drop(book);
        Self {
            reserved_at: parts.now(),
            parts,
            engine,
            hold,
            permit: Some(permit),
            tokens,
        }
    }

    /// The name of the reservation, to be used now with the request's permit at the engine.
    pub fn use_up(&mut self) -> Option<FastStr> {
        if let Some(permit) = self.permit.take() {
            permit.use_up();
        }
        self.hold.name.take()
    }
}

impl Drop for MemoryHold {
    fn drop(&mut self) {
        let mut book = self.parts.book.borrow_mut();
        if book.is_current(&self.engine) {
            book.memory_freed(&self.engine.id, self.tokens);
        }
        drop(book);
        self.parts.freed.notify_waiters();
    }
}

// A place in the line; left when dropped.
struct LinePlace {
    parts: Rc<RelayParts>,
    key: LineKey,
    entrant: LineEntrant,
}

impl LinePlace {
    fn join(parts: &Rc<RelayParts>, call: &RelayCall) -> Self {
        let mut line = parts.line.borrow_mut();
        let entrant = LineEntrant {
            arrived: call.arrived,
            waited: call.waited,
            target: call.route.latency_target,
            priority: call.priority(),
            tokens: call.marks.prompt_tokens + call.marks.answer_hint.unwrap_or_default(),
        };
        let key = entrant.key(line.ticket(), parts.now());
        line.place(None, key);
        Self {
            parts: parts.clone(),
            key,
            entrant,
        }
    }

    fn is_first(&self) -> bool {
        self.parts.line.borrow().ahead(&self.key) == 0
    }

    // Who can no longer be in time lets those go first who can.
    fn update(&mut self) {
        let key = self.entrant.key(self.key.ticket, self.parts.now());
        if key != self.key {
            self.parts.line.borrow_mut().place(Some(self.key), key);
            self.key = key;
        }
    }
}

impl Drop for LinePlace {
    fn drop(&mut self) {
        self.parts.line.borrow_mut().leave(&self.key);
        self.parts.freed.notify_waiters();
    }
}

/// Waits for memory at a decode engine of the service and reserves it; the wait counts from `since`, the
/// request's arrival or the moment its stream broke. An engine that keeps the prompt is asked before the others,
/// and for no more than it lacks: memory for the whole would drive out what others' streams find there.
/// A stream that goes on waits also where all engines take no new requests for now: its caller has part of the answer.
pub async fn reserve(
    parts: &Rc<RelayParts>,
    call: &RelayCall,
    service: &str,
    since: Duration,
    goes_on: bool,
    kept: Option<&KeptAt>,
) -> Result<MemoryHold, Refusal> {
    let tokens = admission::reserved_tokens(&call.marks);
    let rank = call.priority();
    let give_up = call.until.min(since + admission::WAIT_LIMIT);
    let mut place = LinePlace::join(parts, call);
    loop {
        let freed = parts.freed.notified();
        tokio::pin!(freed);
        freed.as_mut().enable();
        if place.is_first()
            && let Some(hold) = ask_round(parts, call, service, kept, place.key.late).await
        {
            parts.metrics.reserved(&call.route, call.age());
            return Ok(hold);
        }
        let decode = Some(EngineRole::Decode);
        let wait = parts
            .book
            .borrow()
            .rotation_wait(service, decode, parts.now());
        if let Some(wait) = wait.filter(|_| !goes_on) {
            let service = FastStr::new(service);
            return Err(parts.out_of_rotation(&service, RunVerdict::NotRun, wait, rank));
        }
        let wait = parts.book.borrow().decode_wait(service, rank, parts.now());
        if let Some(wait) = wait {
            let service = FastStr::new(service);
            return Err(parts.permit_denied(&service, RunVerdict::NotRun, wait));
        }
        let left = give_up.saturating_sub(parts.now());
        tokio::select! {
            () = freed => {}
            () = tokio::time::sleep(ROUND_PAUSE.min(left)) => {}
        }
        if parts.now() >= give_up {
            return Err(no_room(parts, service, tokens));
        }
        place.update();
    }
}

fn no_room(parts: &RelayParts, service: &str, tokens: u64) -> Refusal {
    let memory = engine_limits(parts, service).map(|limits| limits.memory_tokens);
    let book = parts.book.borrow();
    let room = DecodeRoom::of(&book, service, tokens, memory, parts.now());
    let text = format!("no decode engine has memory for this request: {room}");
    Refusal::not_run(RefusalCode::Overloaded, text).after(rand::random_range(admission::COME_BACK))
}

async fn ask_round(
    parts: &Rc<RelayParts>,
    call: &RelayCall,
    service: &str,
    kept: Option<&KeptAt>,
    is_late: bool,
) -> Option<MemoryHold> {
    let tokens = admission::reserved_tokens(&call.marks);
    let rank = call.priority();
    if let Some(kept) = kept {
        let lacked = tokens.saturating_sub(kept.tokens).max(LACKED_LEAST);
        if let Some(hold) = ask_beside(parts, kept.engine.clone(), rank, lacked, 0).await {
            return Some(hold);
        }
    }
    let now = parts.now();
    let zone = &parts.settings.zone;
    let memory = engine_limits(parts, service).map(|limits| limits.memory_tokens);
    let engines = {
        let book = parts.book.borrow();
        let without_permit = book.without_permit(service, rank, now);
        let mut engines = book.rank_decodes(service, zone, tokens, memory, now);
        engines.retain(|engine| !without_permit.contains(&engine.id));
        engines
    };
    let headroom = memory.map_or(0, |memory| admission::headroom(memory, tokens, is_late));
    for engine in engines.into_iter().take(HOLD_TRIES) {
        if let Some(hold) = ask_beside(parts, engine, rank, tokens, headroom).await {
            return Some(hold);
        }
    }
    None
}

// Memory for a request where as much again as `headroom` is free. That is seen by reserving it, for as long
// as the request's own memory is asked for. Where the engine is rate-limited the request's permit there is taken first: memory
// without a permit would be held for nobody.
async fn ask_beside(
    parts: &Rc<RelayParts>,
    engine: BackendInfo,
    rank: u8,
    tokens: u64,
    headroom: u64,
) -> Option<MemoryHold> {
    let permit = parts.take_permit(&engine, rank).await.ok()?;
    let beside = match headroom {
        0 => None,
        _ => Some(ask(parts, &engine, headroom, HEADROOM_TIME).await?),
    };
    let hold = ask(parts, &engine, tokens, HOLD_TIME).await;
    drop(beside);
    Some(MemoryHold::new(hold?, permit, tokens))
}

fn engine_limits(parts: &RelayParts, service: &str) -> Option<EngineLimits> {
    let service = parts.routes()?.service(service)?;
    service.engine.clone()
}

// Operators bound how long memory may be reserved.
fn bounded_time(parts: &RelayParts, engine: &BackendInfo, wanted: Duration) -> Duration {
    let limits = engine_limits(parts, &engine.service);
    limits.map_or(wanted, |limits| wanted.min(limits.hold_limit))
}

async fn ask(
    parts: &Rc<RelayParts>,
    engine: &BackendInfo,
    tokens: u64,
    time: Duration,
) -> Option<EngineHold> {
    let engines = &parts.dialect.engines;
    let call = (engines.reserve_memory)(tokens, bounded_time(parts, engine, time));
    let answer = parts.call_backend(engine, call, HOLD_PATIENCE).await;
    let name = match answer {
        Ok((StatusCode::OK, body)) => (engines.read_reservation)(&body),
        // What it says of itself is noted already.
        Ok((StatusCode::SERVICE_UNAVAILABLE, _)) if !parts.may_send(engine, None) => return None,
        Ok((StatusCode::SERVICE_UNAVAILABLE, _)) => None,
        Ok((status, _)) => {
            parts.note_decline(engine, status);
            None
        }
        Err(failure) => {
            parts.note_send_failure(engine, &failure);
            return None;
        }
    };
    if name.is_none() {
        let mut book = parts.book.borrow_mut();
        book.refused(&engine.id, tokens, parts.now());
        return None;
    }
    Some(EngineHold {
        parts: parts.clone(),
        engine: engine.clone(),
        name,
    })
}

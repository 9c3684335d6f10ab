//! Waiting for memory at a decode engine, and reserving it.

use {
    super::{
        backend::BackendInfo, call::RelayCall, config::EngineLimits, dialect::CallMarks,
        kept::KeptAt, line::LineKey, parts::RelayParts, room::DecodeRoom,
    },
    crate::operation::{Refusal, RefusalCode},
    faststr::FastStr,
    http::StatusCode,
    std::{rc::Rc, time::Duration},
    tokio::time::Instant,
};

/// Longest wait for the answer to a reservation; engines answer these at once.
const HOLD_PATIENCE: Duration = Duration::from_millis(120);

/// How long memory is reserved: the prefill and the way to the engine fit into it.
const HOLD_TIME: Duration = Duration::from_millis(1_500);

/// Engines asked for memory before the request waits for some to become free.
const HOLD_TRIES: usize = 9;

/// Part of an engine's memory that has to be free beside what a request reserves: answers grow into it
/// beyond what is reserved for them. Where none is free one of those is put back and computed anew, which
/// costs more than a request that waits; by measured runs (docs/design/routing.md).
const HEADROOM_SHARE: f64 = 0.055;

/// How long headroom is reserved while a request's own memory is asked for.
const HEADROOM_TIME: Duration = Duration::from_millis(300);

/// Pause between two rounds of asking while nothing is known to have become free.
const ROUND_PAUSE: Duration = Duration::from_millis(25);

/// Longest wait of a request for memory: callers give a stream up after some seconds without events.
const WAIT_LIMIT: Duration = Duration::from_millis(1_200);

/// From the reservation to the first event: the prefill and the first step.
const SERVICE_TIME: Duration = Duration::from_millis(250);

/// Part of an answer's expected tokens that is reserved for it alone; the rest it finds in the headroom, which
/// all answers of an engine share. By measured runs (docs/design/routing.md).
const RESERVED_ANSWER: f64 = 0.3;

/// Tokens of a request of the usual size, prompt and answer.
const USUAL_TOKENS: f64 = 4_000.0;

/// Least memory that is reserved for a stream that goes on where its prompt is kept: some events.
const LACKED_LEAST: u64 = 128;

/// Bounds of what a request's size makes of its latency target when the line is ordered: the largest
/// wait one target longer than the usual, no more.
const SIZE_FACTOR_LEAST: f64 = 0.3;
const SIZE_FACTOR_MOST: f64 = 2.0;

/// When a caller is to come back after a refusal for lack of memory.
const COME_BACK: Duration = Duration::from_millis(1_000);

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
            let call = (self.parts.dialect.engines.drop_hold)(&name);
            self.parts.clone().call_later(self.engine.clone(), call);
        }
    }
}

/// Memory at a decode engine, reserved for one request; given back when dropped.
pub struct MemoryHold {
    parts: Rc<RelayParts>,
    /// The engine.
    pub engine: BackendInfo,
    hold: EngineHold,
    tokens: u64,
}

impl MemoryHold {
    fn new(hold: EngineHold, tokens: u64) -> Self {
        let (parts, engine) = (hold.parts.clone(), hold.engine.clone());
        let mut book = parts.book.borrow_mut();
        book.answered(&engine.id, true);
        book.memory_taken(&engine.id, tokens);
        drop(book);
        Self {
            parts,
            engine,
            hold,
            tokens,
        }
    }

    /// The name of the reservation, to be used now.
    pub fn use_up(&mut self) -> Option<FastStr> {
        self.hold.name.take()
    }
}

impl Drop for MemoryHold {
    fn drop(&mut self) {
        let mut book = self.parts.book.borrow_mut();
        book.memory_freed(&self.engine.id, self.tokens);
        drop(book);
        self.parts.freed.notify_waiters();
    }
}

// Small requests go before large ones that came a little earlier: they take less memory for less time,
// and a line that is not served in full serves more of them in time.
fn size_factor(marks: &CallMarks) -> f64 {
    let tokens = marks.prompt_tokens + marks.answer_hint.unwrap_or_default();
    (tokens as f64 / USUAL_TOKENS).clamp(SIZE_FACTOR_LEAST, SIZE_FACTOR_MOST)
}

// A place in the line; left when dropped.
struct LinePlace {
    parts: Rc<RelayParts>,
    key: LineKey,
    // When the request has to be served to be in time.
    due: Duration,
}

impl LinePlace {
    fn join(parts: &Rc<RelayParts>, call: &RelayCall) -> Self {
        let mut line = parts.line.borrow_mut();
        let due = call.arrived + call.route.latency_target;
        let rank = call.arrived + call.route.latency_target.mul_f64(size_factor(&call.marks));
        let key = LineKey {
            late: false,
            priority: call.route.priority,
            rank: parts.at(rank),
            ticket: line.ticket(),
        };
        line.place(None, key);
        Self {
            parts: parts.clone(),
            key,
            due: parts.at(due),
        }
    }

    fn is_first(&self) -> bool {
        self.parts.line.borrow().ahead(&self.key) == 0
    }

    // Who can no longer be in time lets those go first who can.
    fn update(&mut self) {
        let late = self.parts.now() + SERVICE_TIME > self.due;
        if late != self.key.late {
            let key = LineKey { late, ..self.key };
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

// An engine's memory fills as answers grow, and those that run are at all stages of it: reserving each
// whole answer would leave memory unused.
fn reserved_tokens(marks: &CallMarks) -> u64 {
    let expected = marks.answer_hint.unwrap_or(marks.answer_limit / 2);
    let expected = expected.min(marks.answer_limit);
    marks.prompt_tokens + (expected as f64 * RESERVED_ANSWER) as u64
}

/// Waits for memory at a decode engine of the service and reserves it; the wait counts from `since`, the
/// request's arrival or the moment its stream broke. An engine that keeps the prompt is asked before the others,
/// and for no more than it lacks: memory for the whole would drive out what others' streams find there.
pub async fn reserve(
    parts: &Rc<RelayParts>,
    call: &RelayCall,
    service: &str,
    since: Instant,
    kept: Option<&KeptAt>,
) -> Result<MemoryHold, Refusal> {
    let tokens = reserved_tokens(&call.marks);
    let give_up = call.until.min(since + WAIT_LIMIT);
    let mut place = LinePlace::join(parts, call);
    loop {
        let freed = parts.freed.notified();
        tokio::pin!(freed);
        freed.as_mut().enable();
        if place.is_first()
            && let Some(hold) = ask_round(parts, service, tokens, kept).await
        {
            parts.metrics.reserved(&call.route, call.arrived.elapsed());
            return Ok(hold);
        }
        let pause = Instant::now() + ROUND_PAUSE;
        tokio::select! {
            () = freed => {}
            () = tokio::time::sleep_until(pause.min(give_up)) => {}
        }
        if Instant::now() >= give_up {
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
    Refusal::not_run(RefusalCode::Overloaded, text).after(COME_BACK)
}

async fn ask_round(
    parts: &Rc<RelayParts>,
    service: &str,
    tokens: u64,
    kept: Option<&KeptAt>,
) -> Option<MemoryHold> {
    if let Some(kept) = kept {
        let lacked = tokens.saturating_sub(kept.tokens).max(LACKED_LEAST);
        if let Some(hold) = ask_beside(parts, kept.engine.clone(), lacked, 0).await {
            return Some(hold);
        }
    }
    let now = parts.now();
    let zone = &parts.settings.zone;
    let memory = engine_limits(parts, service).map(|limits| limits.memory_tokens);
    let engines = {
        let book = parts.book.borrow();
        book.rank_decodes(service, zone, tokens, memory, now)
    };
    let headroom = memory.map_or(0, |memory| headroom(memory, tokens));
    for engine in engines.into_iter().take(HOLD_TRIES) {
        if let Some(hold) = ask_beside(parts, engine, tokens, headroom).await {
            return Some(hold);
        }
    }
    None
}

// A request that fills an engine's memory leaves no headroom there.
fn headroom(memory: u64, tokens: u64) -> u64 {
    let wanted = (memory as f64 * HEADROOM_SHARE) as u64;
    wanted.min(memory.saturating_sub(tokens))
}

// Memory for a request where as much again as `headroom` is free. That is seen by reserving it, for as long
// as the request's own memory is asked for.
async fn ask_beside(
    parts: &Rc<RelayParts>,
    engine: BackendInfo,
    tokens: u64,
    headroom: u64,
) -> Option<MemoryHold> {
    let beside = match headroom {
        0 => None,
        _ => Some(ask(parts, &engine, headroom, HEADROOM_TIME).await?),
    };
    let hold = ask(parts, &engine, tokens, HOLD_TIME).await;
    drop(beside);
    Some(MemoryHold::new(hold?, tokens))
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
    let call = (engines.hold)(tokens, bounded_time(parts, engine, time));
    let answer = parts.call_backend(engine, call, HOLD_PATIENCE).await;
    let name = match answer {
        Ok((StatusCode::OK, body)) => (engines.read_hold)(&body),
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

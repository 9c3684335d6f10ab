//! Streams that another engine may go on with: whole events are passed on, and where they stop the rest
//! comes from elsewhere.

use {
    super::{
        chunks::ChunkEnd,
        events::EventSplitter,
        reserve::{self, MemoryHold},
        stream::{RunningStream, StreamRelay},
    },
    crate::web::BrokenBody,
    bytes::Bytes,
    faststr::FastStr,
    futures::Stream,
    http::StatusCode,
    std::time::Duration,
    tokio::time::Instant,
};

/// Silence within a stream after which memory for it is sought elsewhere. Engines put requests back when
/// their memory runs out and go on within a second or two; callers wait some seconds.
const SILENCE_LIMIT: Duration = Duration::from_millis(1_200);

/// Pause before memory is sought again where no repeat was allowed.
const REPEAT_PAUSE: Duration = Duration::from_millis(100);

/// What came of a running stream.
enum StreamStep {
    Chunk(Bytes),
    /// Its orderly end.
    End,
    /// The connection broke off.
    Broke(String),
    /// Nothing came, and memory for it is reserved elsewhere.
    Movable(Box<MemoryHold>),
    /// The caller's time is over.
    TimeLimit,
}

/// Passes whole events on as they come; after a break the rest comes from another engine.
pub(super) fn resumable_chunks(
    mut relay: StreamRelay,
    mut running: RunningStream,
) -> impl Stream<Item = Result<Bytes, BrokenBody>> {
    async_stream::stream! {
        let mut splitter = EventSplitter::default();
        loop {
            let (broke, hold) = match next_step(&mut relay, &mut running).await {
                StreamStep::Chunk(chunk) => {
                    if let Some(events) = splitter.push(&chunk) {
                        relay.pace.passed(Instant::now());
                        yield Ok(events);
                    }
                    continue;
                }
                StreamStep::End => {
                    if let Some(rest) = splitter.take_rest() {
                        yield Ok(rest);
                    }
                    relay.note_end(&running.held.guard, ChunkEnd::Whole);
                    relay.log_end("whole");
                    return;
                }
                StreamStep::TimeLimit => {
                    relay.log_end("time-limit");
                    yield Err(BrokenBody("the time limit was reached".into()));
                    return;
                }
                StreamStep::Broke(why) => {
                    running.held.guard.settle_break(&relay.call).await;
                    (why, None)
                }
                StreamStep::Movable(hold) => ("the engine fell silent".to_owned(), Some(*hold)),
            };
            // Closes the connection, on which the engine stops, before another one begins.
            drop(running);
            splitter.drop_rest();
            let after = splitter.last_id().map(FastStr::new);
            match relay.resume(after, hold).await {
                Ok(next) if next.status == StatusCode::OK => running = next,
                Ok(next) => {
                    relay.log_end("broken");
                    yield Err(BrokenBody(format!("{broke}; then status {}", next.status)));
                    return;
                }
                Err(refusal) => {
                    relay.log_end("broken");
                    yield Err(BrokenBody(format!("{broke}; then {refusal}")));
                    return;
                }
            }
        }
    }
}

// An engine that is silent may go on by itself: its stream is only left once there is memory elsewhere and
// the repeat is allowed.
async fn next_step(relay: &mut StreamRelay, running: &mut RunningStream) -> StreamStep {
    let patience = SILENCE_LIMIT.min(relay.call.time_left());
    if let Ok(next) = tokio::time::timeout(patience, running.body.chunk()).await {
        return step_of(next);
    }
    while !relay.call.time_left().is_zero() {
        let seeking = reserve::reserve(
            &relay.parts,
            &relay.call,
            &relay.service,
            relay.parts.now(),
            true,
            None,
        );
        tokio::select! {
            biased;
            next = running.body.chunk() => return step_of(next),
            reserved = seeking => match reserved {
                Ok(hold) if relay.pay_repeat() => return StreamStep::Movable(Box::new(hold)),
                Ok(_) => tokio::time::sleep(REPEAT_PAUSE).await,
                // Refused at once where no engine may be asked, so that it is not the wait for memory that paces the asking.
                Err(refusal) => {
                    log::debug!("a silent stream stays where it is: {refusal}");
                    tokio::time::sleep(REPEAT_PAUSE).await;
                }
            }
        }
    }
    StreamStep::TimeLimit
}

fn step_of(next: Option<Result<Bytes, hyper::Error>>) -> StreamStep {
    match next {
        Some(Ok(chunk)) => StreamStep::Chunk(chunk),
        None => StreamStep::End,
        Some(Err(error)) => StreamStep::Broke(format!("the engine broke off: {error}")),
    }
}

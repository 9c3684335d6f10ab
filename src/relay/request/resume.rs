//! Resumable streams: only whole events are forwarded, and when a stream is lost or stalls, another engine continues
//! after the last of them.

use {
    super::{
        event_splitter::EventSplitter,
        forward,
        reserve::{self, MemoryReservation, ReservePurpose},
        response_body::{BodyStep, BodyStop},
        stream::{DecodeStream, StreamRelay},
    },
    crate::web::BrokenBody,
    bytes::Bytes,
    faststr::FastStr,
    futures::Stream,
    std::time::Duration,
};

/// Time without data after which memory for the stream is sought at other engines. Sound engines are silent for a second
/// or two, also when they preempt a request; a move computes the prompt again.
const STALL_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Pause before memory is sought again after the retry budget or all engines refused.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// The next step of a running stream.
enum StreamStep {
    Chunk(Bytes, Option<usize>),
    Stop(BodyStop),
    /// No data arrived, and memory is reserved at an engine to continue at.
    Stalled(Box<MemoryReservation>),
}

/// Forwards whole events as they arrive. Resumes the stream at another engine if its connection is lost or it stalls.
pub(super) fn resumable_body(
    mut relay: StreamRelay,
    mut running: DecodeStream,
) -> impl Stream<Item = Result<Bytes, BrokenBody>> {
    async_stream::stream! {
        let mut splitter = EventSplitter::default();
        loop {
            let (cause, reservation) = match next_step(&mut relay, &mut running).await {
                StreamStep::Chunk(bytes, whole) => {
                    if let Some(events) = splitter.push(&bytes, whole) {
                        relay.record_first_event(&running);
                        relay.record_events(&running.guards.guard);
                        yield Ok(events);
                    }
                    continue;
                }
                StreamStep::Stop(stop) => {
                    let end = stop.end;
                    relay.note_response_end(&running.guards.guard, end);
                    if end.is_complete() {
                        assert!(splitter.is_empty(), "a complete stream ends between two events");
                        relay.record_end(&running.guards.guard, end);
                        relay.log_end(end.as_str());
                        return;
                    }
                    if !end.is_broken() {
                        relay.log_end(end.as_str());
                        yield Err(forward::break_off(stop.to_string()).await);
                        return;
                    }
                    running.guards.guard.await_end_check(&relay.request).await;
                    (stop.to_string(), None)
                }
                StreamStep::Stalled(reservation) => {
                    ("the engine stopped sending events".to_owned(), Some(*reservation))
                },
            };
            // Closing the connection stops the engine before another one starts.
            drop(running);
            splitter.drop_rest();
            let last_event = splitter.last_id().map(FastStr::new);
            match relay.resume(last_event, reservation).await {
                Ok(next) if next.continues_events() => running = next,
                Ok(next) => {
                    relay.log_end("broken");
                    yield Err(forward::break_off(format!("{cause}; resuming failed with status {} or no event stream", next.status)).await);
                    return;
                }
                Err(refusal) => {
                    relay.log_end("broken");
                    yield Err(forward::break_off(format!("{cause}; resuming failed: {refusal}")).await);
                    return;
                }
            }
        }
    }
}

// A stalled engine may continue by itself, so its stream is left only once memory is reserved at an engine and the retry
// budget allows it.
async fn next_step(relay: &mut StreamRelay, running: &mut DecodeStream) -> StreamStep {
    let timeout = STALL_TIMEOUT.min(relay.request.time_left());
    if let Some(next) = running.body.next_within(timeout).await {
        return stream_step(next);
    }
    let engine = running.guards.engine();
    let request = relay.request.clone();
    let set_stalled = |has_stalled| {
        request
            .budget
            .borrow_mut()
            .record_stall(engine, has_stalled)
    };
    set_stalled(true);
    relay.parts.metrics.attempts.stalls.inc();
    let step = move_or_wait(relay, running).await;
    if let StreamStep::Chunk(..) = step {
        set_stalled(false);
        relay.parts.metrics.attempts.stalls_ended.inc();
    }
    step
}

// Waits until a stalled engine goes on or another one can continue its stream.
async fn move_or_wait(relay: &mut StreamRelay, running: &mut DecodeStream) -> StreamStep {
    while !relay.request.time_left().is_zero() {
        if !relay.request.budget.borrow().has_moves_left() {
            let left = relay.request.time_left();
            match tokio::time::timeout(left, running.body.next()).await {
                Ok(next) => return stream_step(next),
                Err(_) => break,
            }
        }
        let reserving = reserve::reserve_memory(
            &relay.parts,
            &relay.request,
            &relay.service,
            relay.parts.now(),
            ReservePurpose::Move,
            None,
        );
        tokio::select! {
            biased;
            next = running.body.next() => return stream_step(next),
            reserved = reserving => match reserved {
                Ok(reservation) if relay.count_retry() => {
                    relay.parts.metrics.attempts.moves.inc();
                    return StreamStep::Stalled(Box::new(reservation));
                }
                Ok(_) => tokio::time::sleep(RETRY_DELAY).await,
                // A refusal may come at once, without the wait for memory, if no engine may be asked.
                Err(refusal) => {
                    log::debug!("no engine to move a stalled stream to: {refusal}");
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
        }
    }
    StreamStep::Stop(running.body.stop_at_deadline())
}

fn stream_step(next: BodyStep) -> StreamStep {
    match next {
        BodyStep::Chunk(bytes, whole) => StreamStep::Chunk(bytes, whole),
        BodyStep::End(stop) => StreamStep::Stop(stop),
    }
}

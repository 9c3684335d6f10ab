//! Reads the bodies of callers' requests.

use {
    crate::{
        operation::{Refusal, RefusalCode},
        relay::config::CallerLimits,
        web::{self, BodyRead, CallerBudget, HeldBytes},
    },
    bytes::Bytes,
    http_body::Body,
    http_body_util::BodyExt,
    hyper::body::Incoming,
    std::{ops::RangeInclusive, rc::Rc, time::Duration},
};

/// `Retry-After` while callers' bodies take all the memory that there is for them, random so that callers do not return
/// together.
const FULL_RETRY_AFTER: RangeInclusive<Duration> =
    Duration::from_millis(500)..=Duration::from_millis(1_500);

/// Reads a body of a caller. The bytes are held of `budget`.
pub(super) async fn read_body(
    body: &mut Incoming,
    limits: &CallerLimits,
    budget: &Rc<CallerBudget>,
) -> Result<(Bytes, HeldBytes), Refusal> {
    let mut read = BodyRead::new(budget);
    let mut buffer = Vec::new();
    // A length that is known is held before the first byte is read: of many bodies, some can then be read whole.
    let length = body.size_hint().exact().unwrap_or(0);
    let length = usize::try_from(length).unwrap_or(usize::MAX);
    grow(&mut buffer, &mut read, length, limits).await?;
    loop {
        let frame = tokio::select! {
            biased;
            frame = tokio::time::timeout(limits.idle_time, body.frame()) => frame,
            () = read.evicted() => return Err(slow_body()),
        };
        let Some(frame) = frame.map_err(|_| slow_body())? else {
            return Ok((buffer.into(), read.finish()));
        };
        let frame = frame.map_err(|error| {
            let text = format!("the body broke off: {error}");
            Refusal::not_run(RefusalCode::InvalidRequest, text)
        })?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        read.record(data.len());
        let needed = buffer.len() + data.len();
        if needed > buffer.capacity() {
            let capacity = web::next_capacity(buffer.capacity(), needed, limits.body_bytes);
            grow(&mut buffer, &mut read, capacity, limits).await?;
        }
        buffer.extend_from_slice(&data);
    }
}

// Gives the buffer a capacity, which is held of the budget.
async fn grow(
    buffer: &mut Vec<u8>,
    read: &mut BodyRead,
    capacity: usize,
    limits: &CallerLimits,
) -> Result<(), Refusal> {
    if capacity > limits.body_bytes {
        let text = format!("the body has more than {} bytes", limits.body_bytes);
        return Err(Refusal::not_run(RefusalCode::TooLarge, text));
    }
    if read.reserve(capacity).await.is_err() {
        let text = "callers' bodies take all the memory that there is for them";
        let wait = rand::random_range(FULL_RETRY_AFTER);
        return Err(Refusal::not_run(RefusalCode::Overloaded, text).after(wait));
    }
    buffer.reserve_exact(capacity - buffer.len());
    Ok(())
}

/// The refusal of a request whose body is late.
pub(super) fn slow_body() -> Refusal {
    Refusal::not_run(RefusalCode::SlowCaller, "the body took too long to arrive")
}

//! Passing a running answer on to its caller.

use {
    crate::web::{BrokenBody, PooledBody},
    bytes::Bytes,
    futures::Stream,
    tokio::time::Instant,
};

/// Gives an answer's bytes as they come until its end, a break, or the caller's time limit, and tells
/// `ended` which. What is `kept` is held for as long as the answer runs.
pub(super) fn pass_on<K: 'static>(
    mut body: PooledBody,
    until: Instant,
    kept: K,
    ended: impl Fn(&mut K, &str) + 'static,
) -> impl Stream<Item = Result<Bytes, BrokenBody>> {
    async_stream::stream! {
        // The block takes the whole: of fields that it does not name it would take none.
        let mut kept = kept;
        loop {
            match tokio::time::timeout_at(until, body.chunk()).await {
                Ok(Some(Ok(chunk))) => yield Ok(chunk),
                Ok(None) => {
                    ended(&mut kept, "whole");
                    return;
                }
                Ok(Some(Err(error))) => {
                    ended(&mut kept, "broken");
                    yield Err(BrokenBody(format!("the backend server broke off: {error}")));
                    return;
                }
                Err(_) => {
                    ended(&mut kept, "time-limit");
                    yield Err(BrokenBody("the time limit was reached".into()));
                    return;
                }
            }
        }
    }
}

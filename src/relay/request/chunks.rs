//! Passing a running answer on to its caller.

use {
    crate::web::{BrokenBody, PooledBody},
    bytes::Bytes,
    futures::Stream,
    tokio::time::Instant,
};

/// What became of an answer that is being passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ChunkStep {
    /// Some bytes of it were.
    Passed,
    /// Nothing follows; how it ended.
    Ended(&'static str),
}

/// Gives an answer's bytes as they come until its end, a break, or the caller's time limit, and tells `note`
/// each step. What is `kept` is held for as long as the answer runs.
pub(super) fn pass_on<K: 'static>(
    mut body: PooledBody,
    until: Instant,
    kept: K,
    note: impl Fn(&mut K, ChunkStep) + 'static,
) -> impl Stream<Item = Result<Bytes, BrokenBody>> {
    async_stream::stream! {
        // The block takes the whole: of fields that it does not name it would take none.
        let mut kept = kept;
        loop {
            match tokio::time::timeout_at(until, body.chunk()).await {
                Ok(Some(Ok(chunk))) => {
                    note(&mut kept, ChunkStep::Passed);
                    yield Ok(chunk);
                }
                Ok(None) => {
                    note(&mut kept, ChunkStep::Ended("whole"));
                    return;
                }
                Ok(Some(Err(error))) => {
                    note(&mut kept, ChunkStep::Ended("broken"));
                    yield Err(BrokenBody(format!("the backend server broke off: {error}")));
                    return;
                }
                Err(_) => {
                    note(&mut kept, ChunkStep::Ended("time-limit"));
                    yield Err(BrokenBody("the time limit was reached".into()));
                    return;
                }
            }
        }
    }
}

//! Passing a running answer on to its caller.

use {
    super::call::RelayCall,
    crate::web::{BrokenBody, PooledBody},
    bytes::Bytes,
    futures::Stream,
    std::rc::Rc,
};

/// What became of an answer that is being passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ChunkStep {
    /// Some bytes of it were.
    Passed,
    /// Nothing follows; how it ended.
    Ended(ChunkEnd),
}

/// How an answer that was passed on ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ChunkEnd {
    /// The backend server came to its end.
    Whole,
    /// Its connection broke off.
    Broken,
    /// The caller's time is over.
    TimeLimit,
}

impl ChunkEnd {
    /// The end as the log has it.
    pub(super) fn as_str(self) -> &'static str {
        match self {
            Self::Whole => "whole",
            Self::Broken => "broken",
            Self::TimeLimit => "time-limit",
        }
    }
}

/// Gives an answer's bytes as they come until its end, a break, or the caller's time limit, and tells `note`
/// each step. What is `kept` is held for as long as the answer runs.
pub(super) fn pass_on<K: 'static>(
    mut body: PooledBody,
    call: Rc<RelayCall>,
    kept: K,
    note: impl Fn(&mut K, ChunkStep) + 'static,
) -> impl Stream<Item = Result<Bytes, BrokenBody>> {
    async_stream::stream! {
        // The block takes the whole: of fields that it does not name it would take none.
        let mut kept = kept;
        loop {
            match tokio::time::timeout(call.time_left(), body.chunk()).await {
                Ok(Some(Ok(chunk))) => {
                    note(&mut kept, ChunkStep::Passed);
                    yield Ok(chunk);
                }
                Ok(None) => {
                    note(&mut kept, ChunkStep::Ended(ChunkEnd::Whole));
                    return;
                }
                Ok(Some(Err(error))) => {
                    note(&mut kept, ChunkStep::Ended(ChunkEnd::Broken));
                    yield Err(BrokenBody(format!("the backend server broke off: {error}")));
                    return;
                }
                Err(_) => {
                    note(&mut kept, ChunkStep::Ended(ChunkEnd::TimeLimit));
                    yield Err(BrokenBody("the time limit was reached".into()));
                    return;
                }
            }
        }
    }
}

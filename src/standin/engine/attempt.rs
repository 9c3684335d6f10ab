//! The record of one attempt at a stand-in engine, from which its stream is read, again if need be.

use {
    crate::{
        engine::{CallResult, ItemStream, StreamItem},
        operation::ReplayLog,
    },
    faststr::FastStr,
    futures::StreamExt,
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
};

/// Everything an attempt said, and who reads it.
#[derive(Debug)]
pub struct AttemptLog {
    /// Whom the attempt is for.
    pub tenant: FastStr,
    items: Arc<ReplayLog<StreamItem>>,
    cancelled: AtomicBool,
}

impl AttemptLog {
    /// A record without items.
    pub fn new(tenant: FastStr) -> Arc<Self> {
        Arc::new(Self {
            tenant,
            items: ReplayLog::new(),
            cancelled: AtomicBool::new(false),
        })
    }

    /// Adds an item and wakes the readers.
    pub fn push(&self, item: StreamItem) {
        self.items.push(item);
    }

    /// Marks the attempt as cancelled and ended.
    pub fn cancel(&self) {
        self.cancelled.store(true, Ordering::Release);
        let reason = FastStr::from_static_str("cancelled");
        self.items.push(StreamItem::Aborted { reason });
        self.items.end();
    }

    /// Marks the attempt as ended.
    pub fn end(&self) {
        self.items.end();
    }

    /// Whether the attempt was cancelled.
    pub fn is_cancelled(&self) -> bool {
        self.cancelled.load(Ordering::Acquire)
    }

    /// Whether the attempt holds nothing any more.
    pub fn has_ended(&self) -> bool {
        self.items.has_ended()
    }

    /// Whether the attempt ended at least `keep` ago.
    pub fn ended_before(&self, keep: Duration) -> bool {
        self.items.ended_before(keep)
    }

    /// For how long nobody has read the stream; zero while somebody does.
    pub fn idle_for(&self) -> Duration {
        self.items.idle_for()
    }

    /// Done when the attempt has ended, by a cancel or otherwise.
    pub async fn ended(&self) {
        self.items.ended().await;
    }

    /// Reads the stream from the first token at or after `from`.
    pub fn read(&self, from: u32) -> ItemStream {
        let reader = self.items.reader(0);
        let items = futures::stream::unfold(reader, |mut reader| async move {
            let item = reader.next().await?;
            Some((Ok(item), reader))
        });
        items
            .filter(move |item| std::future::ready(is_wanted(item, from)))
            .boxed()
    }
}

fn is_wanted(item: &CallResult<StreamItem>, from: u32) -> bool {
    match item {
        Ok(StreamItem::Token { position, .. }) => *position >= from,
        _ => true,
    }
}

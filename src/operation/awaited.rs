//! The pending engine or placement call of a running request.

use {
    super::step::RequestEvent,
    crate::{
        engine::{CallFailure, CallResult, ItemStream, PrefillReply},
        route::{PlacementAnswer, PlacementStage},
    },
    futures::{FutureExt, StreamExt, future::BoxFuture},
    std::time::Duration,
    tokio::time::Instant,
};

/// The call or stream that a running request is waiting for.
pub(super) enum Awaited {
    Nothing,
    Desk(BoxFuture<'static, PlacementAnswer>, PlacementStage),
    Prefill(BoxFuture<'static, CallResult<PrefillReply>>),
    Opening(BoxFuture<'static, CallResult<ItemStream>>),
    Items(ItemStream),
}

/// Returns the failure of a call to an engine that is no longer listed.
pub(super) fn unlisted_engine<T: Send + 'static>() -> BoxFuture<'static, CallResult<T>> {
    async { Err(CallFailure::unreachable("the engine is no longer listed")) }.boxed()
}

/// Waits for a future until an optional deadline; returns `None` after the deadline.
pub(super) async fn until_deadline<T>(
    deadline: Option<Instant>,
    future: impl Future<Output = T>,
) -> Option<T> {
    match deadline {
        Some(deadline) => tokio::time::timeout_at(deadline, future).await.ok(),
        None => Some(future.await),
    }
}

/// Reads the next stream item as an event.
pub(super) async fn next_item(
    awaited: &mut Awaited,
    import_deadline: Option<Instant>,
) -> RequestEvent {
    let Awaited::Items(items) = awaited else {
        return RequestEvent::StreamBroken;
    };
    match until_deadline(import_deadline, items.next()).await {
        Some(Some(Ok(item))) => RequestEvent::Item(item),
        Some(Some(Err(_)) | None) => RequestEvent::StreamBroken,
        None => RequestEvent::ImportStalled,
    }
}

/// Delay before a broken stream is resumed.
pub(super) const RESUME_DELAY: Duration = Duration::from_millis(20);

//! What a running request waits for.

use {
    super::step::LifeEvent,
    crate::{
        engine::{CallFailure, CallResult, ItemStream, PrefillReply},
        route::{PlacementAnswer, PlacementStage},
    },
    futures::{FutureExt, StreamExt, future::BoxFuture},
    std::time::Duration,
    tokio::time::Instant,
};

/// What the life waits for.
pub(super) enum Awaited {
    Nothing,
    Desk(BoxFuture<'static, PlacementAnswer>, PlacementStage),
    Prefill(BoxFuture<'static, CallResult<PrefillReply>>),
    Opening(BoxFuture<'static, CallResult<ItemStream>>),
    Items(ItemStream),
}

/// The answer of an engine that is not listed any more.
pub(super) fn gone<T: Send + 'static>() -> BoxFuture<'static, CallResult<T>> {
    async { Err(CallFailure::unreachable("the engine is no longer listed")) }.boxed()
}

/// Waits until a time, if there is one.
pub(super) async fn within<T>(by: Option<Instant>, future: impl Future<Output = T>) -> Option<T> {
    match by {
        Some(by) => tokio::time::timeout_at(by, future).await.ok(),
        None => Some(future.await),
    }
}

/// The next item of a stream, as an event.
pub(super) async fn next_item(awaited: &mut Awaited, import_by: Option<Instant>) -> LifeEvent {
    let Awaited::Items(items) = awaited else {
        return LifeEvent::StreamBroken;
    };
    match within(import_by, items.next()).await {
        Some(Some(Ok(item))) => LifeEvent::Item(item),
        Some(Some(Err(_)) | None) => LifeEvent::StreamBroken,
        None => LifeEvent::ImportStalled,
    }
}

/// Least wait between two reads of a broken stream.
pub(super) const RESUME_PAUSE: Duration = Duration::from_millis(20);

//! Conditional writes whose answers may be lost.

use {
    super::client::{StoreClient, StoreFailure},
    crate::object::AnyObject,
    faststr::FastStr,
    std::time::Duration,
};

/// Tries at one write before its outcome is left open.
const WRITE_TRIES: u32 = 5;

/// Wait between two tries.
const WRITE_PAUSE: Duration = Duration::from_millis(100);

/// Writes an object under a mark of the writer's own, which settles what a lost answer left open.
///
/// The write holds only if the object still has the version it shows, so sending it again is
/// harmless: at most one of the copies takes effect, and the mark tells whose it was.
pub async fn write_marked(
    client: &StoreClient,
    mut object: AnyObject,
    mark: FastStr,
) -> Result<AnyObject, StoreFailure> {
    object.metadata.writer = mark.clone();
    let mut last = StoreFailure::Unknown("not tried".into());
    for _ in 0..WRITE_TRIES {
        match client.put(&object).await {
            Ok(written) => return Ok(written),
            Err(StoreFailure::Conflict(text)) => {
                return settle_conflict(client, &object, &mark, text).await;
            }
            Err(failure @ (StoreFailure::Unknown(_) | StoreFailure::Unreachable(_))) => {
                last = failure;
                tokio::time::sleep(WRITE_PAUSE).await;
            }
            Err(failure) => return Err(failure),
        }
    }
    Err(last)
}

// A conflict with a write of the same mark is this write's own earlier copy.
async fn settle_conflict(
    client: &StoreClient,
    object: &AnyObject,
    mark: &FastStr,
    text: String,
) -> Result<AnyObject, StoreFailure> {
    let mut last = StoreFailure::Conflict(text.clone());
    for _ in 0..WRITE_TRIES {
        match client.get(&object.kind, &object.metadata.name).await {
            Ok(found) if found.metadata.writer == *mark => return Ok(found),
            Ok(_) => return Err(StoreFailure::Conflict(text)),
            Err(failure) => last = failure,
        }
        tokio::time::sleep(WRITE_PAUSE).await;
    }
    Err(last)
}

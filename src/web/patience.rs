//! Waiting for a bounded time, fair to what had arrived while the process stood still.

use std::{pin::pin, time::Duration};

/// Time given after the end of a wait to what may have arrived already: a process that was paused
/// wakes up with its timers due and its sockets not yet looked at.
const WAKE_GRACE: Duration = Duration::from_millis(20);

/// The wait was over and nothing had come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaitOver;

/// Waits at most `time` for a future; after a pause of the process what is there already still counts.
pub async fn within<F: Future>(time: Duration, future: F) -> Result<F::Output, WaitOver> {
    let mut future = pin!(future);
    if let Ok(output) = tokio::time::timeout(time, future.as_mut()).await {
        return Ok(output);
    }
    let last = tokio::time::timeout(WAKE_GRACE, future).await;
    last.map_err(|_| WaitOver)
}

//! Tasks whose failure ends the process, so that it is restarted.

use {
    futures::FutureExt,
    std::{panic::AssertUnwindSafe, process},
};

/// Exit code of a process that ends because a critical task failed.
const EXIT_TASK_FAILED: i32 = 70;

/// Spawns a task that runs for as long as the host does. If it panics the process exits: a host that no longer receives
/// changes would keep working with outdated state. The platform restarts the process at once.
pub fn spawn_critical(name: &'static str, task: impl Future<Output = ()> + 'static) {
    tokio::task::spawn_local(async move {
        if AssertUnwindSafe(task).catch_unwind().await.is_err() {
            // Not through the logger, as its queue would not be flushed before the exit.
            eprintln!("bayplank: task {name:?} failed; the process exits");
            process::exit(EXIT_TASK_FAILED);
        }
    });
}

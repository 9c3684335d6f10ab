//! Tasks without which a host is better started anew.

use {
    futures::FutureExt,
    std::{panic::AssertUnwindSafe, process},
};

/// Exit code of a process that ends because one of its vital tasks failed.
const EXIT_BROKEN: i32 = 70;

/// Runs a task for as long as the host runs. If an assertion in it fails the process ends: a host that no
/// longer hears of changes would go on with old beliefs. The platform starts it again at once.
pub fn spawn_vital(name: &'static str, task: impl Future<Output = ()> + 'static) {
    tokio::task::spawn_local(async move {
        if AssertUnwindSafe(task).catch_unwind().await.is_err() {
            // Not through the log, whose queue would not be written out any more.
            eprintln!("bayplank: the task {name:?} failed; the process ends");
            process::exit(EXIT_BROKEN);
        }
    });
}

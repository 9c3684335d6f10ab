//! A signal that is set once, for all that wait for it.

use {
    std::sync::atomic::{AtomicBool, Ordering},
    tokio::sync::Notify,
};

/// A signal that is set once.
#[derive(Debug, Default)]
pub struct OnceSignal {
    is_set: AtomicBool,
    notify: Notify,
}

impl OnceSignal {
    /// Sets it; a second time changes nothing.
    pub fn set(&self) {
        self.is_set.store(true, Ordering::Release);
        self.notify.notify_waiters();
    }

    /// Whether it is set.
    pub fn is_set(&self) -> bool {
        self.is_set.load(Ordering::Acquire)
    }

    /// Done once it is set.
    pub async fn wait(&self) {
        loop {
            let notified = self.notify.notified();
            tokio::pin!(notified);
            notified.as_mut().enable();
            if self.is_set() {
                return;
            }
            notified.await;
        }
    }
}

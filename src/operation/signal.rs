//! A one-shot signal with any number of waiters.

use {
    std::sync::atomic::{AtomicBool, Ordering},
    tokio::sync::Notify,
};

/// A signal that can be set once and never reset.
#[derive(Debug, Default)]
pub struct OnceSignal {
    is_set: AtomicBool,
    notify: Notify,
}

impl OnceSignal {
    /// Sets the signal and wakes all waiters; later calls have no effect.
    pub fn set(&self) {
        self.is_set.store(true, Ordering::Release);
        self.notify.notify_waiters();
    }

    /// Returns whether the signal is set.
    pub fn is_set(&self) -> bool {
        self.is_set.load(Ordering::Acquire)
    }

    /// Waits until the signal is set.
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

//! Tracks whether the store answers this host.

use {crate::relay::link::StoreKind, std::cell::Cell, tokio::sync::Notify};

/// Outcome of the last store call for each kind that is tracked (configuration and backend servers), with
/// notifications for tasks that wait until the store answers again.
#[derive(Debug)]
pub(super) struct StoreReachability {
    config_lost: Cell<bool>,
    backends_lost: Cell<bool>,
    // A call has failed since the last recovery.
    has_failed: Cell<bool>,
    answered: Notify,
    recovered: Notify,
}

impl Default for StoreReachability {
    // The store counts as lost until its first answer.
    fn default() -> Self {
        Self {
            config_lost: Cell::new(true),
            backends_lost: Cell::new(true),
            has_failed: Cell::new(false),
            answered: Notify::new(),
            recovered: Notify::new(),
        }
    }
}

impl StoreReachability {
    /// Clears the state once this host no longer reads the store and cannot know whether it answers.
    pub fn reset(&self) {
        self.config_lost.set(false);
        self.backends_lost.set(false);
    }

    /// Whether the last call of either kind failed.
    pub fn is_lost(&self) -> bool {
        self.config_lost.get() || self.backends_lost.get()
    }

    /// Whether the last call of this kind failed; always false for kinds that are not tracked.
    pub fn is_kind_lost(&self, kind: StoreKind) -> bool {
        self.lost_flag(kind).is_some_and(Cell::get)
    }

    /// Records a successful call. Returns whether it is the first one, or the first after a failure.
    pub fn record_success(&self, kind: StoreKind) -> bool {
        let has_recovered = self.lost_flag(kind).is_some_and(|lost| lost.replace(false));
        if has_recovered {
            self.answered.notify_one();
            if self.has_failed.replace(false) {
                self.recovered.notify_waiters();
            }
        }
        has_recovered
    }

    /// Records a failed call. Returns whether the previous one had succeeded.
    pub fn record_failure(&self, kind: StoreKind) -> bool {
        self.has_failed.set(true);
        self.lost_flag(kind).is_some_and(|lost| !lost.replace(true))
    }

    /// Waits for the first successful call, or the first one after a failure.
    pub async fn answered(&self) {
        self.answered.notified().await;
    }

    /// Waits until the store has recovered from a failed call. Calls that were already in flight use this to detect
    /// that they will not be answered.
    pub async fn recovered(&self) {
        self.recovered.notified().await;
    }

    fn lost_flag(&self, kind: StoreKind) -> Option<&Cell<bool>> {
        match kind {
            StoreKind::Config => Some(&self.config_lost),
            StoreKind::Backends => Some(&self.backends_lost),
            StoreKind::Hosts | StoreKind::Leases | StoreKind::Evacuations | StoreKind::Streams => {
                None
            }
        }
    }
}

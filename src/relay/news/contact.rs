//! Whether the store answers this host.

use {crate::relay::link::StoreKind, std::cell::Cell, tokio::sync::Notify};

/// Which of the urgent kinds the store failed to answer last time, and who waits for it to answer again.
#[derive(Debug)]
pub(super) struct StoreContact {
    config_lost: Cell<bool>,
    backends_lost: Cell<bool>,
    // A call failed since the store was last found back.
    has_failed: Cell<bool>,
    answered: Notify,
    returned: Notify,
}

impl Default for StoreContact {
    // It has answered nothing yet.
    fn default() -> Self {
        Self {
            config_lost: Cell::new(true),
            backends_lost: Cell::new(true),
            has_failed: Cell::new(false),
            answered: Notify::new(),
            returned: Notify::new(),
        }
    }
}

impl StoreContact {
    /// It is not read any more: whether it answers is not known.
    pub fn forget(&self) {
        self.config_lost.set(false);
        self.backends_lost.set(false);
    }

    /// Whether it failed to answer last time.
    pub fn is_lost(&self) -> bool {
        self.config_lost.get() || self.backends_lost.get()
    }

    /// The same for one kind; never for one that is not urgent.
    pub fn is_kind_lost(&self, kind: StoreKind) -> bool {
        self.flag(kind).is_some_and(Cell::get)
    }

    /// It answered; gives whether it had failed to, or had never done so.
    pub fn note_answer(&self, kind: StoreKind) -> bool {
        let is_back = self.flag(kind).is_some_and(|lost| lost.replace(false));
        if is_back {
            self.answered.notify_one();
            if self.has_failed.replace(false) {
                self.returned.notify_waiters();
            }
        }
        is_back
    }

    /// It did not answer; gives whether it did last time.
    pub fn note_failure(&self, kind: StoreKind) -> bool {
        self.has_failed.set(true);
        self.flag(kind).is_some_and(|lost| !lost.replace(true))
    }

    /// Waits until it answers for the first time, or after it did not.
    pub async fn answered(&self) {
        self.answered.notified().await;
    }

    /// Waits until it answers after a call failed, for calls that are out since before.
    pub async fn returned(&self) {
        self.returned.notified().await;
    }

    fn flag(&self, kind: StoreKind) -> Option<&Cell<bool>> {
        match kind {
            StoreKind::Config => Some(&self.config_lost),
            StoreKind::Backends => Some(&self.backends_lost),
            StoreKind::Hosts | StoreKind::Leases => None,
        }
    }
}

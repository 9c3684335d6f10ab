//! A body that is being read within a budget.

use {
    super::{
        budget_limits::SMALL_BYTES, caller_budget::CallerBudget, held_bytes::HeldBytes,
        pace::BytePace,
    },
    crate::operation::OnceSignal,
    std::{cell::Cell, rc::Rc, time::Duration},
    tokio::time::Instant,
};

/// How long a body waits for the bytes of those that were evicted in its favour.
const EVICTION_TIMEOUT: Duration = Duration::from_millis(250);

/// What a budget knows of a body that is being read.
#[derive(Debug)]
pub(super) struct ReadProgress {
    started: Instant,
    last_read: Cell<Instant>,
    received: Cell<usize>,
    pub(super) held: Cell<usize>,
    pub(super) evicted: OnceSignal,
}

impl ReadProgress {
    /// Since when nothing has arrived, if the body is so slow that others may have its bytes.
    pub(super) fn stalled_since(&self, now: Instant) -> Option<Instant> {
        let pace = BytePace {
            started: self.started,
            moved: self.last_read.get(),
            bytes: self.received.get(),
        };
        pace.is_stalled(now).then_some(pace.moved)
    }
}

/// That the budget has no bytes for a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BudgetFull;

/// A body that is being read. Known to the budget until dropped.
#[derive(Debug)]
pub struct BodyRead {
    budget: Rc<CallerBudget>,
    progress: Rc<ReadProgress>,
    held: HeldBytes,
}

impl BodyRead {
    /// Begins to read a body.
    pub fn new(budget: &Rc<CallerBudget>) -> Self {
        let now = Instant::now();
        let progress = Rc::new(ReadProgress {
            started: now,
            last_read: Cell::new(now),
            received: Cell::new(0),
            held: Cell::new(0),
            evicted: OnceSignal::default(),
        });
        budget.add_read(progress.clone());
        Self {
            budget: budget.clone(),
            progress,
            held: HeldBytes::new(budget.quota()),
        }
    }

    /// Records that bytes have arrived.
    pub fn record(&self, bytes: usize) {
        self.progress.last_read.set(Instant::now());
        self.progress
            .received
            .set(self.progress.received.get() + bytes);
    }

    /// Completes when the body has to give its bytes to others.
    pub async fn evicted(&self) {
        self.progress.evicted.wait().await;
    }

    /// Holds `total` bytes. If there are not as many, bodies that have stopped and answers that are not read are evicted;
    /// if there are none, the error comes at once.
    pub async fn reserve(&mut self, total: usize) -> Result<(), BudgetFull> {
        if total <= SMALL_BYTES {
            return Ok(());
        }
        while !self.held.grow_to(total) {
            let quota = self.budget.quota();
            let freed = quota.freed.notified();
            tokio::pin!(freed);
            freed.as_mut().enable();
            let is_coming = self.budget.make_room(total - self.held.bytes());
            if !is_coming || tokio::time::timeout(EVICTION_TIMEOUT, freed).await.is_err() {
                self.budget.metrics().refused_bodies.inc();
                return Err(BudgetFull);
            }
        }
        self.progress.held.set(self.held.bytes());
        Ok(())
    }

    /// Ends the reading; the bytes stay held.
    pub fn finish(mut self) -> HeldBytes {
        std::mem::replace(&mut self.held, HeldBytes::new(self.budget.quota()))
    }
}

impl Drop for BodyRead {
    fn drop(&mut self) {
        self.budget.remove_read(&self.progress);
    }
}

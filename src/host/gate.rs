//! Counts requests in flight and stops admitting them during a graceful shutdown.

use {
    crate::operation::{Refusal, RefusalCode},
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::sync::Notify,
};

/// Admits requests up to a limit, and waits for the last to end during shutdown.
#[derive(Debug)]
pub struct StopGate {
    max_in_flight: u64,
    in_flight: AtomicU64,
    stopping: AtomicBool,
    closed: AtomicBool,
    idle: Notify,
}

impl StopGate {
    /// Creates an open gate for at most `max_in_flight` requests at once.
    pub fn new(max_in_flight: u64) -> Arc<Self> {
        Arc::new(Self {
            max_in_flight,
            in_flight: AtomicU64::new(0),
            stopping: AtomicBool::new(false),
            closed: AtomicBool::new(false),
            idle: Notify::new(),
        })
    }

    /// Admits a request, unless the gate is closed or the limit is reached.
    pub fn enter(self: &Arc<Self>) -> Result<GateEntry, Refusal> {
        let before = self.in_flight.fetch_add(1, Ordering::SeqCst);
        let entry = GateEntry { gate: self.clone() };
        // Incremented before the check, so that `emptied` cannot miss an admitted request.
        if self.closed.load(Ordering::SeqCst) {
            let text = "this host takes no new work: it is being stopped";
            let refusal = Refusal::not_run(RefusalCode::Stopping, text);
            return Err(refusal.after(Duration::from_secs(1)));
        }
        if before >= self.max_in_flight {
            let text = format!("this host has {before} requests in progress");
            let refusal = Refusal::not_run(RefusalCode::Overloaded, text);
            return Err(refusal.after(Duration::from_secs(1)));
        }
        Ok(entry)
    }

    /// Starts a graceful shutdown: readiness checks fail, but requests are still admitted.
    pub fn begin_stop(&self) {
        self.stopping.store(true, Ordering::SeqCst);
    }

    /// Refuses all further requests.
    pub fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
    }

    /// Whether a graceful shutdown has started.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }

    /// Number of requests in flight.
    pub fn in_flight(&self) -> u64 {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Completes when no request is in flight.
    pub async fn emptied(&self) {
        loop {
            let idle = self.idle.notified();
            tokio::pin!(idle);
            idle.as_mut().enable();
            if self.in_flight() == 0 {
                return;
            }
            idle.await;
        }
    }
}

/// One admitted request; released when dropped.
#[derive(Debug)]
pub struct GateEntry {
    gate: Arc<StopGate>,
}

impl Drop for GateEntry {
    fn drop(&mut self) {
        let before = self.gate.in_flight.fetch_sub(1, Ordering::SeqCst);
        if before == 1 {
            self.gate.idle.notify_waiters();
        }
    }
}

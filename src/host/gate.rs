//! Counts what is in flight and closes for a planned stop.

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

/// Lets requests in and waits for the last to leave.
#[derive(Debug)]
pub struct StopGate {
    most: u64,
    in_flight: AtomicU64,
    stopping: AtomicBool,
    closed: AtomicBool,
    left: Notify,
}

impl StopGate {
    /// An open gate for at most `most` requests at once.
    pub fn new(most: u64) -> Arc<Self> {
        Arc::new(Self {
            most,
            in_flight: AtomicU64::new(0),
            stopping: AtomicBool::new(false),
            closed: AtomicBool::new(false),
            left: Notify::new(),
        })
    }

    /// Lets a request in, unless the gate is closed or too many are in.
    pub fn enter(self: &Arc<Self>) -> Result<GateEntry, Refusal> {
        let before = self.in_flight.fetch_add(1, Ordering::SeqCst);
        let entry = GateEntry { gate: self.clone() };
        // Counted before the look, so that whoever waits for zero misses nobody who was let in.
        if self.closed.load(Ordering::SeqCst) {
            let text = "this host takes no new work: it is being stopped";
            let refusal = Refusal::not_run(RefusalCode::Stopping, text);
            return Err(refusal.after(Duration::from_secs(1)));
        }
        if before >= self.most {
            let text = format!("this host has {before} requests in progress");
            let refusal = Refusal::not_run(RefusalCode::Overloaded, text);
            return Err(refusal.after(Duration::from_secs(1)));
        }
        Ok(entry)
    }

    /// A planned stop begins: checks of readiness fail, requests are still let in.
    pub fn begin_stop(&self) {
        self.stopping.store(true, Ordering::SeqCst);
    }

    /// Lets nobody in any more.
    pub fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
    }

    /// Whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }

    /// Requests that are in.
    pub fn in_flight(&self) -> u64 {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Done when nobody is in.
    pub async fn emptied(&self) {
        loop {
            let left = self.left.notified();
            tokio::pin!(left);
            left.as_mut().enable();
            if self.in_flight() == 0 {
                return;
            }
            left.await;
        }
    }
}

/// One request that was let in; it leaves when dropped.
#[derive(Debug)]
pub struct GateEntry {
    gate: Arc<StopGate>,
}

impl Drop for GateEntry {
    fn drop(&mut self) {
        let before = self.gate.in_flight.fetch_sub(1, Ordering::SeqCst);
        if before == 1 {
            self.gate.left.notify_waiters();
        }
    }
}

//! Priority queue of the requests that wait for engine memory.

use std::{collections::BTreeSet, time::Duration};

/// Sort key of a queued request; smaller keys are served first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct LineKey {
    /// Whether it can no longer meet its latency target; requests that can are served first.
    pub late: bool,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Due time computed from its arrival, latency target and size.
    pub rank: Duration,
    /// Unique number of the request in the queue.
    pub ticket: u64,
}

/// This host's requests that wait for engine memory, in order.
#[derive(Debug, Default)]
pub struct WaitLine {
    waiting: BTreeSet<LineKey>,
    next_ticket: u64,
}

impl WaitLine {
    /// A unique number for a request to be queued.
    pub fn ticket(&mut self) -> u64 {
        self.next_ticket += 1;
        self.next_ticket
    }

    /// Inserts a request, or moves it if it was queued under another key.
    pub fn place(&mut self, before: Option<LineKey>, key: LineKey) {
        if let Some(before) = before {
            self.waiting.remove(&before);
        }
        self.waiting.insert(key);
    }

    /// Removes a request.
    pub fn leave(&mut self, key: &LineKey) {
        self.waiting.remove(key);
    }

    /// Number of requests ahead of this one.
    pub fn ahead(&self, key: &LineKey) -> usize {
        self.waiting.range(..key).count()
    }

    /// Number of queued requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}

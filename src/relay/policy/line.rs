//! The line in which requests wait for engines: the most urgent is served first.

use std::{collections::BTreeSet, time::Duration};

/// Where a request stands; smaller is served first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct LineKey {
    /// It can no longer be answered in time: those that can go first.
    pub late: bool,
    /// 0 is the most urgent.
    pub priority: u8,
    /// When it should be served, by its arrival, its target and its size.
    pub rank: Duration,
    /// Number of the request in line, unique.
    pub ticket: u64,
}

/// The places of this host's requests that wait for engines.
#[derive(Debug, Default)]
pub struct WaitLine {
    waiting: BTreeSet<LineKey>,
    next_ticket: u64,
}

impl WaitLine {
    /// A number for a request that will wait.
    pub fn ticket(&mut self) -> u64 {
        self.next_ticket += 1;
        self.next_ticket
    }

    /// A request waits, or waits at another place than before.
    pub fn place(&mut self, before: Option<LineKey>, key: LineKey) {
        if let Some(before) = before {
            self.waiting.remove(&before);
        }
        self.waiting.insert(key);
    }

    /// A request no longer waits.
    pub fn leave(&mut self, key: &LineKey) {
        self.waiting.remove(key);
    }

    /// How many wait before this one.
    pub fn ahead(&self, key: &LineKey) -> usize {
        self.waiting.range(..key).count()
    }

    /// How many wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}

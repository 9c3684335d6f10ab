//! Priority queue of the requests that wait for engine memory.

use {
    crate::relay::policy::regions::AllowedServers,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Sort key of a queued request; smaller keys are served first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueKey {
    /// Whether it can no longer meet its latency target; requests that can are served first.
    pub late: bool,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Due time computed from its arrival, latency target and size.
    pub rank: Duration,
    /// Unique number of the request in the queue.
    pub ticket: u64,
}

/// This host's requests that wait for engine memory, in order. Requests that may reach other servers than others wait
/// in a queue of their own: the engines that the ones lack memory at are not those that the others wait for.
#[derive(Debug, Default)]
pub struct WaitQueue {
    waiting: BTreeMap<AllowedServers, BTreeSet<QueueKey>>,
    next_ticket: u64,
}

impl WaitQueue {
    /// A unique number for a request to be queued.
    pub fn ticket(&mut self) -> u64 {
        self.next_ticket += 1;
        self.next_ticket
    }

    /// Inserts a request that may reach these servers, or moves it if it was queued under another key.
    pub fn insert(&mut self, servers: &AllowedServers, before: Option<QueueKey>, key: QueueKey) {
        let queue = self.waiting.entry(servers.clone()).or_default();
        if let Some(before) = before {
            queue.remove(&before);
        }
        queue.insert(key);
    }

    /// Removes a request that may reach these servers.
    pub fn remove(&mut self, servers: &AllowedServers, key: &QueueKey) {
        let Some(queue) = self.waiting.get_mut(servers) else {
            return;
        };
        queue.remove(key);
        if queue.is_empty() {
            self.waiting.remove(servers);
        }
    }

    /// Number of requests ahead of this one.
    pub fn ahead(&self, servers: &AllowedServers, key: &QueueKey) -> usize {
        let queue = self.waiting.get(servers);
        queue.map_or(0, |queue| queue.range(..key).count())
    }

    /// Number of queued requests.
    pub fn len(&self) -> usize {
        self.waiting.values().map(BTreeSet::len).sum()
    }

    /// Whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}

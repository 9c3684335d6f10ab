//! Priority queue of the requests that wait for engine memory.

use {
    crate::relay::policy::regions::AllowedServers,
    std::{collections::BTreeMap, time::Duration},
};

/// Maximum number of requests that ask engines for memory at the same time while none has been refused.
const MAX_CONCURRENT_ASKS: usize = 16;

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

/// Whether a queued request has asked engines for memory.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum AskState {
    /// It has not, or is asking for the first time.
    #[default]
    Open,
    /// No engine had memory for it.
    Refused,
}

/// This host's requests that wait for engine memory, in order. Requests that may reach other servers than others wait
/// in a queue of their own: the engines that the ones lack memory at are not those that the others wait for.
///
/// While the engines have memory, several requests ask at the same time: one after the other, a host could begin no more
/// than one in two round trips. Once a request is refused, those behind it wait for it.
#[derive(Debug, Default)]
pub struct WaitQueue {
    waiting: BTreeMap<AllowedServers, BTreeMap<QueueKey, AskState>>,
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
        let state = before.and_then(|before| queue.remove(&before));
        queue.insert(key, state.unwrap_or_default());
    }

    /// Records that no engine had memory for a request.
    pub fn note_refused(&mut self, servers: &AllowedServers, key: &QueueKey) {
        let queue = self.waiting.get_mut(servers);
        if let Some(state) = queue.and_then(|queue| queue.get_mut(key)) {
            *state = AskState::Refused;
        }
    }

    /// Whether a request may ask engines for memory now.
    pub fn may_ask(&self, servers: &AllowedServers, key: &QueueKey) -> bool {
        let Some(queue) = self.waiting.get(servers) else {
            return true;
        };
        // A bounded number, since each queued request comes here many times a second.
        let ahead = queue.range(..key).take(MAX_CONCURRENT_ASKS);
        let states: Vec<AskState> = ahead.map(|(_, state)| *state).collect();
        states.len() < MAX_CONCURRENT_ASKS && !states.contains(&AskState::Refused)
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
        self.waiting.values().map(BTreeMap::len).sum()
    }

    /// Whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}

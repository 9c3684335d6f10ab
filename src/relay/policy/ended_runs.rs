//! Which runs of backend servers are known to have ended.
//!
//! Only what the servers themselves show counts. The list of servers shows nothing: a restored store lacks servers that
//! run, and entries of servers that stop later, or that could not write for a while, are removed before their end.

use {
    super::loads::EngineKey,
    std::{collections::HashMap, hash::Hash, net::SocketAddr, time::Duration},
};

/// Maximum number of ends, and of addresses with a broken connection, that are remembered. Beyond it the oldest is
/// forgotten.
const RUNS_MAX: usize = 4_096;

// A run whose connection broke, with when that was. Whether it ended is not known.
#[derive(Debug, Clone, Copy)]
struct BrokenRun {
    run: EngineKey,
    at: Duration,
}

/// Runs of backend servers that are known to have ended.
#[derive(Debug, Default)]
pub struct EndedRuns {
    // With when the end was found.
    ended: HashMap<EngineKey, Duration>,
    broken: HashMap<SocketAddr, BrokenRun>,
}

impl EndedRuns {
    /// Whether a run is known to have ended.
    pub fn has_ended(&self, run: EngineKey) -> bool {
        self.ended.contains_key(&run)
    }

    /// Number of ends and of broken connections that are remembered.
    pub fn len(&self) -> usize {
        self.ended.len() + self.broken.len()
    }

    /// Whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.ended.is_empty() && self.broken.is_empty()
    }

    /// Records that a run has ended: its address refuses connections, or a later run has the same id.
    pub fn record_end(&mut self, run: EngineKey, now: Duration) {
        evict_oldest(&mut self.ended, |at| *at);
        self.ended.insert(run, now);
    }

    /// Records that a connection to a run broke, which shows no end by itself.
    pub fn record_break(&mut self, run: EngineKey, address: SocketAddr, now: Duration) {
        evict_oldest(&mut self.broken, |broken| broken.at);
        self.broken.insert(address, BrokenRun { run, at: now });
    }

    /// Records that a run answered a request that named it. It runs, so another one whose connection broke at that address
    /// has ended.
    pub fn record_answer(&mut self, run: EngineKey, address: SocketAddr, now: Duration) {
        if self.is_empty() {
            return;
        }
        // Runs whose start is not known share a key with later ones of the same id.
        self.ended.remove(&run);
        let Some(broken) = self.broken.get(&address).copied() else {
            return;
        };
        if broken.run != run {
            self.broken.remove(&address);
            self.record_end(broken.run, now);
        }
    }
}

// Makes room for another entry.
fn evict_oldest<K: Copy + Eq + Hash, V>(
    entries: &mut HashMap<K, V>,
    time: impl Fn(&V) -> Duration,
) {
    if entries.len() < RUNS_MAX {
        return;
    }
    let oldest = entries.iter().min_by_key(|(_, entry)| time(entry));
    if let Some(key) = oldest.map(|(key, _)| *key) {
        entries.remove(&key);
    }
}

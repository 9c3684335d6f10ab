//! Metrics of the backend servers that attempts used.

use prometheus_client::{
    metrics::{counter::Counter, histogram::Histogram},
    registry::Registry,
};

/// Numbers of servers that are counted apart.
const SERVER_BUCKETS: [f64; 6] = [0.0, 1.0, 2.0, 3.0, 4.0, 8.0];

/// How attempts used backend servers.
#[derive(Debug)]
pub struct AttemptMetrics {
    servers: Histogram,
    /// Streams that stopped at an engine.
    pub stalls: Counter,
    /// Those with which their engine went on.
    pub stalls_ended: Counter,
    /// Those that moved to another engine.
    pub moves: Counter,
}

impl Default for AttemptMetrics {
    fn default() -> Self {
        Self {
            servers: Histogram::new(SERVER_BUCKETS),
            stalls: Counter::default(),
            stalls_ended: Counter::default(),
            moves: Counter::default(),
        }
    }
}

impl AttemptMetrics {
    /// Counts an attempt that ended, by the number of servers on which it ran or may have run.
    pub fn ended(&self, servers: u32) {
        self.servers.observe(f64::from(servers));
    }

    pub(super) fn register(&self, registry: &mut Registry) {
        registry.register(
            "attempt_servers",
            "Attempts by the number of backend servers on which they ran or may have run",
            self.servers.clone(),
        );
        let counters = [
            (
                "stream_stalls",
                "Streams that stopped at an engine without an end",
                &self.stalls,
            ),
            (
                "stream_stalls_ended",
                "Stopped streams with which their engine went on",
                &self.stalls_ended,
            ),
            (
                "stream_moves",
                "Stopped streams that moved to another engine",
                &self.moves,
            ),
        ];
        for (name, help, counter) in counters {
            registry.register(name, help, counter.clone());
        }
    }
}

//! Metrics of the backend servers that attempts used.

use prometheus_client::{metrics::histogram::Histogram, registry::Registry};

/// Numbers of servers that are counted apart.
const SERVER_BUCKETS: [f64; 6] = [0.0, 1.0, 2.0, 3.0, 4.0, 8.0];

/// How attempts used backend servers.
#[derive(Debug)]
pub struct AttemptMetrics {
    servers: Histogram,
}

impl Default for AttemptMetrics {
    fn default() -> Self {
        Self {
            servers: Histogram::new(SERVER_BUCKETS),
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
    }
}

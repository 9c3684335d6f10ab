//! Metrics of lost links to backend servers and of carried connections.

use prometheus_client::{
    metrics::{counter::Counter, gauge::Gauge},
    registry::Registry,
};

/// Counts of lost links and carried connections.
#[derive(Debug, Default)]
pub struct LinkMetrics {
    /// Servers that this host reaches through other hosts only.
    pub lost: Gauge,
    /// Connections opened through other hosts.
    pub opened: Counter,
    /// Requests answered over such connections.
    pub answers: Counter,
    /// Connections that this host carries for others.
    pub carrying: Gauge,
    /// Bytes of such connections that have ended, in both directions.
    pub carried_bytes: Counter,
}

impl LinkMetrics {
    pub(super) fn register(&self, registry: &mut Registry) {
        let counters = [
            (
                "carried_opened",
                "Connections to backend servers opened through other hosts",
                &self.opened,
            ),
            (
                "carried_answers",
                "Answers that came through other hosts",
                &self.answers,
            ),
            (
                "carried_bytes",
                "Bytes carried for other hosts over connections that have ended",
                &self.carried_bytes,
            ),
        ];
        for (name, help, counter) in counters {
            registry.register(name, help, counter.clone());
        }
        let gauges = [
            (
                "links_lost",
                "Backend servers that this host reaches through other hosts only",
                &self.lost,
            ),
            (
                "carrying",
                "Connections that this host carries for others",
                &self.carrying,
            ),
        ];
        for (name, help, gauge) in gauges {
            registry.register(name, help, gauge.clone());
        }
    }
}

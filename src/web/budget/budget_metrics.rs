//! Metrics of what callers take.

use prometheus_client::{
    metrics::{counter::Counter, gauge::Gauge},
    registry::Registry,
};

/// Gauges and counters of a budget; clones count together.
#[derive(Debug, Clone, Default)]
pub struct BudgetMetrics {
    /// Bytes of bodies and answers that are held.
    pub held_bytes: Gauge,
    /// Requests that were refused because their bodies had no room.
    pub refused_bodies: Counter,
    /// Requests that lost their room to others because their bodies stopped.
    pub evicted_bodies: Counter,
    /// Answers that were forwarded as they arrived because there was no room for them.
    pub unbuffered_answers: Counter,
    /// Open connections of callers.
    pub connections: Gauge,
    /// Connections that were closed as they came because there was no room.
    pub refused_connections: Counter,
    /// Connections that were closed to make room for others.
    pub evicted_connections: Counter,
}

impl BudgetMetrics {
    /// How often callers met a limit.
    pub fn limited_count(&self) -> u64 {
        let counters = [
            &self.refused_bodies,
            &self.evicted_bodies,
            &self.unbuffered_answers,
            &self.refused_connections,
            &self.evicted_connections,
        ];
        counters.iter().map(|counter| counter.get()).sum()
    }

    /// Adds the metrics to a registry.
    pub fn register(&self, registry: &mut Registry) {
        registry.register(
            "caller_held_bytes",
            "Bytes of callers' bodies and answers that are held",
            self.held_bytes.clone(),
        );
        registry.register(
            "caller_connections",
            "Open connections of callers",
            self.connections.clone(),
        );
        let counters = [
            (
                "caller_connections_refused",
                "Connections that were closed as they came because there was no room",
                &self.refused_connections,
            ),
            (
                "caller_connections_evicted",
                "Connections that were closed to make room for others",
                &self.evicted_connections,
            ),
            (
                "caller_bodies_refused",
                "Requests that were refused because their bodies had no room",
                &self.refused_bodies,
            ),
            (
                "caller_answers_unbuffered",
                "Answers that were forwarded as they arrived because there was no room for them",
                &self.unbuffered_answers,
            ),
            (
                "caller_bodies_evicted",
                "Requests that lost their room to others because their bodies stopped",
                &self.evicted_bodies,
            ),
        ];
        for (name, help, counter) in counters {
            registry.register(name, help, counter.clone());
        }
    }
}

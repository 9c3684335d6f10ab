//! Metrics of the places of contended plain servers.

use prometheus_client::{metrics::counter::Counter, registry::Registry};

/// Counts of places at contended backend servers.
#[derive(Debug, Default)]
pub struct PlaceMetrics {
    /// Places that requests of this host needed.
    pub asked: Counter,
    /// Those that were granted.
    pub granted: Counter,
    /// Those that were refused.
    pub refused: Counter,
    /// Time in milliseconds for which requests waited for a decision.
    pub waited_ms: Counter,
    /// Messages to other hosts.
    pub messages: Counter,
    /// Requests that full servers declined.
    pub declines: Counter,
}

impl PlaceMetrics {
    pub(super) fn register(&self, registry: &mut Registry) {
        let counters = [
            (
                "places_asked",
                "Requests that needed a place at a contended backend server",
                &self.asked,
            ),
            ("places_granted", "Places that were granted", &self.granted),
            ("places_refused", "Places that were refused", &self.refused),
            (
                "places_waited_ms",
                "Time for which requests waited for places or their refusal",
                &self.waited_ms,
            ),
            (
                "places_messages",
                "Messages to other hosts about places",
                &self.messages,
            ),
            (
                "server_declines",
                "Requests that backend servers declined since they were full",
                &self.declines,
            ),
        ];
        for (name, help, counter) in counters {
            registry.register(name, help, counter.clone());
        }
    }
}

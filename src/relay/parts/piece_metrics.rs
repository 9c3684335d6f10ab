//! Metrics of configurations that are fetched and handed out in pieces.

use prometheus_client::{
    metrics::{counter::Counter, gauge::Gauge},
    registry::Registry,
};

/// Counts of pieces and their bytes.
#[derive(Debug, Default)]
pub struct PieceMetrics {
    /// The latest known version of the configuration.
    pub known_version: Gauge,
    /// Time since a newer version than the one in force became known, in milliseconds; 0 if there is none.
    pub behind: Gauge,
    received: Counter,
    received_bytes: Counter,
    sent: Counter,
    sent_bytes: Counter,
    /// Requests that were declined since this host sent pieces to many.
    pub declined: Counter,
}

impl PieceMetrics {
    /// Records pieces that were received.
    pub fn record_received(&self, pieces: usize, bytes: usize) {
        self.received.inc_by(pieces as u64);
        self.received_bytes.inc_by(bytes as u64);
    }

    /// Records pieces that were sent.
    pub fn record_sent(&self, pieces: usize, bytes: usize) {
        self.sent.inc_by(pieces as u64);
        self.sent_bytes.inc_by(bytes as u64);
    }

    pub(super) fn register(&self, registry: &mut Registry) {
        let gauges = [
            (
                "config_known_version",
                "Latest known configuration, which may not be in force yet",
                &self.known_version,
            ),
            (
                "config_behind_ms",
                "Milliseconds since a newer configuration than the one in force is known; 0 if none is",
                &self.behind,
            ),
        ];
        for (name, help, gauge) in gauges {
            registry.register(name, help, gauge.clone());
        }
        let counters = [
            (
                "config_pieces_received",
                "Pieces of configurations from other hosts",
                &self.received,
            ),
            (
                "config_piece_bytes_received",
                "Bytes of these pieces",
                &self.received_bytes,
            ),
            (
                "config_pieces_sent",
                "Pieces of configurations sent to other hosts",
                &self.sent,
            ),
            (
                "config_piece_bytes_sent",
                "Bytes of these pieces",
                &self.sent_bytes,
            ),
            (
                "config_pieces_declined",
                "Requests for pieces declined since others took the link's share",
                &self.declined,
            ),
        ];
        for (name, help, counter) in counters {
            registry.register(name, help, counter.clone());
        }
    }
}

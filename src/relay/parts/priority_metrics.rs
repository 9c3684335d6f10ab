//! Metrics by priority, for services whose requests have several priorities.

use {
    super::metric_labels::{self, PriorityLabels},
    crate::relay::policy::priority_loads::PriorityClass,
    faststr::FastStr,
    prometheus_client::{
        metrics::{counter::Counter, family::Family, gauge::Gauge},
        registry::Registry,
    },
    std::{cell::RefCell, collections::HashSet},
};

/// Metrics by priority.
#[derive(Debug, Default)]
pub struct PriorityMetrics {
    known_services: RefCell<HashSet<FastStr>>,
    waited: Family<PriorityLabels, Counter>,
    held_back: Family<PriorityLabels, Counter>,
    refused: Family<PriorityLabels, Counter>,
    running_tokens: Family<PriorityLabels, Gauge>,
    kept_tokens: Family<PriorityLabels, Gauge>,
}

impl PriorityMetrics {
    pub(super) fn register(&self, registry: &mut Registry) {
        let counters = [
            (
                "priority_waited",
                "Requests that had to wait for memory, by priority",
                &self.waited,
            ),
            (
                "priority_held_back",
                "Requests that waited longer since more urgent ones did, by priority",
                &self.held_back,
            ),
            (
                "priority_refused",
                "Requests refused for lack of memory, by priority",
                &self.refused,
            ),
        ];
        for (name, help, family) in counters {
            registry.register(name, help, family.clone());
        }
        registry.register(
            "priority_running_tokens",
            "Memory that running requests of this host have reserved, by priority",
            self.running_tokens.clone(),
        );
        registry.register(
            "priority_kept_tokens",
            "Memory of all engines that requests of this priority leave free for more urgent ones",
            self.kept_tokens.clone(),
        );
    }

    /// Counts a request that had to wait for memory.
    pub fn waited(&self, class: &PriorityClass) {
        self.waited.get_or_create(&self.labels(class)).inc();
    }

    /// Counts a request that held back for more urgent ones.
    pub fn held_back(&self, class: &PriorityClass) {
        self.held_back.get_or_create(&self.labels(class)).inc();
    }

    /// Counts a request refused for lack of memory.
    pub fn refused(&self, class: &PriorityClass) {
        self.refused.get_or_create(&self.labels(class)).inc();
    }

    pub(super) fn running(&self, class: &PriorityClass, tokens: u64) {
        let gauge = self.running_tokens.get_or_create(&self.labels(class));
        gauge.set(tokens as i64);
    }

    pub(super) fn kept_free(&self, class: &PriorityClass, tokens: u64) {
        let gauge = self.kept_tokens.get_or_create(&self.labels(class));
        gauge.set(tokens as i64);
    }

    fn labels(&self, class: &PriorityClass) -> PriorityLabels {
        PriorityLabels {
            service: metric_labels::bounded_label(
                &self.known_services,
                &class.service,
                metric_labels::SERVICE_LABELS_MAX,
            ),
            priority: class.priority,
        }
    }
}

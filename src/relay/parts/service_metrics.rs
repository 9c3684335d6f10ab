//! Metrics by service: why its servers got no request, and what its servers say of themselves.

use {
    super::metric_labels::{self, ServiceLabels},
    crate::relay::policy::crash_suspect::CrashSuspect,
    faststr::FastStr,
    prometheus_client::{
        metrics::{counter::Counter, family::Family},
        registry::Registry,
    },
    std::{cell::RefCell, collections::HashSet},
};

type ServiceCounter = Family<ServiceLabels, Counter>;

/// Metrics by service.
#[derive(Debug, Default)]
pub struct ServiceMetrics {
    known_services: RefCell<HashSet<FastStr>>,
    ended_under: ServiceCounter,
    fatal_refused: ServiceCounter,
    part_refused: ServiceCounter,
    region_refused: ServiceCounter,
    held_back: ServiceCounter,
    held_off: ServiceCounter,
    servers_leaving: ServiceCounter,
    server_backoffs: ServiceCounter,
}

impl ServiceMetrics {
    pub(super) fn register(&self, registry: &mut Registry) {
        let counters = [
            (
                "ended_under",
                "Requests under which a backend server ended, by service",
                &self.ended_under,
            ),
            (
                "fatal_refused",
                "Requests refused since backend servers end under them, by service",
                &self.fatal_refused,
            ),
            (
                "part_refused",
                "Those of them that were refused for a part of their prompts, by service",
                &self.part_refused,
            ),
            (
                "region_refused",
                "Requests refused since no server in the regions allowed to them may take them, by service",
                &self.region_refused,
            ),
            (
                "held_back",
                "Requests refused since rate-limited servers had no permit for them, by service",
                &self.held_back,
            ),
            (
                "held_off",
                "Requests refused since all servers were leaving or waiting for a backoff to end, by service",
                &self.held_off,
            ),
            (
                "servers_leaving",
                "Backend servers whose answers said that they are leaving, by service",
                &self.servers_leaving,
            ),
            (
                "server_backoffs",
                "Backoffs that backend servers asked this host for, by service",
                &self.server_backoffs,
            ),
        ];
        for (name, help, counter) in counters {
            registry.register(name, help, counter.clone());
        }
    }

    /// Counts a request under which a backend server of a service crashed.
    pub fn ended_under(&self, service: &FastStr) {
        self.count(&self.ended_under, service);
    }

    /// Counts a request refused because the rate-limited servers of the service had no permit for it.
    pub fn held_back(&self, service: &FastStr) {
        self.count(&self.held_back, service);
    }

    /// Counts a request refused because no server of the service accepts new requests.
    pub fn held_off(&self, service: &FastStr) {
        self.count(&self.held_off, service);
    }

    /// Counts a backend server of a service that reported that it is leaving.
    pub fn servers_leaving(&self, service: &FastStr) {
        self.count(&self.servers_leaving, service);
    }

    /// Counts a backoff that a backend server of a service requested from this host.
    pub fn server_backoffs(&self, service: &FastStr) {
        self.count(&self.server_backoffs, service);
    }

    /// Counts a request refused because backend servers crash under a suspect of it.
    pub fn fatal_refused(&self, service: &FastStr, suspect: CrashSuspect) {
        self.count(&self.fatal_refused, service);
        if suspect.is_part() {
            self.count(&self.part_refused, service);
        }
    }

    /// Counts a request refused because no server of the service in the regions allowed to it may take it.
    pub fn region_refused(&self, service: &FastStr) {
        self.count(&self.region_refused, service);
    }

    fn count(&self, counter: &ServiceCounter, service: &FastStr) {
        let service = metric_labels::bounded_label(
            &self.known_services,
            service,
            metric_labels::SERVICE_LABELS_MAX,
        );
        counter.get_or_create(&ServiceLabels { service }).inc();
    }
}

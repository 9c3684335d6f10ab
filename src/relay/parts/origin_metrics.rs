//! Metrics of software versions and of streams that callers take up.

use {
    super::metric_labels::{self, SERVICE_LABELS_MAX, SoftwareLabels, TakeUpLabels},
    crate::relay::software_version::ServerSoftware,
    faststr::FastStr,
    prometheus_client::{
        metrics::{counter::Counter, family::Family, gauge::Gauge},
        registry::Registry,
    },
    std::{cell::RefCell, collections::HashSet},
};

/// Counts by software version, and of streams that callers take up.
#[derive(Debug, Default)]
pub struct OriginMetrics {
    known_services: RefCell<HashSet<FastStr>>,
    known_versions: RefCell<HashSet<FastStr>>,
    servers: Family<SoftwareLabels, Gauge>,
    streams: Family<SoftwareLabels, Counter>,
    take_ups: Family<TakeUpLabels, Counter>,
    /// Streams that are known with their versions.
    pub records: Gauge,
    /// Streams that other hosts were told of, counted for each of them.
    pub told: Counter,
    /// Streams that this host wrote to the store.
    pub kept: Counter,
    /// Hosts that were asked for streams.
    pub asked: Counter,
}

impl OriginMetrics {
    /// Sets the number of servers of each service and version; those that are not given have none.
    pub fn set_servers(&self, listed: &[(ServerSoftware, usize)]) {
        self.servers.clear();
        for (software, count) in listed {
            let labels = self.software_labels(software);
            self.servers.get_or_create(&labels).inc_by(*count as i64);
        }
    }

    /// Counts a stream that servers of a version begin.
    pub fn stream_began(&self, software: &ServerSoftware) {
        let labels = self.software_labels(software);
        self.streams.get_or_create(&labels).inc();
    }

    /// Counts a stream that a caller takes up, by where its version was found, or why it does not go on.
    pub fn taken_up(&self, service: &FastStr, result: &'static str) {
        let labels = TakeUpLabels {
            service: self.service_label(service),
            result,
        };
        self.take_ups.get_or_create(&labels).inc();
    }

    fn service_label(&self, service: &FastStr) -> String {
        metric_labels::bounded_label(&self.known_services, service, SERVICE_LABELS_MAX)
    }

    fn software_labels(&self, software: &ServerSoftware) -> SoftwareLabels {
        let version = FastStr::from_string(software.software.to_string());
        SoftwareLabels {
            service: self.service_label(&software.service),
            software: metric_labels::bounded_label(
                &self.known_versions,
                &version,
                SERVICE_LABELS_MAX,
            ),
        }
    }

    pub(super) fn register(&self, registry: &mut Registry) {
        registry.register(
            "servers_by_software",
            "Listed backend servers, by service and software version",
            self.servers.clone(),
        );
        registry.register(
            "streams_by_software",
            "Resumable streams whose first event this host sent, by service and software version",
            self.streams.clone(),
        );
        registry.register(
            "streams_taken_up",
            "Streams that callers took up, by service and how their software version was found or why they did not go on",
            self.take_ups.clone(),
        );
        registry.register(
            "stream_records",
            "Streams whose software version this host knows",
            self.records.clone(),
        );
        registry.register(
            "streams_told",
            "Streams that other hosts were told of, for each of these",
            self.told.clone(),
        );
        registry.register(
            "streams_kept",
            "Streams that this host wrote to the store, with the software version of their servers",
            self.kept.clone(),
        );
        registry.register(
            "hosts_asked_for_streams",
            "Hosts that were asked for the software version of a stream",
            self.asked.clone(),
        );
    }
}

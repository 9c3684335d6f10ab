//! How streams began: what this host knows itself, what other hosts told it, and how it asks them.

use {
    super::shared::RelayParts,
    crate::{
        peer,
        relay::{
            policy::{
                changes::BackendChanges,
                software_history::{self, SeenSoftware, ServiceSoftware, SoftwareHistory},
                stream_origins::{MAX_STREAMS, StreamKey, StreamOrigins, StreamRecord},
            },
            software_version::ServerSoftware,
        },
    },
    faststr::FastStr,
    futures::future::LocalBoxFuture,
    std::{cell::RefCell, collections::BTreeSet, fmt, rc::Rc, time::Duration},
    tokio::sync::Notify,
};

/// Number of hosts whose entries in the store keep which software versions there are.
pub(super) const KEEPING_HOSTS: usize = 3;

/// Subject of the hash that selects them.
pub(super) const KEEPING_SUBJECT: &str = "software versions";

/// What a host answers when it is asked for a stream.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OriginAnswer {
    /// How the stream began, if it is known.
    pub record: Option<StreamRecord>,
    /// What the host has seen of the service that the request now leads to.
    pub seen: SeenSoftware,
}

/// What all hosts answered.
#[derive(Debug, Default)]
pub struct OriginAnswers {
    /// How the stream began, and the host that knew.
    pub found: Option<(StreamRecord, FastStr)>,
    /// What the hosts that answered have seen of the service.
    pub seen: SeenSoftware,
    /// Number of hosts that answered.
    pub answered: usize,
    /// Number of hosts that did not answer in time.
    pub silent: usize,
}

/// Asks other hosts for a stream and for what they have seen of a service.
pub type OriginQuery = dyn Fn(StreamKey, FastStr) -> LocalBoxFuture<'static, OriginAnswers>;

/// The streams that began lately and the software versions that wrote them.
#[derive(Default)]
pub struct OriginRecords {
    streams: RefCell<StreamOrigins>,
    history: RefCell<SoftwareHistory>,
    // The versions that an earlier run kept in this host's entry.
    earlier: RefCell<Vec<ServiceSoftware>>,
    query: RefCell<Option<Rc<OriginQuery>>>,
    /// Notified when other hosts may have to be told of a stream.
    pub untold: Notify,
}

impl fmt::Debug for OriginRecords {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "OriginRecords({} streams)", self.streams.borrow().len())
    }
}

impl OriginRecords {
    /// Sets the function that asks other hosts.
    pub fn set_query(&self, query: Rc<OriginQuery>) {
        *self.query.borrow_mut() = Some(query);
    }

    /// Number of streams that are known.
    pub fn stream_count(&self) -> usize {
        self.streams.borrow().len()
    }

    /// Number of listed servers of each service and software version.
    pub fn listed_software(&self) -> Vec<(ServerSoftware, usize)> {
        let history = self.history.borrow();
        let listed = history.listed().map(|(service, software, count)| {
            let of_version = ServerSoftware {
                service: service.clone(),
                software: software.clone(),
            };
            (of_version, count)
        });
        listed.collect()
    }
}

impl RelayParts {
    /// Records that a stream begins, before its caller has an event.
    pub fn record_stream_begin(&self, record: StreamRecord) {
        let now = self.now();
        let is_mixed = self
            .origins
            .history
            .borrow()
            .is_mixed(&record.origin.service, now);
        self.origins.streams.borrow_mut().record_begin(record, now);
        if is_mixed {
            self.origins.untold.notify_one();
        }
    }

    /// Records streams that another host began.
    pub fn record_told_streams(&self, records: Vec<StreamRecord>) {
        let now = self.now();
        let mut streams = self.origins.streams.borrow_mut();
        for record in records {
            streams.record_told(record, now);
        }
    }

    /// Records streams that the store has, those first in the order that matter most. Streams that this host knows already
    /// stay as they are.
    pub(super) fn record_kept_streams(&self, records: impl Iterator<Item = StreamRecord>) {
        let now = self.now();
        let mut streams = self.origins.streams.borrow_mut();
        for record in records {
            if streams.len() >= MAX_STREAMS {
                return;
            }
            if streams.find(record.key, now).is_none() {
                streams.record_told(record, now);
            }
        }
    }

    /// All streams that this host knows.
    pub(super) fn known_streams(&self) -> Vec<StreamRecord> {
        self.origins.streams.borrow().records(self.now())
    }

    /// How a stream began, as far as this host knows.
    pub fn find_stream(&self, key: StreamKey) -> Option<StreamRecord> {
        self.origins.streams.borrow().find(key, self.now())
    }

    /// Takes at most `count` streams that other hosts are to be told of: those of services with several software versions.
    /// Of others, each host knows the version.
    pub fn take_untold_streams(&self, count: usize) -> Vec<StreamRecord> {
        let now = self.now();
        let mixed = self.origins.history.borrow().mixed_services(now);
        let mut streams = self.origins.streams.borrow_mut();
        streams.take_untold(count, &mixed, now)
    }

    /// Answers another host that asks for a stream and a service.
    pub async fn answer_origin(&self, key: StreamKey, service: &str) -> OriginAnswer {
        if self.find_stream(key).is_none() {
            self.wait_for_kept_streams().await;
        }
        OriginAnswer {
            record: self.find_stream(key),
            seen: self.seen_software(service),
        }
    }

    /// Asks other hosts for a stream and a service.
    pub async fn query_origin(&self, key: StreamKey, service: &FastStr) -> OriginAnswers {
        let query = self.origins.query.borrow().clone();
        match query {
            Some(query) => query(key, service.clone()).await,
            None => OriginAnswers::default(),
        }
    }

    /// The software versions of a service that this host has seen lately.
    pub fn seen_software(&self, service: &str) -> SeenSoftware {
        self.origins.history.borrow().seen(service, self.now())
    }

    /// The software versions of a service according to the hosts' entries in the store; none if the hosts are not known.
    pub fn kept_software(&self, service: &str) -> Option<SeenSoftware> {
        let cluster = self.cluster.borrow();
        if !cluster.hosts_position().is_known() {
            return None;
        }
        let kept = cluster.hosts().flat_map(|entry| &entry.software);
        let versions = kept
            .filter(|kept| kept.service == service)
            .flat_map(|kept| kept.versions.iter().cloned());
        Some(SeenSoftware {
            versions: versions.collect(),
            seen_for: Duration::ZERO,
        })
    }

    /// The software versions that this host's entry in the store keeps, in case all hosts are lost at once; a few hosts keep
    /// them. What an earlier run of this host has kept stays until this one has seen the lists for long enough.
    pub fn software_to_keep(&self) -> Vec<ServiceSoftware> {
        let own = &self.settings.name;
        let cluster = self.cluster.borrow();
        let others = cluster.hosts().map(|entry| entry.name.as_str());
        let keeps = peer::is_among_first(own, others, KEEPING_SUBJECT, KEEPING_HOSTS);
        let earlier = cluster.host(own).map(|entry| entry.software.clone());
        let adopted = self.origins.earlier.borrow().clone();
        let earlier = software_history::merge_kept(adopted, earlier.unwrap_or_default());
        drop(cluster);
        let now = self.now();
        let history = self.origins.history.borrow();
        let earlier = history.still_needed(earlier, now);
        match keeps {
            true => software_history::merge_kept(history.kept(now), earlier),
            // The hosts that are to keep them now may not have written them yet.
            false if !self.is_software_kept(&earlier) => earlier,
            false => Vec::new(),
        }
    }

    // Whether other hosts' entries keep all of these versions.
    fn is_software_kept(&self, software: &[ServiceSoftware]) -> bool {
        let cluster = self.cluster.borrow();
        let others = cluster
            .hosts()
            .filter(|entry| entry.name != self.settings.name);
        let kept = software_history::merge_kept(
            Vec::new(),
            others.flat_map(|entry| entry.software.iter().cloned()),
        );
        software.iter().all(|needed| {
            let mut known = kept.iter().filter(|known| known.service == needed.service);
            known.any(|known| known.versions.is_superset(&needed.versions))
        })
    }

    /// Takes over the software versions that an earlier run of this host kept in its entry, which the list of hosts may not
    /// have shown before this run writes its own.
    pub fn adopt_kept_software(&self, kept: Vec<ServiceSoftware>) {
        let mut earlier = self.origins.earlier.borrow_mut();
        *earlier = software_history::merge_kept(std::mem::take(&mut earlier), kept);
    }

    /// Records changes of the list of backend servers.
    pub(super) fn record_software(&self, changes: &BackendChanges) {
        let now = self.now();
        let mut history = self.origins.history.borrow_mut();
        history.begin(now);
        for listed in &changes.listed_software {
            history.server_listed(&listed.service, &listed.software);
        }
        for unlisted in &changes.unlisted_software {
            history.server_unlisted(&unlisted.service, &unlisted.software, now);
        }
        let services: BTreeSet<&FastStr> = changes
            .listed_software
            .iter()
            .map(|listed| &listed.service)
            .collect();
        let is_mixed = services
            .iter()
            .any(|service| history.is_mixed(service, now));
        drop(history);
        if is_mixed && self.origins.streams.borrow().has_untold() {
            self.origins.untold.notify_one();
        }
    }

    /// Evicts streams whose callers can no longer come back, and software versions that left long ago.
    pub fn evict_origins(&self) {
        let now = self.now();
        self.origins.streams.borrow_mut().evict_expired(now);
        let mut history = self.origins.history.borrow_mut();
        history.evict_expired(now);
        let mut earlier = self.origins.earlier.borrow_mut();
        *earlier = history.still_needed(std::mem::take(&mut earlier), now);
    }
}

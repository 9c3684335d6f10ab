//! The software versions that the servers of each service had lately, also those that have left: a caller may still come
//! back for a stream that one of them began.
//!
//! A state machine without I/O.

use {
    super::stream_origins::MAX_STREAM_LIFETIME,
    crate::relay::software_version::SoftwareVersion,
    faststr::FastStr,
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        time::Duration,
    },
};

/// Maximum number of versions of a service that have left. More than one already make streams ambiguous.
const MAX_LEFT: usize = 16;

/// The versions of a service's software, as a host's entry in the store keeps them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceSoftware {
    /// The service.
    pub service: FastStr,
    /// The versions that its servers had lately.
    pub versions: BTreeSet<SoftwareVersion>,
}

/// Adds versions to those of the same service, by service.
pub fn merge_kept(
    mut kept: Vec<ServiceSoftware>,
    more: impl IntoIterator<Item = ServiceSoftware>,
) -> Vec<ServiceSoftware> {
    for software in more {
        match kept
            .iter_mut()
            .find(|known| known.service == software.service)
        {
            Some(known) => known.versions.extend(software.versions),
            None => kept.push(software),
        }
    }
    kept.sort_by(|a, b| a.service.cmp(&b.service));
    kept
}

/// What a host has seen of the versions of one service.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SeenSoftware {
    /// The versions that its servers had lately.
    pub versions: BTreeSet<SoftwareVersion>,
    /// For how long the host has seen the lists of servers.
    pub seen_for: Duration,
}

impl SeenSoftware {
    /// Whether the host has seen the lists for as long as a caller may come back for a stream.
    pub fn is_complete(&self) -> bool {
        self.seen_for >= MAX_STREAM_LIFETIME
    }

    /// Adds what another host has seen.
    pub fn merge(&mut self, other: Self) {
        self.versions.extend(other.versions);
        self.seen_for = self.seen_for.max(other.seen_for);
    }
}

/// What a host and those that it asked have seen of the versions of one service.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SoftwareEvidence {
    /// What this host has seen.
    pub own: SeenSoftware,
    /// Whether the store has confirmed its list of servers since the request arrived.
    pub is_confirmed: bool,
    /// What the hosts that answered have seen.
    pub others: SeenSoftware,
    /// Number of hosts that did not answer.
    pub silent: usize,
    /// The versions that hosts' entries in the store keep; none if the entries are not known.
    pub kept: Option<SeenSoftware>,
}

impl SoftwareEvidence {
    /// The only version that servers of the service had lately; `None` if there were several, or may have been.
    pub fn only_version(self) -> Option<SoftwareVersion> {
        // A host that is silent may have begun the stream at a version that nobody here has heard of, however recent the
        // lists are. While no host reaches the store, all answer.
        if !self.is_confirmed && self.silent > 0 {
            return None;
        }
        let mut seen = self.own;
        seen.merge(self.others);
        // All hosts have started lately: what those before them saw is in the store.
        if !seen.is_complete() {
            seen.merge(self.kept?);
        }
        let first = seen.versions.first();
        let only = first.filter(|version| seen.versions.len() == 1 && version.is_known());
        only.cloned()
    }
}

#[derive(Debug, Default)]
struct ServiceVersions {
    // Number of listed servers of each version.
    listed: BTreeMap<SoftwareVersion, usize>,
    // When the last server of each other version left.
    left: BTreeMap<SoftwareVersion, Duration>,
}

impl ServiceVersions {
    fn versions(&self, now: Duration) -> BTreeSet<SoftwareVersion> {
        let is_recent = |at: Duration| now.saturating_sub(at) < MAX_STREAM_LIFETIME;
        let left = self.left.iter().filter(|(_, at)| is_recent(**at));
        let left = left.map(|(version, _)| version);
        self.listed.keys().chain(left).cloned().collect()
    }
}

/// The versions that the servers of each service had lately.
#[derive(Debug, Default)]
pub struct SoftwareHistory {
    services: HashMap<FastStr, ServiceVersions>,
    // When the first list was known.
    since: Option<Duration>,
}

impl SoftwareHistory {
    /// Records that lists of servers are known from now on.
    pub fn begin(&mut self, now: Duration) {
        self.since.get_or_insert(now);
    }

    /// Records that a server is listed.
    pub fn server_listed(&mut self, service: &FastStr, software: &SoftwareVersion) {
        let known = self.services.entry(service.clone()).or_default();
        *known.listed.entry(software.clone()).or_default() += 1;
        known.left.remove(software);
    }

    /// Records that a server that was listed with this version is not any more.
    pub fn server_unlisted(
        &mut self,
        service: &FastStr,
        software: &SoftwareVersion,
        now: Duration,
    ) {
        let Some(known) = self.services.get_mut(service) else {
            return;
        };
        let Some(count) = known.listed.get_mut(software) else {
            return;
        };
        *count -= 1;
        if *count > 0 {
            return;
        }
        known.listed.remove(software);
        known.left.insert(software.clone(), now);
        if known.left.len() > MAX_LEFT {
            let oldest = known.left.iter().min_by_key(|(_, at)| **at);
            let oldest = oldest.map(|(version, _)| version.clone());
            known
                .left
                .retain(|version, _| Some(version) != oldest.as_ref());
        }
    }

    /// What this host has seen of a service.
    pub fn seen(&self, service: &str, now: Duration) -> SeenSoftware {
        let known = self.services.get(service);
        SeenSoftware {
            versions: known.map(|known| known.versions(now)).unwrap_or_default(),
            seen_for: self
                .since
                .map_or(Duration::ZERO, |at| now.saturating_sub(at)),
        }
    }

    /// Whether servers of a service had several versions lately.
    pub fn is_mixed(&self, service: &str, now: Duration) -> bool {
        let known = self.services.get(service);
        known.is_some_and(|known| known.versions(now).len() > 1)
    }

    /// The services whose servers had several versions lately.
    pub fn mixed_services(&self, now: Duration) -> BTreeSet<FastStr> {
        let services = self.services.iter();
        let mixed = services.filter(|(_, known)| known.versions(now).len() > 1);
        mixed.map(|(service, _)| service.clone()).collect()
    }

    /// Number of listed servers of each service and version.
    pub fn listed(&self) -> impl Iterator<Item = (&FastStr, &SoftwareVersion, usize)> {
        self.services.iter().flat_map(|(service, known)| {
            let listed = known.listed.iter();
            listed.map(move |(version, count)| (service, version, *count))
        })
    }

    /// The versions of all services, to be kept in the store.
    pub fn kept(&self, now: Duration) -> Vec<ServiceSoftware> {
        let services = self
            .services
            .iter()
            .map(|(service, known)| ServiceSoftware {
                service: service.clone(),
                versions: known.versions(now),
            });
        let mut kept: Vec<ServiceSoftware> =
            services.filter(|kept| !kept.versions.is_empty()).collect();
        kept.sort_by(|a, b| a.service.cmp(&b.service));
        kept
    }

    /// Of the versions that were kept earlier, those whose streams callers may still come back for.
    pub fn still_needed(&self, kept: Vec<ServiceSoftware>, now: Duration) -> Vec<ServiceSoftware> {
        let needed = kept.into_iter().map(|mut kept| {
            let seen = self.seen(&kept.service, now);
            if seen.is_complete() {
                kept.versions
                    .retain(|version| seen.versions.contains(version));
            }
            kept
        });
        needed.filter(|kept| !kept.versions.is_empty()).collect()
    }

    /// Evicts versions that left long ago.
    pub fn evict_expired(&mut self, now: Duration) {
        self.services.retain(|_, known| {
            known
                .left
                .retain(|_, at| now.saturating_sub(*at) < MAX_STREAM_LIFETIME);
            !known.listed.is_empty() || !known.left.is_empty()
        });
    }
}

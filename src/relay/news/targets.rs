//! Selects the host of each availability zone that receives messages for its zone.

use {
    crate::relay::{cluster::state::ClusterState, link::HostEntry, policy::source},
    faststr::FastStr,
    std::{cell::RefCell, collections::BTreeMap, time::Duration},
};

/// How long a host that did not answer is skipped, also while others answer: trying it each time would let every other
/// exchange with its zone time out.
const SKIP_TIME: Duration = Duration::from_secs(2);

/// Selects one host of each zone: the first in the order of candidates for the zone's head that has not just failed to
/// answer.
#[derive(Debug, Default)]
pub struct ZoneTargets {
    // Until when each host is skipped.
    skipped: RefCell<BTreeMap<FastStr, Duration>>,
}

impl ZoneTargets {
    /// The selected host of each zone except this host's.
    pub fn other_zones(
        &self,
        cluster: &ClusterState,
        own_zone: &str,
        now: Duration,
    ) -> Vec<HostEntry> {
        self.select(cluster, now, |entry| entry.zone != own_zone)
    }

    /// The selected host of each zone, never this host itself: hosts may disagree on which one is the head of their
    /// zone.
    pub fn all_zones(
        &self,
        cluster: &ClusterState,
        own_name: &str,
        now: Duration,
    ) -> Vec<HostEntry> {
        self.select(cluster, now, |entry| entry.name != own_name)
    }

    fn select(
        &self,
        cluster: &ClusterState,
        now: Duration,
        is_candidate: impl Fn(&HostEntry) -> bool,
    ) -> Vec<HostEntry> {
        let mut zones: BTreeMap<FastStr, Vec<HostEntry>> = BTreeMap::new();
        for entry in cluster.hosts().filter(|entry| is_candidate(entry)) {
            let entries = zones.entry(entry.zone.clone()).or_default();
            entries.push(entry.clone());
        }
        let targets = zones.into_iter().map(|(zone, mut entries)| {
            source::sort_readers(&mut entries, &zone);
            self.first_responsive(entries, now)
        });
        targets.collect()
    }

    // If all hosts have failed, the one that failed first is tried again.
    fn first_responsive(&self, entries: Vec<HostEntry>, now: Duration) -> HostEntry {
        let skipped = self.skipped.borrow();
        let skipped_until = |entry: &HostEntry| {
            let until = skipped.get(&entry.name).copied();
            until.filter(|until| now < *until).unwrap_or_default()
        };
        let first = entries.into_iter().min_by_key(|entry| skipped_until(entry));
        first.expect("a zone with a host")
    }

    /// Records whether a host answered.
    pub fn record_result(&self, name: &FastStr, has_answered: bool, now: Duration) {
        let mut skipped = self.skipped.borrow_mut();
        skipped.retain(|_, until| now < *until);
        match has_answered {
            true => {
                skipped.remove(name);
            }
            false => {
                skipped.insert(name.clone(), now + SKIP_TIME);
            }
        }
    }
}

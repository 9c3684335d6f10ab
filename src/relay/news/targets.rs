//! Which host of each availability zone is told what concerns its zone.

use {
    crate::relay::{cluster::state::ClusterState, link::HostEntry, policy::source},
    faststr::FastStr,
    std::{cell::RefCell, collections::BTreeMap, time::Duration},
};

/// How long a host that did not answer is passed over. Asked again each time after the next one had answered, every
/// other exchange with a zone failed while its first host was gone, and waited for its silence.
const PASS_OVER: Duration = Duration::from_secs(2);

/// One host of each zone: the first in the order in which they are to be its head that has not just failed to answer.
#[derive(Debug, Default)]
pub struct ZoneTargets {
    passed_over: RefCell<BTreeMap<FastStr, Duration>>,
}

impl ZoneTargets {
    /// The host of each zone but this one.
    pub fn of(&self, cluster: &ClusterState, own_zone: &str, now: Duration) -> Vec<HostEntry> {
        self.first(cluster, now, |entry| entry.zone != own_zone)
    }

    /// The host of each zone, in the own zone another one than this host: hosts may not agree on who is its head.
    pub fn with_own(
        &self,
        cluster: &ClusterState,
        own_name: &str,
        now: Duration,
    ) -> Vec<HostEntry> {
        self.first(cluster, now, |entry| entry.name != own_name)
    }

    fn first(
        &self,
        cluster: &ClusterState,
        now: Duration,
        counts: impl Fn(&HostEntry) -> bool,
    ) -> Vec<HostEntry> {
        let mut zones: BTreeMap<FastStr, Vec<HostEntry>> = BTreeMap::new();
        for entry in cluster.hosts().filter(|entry| counts(entry)) {
            let entries = zones.entry(entry.zone.clone()).or_default();
            entries.push(entry.clone());
        }
        let targets = zones.into_iter().map(|(zone, mut entries)| {
            source::sort_readers(&mut entries, &zone);
            self.first_heard(entries, now)
        });
        targets.collect()
    }

    // Where all have failed it is the turn of the one that failed first.
    fn first_heard(&self, entries: Vec<HostEntry>, now: Duration) -> HostEntry {
        let passed_over = self.passed_over.borrow();
        let until = |entry: &HostEntry| {
            let until = passed_over.get(&entry.name).copied();
            until.filter(|until| now < *until).unwrap_or_default()
        };
        let first = entries.into_iter().min_by_key(|entry| until(entry));
        first.expect("a zone with a host")
    }

    /// A host answered, or did not.
    pub fn note(&self, name: &FastStr, has_answered: bool, now: Duration) {
        let mut passed_over = self.passed_over.borrow_mut();
        passed_over.retain(|_, until| now < *until);
        match has_answered {
            true => {
                passed_over.remove(name);
            }
            false => {
                passed_over.insert(name.clone(), now + PASS_OVER);
            }
        }
    }
}

//! A cache of findings that hosts exchange, which determines what a peer lacks.
//!
//! A state machine without I/O. Its revision increases with each change, and a peer states the revision up to which it
//! has received the cache.

use std::{collections::BTreeMap, time::Duration};

/// How long a change is sent to a peer that has received nothing yet.
const REPORT_TTL: Duration = Duration::from_secs(30);

/// The position up to which a peer has received a cache.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CachePosition {
    /// The random id that the cache got when its host created it; 0 for none.
    pub cache_id: u64,
    /// The revision.
    pub revision: u64,
}

/// What a peer lacks of a cache.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CacheUpdates<F> {
    /// The position of the peer once it has received these updates.
    pub position: CachePosition,
    /// The findings that it lacked.
    pub findings: Vec<F>,
}

impl<F> Default for CacheUpdates<F> {
    fn default() -> Self {
        Self {
            position: CachePosition::default(),
            findings: Vec::new(),
        }
    }
}

/// The source of a finding.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FindingSource {
    /// Observed by this host, or reported by a host that relies on this one to pass it on to others.
    Reported,
    /// Received from a host that sends it to all others itself.
    Distributed,
}

#[derive(Debug)]
struct CachedFinding<V> {
    value: V,
    // The cache's revision at the last change, and at the last change to be passed on to others.
    changed: u64,
    reported: u64,
    reported_at: Duration,
}

/// Findings by their subject.
#[derive(Debug)]
pub struct FindingsCache<K, V> {
    id: u64,
    entries: BTreeMap<K, CachedFinding<V>>,
    revision: u64,
}

impl<K: Ord + Copy, V> FindingsCache<K, V> {
    /// An empty cache; `id` is a random number that identifies it to other hosts.
    pub fn new(id: u64) -> Self {
        Self {
            id,
            entries: BTreeMap::new(),
            revision: 0,
        }
    }

    /// The position of a peer that has received everything.
    pub fn position(&self) -> CachePosition {
        CachePosition {
            cache_id: self.id,
            revision: self.revision,
        }
    }

    /// The number of findings.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no findings.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The finding about a subject.
    pub fn get(&self, subject: &K) -> Option<&V> {
        self.entries.get(subject).map(|entry| &entry.value)
    }

    /// All findings with their subjects.
    pub fn iter(&self) -> impl Iterator<Item = (&K, &V)> {
        let entries = self.entries.iter();
        entries.map(|(subject, entry)| (subject, &entry.value))
    }

    /// Changes a finding, creating it if needed. `change` returns whether it changed anything that others should know.
    pub fn change(
        &mut self,
        subject: K,
        create: impl FnOnce() -> V,
        source: FindingSource,
        now: Duration,
        change: impl FnOnce(&mut V) -> bool,
    ) -> bool {
        let entry = self
            .entries
            .entry(subject)
            .or_insert_with(|| CachedFinding {
                value: create(),
                changed: 0,
                reported: 0,
                reported_at: now,
            });
        if !change(&mut entry.value) {
            return false;
        }
        self.revision += 1;
        entry.changed = self.revision;
        if source == FindingSource::Reported {
            entry.reported = self.revision;
            entry.reported_at = now;
        }
        true
    }

    /// Removes a finding.
    pub fn remove(&mut self, subject: &K) {
        self.entries.remove(subject);
    }

    /// Keeps only the findings that satisfy a predicate.
    pub fn retain(&mut self, is_kept: impl Fn(&K, &V) -> bool) {
        self.entries
            .retain(|subject, entry| is_kept(subject, &entry.value));
    }

    /// The findings that changed since the position of a peer. A position in another cache counts as the start.
    pub fn changed_since(&self, known: CachePosition) -> impl Iterator<Item = (&K, &V)> {
        let since = match known.cache_id == self.id {
            true => known.revision,
            false => 0,
        };
        self.filtered(move |entry| entry.changed > since)
    }

    /// The changes after a revision that are reported to an aggregating or distributing host. A host that received no
    /// report yet gets the recent changes only: the previous aggregator has distributed the earlier ones.
    pub fn reported_since(
        &self,
        revision: Option<u64>,
        now: Duration,
    ) -> impl Iterator<Item = (&K, &V)> {
        self.filtered(move |entry| match revision {
            Some(revision) => entry.reported > revision,
            None => entry.reported > 0 && now.saturating_sub(entry.reported_at) < REPORT_TTL,
        })
    }

    fn filtered(
        &self,
        is_included: impl Fn(&CachedFinding<V>) -> bool,
    ) -> impl Iterator<Item = (&K, &V)> {
        let entries = self.entries.iter();
        let filtered = entries.filter(move |(_, entry)| is_included(entry));
        filtered.map(|(subject, entry)| (subject, &entry.value))
    }

    /// The cache's revision at the last change of a finding; 0 if there is none.
    pub fn changed_revision(&self, subject: &K) -> u64 {
        self.entries.get(subject).map_or(0, |entry| entry.changed)
    }
}

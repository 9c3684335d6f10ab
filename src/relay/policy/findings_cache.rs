//! A cache of findings that hosts exchange: what each peer has received of it, and what it lacks.
//!
//! A plain state machine. Its revision grows with each change, so that an asker names the revision up to which it was told.

use std::{collections::BTreeMap, time::Duration};

/// How long a change is sent to a peer that has received nothing yet.
const TELL_LIFE: Duration = Duration::from_secs(30);

/// The position up to which a peer has received a cache.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CachePosition {
    /// The cache's id, drawn when its host created it; 0 for none.
    pub book: u64,
    /// The revision.
    pub revision: u64,
}

/// What a peer lacks of a cache.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CacheUpdates<M> {
    /// The position that the peer has with this.
    pub place: CachePosition,
    /// What it lacked.
    pub marks: Vec<M>,
}

impl<M> Default for CacheUpdates<M> {
    fn default() -> Self {
        Self {
            place: CachePosition::default(),
            marks: Vec::new(),
        }
    }
}

/// The source of a finding.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MarkSource {
    /// This host saw it, or a host that reports to this one did: others are to be told.
    Reported,
    /// A host that tells all others itself.
    Told,
}

#[derive(Debug)]
struct CachedFinding<V> {
    value: V,
    // The cache's revision of its last change, and of the last one that others are to be told of.
    changed: u64,
    reported: u64,
    reported_at: Duration,
}

/// Findings by what they are about.
#[derive(Debug)]
pub struct FindingsCache<K, V> {
    id: u64,
    entries: BTreeMap<K, CachedFinding<V>>,
    revision: u64,
}

impl<K: Ord + Copy, V> FindingsCache<K, V> {
    /// An empty cache; `id` is drawn at random.
    pub fn new(id: u64) -> Self {
        Self {
            id,
            entries: BTreeMap::new(),
            revision: 0,
        }
    }

    /// The position of a peer that has received everything.
    pub fn place(&self) -> CachePosition {
        CachePosition {
            book: self.id,
            revision: self.revision,
        }
    }

    /// How many findings there are.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// What was found of one matter.
    pub fn get(&self, about: &K) -> Option<&V> {
        self.entries.get(about).map(|entry| &entry.value)
    }

    /// All findings.
    pub fn iter(&self) -> impl Iterator<Item = (&K, &V)> {
        let entries = self.entries.iter();
        entries.map(|(about, entry)| (about, &entry.value))
    }

    /// Changes a finding, or begins one; `change` says whether it did change anything that others should know.
    pub fn change(
        &mut self,
        about: K,
        begin: impl FnOnce() -> V,
        source: MarkSource,
        now: Duration,
        change: impl FnOnce(&mut V) -> bool,
    ) -> bool {
        let entry = self.entries.entry(about).or_insert_with(|| CachedFinding {
            value: begin(),
            changed: 0,
            reported: 0,
            reported_at: now,
        });
        if !change(&mut entry.value) {
            return false;
        }
        self.revision += 1;
        entry.changed = self.revision;
        if source == MarkSource::Reported {
            entry.reported = self.revision;
            entry.reported_at = now;
        }
        true
    }

    /// Forgets a finding.
    pub fn remove(&mut self, about: &K) {
        self.entries.remove(about);
    }

    /// Forgets all findings but some.
    pub fn retain(&mut self, is_kept: impl Fn(&K, &V) -> bool) {
        self.entries
            .retain(|about, entry| is_kept(about, &entry.value));
    }

    /// What has changed since a peer received it up to a position in this cache or another one.
    pub fn since(&self, known: CachePosition) -> impl Iterator<Item = (&K, &V)> {
        let since = match known.book == self.id {
            true => known.revision,
            false => 0,
        };
        self.wanted(move |entry| entry.changed > since)
    }

    /// What a host that adds up, or tells others, is to hear of this one, after a revision of this cache. Where it was never
    /// told anything that is what has changed lately: whoever added up before has told the rest.
    pub fn reported_since(
        &self,
        revision: Option<u64>,
        now: Duration,
    ) -> impl Iterator<Item = (&K, &V)> {
        self.wanted(move |entry| match revision {
            Some(revision) => entry.reported > revision,
            None => entry.reported > 0 && now.saturating_sub(entry.reported_at) < TELL_LIFE,
        })
    }

    fn wanted(
        &self,
        is_wanted: impl Fn(&CachedFinding<V>) -> bool,
    ) -> impl Iterator<Item = (&K, &V)> {
        let entries = self.entries.iter();
        let wanted = entries.filter(move |(_, entry)| is_wanted(entry));
        wanted.map(|(about, entry)| (about, &entry.value))
    }

    /// The cache's revision of a finding's last change; 0 where there was none.
    pub fn changed(&self, about: &K) -> u64 {
        self.entries.get(about).map_or(0, |entry| entry.changed)
    }
}

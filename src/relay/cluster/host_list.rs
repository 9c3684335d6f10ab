//! The hosts listed in the store, and those that a restored store does not list yet.

use {
    super::history::{ChangeHistory, ChangesSince, KindNews, list_difference},
    crate::{
        relay::link::{HostEntry, StoreChange, StoreItem, StoreValue},
        store::StorePosition,
    },
    faststr::FastStr,
    std::{collections::BTreeMap, mem, time::Duration},
};

/// How long hosts have to rewrite their entries after a restore; hundreds of hosts do not all write at once.
const REWRITE_TIMEOUT: Duration = Duration::from_secs(30);

// The outdated entry of a host in a restored store; none if the store does not list the host.
#[derive(Debug)]
struct RestoredEntry {
    shown: Option<HostEntry>,
    expires_at: Duration,
}

/// The hosts listed in the store, with corrections after a restore of the store.
#[derive(Debug, Default)]
pub struct HostList {
    known: BTreeMap<FastStr, HostEntry>,
    // Hosts that have not rewritten their entries since the store was restored.
    awaiting_rewrite: BTreeMap<FastStr, RestoredEntry>,
    history: ChangeHistory,
    // The list may have been read from a lagging replica, and no watch has continued from it yet.
    is_unconfirmed: bool,
}

impl HostList {
    /// The store position that the list reflects.
    pub fn position(&self) -> StorePosition {
        self.history.position()
    }

    /// The known hosts.
    pub fn entries(&self) -> impl Iterator<Item = &HostEntry> + Clone {
        self.known.values()
    }

    /// The entry of a host, if it is known.
    pub fn entry(&self, name: &str) -> Option<&HostEntry> {
        self.known.get(name)
    }

    /// Number of known hosts.
    pub fn count(&self) -> usize {
        self.known.len()
    }

    /// Whether the store lists exactly this entry of a host.
    pub fn is_listed(&self, entry: &HostEntry) -> bool {
        let is_awaiting_rewrite = self.awaiting_rewrite.contains_key(&entry.name);
        !is_awaiting_rewrite && self.known.get(&entry.name) == Some(entry)
    }

    /// Sets whether the list may have been read from a lagging replica.
    pub fn set_unconfirmed(&mut self, is_unconfirmed: bool) {
        self.is_unconfirmed = is_unconfirmed;
    }

    /// Forgets the revision of an unconfirmed list, which the store does not have.
    pub fn forget_unconfirmed(&mut self) {
        if mem::take(&mut self.is_unconfirmed) {
            self.history.forget_revision();
        }
    }

    /// Replaces the list by that of a position, unless a newer one is known.
    pub fn set(&mut self, list: Vec<HostEntry>, position: StorePosition, now: Duration) -> bool {
        let held = self.position();
        if position < held {
            return false;
        }
        let named = list.into_iter().map(|entry| (entry.name.clone(), entry));
        let shown: BTreeMap<FastStr, HostEntry> = named.collect();
        let difference = self
            .history
            .is_continued_by(position)
            .then(|| self.difference(&shown));
        match position.era > held.era && !self.known.is_empty() {
            true => self.apply_restored(shown, now),
            false => self.apply_listed(shown),
        }
        self.history.set_object_count(self.known.len());
        match difference {
            Some(changes) => self.history.record_difference(position, changes),
            None => self.history.restart(position),
        }
        true
    }

    // The changes that a list of the store shows since the known one.
    fn difference(&self, list: &BTreeMap<FastStr, HostEntry>) -> Vec<StoreChange> {
        let entries = self
            .shown()
            .map(|entry| (entry.name.clone(), entry.clone()));
        let before: BTreeMap<FastStr, HostEntry> = entries.collect();
        list_difference(&before, list.iter(), host_change)
    }

    // Keeps the known entries, which are newer than the backup, until each host has rewritten its own.
    fn apply_restored(&mut self, mut shown: BTreeMap<FastStr, HostEntry>, now: Duration) {
        let expires_at = now + REWRITE_TIMEOUT;
        for (name, entry) in &self.known {
            let shown = shown.remove(name);
            match shown.as_ref() == Some(entry) {
                true => {
                    self.awaiting_rewrite.remove(name);
                }
                false => {
                    let restored = RestoredEntry { shown, expires_at };
                    self.awaiting_rewrite.insert(name.clone(), restored);
                }
            }
        }
        self.known.append(&mut shown);
    }

    // A host whose entry is still the same as after the restore has not rewritten it.
    fn apply_listed(&mut self, shown: BTreeMap<FastStr, HostEntry>) {
        let known = &mut self.known;
        self.awaiting_rewrite
            .retain(|name, restored| restored.shown.as_ref() == shown.get(name));
        known.retain(|name, _| self.awaiting_rewrite.contains_key(name));
        for (name, entry) in shown {
            known.entry(name).or_insert(entry);
        }
    }

    /// Applies changes up to a position, unless a newer one is known. Changes of another era are ignored, as they
    /// continue from a list that this host does not have.
    pub fn change(&mut self, changes: Vec<StoreChange>, position: StorePosition) {
        let held = self.position();
        if position < held || (held.is_known() && position.era != held.era) {
            return;
        }
        for change in &changes {
            match change {
                StoreChange::Set(StoreItem {
                    value: StoreValue::Host(entry),
                    ..
                }) => {
                    self.awaiting_rewrite.remove(&entry.name);
                    self.known.insert(entry.name.clone(), entry.clone());
                }
                StoreChange::Set(_) => {}
                StoreChange::Removed(name) => {
                    self.awaiting_rewrite.remove(name);
                    self.known.remove(name);
                }
            }
        }
        self.history.set_object_count(self.known.len());
        self.history.record(position, changes);
    }

    /// Applies an update received from another host.
    pub fn apply_news(&mut self, news: KindNews, now: Duration) {
        match news.is_whole {
            true => {
                let hosts = news.changes.into_iter().filter_map(host_of).collect();
                self.set(hosts, news.position, now);
            }
            false => self.change(news.changes, news.position),
        }
    }

    /// The update for another host that knows everything up to `held`.
    pub fn news(&self, held: StorePosition) -> KindNews {
        let missing = self.history.since(held);
        KindNews {
            position: self.position(),
            is_whole: missing == ChangesSince::Evicted,
            changes: match missing {
                ChangesSince::UpToDate => Vec::new(),
                ChangesSince::Changes(changes) => changes,
                ChangesSince::Evicted => self.shown().cloned().map(host_change).collect(),
            },
            departed: Vec::new(),
            part: None,
        }
    }

    // The entries as the store has them: a host that the store does not list has to learn that.
    fn shown(&self) -> impl Iterator<Item = &HostEntry> {
        self.known
            .iter()
            .filter_map(|(name, entry)| match self.awaiting_rewrite.get(name) {
                Some(restored) => restored.shown.as_ref(),
                None => Some(entry),
            })
    }

    /// Falls back to the store's entry for hosts that have not rewritten theirs in time.
    pub fn expire(&mut self, now: Duration) {
        let expired = self
            .awaiting_rewrite
            .extract_if(.., |_, entry| now >= entry.expires_at);
        for (name, restored) in expired {
            match restored.shown {
                Some(entry) => self.known.insert(name, entry),
                None => self.known.remove(&name),
            };
        }
    }
}

fn host_change(entry: HostEntry) -> StoreChange {
    StoreChange::Set(StoreItem {
        name: entry.name.clone(),
        position: StorePosition::default(),
        value: StoreValue::Host(entry),
    })
}

fn host_of(change: StoreChange) -> Option<HostEntry> {
    match change {
        StoreChange::Set(StoreItem {
            value: StoreValue::Host(entry),
            ..
        }) => Some(entry),
        _ => None,
    }
}

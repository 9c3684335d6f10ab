//! The hosts that the store lists, and those that a restored store does not list yet.

use {
    super::history::{ChangeHistory, KindNews, MissingNews},
    crate::{
        relay::link::{HostEntry, StoreChange, StoreItem, StoreValue},
        store::StorePosition,
    },
    faststr::FastStr,
    std::{collections::BTreeMap, mem, time::Duration},
};

/// How long hosts have to enter themselves again after a restore: hundreds of them do not all write at once.
const RELIST_TIME: Duration = Duration::from_secs(30);

// What a restored store shows of a host of which more is known; nothing where it does not list it.
#[derive(Debug)]
struct RestoredEntry {
    shown: Option<HostEntry>,
    until: Duration,
}

/// The hosts that the store lists.
#[derive(Debug, Default)]
pub struct HostList {
    known: BTreeMap<FastStr, HostEntry>,
    // Hosts that have not entered themselves again since the store was restored.
    awaited: BTreeMap<FastStr, RestoredEntry>,
    history: ChangeHistory,
    // The list may lag and no watch has gone on from it yet.
    is_unconfirmed: bool,
}

impl HostList {
    /// The store's position that the list shows.
    pub fn position(&self) -> StorePosition {
        self.history.position()
    }

    /// The hosts that are known.
    pub fn entries(&self) -> impl Iterator<Item = &HostEntry> + Clone {
        self.known.values()
    }

    /// How many hosts are known.
    pub fn count(&self) -> usize {
        self.known.len()
    }

    /// Whether the store lists a host with this entry.
    pub fn is_listed(&self, entry: &HostEntry) -> bool {
        let is_awaited = self.awaited.contains_key(&entry.name);
        !is_awaited && self.known.get(&entry.name) == Some(entry)
    }

    /// The list was read from a store that may lag.
    pub fn set_unconfirmed(&mut self, is_unconfirmed: bool) {
        self.is_unconfirmed = is_unconfirmed;
    }

    /// The store does not have the position of an unconfirmed list.
    pub fn drop_unconfirmed(&mut self) {
        if mem::take(&mut self.is_unconfirmed) {
            self.history.forget_revision();
        }
    }

    /// Takes the whole list as of a position, unless a newer one is known.
    pub fn set(&mut self, list: Vec<HostEntry>, position: StorePosition, now: Duration) -> bool {
        let held = self.position();
        if position < held {
            return false;
        }
        let named = list.into_iter().map(|entry| (entry.name.clone(), entry));
        let shown: BTreeMap<FastStr, HostEntry> = named.collect();
        match position.era > held.era && !self.known.is_empty() {
            true => self.take_restored(shown, now),
            false => self.take_listed(shown),
        }
        self.history.restart(position);
        true
    }

    // What is known is newer than the copy, until each host has entered itself again.
    fn take_restored(&mut self, mut shown: BTreeMap<FastStr, HostEntry>, now: Duration) {
        let until = now + RELIST_TIME;
        for (name, entry) in &self.known {
            let shown = shown.remove(name);
            match shown.as_ref() == Some(entry) {
                true => {
                    self.awaited.remove(name);
                }
                false => {
                    let restored = RestoredEntry { shown, until };
                    self.awaited.insert(name.clone(), restored);
                }
            }
        }
        self.known.append(&mut shown);
    }

    // A host that is still awaited, and whose entry stands as it did, has not entered itself again.
    fn take_listed(&mut self, shown: BTreeMap<FastStr, HostEntry>) {
        let known = &mut self.known;
        self.awaited
            .retain(|name, restored| restored.shown.as_ref() == shown.get(name));
        known.retain(|name, _| self.awaited.contains_key(name));
        for (name, entry) in shown {
            known.entry(name).or_insert(entry);
        }
    }

    /// Takes changes up to a position, unless a newer one is known. Changes of another era go on from a list that this
    /// host does not have.
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
                    self.awaited.remove(&entry.name);
                    self.known.insert(entry.name.clone(), entry.clone());
                }
                StoreChange::Set(_) => {}
                StoreChange::Removed(name) => {
                    self.awaited.remove(name);
                    self.known.remove(name);
                }
            }
        }
        self.history.record(position, changes);
    }

    /// Takes what another host told.
    pub fn take_news(&mut self, news: KindNews, now: Duration) {
        match news.is_whole {
            true => {
                let hosts = news.changes.into_iter().filter_map(host_of).collect();
                self.set(hosts, news.position, now);
            }
            false => self.change(news.changes, news.position),
        }
    }

    /// What another host lacks that knows everything up to `held`.
    pub fn news(&self, held: StorePosition) -> KindNews {
        let missing = self.history.since(held);
        KindNews {
            position: self.position(),
            is_whole: missing == MissingNews::Whole,
            changes: match missing {
                MissingNews::Nothing => Vec::new(),
                MissingNews::Changes(changes) => changes,
                MissingNews::Whole => self.shown().map(host_item).map(StoreChange::Set).collect(),
            },
            departed: Vec::new(),
        }
    }

    // As the store has them: whoever it does not list has to see that.
    fn shown(&self) -> impl Iterator<Item = &HostEntry> {
        self.known
            .iter()
            .filter_map(|(name, entry)| match self.awaited.get(name) {
                Some(restored) => restored.shown.as_ref(),
                None => Some(entry),
            })
    }

    /// Hosts that have not entered themselves again in time are as the store shows them.
    pub fn expire(&mut self, now: Duration) {
        let expired = self.awaited.extract_if(.., |_, entry| now >= entry.until);
        for (name, restored) in expired {
            match restored.shown {
                Some(entry) => self.known.insert(name, entry),
                None => self.known.remove(&name),
            };
        }
    }
}

fn host_item(entry: &HostEntry) -> StoreItem {
    StoreItem {
        name: entry.name.clone(),
        position: StorePosition::default(),
        value: StoreValue::Host(entry.clone()),
    }
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

//! The availability zones that operators have evacuated: nothing further is sent to their backend servers.
//!
//! A state machine without I/O, like the rest of the cluster state. A newer list is never replaced by an older one. A
//! store that was restored from a backup may lack an evacuation that was in force; it stays in force until operators
//! have had time to write it again. An evacuation that such a store lists is in force at once, even if it had been taken
//! back: an unused zone costs room, but a request in an evacuated zone may be lost.

use {
    super::history::KindNews,
    crate::{
        relay::link::{StoreChange, StoreItem, StoreValue},
        store::StorePosition,
    },
    faststr::FastStr,
    std::{
        collections::{BTreeMap, BTreeSet},
        mem,
        time::Duration,
    },
};

/// How long operators have to write an evacuation again that a restored store lacks.
const REWRITE_TIMEOUT: Duration = Duration::from_secs(30);

/// The evacuated zones listed in the store, and those that a restored store does not list yet.
#[derive(Debug, Default)]
pub struct EvacuationList {
    listed: BTreeSet<FastStr>,
    // Zones that a restored store does not list, and until when they remain evacuated.
    awaiting_rewrite: BTreeMap<FastStr, Duration>,
    position: StorePosition,
    // Position at which the zones last changed. A host that knows them up to there lacks nothing.
    changed_position: StorePosition,
}

impl EvacuationList {
    /// The store position that the list reflects.
    pub fn position(&self) -> StorePosition {
        self.position
    }

    /// The evacuated zones.
    pub fn zones(&self) -> BTreeSet<FastStr> {
        let awaiting = self.awaiting_rewrite.keys();
        self.listed.iter().chain(awaiting).cloned().collect()
    }

    /// Replaces the list by that of a position, unless a newer one is known.
    pub fn set(
        &mut self,
        zones: BTreeSet<FastStr>,
        position: StorePosition,
        now: Duration,
    ) -> bool {
        if position < self.position {
            return false;
        }
        let before = mem::replace(&mut self.listed, zones);
        if position.era > self.position.era {
            self.keep_missing(&before, now);
        }
        let listed = &self.listed;
        self.awaiting_rewrite
            .retain(|zone, _| !listed.contains(zone));
        // Even if the zones are the same, one may have been taken back and evacuated again in between.
        self.advance(position, true);
        true
    }

    // Keeps the zones of the era before that the restored store lacks.
    fn keep_missing(&mut self, before: &BTreeSet<FastStr>, now: Duration) {
        let expires_at = now + REWRITE_TIMEOUT;
        for end in self.awaiting_rewrite.values_mut() {
            *end = expires_at;
        }
        for zone in before.difference(&self.listed) {
            self.awaiting_rewrite.insert(zone.clone(), expires_at);
        }
        let zones = self.zones();
        assert!(
            before.is_subset(&zones),
            "a restored store ends no evacuation"
        );
    }

    fn advance(&mut self, position: StorePosition, has_changed: bool) {
        assert!(
            position >= self.position,
            "evacuations at {position} cannot replace those at {}",
            self.position
        );
        self.position = position;
        if has_changed {
            self.changed_position = position;
        }
    }

    /// Applies changes up to a position, unless a newer one is known. Changes of another era are ignored, as they
    /// continue from a list that this host does not have.
    pub fn change(&mut self, changes: Vec<StoreChange>, position: StorePosition) {
        let held = self.position;
        if !held.is_known() || position < held || position.era != held.era {
            return;
        }
        let has_changed = !changes.is_empty();
        for change in changes {
            match change {
                StoreChange::Set(item) => {
                    self.awaiting_rewrite.remove(&item.name);
                    self.listed.insert(item.name);
                }
                StoreChange::Removed(zone) => {
                    self.awaiting_rewrite.remove(&zone);
                    self.listed.remove(&zone);
                }
            }
        }
        self.advance(position, has_changed);
    }

    /// The update for another host that knows the evacuations up to `held`: the complete list, or nothing.
    pub fn news(&self, held: StorePosition) -> KindNews {
        if held >= self.changed_position {
            return KindNews::default();
        }
        let listed = self.listed.iter().map(|zone| (zone, self.position));
        // The store has no such object, so it has no position.
        let awaiting = self.awaiting_rewrite.keys();
        let awaiting = awaiting.map(|zone| (zone, StorePosition::default()));
        KindNews {
            position: self.position,
            is_whole: true,
            changes: listed.chain(awaiting).map(evacuation_change).collect(),
            ..KindNews::default()
        }
    }

    /// Applies an update received from another host.
    pub fn apply_news(&mut self, news: KindNews, now: Duration) {
        if !news.is_whole {
            return;
        }
        let items = news.changes.into_iter().filter_map(evacuation_of);
        let (listed, awaiting): (Vec<StoreItem>, Vec<StoreItem>) =
            items.partition(|item| item.position.is_known());
        let zones = listed.into_iter().map(|item| item.name).collect();
        if !self.set(zones, news.position, now) {
            return;
        }
        let awaiting = awaiting.into_iter().map(|item| item.name);
        for zone in awaiting.filter(|zone| !self.listed.contains(zone)) {
            let expires_at = now + REWRITE_TIMEOUT;
            self.awaiting_rewrite.entry(zone).or_insert(expires_at);
        }
    }

    /// Ends the evacuations that a restored store lacks and that were not written again in time. Returns whether there
    /// were any.
    pub fn expire(&mut self, now: Duration) -> bool {
        let expired = self
            .awaiting_rewrite
            .extract_if(.., |_, expires_at| now >= *expires_at);
        expired.count() > 0
    }
}

fn evacuation_change((zone, position): (&FastStr, StorePosition)) -> StoreChange {
    StoreChange::Set(StoreItem {
        name: zone.clone(),
        position,
        value: StoreValue::Evacuation,
    })
}

fn evacuation_of(change: StoreChange) -> Option<StoreItem> {
    match change {
        StoreChange::Set(item) if item.value == StoreValue::Evacuation => Some(item),
        _ => None,
    }
}

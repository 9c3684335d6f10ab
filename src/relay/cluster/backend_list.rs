//! The backend servers listed in the store, and what is known about them beyond their entries.
//!
//! A store that was restored from a backup may contain older entries than a host has already seen. Until the servers
//! have rewritten their entries the host's own knowledge takes precedence: a server that announced that it is leaving
//! is still leaving, a server that had departed is not used, and a server missing from the backup has not departed.

use {
    super::{
        cold_times::ColdTimes,
        history::{ChangeHistory, DepartedRun, list_difference},
    },
    crate::{
        relay::{
            backend::BackendInfo,
            link::{StoreChange, StoreItem, StoreValue},
        },
        store::StorePosition,
    },
    faststr::FastStr,
    std::{
        collections::{BTreeMap, BTreeSet},
        mem,
        time::Duration,
    },
};

/// How long a backend server whose entry expired during a store outage is still used: servers that are alive are
/// listed again within about two seconds of the end of the outage.
const EXPIRY_GRACE: Duration = Duration::from_millis(1_700);

/// Heartbeat intervals within which a live server has rewritten its entry after a restore. The store itself removes a
/// server after the same number of intervals without a heartbeat.
const HEARTBEATS_TO_REWRITE: u32 = 3;

/// How long the end of a run is remembered; backups are a few seconds old.
const DEPARTURE_RETENTION: Duration = Duration::from_secs(60);

/// The end of a run of a backend server that has departed or is leaving, whatever a restored entry says.
#[derive(Debug, Clone, Copy)]
pub(super) struct RunEnd {
    pub(super) born: u64,
    pub(super) is_gone: bool,
    expires_at: Duration,
}

/// A backend server that is kept for a limited time.
#[derive(Debug, Clone)]
pub(super) struct ExpiringEntry {
    pub(super) info: BackendInfo,
    expires_at: Duration,
}

/// The backend servers listed in the store, with corrections after an outage or restore of the store.
#[derive(Debug)]
pub struct BackendList {
    pub(super) listed: BTreeMap<FastStr, BackendInfo>,
    // Servers that may be used even though they are not listed.
    unlisted: BTreeMap<FastStr, ExpiringEntry>,
    // Servers that are not used even though they are listed: before the store was restored their run had departed, or a
    // later one had started.
    pub(super) withheld: BTreeMap<FastStr, ExpiringEntry>,
    pub(super) departed: BTreeMap<FastStr, RunEnd>,
    // Servers whose usable entry may differ from when the touched ones were last taken.
    touched: BTreeSet<FastStr>,
    pub(super) history: ChangeHistory,
    rewrite_timeout: Duration,
    cold_times: ColdTimes,
    // The list may have been read from a lagging replica, and no watch has continued from it yet.
    pub(super) is_unconfirmed: bool,
    // The software version of an entry is not known: a host of an earlier version has passed it on.
    lacks_software: bool,
}

impl BackendList {
    /// An empty list; backend servers renew their entries every `heartbeat`.
    pub fn new(heartbeat: Duration) -> Self {
        Self {
            listed: BTreeMap::new(),
            unlisted: BTreeMap::new(),
            withheld: BTreeMap::new(),
            departed: BTreeMap::new(),
            touched: BTreeSet::new(),
            history: ChangeHistory::default(),
            rewrite_timeout: heartbeat.saturating_mul(HEARTBEATS_TO_REWRITE),
            cold_times: ColdTimes::default(),
            is_unconfirmed: false,
            lacks_software: false,
        }
    }

    /// The store position that the list reflects.
    pub fn position(&self) -> StorePosition {
        self.history.position()
    }

    /// Number of lists and batches of changes that were applied.
    pub fn update_count(&self) -> u64 {
        self.history.update_count()
    }

    /// Sets whether the list may have been read from a lagging replica. Such a list is not sent to other hosts until a
    /// watch has continued from it.
    pub fn set_unconfirmed(&mut self, is_unconfirmed: bool) {
        self.is_unconfirmed = is_unconfirmed;
    }

    /// Forgets the revision of an unconfirmed list, which the store does not have.
    pub fn forget_unconfirmed(&mut self) {
        if mem::take(&mut self.is_unconfirmed) {
            self.history.forget_revision();
        }
    }

    /// Whether the software version of an entry is not known.
    pub fn lacks_software(&self) -> bool {
        self.lacks_software
    }

    /// Forgets the revision of a list that lacks software versions, when it can be received with them.
    pub fn forget_incomplete(&mut self) {
        if mem::take(&mut self.lacks_software) {
            self.history.forget_revision();
        }
    }

    /// Replaces the list by that of a position, unless a newer one is known. `departed` are the runs that the sender
    /// knows to have departed or to be leaving; `had_outage` tells whether entries may have expired in a store outage.
    pub fn set(
        &mut self,
        list: Vec<BackendInfo>,
        departed: &[DepartedRun],
        position: StorePosition,
        had_outage: bool,
        now: Duration,
    ) -> bool {
        let held = self.position();
        if position < held {
            return false;
        }
        let is_restored = position.era > held.era && self.update_count() > 0;
        let difference = self
            .history
            .is_continued_by(position)
            .then(|| self.difference(&list));
        self.lacks_software = false;
        self.touched.extend(self.listed.keys().cloned());
        let mut before = mem::take(&mut self.listed);
        let mut withheld = mem::take(&mut self.withheld);
        for info in list {
            let known = before.remove(&info.id);
            let info = with_known_software(info, known.as_ref());
            let withheld = withheld.remove(&info.id);
            match is_restored {
                true => self.apply_restored(info, known, now),
                false => self.apply_listed(info, withheld),
            }
        }
        for info in before.into_values() {
            match is_restored {
                true => self.keep_unlisted(info, now),
                false => self.remove(info, had_outage, now),
            }
        }
        let mut has_new_departures = false;
        for run in departed {
            has_new_departures |= self.apply_departed_run(run, now);
        }
        self.history.set_object_count(self.listed.len());
        match difference.filter(|_| !has_new_departures) {
            Some(changes) => self.history.record_difference(position, changes),
            None => self.history.restart(position),
        }
        true
    }

    // The changes that a list of the store shows since the known one.
    fn difference(&self, list: &[BackendInfo]) -> Vec<StoreChange> {
        let entries = self.entries().map(|info| (info.id.clone(), info.clone()));
        let before: BTreeMap<FastStr, BackendInfo> = entries.collect();
        let after = list.iter().map(|info| (&info.id, info));
        list_difference(&before, after, StoreChange::of_backend)
    }

    /// Applies changes up to a position, unless a newer one is known. Changes of another era are ignored, as they
    /// continue from a list that this host does not have.
    pub fn change(
        &mut self,
        changes: Vec<StoreChange>,
        position: StorePosition,
        had_outage: bool,
        now: Duration,
    ) {
        let held = self.position();
        if position < held || (held.is_known() && position.era != held.era) {
            return;
        }
        let mut recorded = Vec::new();
        for change in changes {
            if self.apply_change(&change, had_outage, now) {
                recorded.push(change);
            }
        }
        self.history.set_object_count(self.listed.len());
        self.history.record(position, recorded);
    }

    // Returns whether other hosts need to know of the change.
    fn apply_change(&mut self, change: &StoreChange, had_outage: bool, now: Duration) -> bool {
        match change {
            StoreChange::Set(StoreItem {
                value: StoreValue::Backend(info),
                ..
            }) => {
                let known = self.listed.get(&info.id);
                let is_countdown = self.cold_times.record(known, info, now);
                let info = with_known_software(info.clone(), known);
                self.apply_written(info);
                return !is_countdown;
            }
            StoreChange::Set(_) => {}
            StoreChange::Removed(id) => self.apply_removed(id, had_outage, now),
        }
        true
    }

    // Applies an entry of a restored store, which may be older than the known one.
    fn apply_restored(&mut self, info: BackendInfo, known: Option<BackendInfo>, now: Duration) {
        let known = known.or_else(|| Some(self.unlisted.remove(&info.id)?.info));
        let info = with_known_coldness(info, known.as_ref());
        if self.is_departed(&info) {
            return self.withhold(info, now);
        }
        match known {
            Some(known) if known.born > info.born => {
                self.keep_unlisted(known, now);
                self.withhold(info, now);
            }
            Some(known) if known.born == info.born && known.leaving => {
                self.record_run_end(&known.id, known.born, false, Duration::MAX);
                self.apply_written(info);
            }
            _ => self.apply_written(info),
        }
    }

    // Applies an entry of a list of the current era: a withheld entry of the same run is still withheld.
    fn apply_listed(&mut self, info: BackendInfo, withheld: Option<ExpiringEntry>) {
        match withheld.filter(|entry| entry.info.born == info.born) {
            Some(ExpiringEntry { expires_at, .. }) => {
                let entry = ExpiringEntry { info, expires_at };
                self.withheld.insert(entry.info.id.clone(), entry);
            }
            None => self.apply_written(info),
        }
    }

    // Lists a server that has written its entry and is therefore alive.
    fn apply_written(&mut self, mut info: BackendInfo) {
        self.touched.insert(info.id.clone());
        self.unlisted.remove(&info.id);
        self.withheld.remove(&info.id);
        let run = self.departed.get(&info.id);
        match run.is_some_and(|run| run.born == info.born && !run.is_gone) {
            true => info.leaving = true,
            false => {
                self.departed.remove(&info.id);
            }
        }
        self.lacks_software |= !info.software.is_known();
        self.listed.insert(info.id.clone(), info);
    }

    fn apply_removed(&mut self, id: &FastStr, had_outage: bool, now: Duration) {
        self.touched.insert(id.clone());
        let withheld = self.withheld.remove(id).map(|entry| entry.info);
        let unlisted = self.unlisted.remove(id);
        match (self.listed.remove(id).or(withheld), unlisted) {
            (Some(info), _) => self.remove(info, had_outage, now),
            (None, Some(entry)) => self.record_departure(id, entry.info.born, now),
            (None, None) => {}
        }
    }

    // Applies the sender's knowledge that a run has departed or is leaving, even if the sender's list shows it as
    // current. Returns whether this host did not know it yet.
    fn apply_departed_run(&mut self, run: &DepartedRun, now: Duration) -> bool {
        let is_later = |info: &BackendInfo| info.born > run.born;
        let unlisted = self.unlisted.get(&run.id).map(|entry| &entry.info);
        let current = self.listed.get(&run.id).or(unlisted);
        let is_known = |known: &RunEnd| {
            known.born > run.born || (known.born == run.born && known.is_gone >= run.is_gone)
        };
        if current.is_some_and(is_later) || self.departed.get(&run.id).is_some_and(is_known) {
            return false;
        }
        self.touched.insert(run.id.clone());
        self.unlisted.remove(&run.id);
        let listed = self.listed.remove(&run.id);
        let is_listed = listed.as_ref().is_some_and(|info| info.born == run.born);
        match run.is_gone || !is_listed {
            true => self.record_run_end(&run.id, run.born, run.is_gone, now + DEPARTURE_RETENTION),
            false => self.record_run_end(&run.id, run.born, false, Duration::MAX),
        }
        match listed {
            Some(info) if self.is_departed(&info) => self.withhold(info, now),
            Some(info) => self.apply_written(info),
            None => {}
        }
        true
    }

    // An entry that is removed while the store is available means that its server has departed.
    fn remove(&mut self, info: BackendInfo, had_outage: bool, now: Duration) {
        self.touched.insert(info.id.clone());
        if had_outage && !info.leaving {
            let expires_at = now + EXPIRY_GRACE;
            let entry = ExpiringEntry { info, expires_at };
            self.unlisted.insert(entry.info.id.clone(), entry);
            return;
        }
        self.record_departure(&info.id, info.born, now);
    }

    fn record_departure(&mut self, id: &FastStr, born: u64, now: Duration) {
        self.record_run_end(id, born, true, now + DEPARTURE_RETENTION);
    }

    fn record_run_end(&mut self, id: &FastStr, born: u64, is_gone: bool, expires_at: Duration) {
        let end = RunEnd {
            born,
            is_gone,
            expires_at,
        };
        self.departed.insert(id.clone(), end);
    }

    // Whether the run of an entry has departed, or a later run with the same id has started.
    fn is_departed(&self, info: &BackendInfo) -> bool {
        let run = self.departed.get(&info.id);
        run.is_some_and(|run| run.born > info.born || (run.is_gone && run.born == info.born))
    }

    fn withhold(&mut self, info: BackendInfo, now: Duration) {
        self.touched.insert(info.id.clone());
        let expires_at = now.saturating_add(self.rewrite_timeout);
        let entry = ExpiringEntry { info, expires_at };
        self.withheld.insert(entry.info.id.clone(), entry);
    }

    // Keeps a server that the backup lacks because its entry had not yet been written.
    fn keep_unlisted(&mut self, info: BackendInfo, now: Duration) {
        self.touched.insert(info.id.clone());
        if info.leaving {
            return self.record_run_end(&info.id, info.born, false, now + DEPARTURE_RETENTION);
        }
        let expires_at = now.saturating_add(self.rewrite_timeout);
        let entry = ExpiringEntry { info, expires_at };
        self.unlisted.insert(entry.info.id.clone(), entry);
    }

    /// Evicts entries whose retention time is over: unlisted servers that were not listed again are dropped, and
    /// withheld servers whose entry is still listed are alive. Returns whether the set of usable servers changed.
    pub fn expire(&mut self, now: Duration) -> bool {
        self.departed.retain(|_, run| now < run.expires_at);
        self.cold_times.remove_expired(now);
        let ended = self
            .unlisted
            .extract_if(.., |_, entry| now >= entry.expires_at);
        let ended: Vec<FastStr> = ended.map(|(id, _)| id).collect();
        let expired = self
            .withheld
            .extract_if(.., |_, entry| now >= entry.expires_at);
        let returned: Vec<BackendInfo> = expired.map(|(_, entry)| entry.info).collect();
        let has_changed = !ended.is_empty() || !returned.is_empty();
        self.touched.extend(ended);
        for info in returned {
            self.apply_written(info);
        }
        has_changed
    }

    /// The backend servers that may be used.
    pub fn usable(&self) -> Vec<BackendInfo> {
        let unlisted = self.unlisted.values().map(|entry| &entry.info);
        self.listed.values().chain(unlisted).cloned().collect()
    }

    /// The servers whose usable entry may have changed since the last call, with that entry if they may be used.
    pub fn take_touched(&mut self) -> Vec<(FastStr, Option<BackendInfo>)> {
        let touched = mem::take(&mut self.touched).into_iter();
        let entries = touched.map(|id| {
            let unlisted = self.unlisted.get(&id).map(|entry| &entry.info);
            let entry = self.listed.get(&id).or(unlisted).cloned();
            (id, entry)
        });
        entries.collect()
    }

    /// The listed backend servers.
    pub fn listed(&self) -> impl Iterator<Item = &BackendInfo> {
        self.listed.values()
    }
}

// A restored store may have the entry from before a server turned cold.
fn with_known_coldness(info: BackendInfo, known: Option<&BackendInfo>) -> BackendInfo {
    let of_same_run = known.filter(|known| known.born == info.born);
    let cold_left = of_same_run.map_or(info.cold_left, |known| info.cold_left.max(known.cold_left));
    BackendInfo { cold_left, ..info }
}

// A host of an earlier version passes entries on without the software version, which a run does not change.
fn with_known_software(info: BackendInfo, known: Option<&BackendInfo>) -> BackendInfo {
    let of_same_run = known.filter(|known| known.run() == info.run());
    match of_same_run.filter(|_| !info.software.is_known()) {
        Some(known) => BackendInfo {
            software: known.software.clone(),
            ..info
        },
        None => info,
    }
}

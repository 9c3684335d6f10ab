//! The backend servers that the store lists, and what is known of them beyond their entries.
//!
//! A store that was restored from a copy shows older entries than a host may have seen. Until servers have written
//! theirs again the host's own knowledge is the newer: who said that it is leaving is leaving, who had gone is not used,
//! and who is not in the copy has not gone.

use {
    super::history::{ChangeHistory, DepartedRun, KindNews, MissingNews},
    crate::{
        relay::{
            backend::BackendInfo,
            link::{StoreChange, StoreItem, StoreValue},
        },
        store::StorePosition,
    },
    faststr::FastStr,
    std::{collections::BTreeMap, mem, time::Duration},
};

/// How long a backend server whose entry lapsed while the store was away is still used: those that
/// live are listed again within about two seconds of the store's return.
const LAPSE_GRACE: Duration = Duration::from_millis(1_700);

/// Heartbeats within which a server that lives has written its entry again after a restore; the store itself takes a
/// server for gone after as many of silence.
const HEARTBEATS_TO_RELIST: u32 = 3;

/// How long it is remembered that a run has gone: copies are some seconds old.
const DEPARTURES_KEPT: Duration = Duration::from_secs(60);

/// The end of a run of a backend server, which has gone or is leaving whatever a restored entry says.
#[derive(Debug, Clone, Copy)]
struct RunEnd {
    born: u64,
    is_gone: bool,
    until: Duration,
}

/// A backend server for a limited time.
#[derive(Debug, Clone)]
struct LimitedEntry {
    info: BackendInfo,
    until: Duration,
}

/// The backend servers that the store lists.
#[derive(Debug)]
pub struct BackendList {
    listed: BTreeMap<FastStr, BackendInfo>,
    // Servers that may be used although they are not listed.
    unlisted: BTreeMap<FastStr, LimitedEntry>,
    // Servers that are not used although they are listed: their run had gone, or a later one had come, before the store
    // was restored.
    withheld: BTreeMap<FastStr, LimitedEntry>,
    departed: BTreeMap<FastStr, RunEnd>,
    history: ChangeHistory,
    relist_time: Duration,
    // The list may lag and no watch has gone on from it yet.
    is_unconfirmed: bool,
}

impl BackendList {
    /// An empty one; backend servers renew their entries each `heartbeat`.
    pub fn new(heartbeat: Duration) -> Self {
        Self {
            listed: BTreeMap::new(),
            unlisted: BTreeMap::new(),
            withheld: BTreeMap::new(),
            departed: BTreeMap::new(),
            history: ChangeHistory::default(),
            relist_time: heartbeat.saturating_mul(HEARTBEATS_TO_RELIST),
            is_unconfirmed: false,
        }
    }

    /// The store's position that the list shows.
    pub fn position(&self) -> StorePosition {
        self.history.position()
    }

    /// Counts the lists and changes that were taken.
    pub fn recorded(&self) -> u64 {
        self.history.recorded()
    }

    /// The list was read from a store that may lag; it is told to nobody until a watch has gone on from it.
    pub fn set_unconfirmed(&mut self, is_unconfirmed: bool) {
        self.is_unconfirmed = is_unconfirmed;
    }

    /// The store does not have the position of an unconfirmed list.
    pub fn drop_unconfirmed(&mut self) {
        if mem::take(&mut self.is_unconfirmed) {
            self.history.forget_revision();
        }
    }

    /// Takes the whole list as of a position, unless a newer one is known. `departed` are runs of which the sender knows
    /// that they have gone or are leaving; `had_outage` says that entries may have lapsed while the store was away.
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
        let is_restored = position.era > held.era && self.recorded() > 0;
        let mut before = mem::take(&mut self.listed);
        let mut withheld = mem::take(&mut self.withheld);
        for info in list {
            let known = before.remove(&info.id);
            let withheld = withheld.remove(&info.id);
            match is_restored {
                true => self.take_restored(info, known, now),
                false => self.take_listed(info, withheld),
            }
        }
        for info in before.into_values() {
            match is_restored {
                true => self.keep_unlisted(info, now),
                false => self.remove(info, had_outage, now),
            }
        }
        for run in departed {
            self.take_departed(run, now);
        }
        self.history.restart(position);
        true
    }

    /// Takes changes up to a position, unless a newer one is known. Changes of another era go on from a list that this
    /// host does not have.
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
        for change in &changes {
            match change {
                StoreChange::Set(StoreItem {
                    value: StoreValue::Backend(info),
                    ..
                }) => self.take_written(info.clone()),
                StoreChange::Set(_) => {}
                StoreChange::Removed(id) => self.take_removed(id, had_outage, now),
            }
        }
        self.history.record(position, changes);
    }

    /// Takes what another host told.
    pub fn take_news(&mut self, news: KindNews, had_outage: bool, now: Duration) {
        let KindNews {
            position,
            is_whole,
            changes,
            departed,
        } = news;
        if !is_whole {
            return self.change(changes, position, had_outage, now);
        }
        let list = changes.into_iter().filter_map(backend_of).collect();
        self.set(list, &departed, position, had_outage, now);
    }

    /// What another host lacks that knows everything up to `held`.
    pub fn news(&self, held: StorePosition) -> KindNews {
        if self.is_unconfirmed {
            return KindNews::default();
        }
        let position = self.position();
        match self.history.since(held) {
            MissingNews::Nothing => KindNews {
                position,
                ..KindNews::default()
            },
            MissingNews::Changes(changes) => KindNews {
                position,
                changes,
                ..KindNews::default()
            },
            MissingNews::Whole => KindNews {
                position,
                is_whole: true,
                changes: self.entries().map(StoreChange::Set).collect(),
                departed: self.departed_runs(),
            },
        }
    }

    // As the store has them.
    fn entries(&self) -> impl Iterator<Item = StoreItem> {
        let withheld = self.withheld.values().map(|entry| &entry.info);
        self.listed.values().chain(withheld).map(backend_item)
    }

    fn departed_runs(&self) -> Vec<DepartedRun> {
        let runs = self.departed.iter().map(|(id, run)| DepartedRun {
            id: id.clone(),
            born: run.born,
            is_gone: run.is_gone,
        });
        runs.collect()
    }

    // An entry of a copy that is older than what is known.
    fn take_restored(&mut self, info: BackendInfo, known: Option<BackendInfo>, now: Duration) {
        let known = known.or_else(|| Some(self.unlisted.remove(&info.id)?.info));
        if self.has_gone(&info) {
            return self.withhold(info, now);
        }
        match known {
            Some(known) if known.born > info.born => {
                self.keep_unlisted(known, now);
                self.withhold(info, now);
            }
            Some(known) if known.born == info.born && known.leaving => {
                self.note_run(&known.id, known.born, false, Duration::MAX);
                self.take_written(info);
            }
            _ => self.take_written(info),
        }
    }

    // An entry of a list that goes on from what is known: one that was withheld still stands as it did.
    fn take_listed(&mut self, info: BackendInfo, withheld: Option<LimitedEntry>) {
        match withheld.filter(|entry| entry.info.born == info.born) {
            Some(LimitedEntry { until, .. }) => {
                let entry = LimitedEntry { info, until };
                self.withheld.insert(entry.info.id.clone(), entry);
            }
            None => self.take_written(info),
        }
    }

    // The server has written its entry: it lives.
    fn take_written(&mut self, mut info: BackendInfo) {
        self.unlisted.remove(&info.id);
        self.withheld.remove(&info.id);
        let run = self.departed.get(&info.id);
        match run.is_some_and(|run| run.born == info.born && !run.is_gone) {
            true => info.leaving = true,
            false => {
                self.departed.remove(&info.id);
            }
        }
        self.listed.insert(info.id.clone(), info);
    }

    fn take_removed(&mut self, id: &FastStr, had_outage: bool, now: Duration) {
        let withheld = self.withheld.remove(id).map(|entry| entry.info);
        let unlisted = self.unlisted.remove(id);
        match (self.listed.remove(id).or(withheld), unlisted) {
            (Some(info), _) => self.remove(info, had_outage, now),
            (None, Some(entry)) => self.note_gone(id, entry.info.born, now),
            (None, None) => {}
        }
    }

    // The sender of a list knows that a run has gone or is leaving, be it that the list shows it as current.
    fn take_departed(&mut self, run: &DepartedRun, now: Duration) {
        let is_later = |info: &BackendInfo| info.born > run.born;
        let unlisted = self.unlisted.get(&run.id).map(|entry| &entry.info);
        let current = self.listed.get(&run.id).or(unlisted);
        let is_known = |known: &RunEnd| {
            known.born > run.born || (known.born == run.born && known.is_gone >= run.is_gone)
        };
        if current.is_some_and(is_later) || self.departed.get(&run.id).is_some_and(is_known) {
            return;
        }
        self.unlisted.remove(&run.id);
        let listed = self.listed.remove(&run.id);
        let is_listed = listed.as_ref().is_some_and(|info| info.born == run.born);
        match run.is_gone || !is_listed {
            true => self.note_run(&run.id, run.born, run.is_gone, now + DEPARTURES_KEPT),
            false => self.note_run(&run.id, run.born, false, Duration::MAX),
        }
        match listed {
            Some(info) if self.has_gone(&info) => self.withhold(info, now),
            Some(info) => self.take_written(info),
            None => {}
        }
    }

    // An entry that is removed while the store is well means that its server leaves.
    fn remove(&mut self, info: BackendInfo, had_outage: bool, now: Duration) {
        if had_outage && !info.leaving {
            let until = now + LAPSE_GRACE;
            let entry = LimitedEntry { info, until };
            self.unlisted.insert(entry.info.id.clone(), entry);
            return;
        }
        self.note_gone(&info.id, info.born, now);
    }

    fn note_gone(&mut self, id: &FastStr, born: u64, now: Duration) {
        self.note_run(id, born, true, now + DEPARTURES_KEPT);
    }

    fn note_run(&mut self, id: &FastStr, born: u64, is_gone: bool, until: Duration) {
        let end = RunEnd {
            born,
            is_gone,
            until,
        };
        self.departed.insert(id.clone(), end);
    }

    // Whether the run of an entry has gone, or a later one under its name has come.
    fn has_gone(&self, info: &BackendInfo) -> bool {
        let run = self.departed.get(&info.id);
        run.is_some_and(|run| run.born > info.born || (run.is_gone && run.born == info.born))
    }

    fn withhold(&mut self, info: BackendInfo, now: Duration) {
        let until = now.saturating_add(self.relist_time);
        let entry = LimitedEntry { info, until };
        self.withheld.insert(entry.info.id.clone(), entry);
    }

    // The copy does not have it: it was not yet written.
    fn keep_unlisted(&mut self, info: BackendInfo, now: Duration) {
        if info.leaving {
            return self.note_run(&info.id, info.born, false, now + DEPARTURES_KEPT);
        }
        let until = now.saturating_add(self.relist_time);
        let entry = LimitedEntry { info, until };
        self.unlisted.insert(entry.info.id.clone(), entry);
    }

    /// Evicts what was kept for a time that is over: servers that were not listed again are gone, those whose entry
    /// still stands live. Gives whether other servers may be used than before.
    pub fn expire(&mut self, now: Duration) -> bool {
        self.departed.retain(|_, run| now < run.until);
        let before = self.unlisted.len();
        self.unlisted.retain(|_, entry| now < entry.until);
        let expired = self.withheld.extract_if(.., |_, entry| now >= entry.until);
        let returned: Vec<BackendInfo> = expired.map(|(_, entry)| entry.info).collect();
        let has_changed = self.unlisted.len() != before || !returned.is_empty();
        for info in returned {
            self.take_written(info);
        }
        has_changed
    }

    /// The backend servers that may be used.
    pub fn usable(&self) -> Vec<BackendInfo> {
        let unlisted = self.unlisted.values().map(|entry| &entry.info);
        self.listed.values().chain(unlisted).cloned().collect()
    }

    /// The backend servers that are listed.
    pub fn listed(&self) -> impl Iterator<Item = &BackendInfo> {
        self.listed.values()
    }
}

// Positions of single objects are not kept: nothing is written under their condition.
fn backend_item(info: &BackendInfo) -> StoreItem {
    StoreItem {
        name: info.id.clone(),
        position: StorePosition::default(),
        value: StoreValue::Backend(info.clone()),
    }
}

fn backend_of(change: StoreChange) -> Option<BackendInfo> {
    match change {
        StoreChange::Set(StoreItem {
            value: StoreValue::Backend(info),
            ..
        }) => Some(info),
        _ => None,
    }
}

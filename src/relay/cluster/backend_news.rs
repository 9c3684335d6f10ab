//! Updates of the list of backend servers from and for other hosts.

use {
    super::{
        backend_list::BackendList,
        history::{ChangesSince, DepartedRun, KindNews},
        list_parts::{ListCursor, ListPart},
    },
    crate::{
        relay::{
            backend::BackendInfo,
            link::{StoreChange, StoreItem, StoreValue},
        },
        store::StorePosition,
    },
    faststr::FastStr,
    std::{ops::Bound, time::Duration},
};

impl BackendList {
    /// Applies an update received from another host.
    pub fn apply_news(&mut self, news: KindNews, had_outage: bool, now: Duration) {
        let KindNews {
            position,
            is_whole,
            changes,
            departed,
            part: _,
        } = news;
        if !is_whole {
            return self.change(changes, position, had_outage, now);
        }
        let list = changes.into_iter().filter_map(backend_of).collect();
        self.set(list, &departed, position, had_outage, now);
    }

    /// The update for another host that knows everything up to `held`; empty while the list is unconfirmed.
    pub fn news(&self, held: StorePosition) -> KindNews {
        if self.is_unconfirmed {
            return KindNews::default();
        }
        let position = self.position();
        match self.history.since(held) {
            ChangesSince::UpToDate => KindNews {
                position,
                ..KindNews::default()
            },
            ChangesSince::Changes(changes) => KindNews {
                position,
                changes,
                ..KindNews::default()
            },
            ChangesSince::Evicted => KindNews {
                position,
                is_whole: true,
                changes: self
                    .entries()
                    .cloned()
                    .map(StoreChange::of_backend)
                    .collect(),
                departed: self.departed_run_list(),
                part: None,
            },
        }
    }

    /// The same as `news`, but of the complete list only the part of at most `count` entries that follows the
    /// requester's cursor. Starts again with the first part if the changes since then are not known here.
    pub fn news_part(
        &self,
        held: StorePosition,
        cursor: Option<&ListCursor>,
        count: usize,
    ) -> KindNews {
        if self.is_unconfirmed || self.history.covers(held) {
            return self.news(held);
        }
        let position = self.position();
        let can_continue = |cursor: &&ListCursor| {
            let is_same_era = cursor.started.era == position.era;
            is_same_era && cursor.latest <= position && self.history.covers(cursor.started)
        };
        let (started, after) = match cursor.filter(can_continue) {
            Some(cursor) => (cursor.started, cursor.after.clone()),
            None => (position, FastStr::empty()),
        };
        let entries = self.entries_after(&after, count);
        let is_last = entries.len() < count;
        let (changes, departed) = match is_last {
            true => (self.news(started).changes, self.departed_run_list()),
            false => (Vec::new(), Vec::new()),
        };
        KindNews {
            position,
            is_whole: true,
            changes,
            departed,
            part: Some(ListPart {
                started,
                after,
                entries,
                is_last,
            }),
        }
    }

    // The entries that follow an id.
    fn entries_after(&self, id: &str, count: usize) -> Vec<BackendInfo> {
        let range = (Bound::Excluded(id), Bound::Unbounded);
        let listed = self.listed.range::<str, _>(range).take(count);
        let withheld = self.withheld.range::<str, _>(range).take(count);
        let listed = listed.map(|(_, info)| info);
        let withheld = withheld.map(|(_, entry)| &entry.info);
        let mut entries: Vec<&BackendInfo> = listed.chain(withheld).collect();
        entries.sort_by(|a, b| a.id.cmp(&b.id));
        entries.into_iter().take(count).cloned().collect()
    }

    // All entries that the store lists, including withheld ones.
    pub(super) fn entries(&self) -> impl Iterator<Item = &BackendInfo> {
        let withheld = self.withheld.values().map(|entry| &entry.info);
        self.listed.values().chain(withheld)
    }

    fn departed_run_list(&self) -> Vec<DepartedRun> {
        let runs = self.departed.iter().map(|(id, run)| DepartedRun {
            id: id.clone(),
            born: run.born,
            is_gone: run.is_gone,
        });
        runs.collect()
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

//! Transfer of the list of backend servers in parts, so that the time of a message does not grow with the list.
//!
//! The sender's list may change between two parts. The last part therefore comes with the changes since the first one,
//! and the receiver uses the list only when it has them all.

use {
    super::history::KindNews,
    crate::{
        relay::{
            backend::BackendInfo,
            link::{StoreChange, StoreItem, StoreValue},
        },
        store::StorePosition,
    },
    faststr::FastStr,
    std::{collections::BTreeMap, mem},
};

/// Maximum number of entries of a part: some 30 kB, or 12 ms of a link of 20 Mbit/s.
pub const PART_ENTRIES_MAX: usize = 400;

/// How far a list has been received.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ListCursor {
    /// The sender's position when it sent the first part.
    pub started: StorePosition,
    /// The latest position of a sender of a part: a sender that is behind it cannot continue the list.
    pub latest: StorePosition,
    /// The id of the last entry; entries are sent in the order of their ids.
    pub after: FastStr,
}

/// One part of a list.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ListPart {
    /// The sender's position when it or another host sent the first part.
    pub started: StorePosition,
    /// The id that the entries follow; empty for the first part.
    pub after: FastStr,
    /// The entries, in the order of their ids.
    pub entries: Vec<BackendInfo>,
    /// Whether no further entries follow.
    pub is_last: bool,
}

/// The parts of a list that were received so far.
#[derive(Debug, Default)]
pub struct PartialList {
    cursor: ListCursor,
    entries: Vec<BackendInfo>,
}

impl PartialList {
    /// Where the list is to be continued; `None` if no part was received.
    pub fn cursor(&self) -> Option<&ListCursor> {
        (!self.entries.is_empty()).then_some(&self.cursor)
    }

    /// Drops what was received.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Adds the part in an update. Returns the whole list as one update with the last part; parts that do not continue
    /// what was received are ignored.
    pub fn add(&mut self, news: KindNews) -> Option<KindNews> {
        let part = news.part?;
        if part.after.is_empty() {
            self.entries.clear();
            self.cursor = ListCursor {
                started: part.started,
                ..ListCursor::default()
            };
        }
        if (part.started, &part.after) != (self.cursor.started, &self.cursor.after) {
            return None;
        }
        self.cursor.latest = self.cursor.latest.max(news.position);
        if let Some(last) = part.entries.last() {
            self.cursor.after = last.id.clone();
        }
        self.entries.extend(part.entries);
        if !part.is_last {
            return None;
        }
        let entries = mem::take(self).entries;
        Some(KindNews {
            changes: with_changes(entries, news.changes),
            part: None,
            ..news
        })
    }
}

fn with_changes(entries: Vec<BackendInfo>, changes: Vec<StoreChange>) -> Vec<StoreChange> {
    let named = entries.into_iter().map(|info| (info.id.clone(), info));
    let mut list: BTreeMap<FastStr, BackendInfo> = named.collect();
    for change in changes {
        match change {
            StoreChange::Set(StoreItem {
                value: StoreValue::Backend(info),
                ..
            }) => {
                list.insert(info.id.clone(), info);
            }
            StoreChange::Set(_) => {}
            StoreChange::Removed(id) => {
                list.remove(&id);
            }
        }
    }
    list.into_values().map(StoreChange::of_backend).collect()
}

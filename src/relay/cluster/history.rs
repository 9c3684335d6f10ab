//! A bounded history of the changes of one kind of objects, for hosts that need only the latest ones.

use {
    super::list_parts::ListPart,
    crate::{relay::link::StoreChange, store::StorePosition},
    faststr::FastStr,
    serde::{Deserialize, Serialize},
    std::collections::{BTreeMap, BTreeSet, VecDeque},
};

/// Minimum number of changes that are kept even if the list itself is shorter: a few minutes of a busy day, at 150
/// bytes each.
const MIN_CHANGES_KEPT: usize = 512;

/// The changes after a position, for a host that knows everything up to it.
#[derive(Debug, Clone, PartialEq)]
pub enum ChangesSince {
    /// There are none.
    UpToDate,
    /// The changes, in order.
    Changes(Vec<StoreChange>),
    /// Not all of them are kept: the host needs all objects.
    Evicted,
}

/// An update of one kind of objects, sent from one host to another.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct KindNews {
    /// The store position up to which the update goes.
    pub position: StorePosition,
    /// Whether the changes are the complete list of objects and replace what the receiver has.
    pub is_whole: bool,
    /// The changes, in order.
    pub changes: Vec<StoreChange>,
    /// In a complete list, the runs of backend servers that have departed or are leaving, whatever the objects say.
    pub departed: Vec<DepartedRun>,
    /// A part of the complete list. The last part comes with the changes since the first one.
    pub part: Option<ListPart>,
}

/// A run of a backend server that has departed or is leaving.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DepartedRun {
    /// The server's id.
    pub id: FastStr,
    /// When the run began, Unix milliseconds.
    pub born: u64,
    /// Whether it has departed; otherwise it is leaving.
    pub is_gone: bool,
}

/// Changes from one store position to another.
#[derive(Debug)]
struct ChangeBatch {
    after: StorePosition,
    position: StorePosition,
    changes: Vec<StoreChange>,
    // The difference of two lists, which lacks what was changed and changed back in between.
    is_difference: bool,
}

/// The latest changes in batches, as many as a list of half the objects has entries: a host that lacks more is better
/// off with the list.
#[derive(Debug, Default)]
pub struct ChangeHistory {
    batches: VecDeque<ChangeBatch>,
    change_count: usize,
    object_count: usize,
    // Changes up to this position are no longer kept.
    evicted_position: StorePosition,
    position: StorePosition,
    update_count: u64,
}

impl ChangeHistory {
    /// The store position up to which all changes are known.
    pub fn position(&self) -> StorePosition {
        self.position
    }

    /// Number of lists and batches of changes that were recorded.
    pub fn update_count(&self) -> u64 {
        self.update_count
    }

    /// Sets the number of objects in the list that the changes lead to.
    pub fn set_object_count(&mut self, count: usize) {
        self.object_count = count;
    }

    /// Records changes up to a position; those up to an older position than the current one are ignored.
    pub fn record(&mut self, position: StorePosition, changes: Vec<StoreChange>) {
        if position < self.position {
            return;
        }
        let after = std::mem::replace(&mut self.position, position);
        if changes.is_empty() {
            return;
        }
        self.push(ChangeBatch {
            after,
            position,
            changes,
            is_difference: false,
        });
    }

    /// Records the difference between the list as of the current position and that of a later position of the same era.
    pub fn record_difference(&mut self, position: StorePosition, changes: Vec<StoreChange>) {
        self.check_order(position);
        let after = std::mem::replace(&mut self.position, position);
        self.push(ChangeBatch {
            after,
            position,
            changes,
            is_difference: true,
        });
    }

    fn push(&mut self, batch: ChangeBatch) {
        self.update_count += 1;
        self.change_count += batch.changes.len();
        self.batches.push_back(batch);
        let kept = MIN_CHANGES_KEPT.max(self.object_count / 2);
        while self.change_count > kept || self.batches.len() > kept {
            let Some(oldest) = self.batches.pop_front() else {
                return;
            };
            self.change_count -= oldest.changes.len();
            self.evicted_position = oldest.position;
        }
    }

    /// Starts a new history from a complete list as of a position. The changes before it are unknown, so hosts that
    /// follow this one need the complete list too.
    pub fn restart(&mut self, position: StorePosition) {
        self.check_order(position);
        self.update_count += 1;
        self.batches.clear();
        self.change_count = 0;
        (self.evicted_position, self.position) = (position, position);
    }

    fn check_order(&self, position: StorePosition) {
        assert!(
            position >= self.position,
            "a list at {position} cannot replace one at {}",
            self.position
        );
    }

    /// Whether a list of this position continues the known one, so that their difference is all that changed.
    pub fn is_continued_by(&self, position: StorePosition) -> bool {
        let has_list = self.update_count > 0 && self.position.revision > 0;
        has_list && self.position.era == position.era
    }

    /// Forgets a revision that the store turned out not to have, so that any list of the same era counts as newer.
    pub fn forget_revision(&mut self) {
        self.batches.clear();
        self.change_count = 0;
        self.position.revision = 0;
        self.evicted_position = self.position;
    }

    /// Whether all changes are kept for a host that knows everything up to `held`.
    pub fn covers(&self, held: StorePosition) -> bool {
        let is_within = |batch: &ChangeBatch| batch.after < held && held < batch.position;
        let mut differences = self.batches.iter().filter(|batch| batch.is_difference);
        held >= self.evicted_position && !differences.any(is_within)
    }

    /// The changes for a host that knows everything up to `held`.
    pub fn since(&self, held: StorePosition) -> ChangesSince {
        let last = self
            .batches
            .back()
            .map_or(self.evicted_position, |batch| batch.position);
        if held >= last {
            return ChangesSince::UpToDate;
        }
        if !self.covers(held) {
            return ChangesSince::Evicted;
        }
        let missing = self.batches.iter().filter(|batch| batch.position > held);
        ChangesSince::Changes(missing.flat_map(|batch| batch.changes.clone()).collect())
    }
}

/// The changes that turn one list of objects into another.
pub fn list_difference<'a, T: Clone + PartialEq + 'a>(
    before: &BTreeMap<FastStr, T>,
    after: impl Iterator<Item = (&'a FastStr, &'a T)>,
    to_change: impl Fn(T) -> StoreChange,
) -> Vec<StoreChange> {
    let mut removed: BTreeSet<&FastStr> = before.keys().collect();
    let mut changes = Vec::new();
    for (name, object) in after {
        removed.remove(name);
        if before.get(name) != Some(object) {
            changes.push(to_change(object.clone()));
        }
    }
    changes.extend(removed.into_iter().cloned().map(StoreChange::Removed));
    changes
}

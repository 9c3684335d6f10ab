//! A bounded history of the changes of one kind of objects, for hosts that need only the latest ones.

use {
    crate::{relay::link::StoreChange, store::StorePosition},
    faststr::FastStr,
    serde::{Deserialize, Serialize},
    std::collections::VecDeque,
};

/// Maximum number of changes kept: a few minutes of a busy day, at 150 bytes each.
const MAX_CHANGES: usize = 512;

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

/// The latest changes in batches, each with the store position up to which it goes.
#[derive(Debug, Default)]
pub struct ChangeHistory {
    batches: VecDeque<(StorePosition, Vec<StoreChange>)>,
    change_count: usize,
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

    /// Records changes up to a position; those up to an older position than the current one are ignored.
    pub fn record(&mut self, position: StorePosition, changes: Vec<StoreChange>) {
        if position < self.position {
            return;
        }
        self.position = position;
        if changes.is_empty() {
            return;
        }
        self.update_count += 1;
        self.change_count += changes.len();
        self.batches.push_back((position, changes));
        while self.change_count > MAX_CHANGES {
            let Some((position, oldest)) = self.batches.pop_front() else {
                return;
            };
            self.change_count -= oldest.len();
            self.evicted_position = position;
        }
    }

    /// Starts a new history from a complete list as of a position. The changes before it are unknown, so hosts that
    /// follow this one need the complete list too.
    pub fn restart(&mut self, position: StorePosition) {
        assert!(
            position >= self.position,
            "a list at {position} cannot replace one at {}",
            self.position
        );
        self.update_count += 1;
        self.batches.clear();
        self.change_count = 0;
        (self.evicted_position, self.position) = (position, position);
    }

    /// Forgets a revision that the store turned out not to have, so that any list of the same era counts as newer.
    pub fn forget_revision(&mut self) {
        self.batches.clear();
        self.change_count = 0;
        self.position.revision = 0;
        self.evicted_position = self.position;
    }

    /// The changes for a host that knows everything up to `held`.
    pub fn since(&self, held: StorePosition) -> ChangesSince {
        let last = self
            .batches
            .back()
            .map_or(self.evicted_position, |batch| batch.0);
        if held >= last {
            return ChangesSince::UpToDate;
        }
        if held < self.evicted_position {
            return ChangesSince::Evicted;
        }
        let missing = self.batches.iter().filter(|batch| batch.0 > held);
        ChangesSince::Changes(missing.flat_map(|batch| batch.1.clone()).collect())
    }
}

//! The latest changes of one kind of objects, for hosts that lack only these.

use {
    crate::{relay::link::StoreChange, store::StorePosition},
    faststr::FastStr,
    serde::{Deserialize, Serialize},
    std::collections::VecDeque,
};

/// Changes that are remembered at most: some minutes of a busy day, 150 bytes each.
const CHANGES_KEPT: usize = 512;

/// What a host lacks.
#[derive(Debug, Clone, PartialEq)]
pub enum MissingNews {
    /// Nothing.
    Nothing,
    /// These changes, in order.
    Changes(Vec<StoreChange>),
    /// More than is remembered: it needs all objects.
    Whole,
}

/// What became of one kind of objects.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct KindNews {
    /// The store's position up to which this goes.
    pub position: StorePosition,
    /// Whether the changes are all objects there are, in place of what the asker has.
    pub is_whole: bool,
    /// The changes, in order.
    pub changes: Vec<StoreChange>,
    /// With all objects, runs of backend servers that have gone or are leaving whatever the objects say.
    pub departed: Vec<DepartedRun>,
}

/// A run of a backend server that has gone, or is leaving.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DepartedRun {
    /// The server's id.
    pub id: FastStr,
    /// When the run began.
    pub born: u64,
    /// Whether it has gone.
    pub is_gone: bool,
}

/// The latest changes, each batch with the store's position up to which it goes.
#[derive(Debug, Default)]
pub struct ChangeHistory {
    batches: VecDeque<(StorePosition, Vec<StoreChange>)>,
    kept: usize,
    // Changes up to this position are forgotten.
    forgotten: StorePosition,
    position: StorePosition,
    recorded: u64,
}

impl ChangeHistory {
    /// The store's position up to which everything is known.
    pub fn position(&self) -> StorePosition {
        self.position
    }

    /// Counts the lists and batches of changes that were taken.
    pub fn recorded(&self) -> u64 {
        self.recorded
    }

    /// Takes changes up to a position; older ones than are known are ignored.
    pub fn record(&mut self, position: StorePosition, changes: Vec<StoreChange>) {
        if position < self.position {
            return;
        }
        self.position = position;
        if changes.is_empty() {
            return;
        }
        self.recorded += 1;
        self.kept += changes.len();
        self.batches.push_back((position, changes));
        while self.kept > CHANGES_KEPT {
            let Some((position, oldest)) = self.batches.pop_front() else {
                return;
            };
            self.kept -= oldest.len();
            self.forgotten = position;
        }
    }

    /// The whole list was taken as of a position: what came and went before is not known, so hosts that
    /// follow need the whole too.
    pub fn restart(&mut self, position: StorePosition) {
        assert!(
            position >= self.position,
            "a list of {position} was taken at {}",
            self.position
        );
        self.recorded += 1;
        self.batches.clear();
        self.kept = 0;
        (self.forgotten, self.position) = (position, position);
    }

    /// The position turned out to be none that the store has; any list of the era is newer.
    pub fn forget_revision(&mut self) {
        self.batches.clear();
        self.kept = 0;
        self.position.revision = 0;
        self.forgotten = self.position;
    }

    /// What a host lacks that knows everything up to `held`.
    pub fn since(&self, held: StorePosition) -> MissingNews {
        let last = self.batches.back().map_or(self.forgotten, |batch| batch.0);
        if held >= last {
            return MissingNews::Nothing;
        }
        if held < self.forgotten {
            return MissingNews::Whole;
        }
        let missing = self.batches.iter().filter(|batch| batch.0 > held);
        MissingNews::Changes(missing.flat_map(|batch| batch.1.clone()).collect())
    }
}

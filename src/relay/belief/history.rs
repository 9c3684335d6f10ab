//! The latest changes of one kind of objects, for hosts that lack only these.

use {crate::relay::link::StoreChange, std::collections::VecDeque};

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
    /// The store's revision up to which this goes.
    pub revision: u64,
    /// Whether the changes are all objects there are, in place of what the asker has.
    pub is_whole: bool,
    /// The changes, in order.
    pub changes: Vec<StoreChange>,
}

/// The latest changes, each batch with the store's revision up to which it goes.
#[derive(Debug, Default)]
pub struct ChangeHistory {
    batches: VecDeque<(u64, Vec<StoreChange>)>,
    kept: usize,
    // Changes up to this revision are forgotten.
    forgotten: u64,
    revision: u64,
    recorded: u64,
}

impl ChangeHistory {
    /// The store's revision up to which everything is known; 0 when nothing is.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Counts the lists and batches of changes that were taken.
    pub fn recorded(&self) -> u64 {
        self.recorded
    }

    /// Takes changes up to a revision; older ones than are known are ignored.
    pub fn record(&mut self, revision: u64, changes: Vec<StoreChange>) {
        if revision < self.revision {
            return;
        }
        self.revision = revision;
        if changes.is_empty() {
            return;
        }
        self.recorded += 1;
        self.kept += changes.len();
        self.batches.push_back((revision, changes));
        while self.kept > CHANGES_KEPT {
            let Some((revision, oldest)) = self.batches.pop_front() else {
                return;
            };
            self.kept -= oldest.len();
            self.forgotten = revision;
        }
    }

    /// The whole list was taken as of a revision: what came and went before is not known, so hosts that
    /// follow need the whole too.
    pub fn restart(&mut self, revision: u64) {
        self.recorded += 1;
        self.batches.clear();
        self.kept = 0;
        (self.forgotten, self.revision) = (revision, revision);
    }

    /// What a host lacks that knows everything up to `held`.
    pub fn since(&self, held: u64) -> MissingNews {
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

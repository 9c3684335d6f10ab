//! Notices that a use was high and has fallen.

use std::cell::Cell;

/// A use is high above this fraction of its limit: 1 of this many.
const HIGH_FRACTION: usize = 8;

/// It has fallen below this fraction: 1 of this many.
const LOW_FRACTION: usize = 32;

/// Whether a use was high since it was low.
#[derive(Debug)]
pub(super) struct UsageMark {
    limit: usize,
    is_high: Cell<bool>,
}

impl UsageMark {
    /// A use that may not exceed `limit`.
    pub(super) fn new(limit: usize) -> Self {
        Self {
            limit,
            is_high: Cell::new(false),
        }
    }

    /// Records the use. Returns whether it has fallen since it was high.
    pub(super) fn has_fallen(&self, used: usize) -> bool {
        if used > self.limit / HIGH_FRACTION {
            self.is_high.set(true);
        }
        used <= self.limit / LOW_FRACTION && self.is_high.replace(false)
    }
}

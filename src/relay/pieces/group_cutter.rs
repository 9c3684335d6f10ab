//! Where a list is cut into groups.

/// Bytes after which a group ends.
const GROUP_BYTES_MAX: usize = 48 << 10;

/// How large groups are.
#[derive(Debug, Clone, Copy)]
pub struct GroupSize {
    /// Fewest and most items; the last group may have fewer.
    min: usize,
    max: usize,
    // An item ends its group if these bits of its hash are zero.
    mask: u64,
}

/// Size of a leaf: some 24 items, which compress well together.
pub const LEAF_SIZE: GroupSize = GroupSize {
    min: 8,
    max: 48,
    mask: 15,
};

/// Size of a branch: some ten names, all of which are sent again with a changed item. Two at least, so that each level is
/// smaller than the one below.
pub const BRANCH_SIZE: GroupSize = GroupSize {
    min: 2,
    max: 32,
    mask: 7,
};

/// Cuts a list at items that are selected by their content, so that two lists are cut alike wherever they are alike.
#[derive(Debug)]
pub struct GroupCutter {
    size: GroupSize,
    items: usize,
    bytes: usize,
}

impl GroupCutter {
    /// A cutter at the start of a list.
    pub fn new(size: GroupSize) -> Self {
        Self {
            size,
            items: 0,
            bytes: 0,
        }
    }

    /// Adds the next item; returns whether it is the last of its group.
    pub fn add(&mut self, hash: u64, bytes: usize) -> bool {
        self.items += 1;
        self.bytes += bytes;
        let is_selected = hash & self.size.mask == 0 && self.items >= self.size.min;
        let is_full = self.items >= self.size.max || self.bytes >= GROUP_BYTES_MAX;
        let is_last = is_selected || is_full;
        if is_last {
            *self = Self::new(self.size);
        }
        is_last
    }
}

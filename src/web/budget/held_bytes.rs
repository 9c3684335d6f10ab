//! A share of a quota.

use {
    super::byte_quota::ByteQuota,
    std::{fmt, ops::RangeInclusive, rc::Rc},
};

/// Steps in which a buffer of unknown final size grows, in bytes: by what it has, within these bounds.
const GROWTH: RangeInclusive<usize> = 4 << 10..=256 << 10;

/// The next capacity of a buffer that needs `needed` bytes and gets at most `limit`.
pub fn next_capacity(capacity: usize, needed: usize, limit: usize) -> usize {
    let step = capacity.clamp(*GROWTH.start(), *GROWTH.end());
    needed.max(limit.min(capacity + step))
}

/// Bytes of a quota, given back when dropped.
pub struct HeldBytes {
    quota: Rc<ByteQuota>,
    bytes: usize,
}

impl fmt::Debug for HeldBytes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "HeldBytes({})", self.bytes)
    }
}

impl HeldBytes {
    /// No bytes yet.
    pub fn new(quota: Rc<ByteQuota>) -> Self {
        Self { quota, bytes: 0 }
    }

    /// Number of bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Takes what is missing to `total` bytes, if the quota has as many. Less is kept as it is.
    pub fn grow_to(&mut self, total: usize) -> bool {
        let missing = total.saturating_sub(self.bytes);
        let is_held = self.quota.take(missing);
        if is_held {
            self.bytes += missing;
        }
        is_held
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.quota.give_back(self.bytes);
    }
}

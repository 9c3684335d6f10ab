//! The ids of the last requests that a connection carried.

use std::{
    collections::{VecDeque, hash_map::RandomState},
    hash::BuildHasher,
    sync::LazyLock,
};

/// Number of ids that a connection remembers. A second copy of an answer comes in place of one of the next answers.
const MAX_IDS: usize = 32;

static HASHER: LazyLock<RandomState> = LazyLock::new(RandomState::new);

/// Hash of the id by which an answer names its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerId(u64);

impl AnswerId {
    /// The hash of an id.
    pub fn of(id: &str) -> Self {
        Self(HASHER.hash_one(id))
    }
}

/// The ids of the last requests that a connection carried.
#[derive(Debug, Default)]
pub(super) struct RecentIds(VecDeque<AnswerId>);

impl RecentIds {
    /// Whether the connection carried a request with this id lately.
    pub(super) fn contains(&self, id: AnswerId) -> bool {
        self.0.contains(&id)
    }

    /// Records that the connection carries a request with this id.
    pub(super) fn record(&mut self, id: AnswerId) {
        assert!(
            !self.contains(id),
            "an answer belongs to one send, not to the next of the same id over its connection"
        );
        if self.0.len() == MAX_IDS {
            self.0.pop_front();
        }
        self.0.push_back(id);
    }
}

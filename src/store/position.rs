//! Where the store stands.

use {
    super::era::EraName,
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// Bits of a position's number that hold the revision. The others hold the era, of which 8,192 fit into a JSON number.
const REVISION_BITS: u32 = 40;

/// Revisions up to this one fit into a position's number.
const REVISION_MAX: u64 = (1 << REVISION_BITS) - 1;

/// A revision within an era of the store.
///
/// A store that was restored from a copy begins the next era and gives out again the revisions that the copy lacks:
/// two revisions can only be compared within an era, and any position of a later era shows more.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct StorePosition {
    /// Counts the restores, as [`EraTracker`](super::EraTracker) tells; 0 before any is known of.
    #[serde(default)]
    pub era: u32,
    /// The revision; 0 where none is known.
    #[serde(default)]
    pub revision: u64,
}

impl StorePosition {
    /// A revision of an era.
    pub fn new(era: u32, revision: u64) -> Self {
        Self { era, revision }
    }

    /// Whether it names a revision at all.
    pub fn is_known(self) -> bool {
        self.revision > 0
    }

    /// The position as one number in the same order, for messages and for tokens of orders.
    pub fn number(self) -> u64 {
        (u64::from(self.era) << REVISION_BITS) | self.revision.min(REVISION_MAX)
    }

    /// The position of a number.
    pub fn of_number(number: u64) -> Self {
        Self {
            era: u32::try_from(number >> REVISION_BITS).unwrap_or(u32::MAX),
            revision: number & REVISION_MAX,
        }
    }
}

impl fmt::Display for StorePosition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", EraName(self.era), self.revision)
    }
}

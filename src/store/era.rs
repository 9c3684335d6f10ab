//! The eras of the store: which one its answers name, or which one hosts count where they name none.

use {
    super::client::StoreFailure,
    std::{cell::Cell, fmt, str},
};

/// The era that a store names as 0. Those below are counted by hosts themselves: a store that names none may still
/// be found restored, and one that begins to name them is in a later era than any that was counted.
const NAMED_FROM: u32 = 64;

/// An era as operators read it: the store's own number, or `~` and how many restores were counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EraName(pub u32);

impl fmt::Display for EraName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0.checked_sub(NAMED_FROM) {
            Some(named) => write!(f, "{named}"),
            None => write!(f, "~{}", self.0),
        }
    }
}

/// Keeps the latest era of the store that this host knows of.
#[derive(Debug, Default)]
pub struct EraTracker {
    latest: Cell<u32>,
    doubtful: Cell<u64>,
    is_doubted: Cell<bool>,
}

impl EraTracker {
    /// The latest era; 0 before any was named or counted.
    pub fn latest(&self) -> u32 {
        self.latest.get()
    }

    /// Answers of a store that names eras which named none, one that cannot be read, or an earlier one.
    pub fn doubtful(&self) -> u64 {
        self.doubtful.get()
    }

    /// Another host knows of this era.
    pub fn note(&self, era: u32) {
        self.latest.set(self.latest.get().max(era));
    }

    /// A store that names no eras was found to have lost what it had told in one; gives the next one. None where the
    /// store names them: it would have named a later one.
    pub fn count_restore(&self, held: u32) -> Option<u32> {
        let next = held + 1;
        if self.latest.get() >= NAMED_FROM || next >= NAMED_FROM {
            return None;
        }
        self.note(next);
        Some(self.latest.get())
    }

    /// The era of an answer that names this one, if any.
    ///
    /// An answer that names none, or none that can be read, is taken for one of the latest era; one of an earlier era
    /// is no answer, since what it says may have been lost since.
    pub fn read(&self, named: Option<&[u8]>) -> Result<u32, StoreFailure> {
        let latest = self.latest.get();
        let text = named.map(|bytes| str::from_utf8(bytes).unwrap_or_default().trim());
        match text.map(read_era) {
            None if latest < NAMED_FROM => Ok(latest),
            None => Ok(self.doubt("names no era")),
            Some(None) => Ok(self.doubt("names an era that cannot be read")),
            Some(Some(era)) if era < latest => {
                self.doubt("is of an earlier era");
                let (era, latest) = (EraName(era), EraName(latest));
                let detail = format!("an answer of era {era} after one of era {latest}");
                Err(StoreFailure::Unknown(detail))
            }
            Some(Some(era)) => {
                self.is_doubted.set(false);
                self.latest.set(era);
                Ok(era)
            }
        }
    }

    // Logged once until the store names its era again. Gives the latest era.
    fn doubt(&self, what: &str) -> u32 {
        let latest = self.latest.get();
        self.doubtful.set(self.doubtful.get() + 1);
        if !self.is_doubted.replace(true) {
            let latest = EraName(latest);
            log::warn!("an answer of the store {what}; the latest era is {latest}");
        }
        latest
    }
}

fn read_era(text: &str) -> Option<u32> {
    let named: u32 = text.parse().ok()?;
    named.checked_add(NAMED_FROM)
}

//! The era that the store's answers name.

use {
    super::client::StoreFailure,
    std::{cell::Cell, str},
};

/// Keeps the latest era of the store that this host knows of.
#[derive(Debug, Default)]
pub struct EraTracker {
    latest: Cell<u32>,
    doubtful: Cell<u64>,
    is_doubted: Cell<bool>,
}

impl EraTracker {
    /// The latest era; 0 before any was named.
    pub fn latest(&self) -> u32 {
        self.latest.get()
    }

    /// Answers that named no era, one that cannot be read, or an earlier one.
    pub fn doubtful(&self) -> u64 {
        self.doubtful.get()
    }

    /// Another host knows of this era.
    pub fn note(&self, era: u32) {
        self.latest.set(self.latest.get().max(era));
    }

    /// The era of an answer that names this one, if any.
    ///
    /// An answer that names none, or none that can be read, is taken for one of the latest era; one of an earlier era
    /// is no answer, since what it says may have been lost since.
    pub fn read(&self, named: Option<&[u8]>) -> Result<u32, StoreFailure> {
        let latest = self.latest.get();
        let text = named.map(|bytes| str::from_utf8(bytes).unwrap_or_default().trim());
        match text.map(str::parse::<u32>) {
            None if latest == 0 => Ok(0),
            None => Ok(self.doubt("names no era")),
            Some(Err(_)) => Ok(self.doubt("names an era that cannot be read")),
            Some(Ok(era)) if era < latest => {
                self.doubt("is of an earlier era");
                let detail = format!("an answer of era {era} after one of era {latest}");
                Err(StoreFailure::Unknown(detail))
            }
            Some(Ok(era)) => {
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
            log::warn!("an answer of the store {what}; the latest era is {latest}");
        }
        latest
    }
}

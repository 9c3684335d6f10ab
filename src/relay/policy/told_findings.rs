//! What a host tells another at once of what requests have shown.

use super::{crash_mark::CrashMark, need_news::NeedMark};

/// Findings of one host, or of a whole zone.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ToldFindings {
    /// Requests under which servers ended.
    pub crashes: Vec<CrashMark>,
    /// Servers in need.
    pub needs: Vec<NeedMark>,
}

impl ToldFindings {
    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.needs.is_empty()
    }
}

/// Up to which revisions of a host's books another one was told.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ToldRevisions {
    /// Of requests under which servers ended.
    pub crashes: u64,
    /// Of servers in need.
    pub needs: u64,
}

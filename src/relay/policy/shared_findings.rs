//! What a host tells another at once of what requests have shown.

use super::{crash_mark::CrashMark, limit_updates::LimitUpdate};

/// Findings of one host, or of a whole zone.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SharedFindings {
    /// Requests under which servers ended.
    pub crashes: Vec<CrashMark>,
    /// Rate-limited servers.
    pub limits: Vec<LimitUpdate>,
}

impl SharedFindings {
    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.limits.is_empty()
    }
}

/// Up to which revisions of a host's books another one was told.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SharedRevisions {
    /// Of requests under which servers ended.
    pub crashes: u64,
    /// Of rate-limited servers.
    pub limits: u64,
}

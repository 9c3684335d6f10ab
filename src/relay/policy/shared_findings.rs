//! The findings from requests that a host sends to another host in one message.

use super::{crash_report::CrashReport, limit_updates::LimitUpdate};

/// The findings of one host or of a whole zone.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SharedFindings {
    /// Requests that were running on servers when those crashed.
    pub crashes: Vec<CrashReport>,
    /// Reported limits of servers.
    pub limits: Vec<LimitUpdate>,
}

impl SharedFindings {
    /// Whether there are no findings.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.limits.is_empty()
    }
}

/// The revisions up to which a host's findings were sent to another host.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SharedRevisions {
    /// Revision of the requests that were running on servers when those crashed.
    pub crashes: u64,
    /// Revision of the reported limits of servers.
    pub limits: u64,
}

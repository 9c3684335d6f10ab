//! Differences between two lists of backend servers, for the log.

use {
    crate::relay::{backend::BackendInfo, software_version::ServerSoftware},
    faststr::FastStr,
    std::time::Duration,
};

/// Differences of a list of backend servers from the previous one.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct BackendChanges {
    /// Number of new servers.
    pub added: usize,
    /// Servers that began to drain.
    pub leaving: Vec<FastStr>,
    /// Previous runs of the servers that restarted under the same id.
    pub restarted: Vec<BackendInfo>,
    /// Servers whose role changed.
    pub role_changed: Vec<FastStr>,
    /// Servers that are no longer listed.
    pub removed: Vec<FastStr>,
    /// The previous and the current entries of all servers whose entries differ.
    pub affected: Vec<BackendInfo>,
    /// Servers whose entry states another coldness than before.
    pub cold: Vec<BackendInfo>,
    /// The software of servers that are listed with it now, and of those that were before.
    pub listed_software: Vec<ServerSoftware>,
    pub unlisted_software: Vec<ServerSoftware>,
}

impl BackendChanges {
    /// Whether anything that requests depend on has changed.
    pub fn is_empty(&self) -> bool {
        let counts = [
            self.added,
            self.leaving.len(),
            self.restarted.len(),
            self.role_changed.len(),
            self.removed.len(),
        ];
        counts.iter().all(|count| *count == 0)
    }

    pub(super) fn note_removed(&mut self, info: BackendInfo) {
        self.removed.push(info.id.clone());
        self.unlisted_software.push(info.server_software());
        self.affected.push(info);
    }

    pub(super) fn note(&mut self, before: Option<&BackendInfo>, now: &BackendInfo) {
        let software = before.map(BackendInfo::server_software);
        if software != Some(now.server_software()) {
            self.unlisted_software.extend(software);
            self.listed_software.push(now.server_software());
        }
        self.affected.extend(before.cloned());
        self.affected.push(now.clone());
        let same_run = before.filter(|before| before.born == now.born);
        if same_run.map_or(Duration::ZERO, |before| before.cold_left) != now.cold_left {
            self.cold.push(now.clone());
        }
        if now.leaving && before.is_none_or(|before| !before.leaving) {
            self.leaving.push(now.id.clone());
        }
        match before {
            None => self.added += 1,
            Some(before) if before.born != now.born => self.restarted.push(before.clone()),
            Some(before) if before.role != now.role => self.role_changed.push(now.id.clone()),
            Some(_) => {}
        }
    }
}

//! A store that is restored from a backup.

use super::SimFleet;

impl SimFleet {
    /// Restores the store and writes a change right after.
    pub fn restore(&mut self) {
        self.era += 1;
        self.version += 1;
        for host in &mut self.hosts {
            host.full_lists_sent = 0;
        }
    }
}

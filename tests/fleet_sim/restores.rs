//! A store that comes back from a copy of itself.

use super::SimFleet;

impl SimFleet {
    /// The store is restored, and something is written at once.
    pub fn restore(&mut self) {
        self.era += 1;
        self.version += 1;
        for host in &mut self.hosts {
            host.told_whole = 0;
        }
    }
}

//! Counts open connections.

use std::{cell::RefCell, collections::HashMap, net::SocketAddr, rc::Rc};

/// Numbers of open connections by address.
pub(super) type OpenCounts = Rc<RefCell<HashMap<SocketAddr, usize>>>;

/// A connection that is open or being opened, counted until dropped.
pub(super) struct OpenCount {
    open: OpenCounts,
    address: SocketAddr,
}

impl OpenCount {
    /// Counts one more; none where as many are open as may be.
    pub(super) fn begin(open: &OpenCounts, address: SocketAddr, limit: usize) -> Option<Self> {
        let mut counts = open.borrow_mut();
        let count = counts.entry(address).or_default();
        if *count >= limit {
            return None;
        }
        *count += 1;
        Some(Self {
            open: open.clone(),
            address,
        })
    }
}

impl Drop for OpenCount {
    fn drop(&mut self) {
        let mut counts = self.open.borrow_mut();
        if let Some(count) = counts.get_mut(&self.address) {
            *count -= 1;
            if *count == 0 {
                counts.remove(&self.address);
            }
        }
    }
}

//! Counting requests in progress at backend servers.

use {
    crate::relay::{backend::BackendInfo, parts::shared::RelayParts},
    faststr::FastStr,
    std::rc::Rc,
};

/// A request in progress at a backend server, counted until dropped.
pub struct CallGuard {
    parts: Rc<RelayParts>,
    backend: FastStr,
    call: u64,
}

impl CallGuard {
    /// Counts a request from now.
    pub fn begin(parts: &Rc<RelayParts>, backend: &BackendInfo) -> Self {
        let now = parts.now();
        let call = parts.book.borrow_mut().call_began(&backend.id, now);
        Self {
            parts: parts.clone(),
            backend: backend.id.clone(),
            call,
        }
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        let mut book = self.parts.book.borrow_mut();
        book.call_ended(&self.backend, self.call);
    }
}

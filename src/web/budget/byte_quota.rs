//! A number of bytes that many holders share.

use {
    super::usage_mark::UsageMark,
    prometheus_client::metrics::gauge::Gauge,
    std::{cell::Cell, rc::Rc},
    tokio::sync::Notify,
};

/// Bytes of which [`HeldBytes`](super::HeldBytes) take some and give them back.
#[derive(Debug)]
pub struct ByteQuota {
    limit: usize,
    held: Cell<usize>,
    gauge: Gauge,
    /// Notified when bytes were given back.
    pub(super) freed: Notify,
    mark: UsageMark,
    fallen: Notify,
}

impl ByteQuota {
    /// A quota of `limit` bytes of which none are held. The gauge shows how many are.
    pub fn new(limit: usize, gauge: Gauge) -> Rc<Self> {
        Rc::new(Self {
            limit,
            held: Cell::new(0),
            gauge,
            freed: Notify::new(),
            mark: UsageMark::new(limit),
            fallen: Notify::new(),
        })
    }

    /// Number of bytes that nobody holds.
    pub(super) fn free_bytes(&self) -> usize {
        self.limit - self.held.get()
    }

    /// Takes bytes, if there are as many.
    pub(super) fn take(&self, bytes: usize) -> bool {
        let is_free = bytes <= self.free_bytes();
        if is_free {
            self.set_held(self.held.get() + bytes);
        }
        is_free
    }

    pub(super) fn give_back(&self, bytes: usize) {
        if bytes > 0 {
            self.set_held(self.held.get() - bytes);
            self.freed.notify_waiters();
        }
    }

    fn set_held(&self, held: usize) {
        assert!(
            held <= self.limit,
            "{held} bytes are held, more than {}",
            self.limit
        );
        self.held.set(held);
        self.gauge.set(held as i64);
        if self.mark.has_fallen(held) {
            self.fallen.notify_one();
        }
    }

    /// Completes when few bytes are held after many were.
    pub async fn fallen(&self) {
        self.fallen.notified().await;
    }
}

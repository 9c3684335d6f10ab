//! The owner of a host's budget for callers.

use {
    super::{
        body_read::ReadProgress, budget_limits::BudgetLimits, budget_metrics::BudgetMetrics,
        byte_quota::ByteQuota, connection_table::ConnectionTable,
    },
    std::{cell::RefCell, collections::HashMap, rc::Rc},
    tokio::time::Instant,
};

/// Bounds what all callers of a host take together. Of bodies and answers, the first bytes are covered by the memory of
/// their connections; what is beyond is taken from here.
///
/// What has no room is refused at once, unless bodies that have stopped can make room: they are evicted, the one that
/// stopped first before the others. A body that keeps arriving is never evicted.
#[derive(Debug)]
pub struct CallerBudget {
    metrics: BudgetMetrics,
    connections: Rc<ConnectionTable>,
    quota: Rc<ByteQuota>,
    // Bodies that are being read, by the address of their progress.
    reads: RefCell<HashMap<*const ReadProgress, Rc<ReadProgress>>>,
}

impl CallerBudget {
    /// A budget of which nothing is taken.
    pub fn new(limits: BudgetLimits, metrics: BudgetMetrics) -> Rc<Self> {
        let connections = ConnectionTable::with_metrics(limits.connections, metrics.clone());
        let quota = ByteQuota::new(limits.held_bytes, metrics.held_bytes.clone());
        Rc::new(Self {
            metrics,
            connections: Rc::new(connections),
            quota,
            reads: RefCell::default(),
        })
    }

    /// The metrics.
    pub fn metrics(&self) -> &BudgetMetrics {
        &self.metrics
    }

    /// The callers' connections.
    pub fn connections(&self) -> Rc<ConnectionTable> {
        self.connections.clone()
    }

    /// The bytes of bodies and answers.
    pub fn quota(&self) -> Rc<ByteQuota> {
        self.quota.clone()
    }

    /// Completes when callers hold little, or few connections, after they had many.
    pub async fn fallen(&self) {
        tokio::select! {
            () = self.quota.fallen() => {}
            () = self.connections.fallen() => {}
        }
    }

    pub(super) fn add_read(&self, progress: Rc<ReadProgress>) {
        let mut reads = self.reads.borrow_mut();
        reads.insert(Rc::as_ptr(&progress), progress);
    }

    pub(super) fn remove_read(&self, progress: &Rc<ReadProgress>) {
        self.reads.borrow_mut().remove(&Rc::as_ptr(progress));
    }

    /// Evicts bodies that have stopped, or an answer that its caller does not read, so that `bytes` may become free. Returns
    /// whether some are on their way back.
    pub(super) fn make_room(&self, bytes: usize) -> bool {
        self.evict_bodies(bytes) || self.connections.evict_stalled_answer()
    }

    /// Evicts the body that has stopped for the longest, whatever it holds. Returns whether there was one.
    pub fn evict_stalled_body(&self) -> bool {
        let now = Instant::now();
        let reads = self.reads.borrow();
        let stalled = reads.values().filter(|read| !read.evicted.is_set());
        let stalled = stalled.filter_map(|read| Some((read.stalled_since(now)?, read)));
        let Some((_, read)) = stalled.min_by_key(|(since, _)| *since) else {
            return false;
        };
        self.metrics.evicted_bodies.inc();
        read.evicted.set();
        true
    }

    // Evicts bodies that have stopped until `bytes` are on their way back. Returns whether as many are.
    fn evict_bodies(&self, bytes: usize) -> bool {
        let now = Instant::now();
        let reads = self.reads.borrow();
        let evicted = reads.values().filter(|read| read.evicted.is_set());
        let mut coming: usize = evicted.map(|read| read.held.get()).sum();
        let mut stalled: Vec<_> = reads
            .values()
            .filter(|read| read.held.get() > 0 && !read.evicted.is_set())
            .filter_map(|read| Some((read.stalled_since(now)?, read)))
            .collect();
        stalled.sort_unstable_by_key(|(since, _)| *since);
        let free = self.quota.free_bytes();
        for (_, read) in stalled {
            if free + coming >= bytes {
                break;
            }
            coming += read.held.get();
            self.metrics.evicted_bodies.inc();
            read.evicted.set();
        }
        free + coming >= bytes
    }
}

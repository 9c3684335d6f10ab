//! Callers' open connections, of which some are closed when there are too many.

use {
    super::{budget_metrics::BudgetMetrics, usage_mark::UsageMark},
    crate::web::connection_state::ConnectionState,
    std::{cell::RefCell, collections::HashMap, fmt, rc::Rc, time::Duration},
    tokio::{sync::Notify, time::Instant},
};

/// Callers' open connections.
pub struct ConnectionTable {
    limit: usize,
    metrics: BudgetMetrics,
    mark: UsageMark,
    fallen: Notify,
    // By the address of their state.
    open: RefCell<HashMap<*const ConnectionState, Rc<ConnectionState>>>,
}

impl fmt::Debug for ConnectionTable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "ConnectionTable({} of {})", self.len(), self.limit)
    }
}

impl ConnectionTable {
    /// A table for at most `limit` connections.
    pub fn new(limit: usize) -> Self {
        Self::with_metrics(limit, BudgetMetrics::default())
    }

    /// The same, with metrics.
    pub(super) fn with_metrics(limit: usize, metrics: BudgetMetrics) -> Self {
        Self {
            limit,
            metrics,
            mark: UsageMark::new(limit),
            fallen: Notify::new(),
            open: RefCell::default(),
        }
    }

    /// Number of open connections.
    pub fn len(&self) -> usize {
        self.open.borrow().len()
    }

    /// Whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// How many more connections there is room for.
    pub(in crate::web) fn room(&self) -> usize {
        self.limit.saturating_sub(self.len())
    }

    /// Adds a connection.
    pub(in crate::web) fn add(&self, state: Rc<ConnectionState>) {
        let mut open = self.open.borrow_mut();
        open.insert(Rc::as_ptr(&state), state);
        self.record_use(open.len());
    }

    /// Removes a connection that has ended.
    pub(in crate::web) fn remove(&self, state: &Rc<ConnectionState>) {
        let mut open = self.open.borrow_mut();
        open.remove(&Rc::as_ptr(state));
        self.record_use(open.len());
    }

    fn record_use(&self, open: usize) {
        self.metrics.connections.set(open as i64);
        if self.mark.has_fallen(open) {
            self.fallen.notify_one();
        }
    }

    /// Completes when few connections are open after many were.
    pub(super) async fn fallen(&self) {
        self.fallen.notified().await;
    }

    /// Counts a connection that was closed because there was no room.
    pub(in crate::web) fn count_refused(&self) {
        self.metrics.refused_connections.inc();
    }

    /// Closes one connection to make room: first one whose request's head is late, then one whose answer is not read, then
    /// one that is idle; of each kind the one that has waited longest. Returns whether there was one.
    pub(in crate::web) fn evict_one(&self) -> bool {
        self.evict_first(ConnectionState::eviction_rank)
    }

    /// Closes the connection on which a buffered answer has waited longest for its caller to read on. Returns whether there
    /// was one.
    pub(super) fn evict_stalled_answer(&self) -> bool {
        self.evict_first(ConnectionState::held_answer_stalled_since)
    }

    // Closes the connection with the lowest rank of those that have one.
    fn evict_first<R: Ord>(&self, rank: impl Fn(&ConnectionState, Instant) -> Option<R>) -> bool {
        let now = Instant::now();
        let open = self.open.borrow();
        let candidates = open.values().filter(|state| !state.evicted.is_set());
        let ranked = candidates.filter_map(|state| Some((rank(state, now)?, state)));
        let Some((_, state)) = ranked.min_by(|one, other| one.0.cmp(&other.0)) else {
            return false;
        };
        self.metrics.evicted_connections.inc();
        state.evicted.set();
        true
    }

    /// Closes connections on which the headers of a request have been arriving for more than `limit`, and those whose caller
    /// has left.
    pub(in crate::web) fn sweep(&self, limit: Duration) {
        let now = Instant::now();
        let open = self.open.borrow();
        for state in open.values() {
            if state.is_head_overdue(now, limit) || state.is_abandoned() {
                state.evicted.set();
            }
        }
    }
}

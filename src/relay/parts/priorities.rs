//! Work by priority: this host's own, which it reports, and that of all others; and what follows from it for requests.

use {
    super::shared::RelayParts,
    crate::relay::{
        admission::{
            hold_back::{self, HoldBackPause},
            memory,
            priority_work::{PriorityLedger, WorkStage},
            service_work::ServiceWork,
            urgent_room::{EnginePool, KeepingOrder, UrgentRoom},
        },
        policy::{
            peer_loads::PEER_LOAD_TTL,
            priority_loads::{PriorityClass, PriorityLoad},
        },
    },
    faststr::FastStr,
    std::{cell::RefCell, collections::HashMap, ops::RangeInclusive, rc::Rc, time::Duration},
};

/// Work by priority, for services whose requests have several priorities.
#[derive(Debug, Default)]
pub struct PriorityState {
    ledger: RefCell<PriorityLedger>,
    others: RefCell<OthersWork>,
    // By service, until the lists of servers or hosts change.
    orders: RefCell<HashMap<FastStr, Rc<KeepingOrder>>>,
}

// Work of all other hosts, as last reported.
#[derive(Debug, Default)]
struct OthersWork {
    loads: Vec<PriorityLoad>,
    reported_at: Duration,
}

impl PriorityState {
    /// Forgets the orders in which engines keep room, after the lists of servers or hosts have changed.
    pub(super) fn forget_orders(&self) {
        self.orders.borrow_mut().clear();
    }
}

/// A request that is counted at a stage until dropped.
#[derive(Debug)]
pub struct CountedWork {
    parts: Rc<RelayParts>,
    class: PriorityClass,
    stage: WorkStage,
    tokens: u64,
    since: Duration,
}

impl CountedWork {
    /// Counts a request of a class from now on.
    pub fn begin(
        parts: &Rc<RelayParts>,
        class: PriorityClass,
        stage: WorkStage,
        tokens: u64,
    ) -> Self {
        let now = parts.now();
        let mut ledger = parts.priorities.ledger.borrow_mut();
        ledger.started(&class, stage, tokens);
        drop(ledger);
        Self {
            parts: parts.clone(),
            class,
            stage,
            tokens,
            since: now,
        }
    }
}

impl Drop for CountedWork {
    fn drop(&mut self) {
        let took = self.parts.now().saturating_sub(self.since);
        let mut ledger = self.parts.priorities.ledger.borrow_mut();
        ledger.ended(&self.class, self.stage, self.tokens, took);
    }
}

impl RelayParts {
    /// Counts the arrival of a request of a class that needs memory for this many tokens.
    pub fn count_arrival(&self, class: &PriorityClass, tokens: u64) {
        let now = self.now();
        let mut ledger = self.priorities.ledger.borrow_mut();
        ledger.arrived(class, tokens, now);
    }

    /// This host's work by priority, for a load report.
    pub(super) fn own_priority_loads(&self) -> Vec<PriorityLoad> {
        let now = self.now();
        self.priorities.ledger.borrow_mut().reported_loads(now)
    }

    /// Sets the work of all other hosts.
    pub(super) fn set_priority_loads(&self, loads: Vec<PriorityLoad>, now: Duration) {
        *self.priorities.others.borrow_mut() = OthersWork {
            loads,
            reported_at: now,
        };
    }

    /// The work of a service by priority over all hosts, as far as reports are recent.
    fn service_work(&self, service: &str) -> ServiceWork {
        let now = self.now();
        let own = self.priorities.ledger.borrow().service_loads(service, now);
        let others = self.priorities.others.borrow();
        let is_recent = now.saturating_sub(others.reported_at) < PEER_LOAD_TTL;
        let others = if is_recent { &others.loads[..] } else { &[] };
        ServiceWork::of(service, own, others)
    }

    /// The room that the engines of a service, of this memory in tokens, keep free as it concerns a class.
    pub fn urgent_room(&self, class: &PriorityClass, memory_tokens: u64) -> UrgentRoom {
        let order = self.keeping_order(&class.service);
        let work = self.service_work(&class.service);
        let ledger = self.priorities.ledger.borrow();
        let pool = EnginePool {
            engines: order.len(),
            memory_tokens,
            request_tokens: ledger.request_tokens(class),
            held_time: ledger.held_time(),
        };
        UrgentRoom::new(order, &work, class.priority, &pool)
    }

    /// The pause between two tries of a request of a class that waits, if more urgent requests wait.
    pub fn hold_back(&self, class: &PriorityClass, interval: Duration) -> Option<HoldBackPause> {
        let hosts = self.cluster.borrow().host_count();
        let work = self.service_work(&class.service);
        hold_back::hold_back(&work, class.priority, hosts, interval)
    }

    /// The time span after which a request of a class that was refused for lack of memory comes back.
    pub fn return_span(&self, class: Option<&PriorityClass>) -> RangeInclusive<Duration> {
        let Some(class) = class else {
            return memory::RETRY_AFTER;
        };
        let work = self.service_work(&class.service);
        hold_back::return_span(&memory::RETRY_AFTER, &work, class.priority)
    }

    /// Updates the gauges of the work by priority.
    pub(super) fn update_priority_gauges(&self) {
        let Some(routes) = self.routes() else { return };
        let running = self.priorities.ledger.borrow().running_tokens();
        for (class, tokens) in running {
            self.metrics.priorities.running(&class, tokens);
            let service = routes.service(&class.service);
            let limits = service.and_then(|service| service.engine.clone());
            if let Some(limits) = limits {
                let room = self.urgent_room(&class, limits.memory_tokens);
                self.metrics
                    .priorities
                    .kept_free(&class, room.tokens_kept());
            }
        }
    }

    fn keeping_order(&self, service: &FastStr) -> Rc<KeepingOrder> {
        self.update_preferred_engines();
        let mut orders = self.priorities.orders.borrow_mut();
        let order = orders.entry(service.clone()).or_insert_with(|| {
            let zones = self.book.borrow().zone_decodes(service, self.now());
            Rc::new(KeepingOrder::new(&zones))
        });
        order.clone()
    }
}

//! Keeping the split of engines between prefill and decode, by fenced orders.
//!
//! One host gives orders at a time: the holder of a lease in the store. Requests do not depend on it.

use {
    crate::{
        control::{FencedLease, LeaseKeeper, LeaseWrite, SeenLease},
        event,
        relay::{
            backend::BackendInfo,
            dialect::{EngineReport, RoleOrder},
            link::{StoreItem, StoreKind, StoreLink, StoreValue},
            parts::{metric_labels::StoreCause, shared::RelayParts},
            policy::split::{self, RoleChange},
        },
        store::{StoreFailure, StorePosition},
    },
    faststr::FastStr,
    http::StatusCode,
    std::{collections::BTreeMap, rc::Rc, time::Duration},
};

/// How often the split is looked at.
const LOOK_PERIOD: Duration = Duration::from_millis(500);

/// The lease holds this many times the least time between two holders' orders: a holder stops at 0.8
/// and a taker waits 1.2 of it, so that 0.4 times 2.75 keep them more than that time apart.
const LEASE_FACTOR: f64 = 2.75;

/// Longest wait for the answer to an order.
const ORDER_PATIENCE: Duration = Duration::from_millis(400);

/// How long an order may take until the engine is listed in its new role: it finishes what runs.
const ORDER_TIME: Duration = Duration::from_secs(14);

/// How long an order that was refused or not answered is not given again.
const ORDER_PAUSE: Duration = Duration::from_secs(3);

/// How long a plan has to stay the same before it is followed, while there are no requests yet.
const FIRST_SETTLE_TIME: Duration = Duration::from_millis(900);

/// The same once there are requests: engines that crash are back within a few seconds, sooner than
/// another has changed its role.
const SETTLE_TIME: Duration = Duration::from_secs(5);

/// Least changes of a plan that is followed once there are requests: an engine that changes its role
/// serves nobody for seconds.
const LEAST_CHANGES: usize = 2;

/// Least time of an imbalance before a host but the first of the list takes care of it.
const NEXT_HOST_DELAY: Duration = Duration::from_millis(2_500);

/// Name of the lease.
const LEASE_NAME: &str = "engine-roles";

struct RoleKeeper {
    parts: Rc<RelayParts>,
    store: Rc<StoreLink>,
    lease: LeaseKeeper,
    // Restores of the store that the lease has been through.
    restores: u32,
    // When each engine may be ordered again.
    ordered: BTreeMap<FastStr, Duration>,
    // Engines to change as of the last look, and since when the same.
    plan: Vec<FastStr>,
    unbalanced_since: Option<Duration>,
}

/// Looks at the split for as long as the host runs, and corrects it while this host holds the lease.
pub async fn keep_roles(parts: Rc<RelayParts>, store: Rc<StoreLink>) {
    let own = FastStr::from_string(format!("{}/{:08x}", parts.name(), rand::random::<u32>()));
    let time = parts.settings.bounds.lease_time.mul_f64(LEASE_FACTOR);
    let mut keeper = RoleKeeper {
        lease: LeaseKeeper::new(own, time),
        restores: 0,
        parts,
        store,
        ordered: BTreeMap::new(),
        plan: Vec::new(),
        unbalanced_since: None,
    };
    loop {
        tokio::time::sleep(LOOK_PERIOD).await;
        if keeper.parts.gate.is_stopping() {
            return;
        }
        if let Err(failure) = keeper.look().await {
            log::debug!("the lease of the engines' roles: {failure}");
        }
    }
}

impl RoleKeeper {
    async fn look(&mut self) -> Result<(), StoreFailure> {
        self.note_restores();
        let now = self.parts.now();
        let changes = self.due_changes(now);
        let (least, settle) = match self.parts.has_served() {
            true => (LEAST_CHANGES, SETTLE_TIME),
            false => (1, FIRST_SETTLE_TIME),
        };
        if changes.len() < least {
            self.unbalanced_since = None;
            return Ok(());
        }
        // Engines are listed one after the other at the start: a plan is followed once it stays.
        let plan: Vec<FastStr> = changes
            .iter()
            .map(|change| change.engine.id.clone())
            .collect();
        if plan != self.plan {
            self.plan = plan;
            self.unbalanced_since = Some(now);
        }
        let since = *self.unbalanced_since.get_or_insert(now);
        if now - since < settle + self.turn_delay() {
            return Ok(());
        }
        self.step_lease().await?;
        for change in changes {
            self.give_order(change).await;
        }
        Ok(())
    }

    // Leases are among what a restored store may have lost. Gives whether it was restored since the last look.
    fn note_restores(&mut self) -> bool {
        let restores = self.parts.cluster.borrow().restores();
        if restores == self.restores {
            return false;
        }
        self.restores = restores;
        self.lease.wait_out(self.parts.now());
        true
    }

    // The lease as it may be used at a time.
    fn lease_at(&mut self, time: Duration) -> Option<FencedLease> {
        self.note_restores();
        self.lease.held(time)
    }

    // Hosts take their turn in the order of their names, so that not all of them try at once.
    fn turn_delay(&self) -> Duration {
        let own = self.parts.name();
        let cluster = self.parts.cluster.borrow();
        let before = cluster.hosts().filter(|entry| entry.name < own).count();
        NEXT_HOST_DELAY * before as u32
    }

    fn due_changes(&self, now: Duration) -> Vec<RoleChange> {
        let Some(routes) = self.parts.routes() else {
            return Vec::new();
        };
        let plan = match self.parts.has_served() {
            true => split::plan_in_service,
            false => split::plan_roles,
        };
        let cluster = self.parts.cluster.borrow();
        let book = self.parts.book.borrow();
        let services = routes.config().services.iter();
        let mut changes = Vec::new();
        for service in services.filter(|service| service.engine.is_some()) {
            let engines: Vec<BackendInfo> = cluster
                .backends()
                .filter(|backend| backend.service == service.name)
                .filter(|backend| !book.availability.is_leaving(&backend.run(), now))
                .cloned()
                .collect();
            changes.extend(plan(&engines));
        }
        changes.retain(|change| {
            let due = self.ordered.get(&change.engine.id);
            due.is_none_or(|due| now >= *due)
        });
        changes
    }

    async fn step_lease(&mut self) -> Result<(), StoreFailure> {
        self.count_call();
        let seen = self.read_lease().await?;
        self.note_restores();
        let Some(write) = self.lease.read(seen, self.parts.now()) else {
            return Ok(());
        };
        self.count_call();
        match (self.store.put)(StoreKind::Leases, lease_item(&write)).await {
            Ok(position) => {
                if self.note_restores() {
                    return Ok(());
                }
                let version = position.number();
                let is_new = self.lease.written(&write, version, self.parts.now());
                if is_new {
                    event::emit(&event::LEASE_TAKEN, &[("token", &version)]);
                }
                Ok(())
            }
            Err(failure) => {
                // Also a write whose answer was lost: the next reading shows whose it is.
                self.lease.lost();
                Err(failure)
            }
        }
    }

    fn count_call(&self) {
        self.parts.metrics.store_called(StoreCause::Lease, 1);
    }

    async fn read_lease(&self) -> Result<SeenLease, StoreFailure> {
        match (self.store.get)(StoreKind::Leases, LEASE_NAME).await {
            Ok(StoreItem {
                position,
                value: StoreValue::Lease(spec),
                ..
            }) => Ok(SeenLease {
                version: position.number(),
                spec,
            }),
            Ok(_) => Err(StoreFailure::Refused("not a lease".into())),
            Err(StoreFailure::NotFound) => Ok(SeenLease::default()),
            Err(failure) => Err(failure),
        }
    }

    // The list of engines does not follow the count of orders taken, so the engine itself is asked.
    async fn read_report(&self, engine: &BackendInfo) -> Option<EngineReport> {
        let engines = &self.parts.dialect.engines;
        let call = (engines.query_report)();
        let answer = self.parts.call_backend(engine, call, ORDER_PATIENCE).await;
        match answer {
            Ok((StatusCode::OK, body)) => (engines.read_report)(&body),
            Ok((status, _)) => {
                log::warn!("engine {} gave no report: status {status}", engine.id);
                None
            }
            Err(failure) => {
                log::warn!("engine {} gave no report: {failure}", engine.id);
                None
            }
        }
    }

    async fn give_order(&mut self, change: RoleChange) {
        let now = self.parts.now();
        if self.lease_at(now).is_none() {
            return;
        }
        let report = self.read_report(&change.engine).await;
        let due = |report: &EngineReport| !report.is_busy && report.role != Some(change.role);
        let Some(report) = report.filter(due) else {
            let engine = change.engine.id.clone();
            self.ordered.insert(engine, now + ORDER_PAUSE);
            return;
        };
        let now = self.parts.now();
        // The order has to arrive while the lease holds.
        let Some(lease) = self.lease_at(now + ORDER_PATIENCE) else {
            return;
        };
        let order = RoleOrder {
            role: change.role,
            holder: self.parts.name(),
            token: lease.token,
            orders_taken: report.orders_taken,
        };
        let call = (self.parts.dialect.engines.order_role)(&order);
        let answer = self
            .parts
            .call_backend(&change.engine, call, ORDER_PATIENCE)
            .await;
        let (pause, outcome) = match &answer {
            Ok((StatusCode::OK | StatusCode::ACCEPTED, _)) => (ORDER_TIME, "taken".to_owned()),
            Ok((StatusCode::PRECONDITION_FAILED, _)) => {
                self.lease.lost();
                (ORDER_TIME, "a newer holder is at work".to_owned())
            }
            Ok((status, _)) => (ORDER_PAUSE, format!("status {status}")),
            // It may have been taken, or may be carried out late; its count makes a second one void.
            Err(failure) => (ORDER_TIME, failure.to_string()),
        };
        let engine = change.engine.id.clone();
        self.ordered.insert(engine.clone(), now + pause);
        event::emit(
            &event::ORDER_SENT,
            &[
                ("engine", &engine),
                ("role", &format!("{:?}", change.role)),
                ("token", &lease.token),
                ("outcome", &outcome),
            ],
        );
    }
}

fn lease_item(write: &LeaseWrite) -> StoreItem {
    StoreItem {
        name: FastStr::from_static_str(LEASE_NAME),
        position: StorePosition::of_number(write.version),
        value: StoreValue::Lease(write.spec.clone()),
    }
}

//! Maintains the split of engines between the prefill and decode roles, by orders with fencing tokens.
//!
//! Only the holder of a lease in the store sends orders. Requests do not depend on the lease.

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

/// Interval between checks of the split.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Duration of the lease, as a multiple of the minimum time between the orders of two holders. A holder stops at 0.8 of the
/// duration and the next one waits for 1.2 of it: 0.4 times 2.75 keeps them more than that minimum apart.
const LEASE_FACTOR: f64 = 2.75;

/// Timeout of an order, and of the query of an engine's report.
const ORDER_TIMEOUT: Duration = Duration::from_millis(400);

/// Time that an engine may take to appear in its new role after an order: it completes running requests first.
const ROLE_CHANGE_TIME: Duration = Duration::from_secs(14);

/// Delay before the next attempt after an engine refused an order or was not ready for one.
const ORDER_RETRY_DELAY: Duration = Duration::from_secs(3);

/// How long a plan must stay the same before it is carried out, while no requests have arrived.
const STARTUP_SETTLE_TIME: Duration = Duration::from_millis(900);

/// The same once requests have arrived. Crashed engines return within a few seconds, which is faster than a role change of
/// another engine.
const SETTLE_TIME: Duration = Duration::from_secs(5);

/// Minimum number of changes in a plan for it to be carried out once requests have arrived: an engine that changes its role
/// serves no requests for seconds.
const CHANGES_MIN: usize = 2;

/// Additional time for which an imbalance must last before a host acts, for each host before it in the order of names.
const NEXT_HOST_DELAY: Duration = Duration::from_millis(2_500);

/// Name of the lease.
const LEASE_NAME: &str = "engine-roles";

struct RoleKeeper {
    parts: Rc<RelayParts>,
    store: Rc<StoreLink>,
    lease: LeaseKeeper,
    // Number of store restores that the lease state accounts for.
    restores: u32,
    // When each engine may receive another order.
    next_order_at: BTreeMap<FastStr, Duration>,
    // Engines to change as of the last check, and since when the plan is the same.
    plan: Vec<FastStr>,
    unbalanced_since: Option<Duration>,
}

/// Checks the split until the host stops, and corrects it while this host holds the lease.
pub async fn keep_roles(parts: Rc<RelayParts>, store: Rc<StoreLink>) {
    let own = FastStr::from_string(format!("{}/{:08x}", parts.name(), rand::random::<u32>()));
    let time = parts.settings.bounds.lease_time.mul_f64(LEASE_FACTOR);
    let mut keeper = RoleKeeper {
        lease: LeaseKeeper::new(own, time),
        restores: 0,
        parts,
        store,
        next_order_at: BTreeMap::new(),
        plan: Vec::new(),
        unbalanced_since: None,
    };
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        if keeper.parts.gate.is_stopping() {
            return;
        }
        if let Err(failure) = keeper.check_split().await {
            log::debug!("lease for engine roles: {failure}");
        }
    }
}

impl RoleKeeper {
    async fn check_split(&mut self) -> Result<(), StoreFailure> {
        self.check_restores();
        let now = self.parts.now();
        // Another host, which reaches the engines, takes the lease over once it has expired.
        if self.parts.has_lost_engines() {
            self.unbalanced_since = None;
            return Ok(());
        }
        let changes = self.pending_changes(now);
        let (min_changes, settle) = match self.parts.has_received_requests() {
            true => (CHANGES_MIN, SETTLE_TIME),
            false => (1, STARTUP_SETTLE_TIME),
        };
        if changes.len() < min_changes {
            self.unbalanced_since = None;
            return Ok(());
        }
        // Engines are listed one after the other at startup: a plan is carried out once it is stable.
        let plan: Vec<FastStr> = changes
            .iter()
            .map(|change| change.engine.id.clone())
            .collect();
        if plan != self.plan {
            self.plan = plan;
            self.unbalanced_since = Some(now);
        }
        let since = *self.unbalanced_since.get_or_insert(now);
        if now - since < settle + self.start_delay() {
            return Ok(());
        }
        self.update_lease().await?;
        for change in changes {
            self.send_order(change).await;
        }
        Ok(())
    }

    // A restored store may have lost leases: blocks orders until any lost lease has expired. Returns whether the store was restored
    // since the last call.
    fn check_restores(&mut self) -> bool {
        let restores = self.parts.cluster.borrow().restores();
        if restores == self.restores {
            return false;
        }
        self.restores = restores;
        self.lease.wait_out(self.parts.now());
        true
    }

    // The lease of this host, if it is valid at `time`.
    fn lease_at(&mut self, time: Duration) -> Option<FencedLease> {
        self.check_restores();
        self.lease.held(time)
    }

    // Hosts act in the order of their names, so that they don't all try to take the lease at the same time.
    fn start_delay(&self) -> Duration {
        let own = self.parts.name();
        let cluster = self.parts.cluster.borrow();
        let before = cluster.hosts().filter(|entry| entry.name < own).count();
        NEXT_HOST_DELAY * before as u32
    }

    fn pending_changes(&self, now: Duration) -> Vec<RoleChange> {
        let Some(routes) = self.parts.routes() else {
            return Vec::new();
        };
        let plan = match self.parts.has_received_requests() {
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
        // The engines of an evacuated zone count in the split, which is as good without them, so that the others keep
        // their roles.
        changes.retain(|change| {
            let next = self.next_order_at.get(&change.engine.id);
            next.is_none_or(|at| now >= *at) && !book.is_evacuated(&change.engine)
        });
        changes
    }

    async fn update_lease(&mut self) -> Result<(), StoreFailure> {
        self.count_call();
        let seen = self.read_lease().await?;
        self.check_restores();
        let Some(write) = self.lease.read(seen, self.parts.now()) else {
            return Ok(());
        };
        self.count_call();
        match (self.store.put)(StoreKind::Leases, lease_item(&write)).await {
            Ok(position) => {
                if self.check_restores() {
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
                // The write may have succeeded and only its response be lost: the next read shows the holder.
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
            Ok(_) => Err(StoreFailure::Refused("the entry is not a lease".into())),
            Err(StoreFailure::NotFound) => Ok(SeenLease::default()),
            Err(failure) => Err(failure),
        }
    }

    // Queries the engine itself, because its entry in the store does not include the number of orders taken.
    async fn read_report(&self, engine: &BackendInfo) -> Option<EngineReport> {
        let engines = &self.parts.dialect.engines;
        let call = (engines.query_report)();
        let answer = self.parts.call_backend(engine, call, ORDER_TIMEOUT).await;
        match answer {
            Ok((StatusCode::OK, body)) => (engines.read_report)(&body),
            Ok((status, _)) => {
                log::warn!("no report from engine {}: status {status}", engine.id);
                None
            }
            Err(failure) => {
                log::warn!("no report from engine {}: {failure}", engine.id);
                None
            }
        }
    }

    async fn send_order(&mut self, change: RoleChange) {
        let now = self.parts.now();
        if self.lease_at(now).is_none() {
            return;
        }
        let report = self.read_report(&change.engine).await;
        let due = |report: &EngineReport| !report.is_busy && report.role != Some(change.role);
        let Some(report) = report.filter(due) else {
            let engine = change.engine.id.clone();
            self.next_order_at.insert(engine, now + ORDER_RETRY_DELAY);
            return;
        };
        let now = self.parts.now();
        // The order must arrive while the lease is valid.
        let Some(lease) = self.lease_at(now + ORDER_TIMEOUT) else {
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
            .call_backend(&change.engine, call, ORDER_TIMEOUT)
            .await;
        let (delay, outcome) = match &answer {
            Ok((StatusCode::OK | StatusCode::ACCEPTED, _)) => {
                (ROLE_CHANGE_TIME, "taken".to_owned())
            }
            Ok((StatusCode::PRECONDITION_FAILED, _)) => {
                self.lease.lost();
                (ROLE_CHANGE_TIME, "a newer holder is at work".to_owned())
            }
            Ok((status, _)) => (ORDER_RETRY_DELAY, format!("status {status}")),
            // The engine may have accepted the order, or may carry it out later. The number of orders taken, which each order
            // names, makes a second one void.
            Err(failure) => (ROLE_CHANGE_TIME, failure.to_string()),
        };
        let engine = change.engine.id.clone();
        self.next_order_at.insert(engine.clone(), now + delay);
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

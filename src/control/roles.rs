//! Keeping engines in the role and with the models that their pool says, by fenced orders.

use {
    super::{
        lease::{FencedLease, LeaseSpec, LeaseWrite, SeenLease},
        parts::{ControlParts, LEASE_TIME},
    },
    crate::{
        engine::{self, EngineRole, FencedOrder, LoadReport},
        event,
        object::{AnyObject, LabelMap, ObjectMeta, ObjectSet, kind},
        store::{self, StoreFailure},
        web::WebFailure,
    },
    faststr::FastStr,
    http::Method,
    std::{collections::BTreeMap, fmt::Display, net::SocketAddr, rc::Rc, time::Duration},
};

/// Hosts of a zone that contend for its lease.
const CONTENDERS: usize = 2;

/// Engines that the holder looks at in a second.
const LOOKS_PER_SECOND: u64 = 4;

/// Least time that a lease has to have left for an order: the longest that an order takes.
const ORDER_TIME: Duration = Duration::from_secs(2);

/// What an engine is to be.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WantedRole {
    /// Its role.
    pub role: EngineRole,
    /// Its models, in order.
    pub models: Vec<FastStr>,
}

/// What pools want of an engine with these labels; none when no pool selects it or pools disagree.
pub fn wanted_role(objects: &ObjectSet, labels: &LabelMap) -> Option<WantedRole> {
    let mut wanted: Option<WantedRole> = None;
    for pool in objects.pools.values() {
        if !pool.spec.selector.matches(labels) {
            continue;
        }
        let wanted = wanted.get_or_insert(WantedRole {
            role: pool.spec.role,
            models: Vec::new(),
        });
        if wanted.role != pool.spec.role {
            return None;
        }
        wanted.models.push(pool.spec.model.clone());
    }
    if let Some(wanted) = &mut wanted {
        wanted.models.sort();
        wanted.models.dedup();
    }
    wanted
}

/// What to do about an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RoleStep {
    /// It is as it should be.
    Nothing,
    /// It has work from before its role changed; it gets no new work meanwhile.
    Drain,
    /// Give it this order.
    Order(FencedOrder),
}

/// Compares what an engine reports with what is wanted of it.
pub fn role_step(wanted: &WantedRole, report: &LoadReport, lease: FencedLease) -> RoleStep {
    let mut loaded = report.models.clone();
    loaded.sort();
    if report.role == wanted.role && loaded == wanted.models {
        return RoleStep::Nothing;
    }
    if report.role != wanted.role && report.attempts > 0 {
        return RoleStep::Drain;
    }
    RoleStep::Order(FencedOrder {
        token: lease.token,
        role: wanted.role,
        models: wanted.models.clone(),
    })
}

impl ControlParts {
    fn lease_name(&self) -> FastStr {
        FastStr::from_string(format!("controllers-{}", self.traffic.settings.zone))
    }

    pub(super) async fn keep_lease(self: Rc<Self>) {
        loop {
            if self.is_first("controllers", CONTENDERS, true)
                && let Err(failure) = self.step_lease().await
            {
                log::debug!("lease: {failure}");
            }
            tokio::time::sleep(LEASE_TIME / 4).await;
        }
    }

    async fn step_lease(&self) -> Result<(), StoreFailure> {
        self.traffic.metrics.platform_calls.inc();
        let seen = self.read_lease().await?;
        let now = self.lease_now();
        let write = self.state.borrow_mut().lease.read(seen, now);
        let Some(write) = write else {
            return Ok(());
        };
        self.traffic.metrics.platform_calls.inc();
        let mark = self.traffic.parts.namer.next();
        let object = self.lease_object(&write);
        match store::write_marked(&self.platform, object, mark).await {
            Ok(written) => {
                let version = written.metadata.resource_version;
                let now = self.lease_now();
                let is_new = self.state.borrow_mut().lease.written(&write, version, now);
                if is_new {
                    event::emit(&event::LEASE_TAKEN, &[("token", &version)]);
                }
                Ok(())
            }
            Err(StoreFailure::Conflict(text)) => {
                let had = self.state.borrow().lease.held(self.lease_now()).is_some();
                self.state.borrow_mut().lease.lost();
                if had {
                    event::emit(&event::LEASE_LOST, &[("why", &text)]);
                }
                Ok(())
            }
            Err(failure) => Err(failure),
        }
    }

    async fn read_lease(&self) -> Result<SeenLease, StoreFailure> {
        match self.platform.get(kind::LEASE, &self.lease_name()).await {
            Ok(object) => Ok(SeenLease {
                version: object.metadata.resource_version,
                spec: serde_json::from_value::<LeaseSpec>(object.spec).unwrap_or_default(),
            }),
            Err(StoreFailure::NotFound) => Ok(SeenLease::default()),
            Err(failure) => Err(failure),
        }
    }

    fn lease_object(&self, write: &LeaseWrite) -> AnyObject {
        AnyObject {
            kind: FastStr::from_static_str(kind::LEASE),
            metadata: ObjectMeta {
                name: self.lease_name(),
                resource_version: write.version,
                ..ObjectMeta::default()
            },
            spec: serde_json::to_value(&write.spec).expect("a lease is JSON"),
        }
    }

    pub(super) async fn keep_roles(self: Rc<Self>) {
        let mut next = 0;
        loop {
            tokio::time::sleep(Duration::from_millis(1_000 / LOOKS_PER_SECOND)).await;
            let engines = self.wanted_roles();
            if engines.is_empty() || self.order_lease().is_none() {
                continue;
            }
            next = (next + 1) % engines.len();
            if let Some((name, (address, wanted))) = engines.into_iter().nth(next) {
                self.keep_role(name, address, wanted).await;
            }
        }
    }

    // The lease, if it lasts longer than an order takes.
    fn order_lease(&self) -> Option<FencedLease> {
        self.state
            .borrow()
            .lease
            .held(self.lease_now() + ORDER_TIME)
    }

    fn wanted_roles(&self) -> BTreeMap<FastStr, (SocketAddr, WantedRole)> {
        let state = self.state.borrow();
        let objects = state.config.objects();
        state
            .servers
            .in_zone(&self.traffic.settings.zone)
            .filter_map(|server| {
                let wanted = wanted_role(&objects, &server.metadata.labels)?;
                let address = server.spec.address;
                Some((server.metadata.name.clone(), (address, wanted)))
            })
            .collect()
    }

    async fn keep_role(&self, name: FastStr, address: SocketAddr, wanted: WantedRole) {
        let Ok(report) = self.read_load(address).await else {
            return;
        };
        // Looked at again after the wait: the lease may have run out meanwhile.
        let Some(lease) = self.order_lease() else {
            return;
        };
        let RoleStep::Order(order) = role_step(&wanted, &report, lease) else {
            return;
        };
        let sent: Result<serde_json::Value, WebFailure> = self
            .traffic
            .client
            .json(
                Method::POST,
                address,
                "/v1/orders",
                Some(&order),
                ORDER_TIME,
            )
            .await;
        let role = match order.role {
            EngineRole::Prefill => "prefill",
            EngineRole::Decode => "decode",
        };
        let fields: [(&str, &dyn Display); 3] =
            [("engine", &name), ("role", &role), ("token", &order.token)];
        match sent {
            Ok(_) => event::emit(&event::ORDER_SENT, &fields),
            Err(failure) => {
                let why = engine::call_failure(failure);
                let fields: [(&str, &dyn Display); 2] = [("engine", &name), ("why", &why)];
                event::emit(&event::ORDER_REFUSED, &fields);
            }
        }
    }
}

//! Freeing the engine memory that lost hosts left behind.
//!
//! Silence alone frees nothing: an engine is asked to cancel only those attempts of a silent host
//! that nobody has read for a while. A host that is cut off from the others and still serves its
//! callers reads its streams, so nothing of it is touched.

use {
    super::parts::ControlParts,
    crate::{
        engine::{self, SweepOrder, SweepReply},
        event, peer,
        web::WebFailure,
    },
    faststr::FastStr,
    http::Method,
    std::{
        collections::{BTreeMap, BTreeSet},
        fmt::Display,
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
};

/// How often engines are swept for hosts that are lost.
const SWEEP_PERIOD: Duration = Duration::from_secs(1);

/// How long nobody may have read an attempt that is swept; callers who come back have this long.
pub const SWEEP_IDLE: Duration = Duration::from_secs(3);

/// Sweeps in a row that find nothing before an engine is done with: an order may come late.
const CLEAN_SWEEPS: u32 = 5;

/// How long another zone's word of a silent host counts.
const HEARSAY_LIFE: Duration = Duration::from_secs(60);

/// What was swept for whom.
#[derive(Debug, Default)]
pub struct SweepBook {
    clean: BTreeMap<(FastStr, u64), u32>,
    heard: BTreeMap<u64, Duration>,
}

impl SweepBook {
    /// Another zone says that these incarnations are silent.
    pub fn hear(&mut self, silent: &[u64], now: Duration) {
        for incarnation in silent {
            self.heard.insert(*incarnation, now + HEARSAY_LIFE);
        }
    }

    /// The incarnations that other zones call silent.
    pub fn heard(&mut self, now: Duration) -> BTreeSet<u64> {
        self.heard.retain(|_, until| now < *until);
        self.heard.keys().copied().collect()
    }

    /// A host is back: it is swept anew should it be lost again.
    pub fn forget(&mut self, incarnation: u64) {
        self.clean.retain(|(_, swept), _| *swept != incarnation);
        self.heard.remove(&incarnation);
    }

    /// Whether an engine has still to be swept for a host.
    pub fn is_due(&self, engine: &FastStr, incarnation: u64) -> bool {
        let clean = self.clean.get(&(engine.clone(), incarnation));
        clean.copied().unwrap_or(0) < CLEAN_SWEEPS
    }

    /// What a sweep found.
    pub fn swept(&mut self, engine: &FastStr, incarnation: u64, reply: &SweepReply) {
        let clean = self.clean.entry((engine.clone(), incarnation)).or_default();
        match reply.cancelled + reply.left {
            0 => *clean += 1,
            _ => *clean = 0,
        }
    }
}

impl ControlParts {
    pub(super) async fn sweep_lost_hosts(self: Rc<Self>) {
        loop {
            tokio::time::sleep(SWEEP_PERIOD).await;
            let sweeps = self
                .due_sweeps()
                .into_iter()
                .map(|(engine, address, lost)| self.sweep(engine, address, lost));
            futures::future::join_all(sweeps).await;
        }
    }

    // Engines of this zone, shared out among its live hosts.
    fn due_sweeps(&self) -> Vec<(FastStr, SocketAddr, u64)> {
        let now = self.now();
        let lost: BTreeSet<u64> = {
            let mut state = self.state.borrow_mut();
            let heard = state.sweeps.heard(now);
            state.members.silent_in_zone(now).chain(heard).collect()
        };
        if lost.is_empty() {
            return Vec::new();
        }
        let engines = self.zone_engines();
        let mut due = Vec::new();
        for incarnation in lost {
            for (engine, address) in &engines {
                let is_due = self.state.borrow().sweeps.is_due(engine, incarnation);
                let subject = format!("sweep/{engine}");
                if is_due && self.is_first(&subject, 1, false) {
                    due.push((engine.clone(), *address, incarnation));
                }
            }
        }
        due
    }

    /// The engines of this zone that any pool selects.
    pub(super) fn zone_engines(&self) -> Vec<(FastStr, SocketAddr)> {
        let state = self.state.borrow();
        let objects = state.config.objects();
        state
            .servers
            .in_zone(&self.traffic.settings.zone)
            .filter(|server| {
                let labels = &server.metadata.labels;
                let mut pools = objects.pools.values();
                pools.any(|pool| pool.spec.selector.matches(labels))
            })
            .map(|server| (server.metadata.name.clone(), server.spec.address))
            .collect()
    }

    async fn sweep(&self, engine: FastStr, address: SocketAddr, lost: u64) {
        let order = SweepOrder {
            incarnation: peer::incarnation_name(lost),
            idle_ms: SWEEP_IDLE.as_millis() as u64,
        };
        let time = engine::CALL_TIMEOUT;
        let swept: Result<SweepReply, WebFailure> = self
            .traffic
            .client
            .json(Method::POST, address, "/v1/sweep", Some(&order), time)
            .await;
        let Ok(reply) = swept else {
            return;
        };
        self.state.borrow_mut().sweeps.swept(&engine, lost, &reply);
        if reply.cancelled > 0 {
            let fields: [(&str, &dyn Display); 3] = [
                ("engine", &engine),
                ("incarnation", &order.incarnation),
                ("cancelled", &reply.cancelled),
            ];
            event::emit(&event::ENGINE_SWEPT, &fields);
        }
    }
}

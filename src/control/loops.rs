//! The control thread: watches the platform, observes engines, publishes to traffic.

use {
    super::{
        config::{AcceptedConfig, ConfigKeeper, ConfigOffer, ConfigStep},
        snapshot::{ControlSnapshot, PeerAddress},
    },
    crate::{
        engine, event,
        host::Traffic,
        object::{AnyObject, LabelSelector, ServerSpec, Typed, kind},
        platform::{self, ObjectList, PlatformClient, PlatformFailure},
        route::{EngineInfo, ServerInfo},
    },
    faststr::FastStr,
    std::{
        cell::RefCell, collections::BTreeMap, net::SocketAddr, rc::Rc, sync::Arc, time::Duration,
    },
    tokio::task::LocalSet,
};

/// Wait after the platform failed.
const PLATFORM_PAUSE: Duration = Duration::from_millis(500);

/// How often ended operations are looked for.
const EXPIRE_PERIOD: Duration = Duration::from_secs(1);

/// Label on a server that the platform lists as an entry host.
pub const ROLE_LABEL: &str = "bayplank/role";

/// Value of [`ROLE_LABEL`] for entry hosts.
pub const ENTRY_ROLE: &str = "entry";

/// Everything that the control thread keeps.
pub struct ControlState {
    /// The configuration.
    pub config: ConfigKeeper,
    /// The platform's list of servers, as last read.
    pub servers: Vec<Typed<ServerSpec>>,
    /// What is wrong with the operators' objects, as last checked.
    pub rejected: Vec<crate::object::ObjectFault>,
    platform_is_lost: bool,
}

/// What the control loops share; only the control thread has it.
pub struct ControlParts {
    traffic: Arc<Traffic>,
    platform: PlatformClient,
    state: RefCell<ControlState>,
}

/// Runs the control loops until the process ends; to be called on the control thread's runtime.
pub async fn run_control(traffic: Arc<Traffic>) {
    let settings = &traffic.settings;
    let parts = Rc::new(ControlParts {
        platform: PlatformClient::new(settings.platform, settings.platform_timeout),
        state: RefCell::new(ControlState {
            config: ConfigKeeper::default(),
            servers: Vec::new(),
            rejected: Vec::new(),
            platform_is_lost: false,
        }),
        traffic: traffic.clone(),
    });
    let local = LocalSet::new();
    local.spawn_local(parts.clone().watch_platform());
    local.spawn_local(parts.clone().observe_engines());
    local.spawn_local(parts.expire_operations());
    local.await;
}

impl ControlParts {
    async fn watch_platform(self: Rc<Self>) {
        loop {
            match self.read_platform().await {
                Ok(version) => {
                    let resync = self.traffic.settings.resync;
                    let waited = self.platform.changed(version, resync).await;
                    self.traffic.metrics.platform_calls.inc();
                    if let Err(failure) = waited
                        && failure != PlatformFailure::Gone
                    {
                        tokio::time::sleep(PLATFORM_PAUSE).await;
                    }
                }
                Err(failure) => {
                    self.lost_platform(&failure);
                    tokio::time::sleep(PLATFORM_PAUSE).await;
                }
            }
        }
    }

    async fn read_platform(&self) -> Result<u64, PlatformFailure> {
        self.traffic.metrics.platform_calls.inc();
        let list = self.platform.list().await?;
        if std::mem::take(&mut self.state.borrow_mut().platform_is_lost) {
            event::emit(&event::PLATFORM_BACK, &[]);
        }
        self.take_servers(&list);
        let (offer, step) = self.state.borrow_mut().config.read_store(&list);
        self.note_offer(&offer);
        self.publish();
        match step {
            ConfigStep::Nothing => self.state.borrow_mut().rejected.clear(),
            ConfigStep::Reject(faults) => self.reject(faults),
            ConfigStep::Accept(object) => self.accept(*object).await?,
        }
        Ok(list.resource_version)
    }

    fn lost_platform(&self, failure: &PlatformFailure) {
        let before = std::mem::replace(&mut self.state.borrow_mut().platform_is_lost, true);
        if !before {
            event::emit(&event::PLATFORM_LOST, &[("why", failure)]);
        }
    }

    fn take_servers(&self, list: &ObjectList) {
        let servers = list
            .items
            .iter()
            .filter(|object| object.kind == kind::SERVER)
            .filter_map(|object| object.typed().ok())
            .collect();
        self.state.borrow_mut().servers = servers;
    }

    fn note_offer(&self, offer: &ConfigOffer) {
        match offer {
            ConfigOffer::InForce => {
                let generation = self.state.borrow().config.in_force().generation;
                self.traffic.metrics.generation.set(generation as i64);
                event::emit(&event::CONFIG_IN_FORCE, &[("generation", &generation)]);
            }
            ConfigOffer::Older => event::emit(&event::CONFIG_OLDER, &[]),
            ConfigOffer::Faulty(faults) => self.reject(faults.clone()),
            ConfigOffer::Same => {}
        }
    }

    fn reject(&self, faults: Vec<crate::object::ObjectFault>) {
        let is_new = self.state.borrow().rejected != faults;
        if is_new {
            for fault in &faults {
                event::emit(&event::CONFIG_REJECTED, &[("why", fault)]);
            }
        }
        self.state.borrow_mut().rejected = faults;
    }

    async fn accept(&self, object: AnyObject) -> Result<(), PlatformFailure> {
        self.traffic.metrics.platform_calls.inc();
        let mark = self.traffic.parts.namer.next();
        match platform::write_marked(&self.platform, object, mark).await {
            Ok(written) => {
                let accepted: AcceptedConfig = serde_json::from_value(written.spec)
                    .map_err(|error| PlatformFailure::Refused(error.to_string()))?;
                let generation = accepted.generation;
                event::emit(&event::CONFIG_ACCEPTED, &[("generation", &generation)]);
                let offer = self.state.borrow_mut().config.offer(accepted);
                self.note_offer(&offer);
                self.publish();
                Ok(())
            }
            // Another host was first; the next reading brings its result.
            Err(PlatformFailure::Conflict(_)) => Ok(()),
            Err(failure) => Err(failure),
        }
    }

    // Gives traffic what it needs of the state.
    fn publish(&self) {
        let state = self.state.borrow();
        let objects = state.config.objects();
        let snapshot = ControlSnapshot {
            generation: state.config.in_force().generation,
            objects: objects.clone(),
            peers: self.peer_addresses(&state).into(),
            limit_share: 1.0,
        };
        let engines: Vec<LabelSelector> = objects
            .pools
            .values()
            .map(|pool| pool.spec.selector.clone())
            .collect();
        let services: Vec<LabelSelector> = objects
            .services
            .values()
            .map(|service| service.spec.selector.clone())
            .collect();
        let mut infos = Vec::new();
        let mut plain = Vec::new();
        for server in &state.servers {
            let labels = &server.metadata.labels;
            if engines.iter().any(|selector| selector.matches(labels)) {
                infos.push((self.engine_info(server), server.spec.leaving));
            }
            if services.iter().any(|selector| selector.matches(labels)) {
                plain.push(server_info(server));
            }
        }
        self.traffic.desk.change(|desk, _| desk.set_engines(infos));
        self.traffic.servers.set_servers(plain);
        self.traffic.snapshot.store(Arc::new(snapshot));
    }

    fn engine_info(&self, server: &Typed<ServerSpec>) -> EngineInfo {
        let name = &server.metadata.name;
        let address = server.spec.address;
        let known = self.traffic.desk.read(|desk| {
            let view = desk.view(name)?;
            let same = view.info.address == address.to_string();
            same.then(|| view.info.link.clone())
        });
        let link =
            known.unwrap_or_else(|| Arc::new(engine::http_link(&self.traffic.client, address)));
        EngineInfo {
            name: name.clone(),
            address: FastStr::from_string(address.to_string()),
            zone: server.spec.zone.clone(),
            labels: server.metadata.labels.clone(),
            link,
        }
    }

    fn peer_addresses(&self, state: &ControlState) -> Vec<PeerAddress> {
        let own = &self.traffic.settings.name;
        state
            .servers
            .iter()
            .filter(|server| is_entry(server) && server.metadata.name != *own)
            .map(|server| PeerAddress {
                name: server.metadata.name.clone(),
                zone: server.spec.zone.clone(),
                callers: server.spec.address,
                is_live: !server.spec.leaving,
            })
            .collect()
    }

    async fn observe_engines(self: Rc<Self>) {
        loop {
            tokio::time::sleep(self.traffic.settings.observe_period).await;
            let engines: BTreeMap<FastStr, SocketAddr> = self.traffic.desk.read(|desk| {
                desk.views()
                    .filter_map(|view| {
                        let address = view.info.address.parse().ok()?;
                        Some((view.info.name.clone(), address))
                    })
                    .collect()
            });
            let reads = engines
                .into_iter()
                .map(|(name, address)| self.observe(name, address));
            futures::future::join_all(reads).await;
        }
    }

    async fn observe(&self, name: FastStr, address: SocketAddr) {
        self.traffic.metrics.load_reads.inc();
        let time = engine::CALL_TIMEOUT;
        let read: Result<engine::LoadReport, _> = self
            .traffic
            .client
            .json::<(), _>(http::Method::GET, address, "/v1/load", None, time)
            .await;
        match read {
            Ok(report) => self
                .traffic
                .desk
                .change(|desk, _| desk.reported(&name, report)),
            Err(failure) => {
                let ejected = self
                    .traffic
                    .desk
                    .change(|desk, now| desk.failed(&name, now));
                if ejected {
                    let fields: [(&str, &dyn std::fmt::Display); 2] =
                        [("engine", &name), ("why", &failure)];
                    event::emit(&event::ENGINE_EJECTED, &fields);
                }
            }
        }
    }

    async fn expire_operations(self: Rc<Self>) {
        loop {
            tokio::time::sleep(EXPIRE_PERIOD).await;
            let traffic = &self.traffic;
            traffic.operations.lock().expect("operation table").expire();
            let metrics = &traffic.metrics;
            metrics.in_flight.set(traffic.gate.in_flight() as i64);
            metrics
                .open_cancels
                .set(traffic.parts.canceller.open() as i64);
            let waiting = traffic.desk.read(|desk| desk.waiting());
            metrics.waiting.set(waiting as i64);
        }
    }
}

fn is_entry(server: &Typed<ServerSpec>) -> bool {
    let role = server.metadata.labels.get(ROLE_LABEL);
    role.is_some_and(|role| role == ENTRY_ROLE)
}

fn server_info(server: &Typed<ServerSpec>) -> ServerInfo {
    ServerInfo {
        name: server.metadata.name.clone(),
        address: server.spec.address,
        zone: server.spec.zone.clone(),
        labels: server.metadata.labels.clone(),
        leaving: server.spec.leaving,
    }
}

//! A small fleet of stand-ins and entry hosts in one process, each on a runtime of its own, so that
//! any of them can be killed like a process.

use {
    super::{
        engine::{EngineCore, EngineParams, start_engine},
        platform::{PlatformCore, serve_platform},
        service::{ServiceCore, serve_service},
    },
    crate::{
        conf::HostSettings,
        control::{ENTRY_ROLE, ROLE_LABEL},
        engine::EngineRole,
        host::{EntryHost, RunningHost},
        object::{AnyObject, LabelMap, ObjectMeta, kind},
        web,
    },
    eyre::{Context, Result, eyre},
    faststr::FastStr,
    serde_json::json,
    std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration},
    tokio::runtime::{Builder, Runtime},
};

/// What a fleet consists of; every zone has the same.
#[derive(Debug, Clone)]
pub struct FleetPlan {
    /// Names of the availability zones.
    pub zones: Vec<&'static str>,
    /// The model that the engines serve.
    pub model: &'static str,
    /// Prefill engines in each zone.
    pub prefills: usize,
    /// Decode engines in each zone.
    pub decodes: usize,
    /// The plain service.
    pub service: &'static str,
    /// Entry hosts in each zone.
    pub hosts: usize,
    /// Speeds and sizes of the engines.
    pub engine: EngineParams,
    /// Settings of the hosts, but for names and addresses.
    pub settings: HostSettings,
    /// The operators' objects.
    pub objects: Vec<AnyObject>,
    /// Where the platform listens; port 0 takes a free one.
    pub platform: SocketAddr,
}

/// A stand-in engine of a fleet.
pub struct FleetEngine {
    /// The engine.
    pub core: Arc<EngineCore>,
    /// Where it listens.
    pub address: SocketAddr,
    runtime: Option<Runtime>,
}

/// An entry host of a fleet.
pub struct FleetHost {
    /// The host.
    pub running: RunningHost,
    runtime: Option<Runtime>,
}

/// A running fleet.
pub struct Fleet {
    /// What it consists of.
    pub plan: FleetPlan,
    /// The platform.
    pub platform: Arc<PlatformCore>,
    /// Where the platform listens.
    pub platform_address: SocketAddr,
    /// The engines by name.
    pub engines: BTreeMap<FastStr, FleetEngine>,
    /// The plain services' servers by name.
    pub services: BTreeMap<FastStr, Arc<ServiceCore>>,
    /// The entry hosts by name.
    pub hosts: BTreeMap<FastStr, FleetHost>,
    runtimes: Vec<Runtime>,
}

fn runtime(name: &str) -> Result<Runtime> {
    Builder::new_multi_thread()
        .worker_threads(1)
        .thread_name(name)
        .enable_all()
        .build()
        .wrap_err("a runtime")
}

/// A free port of the loopback address.
pub fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

impl Fleet {
    /// Starts everything and waits until every host is ready.
    pub fn start(plan: FleetPlan) -> Result<Self> {
        let platform = PlatformCore::new();
        let runtime = runtime("platform")?;
        let (listener, platform_address) = runtime.block_on(web::listen(plan.platform))?;
        let served = platform.clone();
        runtime.block_on(async { serve_platform(served, listener) });
        let mut fleet = Self {
            platform,
            platform_address,
            engines: BTreeMap::new(),
            services: BTreeMap::new(),
            hosts: BTreeMap::new(),
            runtimes: vec![runtime],
            plan,
        };
        fleet.fill()?;
        fleet.wait_ready()?;
        Ok(fleet)
    }

    fn fill(&mut self) -> Result<()> {
        let plan = self.plan.clone();
        for object in &plan.objects {
            self.apply(object.clone())?;
        }
        for zone in &plan.zones {
            for index in 1..=plan.prefills {
                self.start_engine(
                    &format!("{zone}-prefill-{index}"),
                    zone,
                    EngineRole::Prefill,
                )?;
            }
            for index in 1..=plan.decodes {
                self.start_engine(&format!("{zone}-decode-{index}"), zone, EngineRole::Decode)?;
            }
            self.start_service(&format!("{zone}-{}", plan.service), zone)?;
            for index in 1..=plan.hosts {
                self.start_host(&format!("{zone}-entry-{index}"), zone)?;
            }
        }
        Ok(())
    }

    /// Creates or replaces an object at the platform.
    pub fn apply(&self, mut object: AnyObject) -> Result<()> {
        let there = self.platform.get(&object.kind, &object.metadata.name);
        object.metadata.resource_version = there.map_or(0, |old| old.metadata.resource_version);
        match self.platform.put(object) {
            Ok(_) => Ok(()),
            Err(refusal) => Err(eyre!("the platform refused an object: {refusal:?}")),
        }
    }

    /// Lists a server at the platform.
    pub fn list_server(
        &self,
        name: &str,
        zone: &str,
        address: SocketAddr,
        labels: &[(&str, &str)],
        leaving: bool,
    ) -> Result<()> {
        let labels: LabelMap = labels
            .iter()
            .map(|(key, value)| (FastStr::new(key), FastStr::new(value)))
            .collect();
        self.apply(AnyObject {
            kind: FastStr::from_static_str(kind::SERVER),
            metadata: ObjectMeta {
                name: FastStr::new(name),
                labels,
                ..ObjectMeta::default()
            },
            spec: json!({"address": address, "zone": zone, "leaving": leaving}),
        })
    }

    /// Starts an engine and lists it.
    pub fn start_engine(&mut self, name: &str, zone: &str, role: EngineRole) -> Result<()> {
        let runtime = runtime(name)?;
        let (listener, address) = runtime.block_on(web::listen(loopback()))?;
        let models = vec![FastStr::new(self.plan.model)];
        let params = self.plan.engine.clone();
        let engine_name = FastStr::new(name);
        let core =
            runtime.block_on(async { start_engine(engine_name, role, models, params, listener) });
        let role = match role {
            EngineRole::Prefill => "prefill",
            EngineRole::Decode => "decode",
        };
        let labels = [("model", self.plan.model), ("role", role), ("zone", zone)];
        self.list_server(name, zone, address, &labels, false)?;
        let engine = FleetEngine {
            core,
            address,
            runtime: Some(runtime),
        };
        self.engines.insert(FastStr::new(name), engine);
        Ok(())
    }

    /// Starts a server of the plain service and lists it.
    pub fn start_service(&mut self, name: &str, zone: &str) -> Result<()> {
        let runtime = runtime(name)?;
        let (listener, address) = runtime.block_on(web::listen(loopback()))?;
        let core = ServiceCore::new(FastStr::new(name));
        let served = core.clone();
        runtime.block_on(async { serve_service(served, listener) });
        let labels = [("service", self.plan.service), ("zone", zone)];
        self.list_server(name, zone, address, &labels, false)?;
        self.services.insert(FastStr::new(name), core);
        self.runtimes.push(runtime);
        Ok(())
    }

    /// Starts an entry host and lists it.
    pub fn start_host(&mut self, name: &str, zone: &str) -> Result<()> {
        let runtime = runtime(name)?;
        let settings = HostSettings {
            name: FastStr::new(name),
            zone: FastStr::new(zone),
            callers: loopback(),
            operators: loopback(),
            peers: loopback(),
            platform: self.platform_address,
            seeds: self.peer_addresses(),
            ..self.plan.settings.clone()
        };
        let running = runtime.block_on(async {
            let host = EntryHost::open(settings, "fleet").await?;
            Ok::<_, eyre::Report>(host.start())
        })?;
        self.list_host(name, zone, &running)?;
        let host = FleetHost {
            running,
            runtime: Some(runtime),
        };
        self.hosts.insert(FastStr::new(name), host);
        Ok(())
    }

    fn list_host(&self, name: &str, zone: &str, running: &RunningHost) -> Result<()> {
        let labels = [(ROLE_LABEL, ENTRY_ROLE), ("zone", zone)];
        let address = running.addresses.callers;
        self.list_server(name, zone, address, &labels, false)?;
        let object = self.platform.get(kind::SERVER, name);
        let mut object = object.ok_or_else(|| eyre!("{name} was not listed"))?;
        object.spec["peers"] = json!(running.addresses.peers);
        self.apply(object)
    }

    fn peer_addresses(&self) -> Vec<SocketAddr> {
        self.hosts
            .values()
            .map(|host| host.running.addresses.peers)
            .collect()
    }

    /// Waits until every host has a configuration and every engine was observed.
    pub fn wait_ready(&self) -> Result<()> {
        self.wait(Duration::from_secs(10), "the fleet to be ready", || {
            let engines = self.engines.len();
            self.hosts.values().all(|host| {
                let traffic = &host.running.traffic;
                let known = traffic.desk.read(|desk| {
                    desk.views()
                        .filter(|view| view.slots_total().is_some())
                        .count()
                });
                traffic.snapshot.load().generation > 0 && known == engines
            })
        })
    }

    /// Waits for a condition.
    pub fn wait(&self, time: Duration, what: &str, met: impl Fn() -> bool) -> Result<()> {
        wait_until(time, what, met)
    }

    /// Kills an engine as if its process died; the platform still lists it.
    pub fn kill_engine(&mut self, name: &str) {
        if let Some(engine) = self.engines.get_mut(name)
            && let Some(runtime) = engine.runtime.take()
        {
            runtime.shutdown_background();
        }
    }

    /// Kills the engines that met the prompt under which they end; gives how many.
    pub fn end_fatal(&mut self) -> usize {
        let engines = self.engines.values_mut();
        let ending = engines.filter(|engine| engine.core.has_met_fatal());
        let runtimes = ending.filter_map(|engine| engine.runtime.take());
        runtimes.map(Runtime::shutdown_background).count()
    }

    /// Kills an entry host as if its process died; the platform still lists it.
    pub fn kill_host(&mut self, name: &str) -> Option<FleetHost> {
        let mut host = self.hosts.remove(name)?;
        if let Some(runtime) = host.runtime.take() {
            runtime.shutdown_background();
        }
        Some(host)
    }

    /// Engine memory that requests hold, over all engines that live.
    pub fn held(&self) -> usize {
        self.engines
            .values()
            .filter(|engine| engine.runtime.is_some())
            .map(|engine| engine.core.held())
            .sum()
    }
}

/// Waits for a condition, looking often.
pub fn wait_until(time: Duration, what: &str, met: impl Fn() -> bool) -> Result<()> {
    let start = std::time::Instant::now();
    while !met() {
        if start.elapsed() > time {
            return Err(eyre!("waited {time:?} in vain for {what}"));
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    Ok(())
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for (_, mut host) in std::mem::take(&mut self.hosts) {
            if let Some(runtime) = host.runtime.take() {
                runtime.shutdown_background();
            }
        }
        for (_, mut engine) in std::mem::take(&mut self.engines) {
            if let Some(runtime) = engine.runtime.take() {
                runtime.shutdown_background();
            }
        }
        for runtime in self.runtimes.drain(..) {
            runtime.shutdown_background();
        }
    }
}

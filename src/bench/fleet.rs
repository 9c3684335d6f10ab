//! Engines and hosts of a run, joined in process, and what goes wrong with them.

use {
    super::{
        plan::{BenchFault, RUN_TIME, ZONES},
        run::{MODEL, RunPlan},
    },
    crate::{
        clock::HostClock,
        control,
        engine::{
            self, AttemptNamer, CallFailure, Canceller, EngineLink, EngineRole, RefusalCause,
        },
        object::LabelMap,
        operation::{OnceSignal, RequestLimits, RetryBudget, RunnerParts, SharedCrashes},
        route::{EngineInfo, RoutePolicy, SharedScheduler},
        standin::engine::{EngineCore, EngineParams},
    },
    faststr::FastStr,
    futures::{FutureExt, StreamExt, future::BoxFuture},
    std::{
        collections::BTreeMap,
        sync::{Arc, Mutex},
        time::Duration,
    },
};

pub(super) struct BenchEngine {
    pub(super) core: Arc<EngineCore>,
    pub(super) zone: &'static str,
    pub(super) dead: Arc<OnceSignal>,
}

// The promise that the bench asserts in every run.
pub(super) fn assert_nothing_held(engines: &[BenchEngine]) {
    for engine in engines {
        let held = engine.core.held();
        assert_eq!(
            held, 0,
            "{} holds memory after all requests ended",
            engine.core.name
        );
    }
}

pub(super) fn start_engines(plan: &RunPlan, params: &EngineParams) -> Vec<BenchEngine> {
    let table: Arc<Mutex<BTreeMap<FastStr, Arc<EngineCore>>>> = Arc::default();
    let mut engines = Vec::new();
    for zone in ZONES {
        let roles = [
            (EngineRole::Prefill, plan.deployment.prefills),
            (EngineRole::Decode, plan.deployment.decodes),
        ];
        for (role, count) in roles {
            for index in 0..count {
                let name = FastStr::from_string(format!("{zone}-{role:?}-{index}"));
                let found = table.clone();
                let fetch = Arc::new(move |source: FastStr, handle: FastStr| {
                    let core = found.lock().expect("engines").get(&source).cloned();
                    async move {
                        tokio::time::sleep(HOP).await;
                        core.ok_or(RefusalCause::Expired)?.export(&handle).await
                    }
                    .boxed()
                });
                let mut params = params.clone();
                if let BenchFault::Stalls(share) = plan.scenario.fault {
                    params.stall_share = share;
                }
                let models = vec![MODEL];
                let core = EngineCore::start(name.clone(), role, models, params, fetch);
                table.lock().expect("engines").insert(name, core.clone());
                let dead = Arc::default();
                engines.push(BenchEngine { core, zone, dead });
            }
        }
    }
    engines
}

pub(super) fn start_hosts(
    plan: &RunPlan,
    engines: &Arc<Vec<BenchEngine>>,
) -> Vec<Arc<RunnerParts>> {
    let mut hosts = Vec::new();
    for zone in ZONES {
        for _ in 0..plan.deployment.hosts {
            let index = hosts.len() as u64;
            let zone = FastStr::from_static_str(zone);
            let seed = plan.seed ^ (index << 32);
            let desk =
                SharedScheduler::new(zone, plan.tuning.clone(), seed, HostClock::of_runtime());
            let infos = engines.iter().map(|engine| (info(engine), false)).collect();
            desk.change(|desk, _| desk.set_engines(infos));
            let links = desk.clone();
            let find = move |engine: &str| links.read(|desk| desk.link(engine));
            let canceller = Canceller::new(Box::new(find));
            tokio::spawn(canceller.clone().run());
            tokio::spawn(desk.clone().run_periodically());
            tokio::spawn(observe(desk.clone(), engines.clone()));
            hosts.push(Arc::new(RunnerParts {
                desk,
                namer: AttemptNamer::new(FastStr::from_string(format!("h{index}"))),
                canceller,
                budget: Mutex::new(RetryBudget::new(0.1)),
                limits: request_limits(plan.tuning.policy),
                crashes: SharedCrashes::new(HostClock::of_runtime()),
            }));
        }
    }
    hosts
}

// A policy without a queue at the host does not wait for room: it gives up after a few refusals.
fn request_limits(policy: RoutePolicy) -> RequestLimits {
    let mut limits = RequestLimits::default();
    if !policy.queues_requests() {
        limits.refusals = REFUSALS_WITHOUT_QUEUE;
    }
    limits
}

// Reads load by the daemon's rule: the oldest news first, a few reads a second.
async fn observe(desk: Arc<SharedScheduler>, engines: Arc<Vec<BenchEngine>>) {
    let period = Duration::from_millis(250);
    loop {
        let now = desk.now();
        let stale: Vec<FastStr> = desk.read(|desk| {
            let stale = desk.stale_engines(period, control::READS_PER_ROUND, now);
            stale.iter().map(|view| view.info.name.clone()).collect()
        });
        for name in stale {
            let engine = engines.iter().find(|engine| engine.core.name == name);
            let Some(engine) = engine else { continue };
            desk.change(|desk, now| match engine.dead.is_set() {
                true => {
                    desk.report_missed(&name, now);
                    desk.failed(&name, now);
                }
                false => desk.reported(&name, engine.core.load(), now),
            });
        }
        tokio::time::sleep(control::READ_ROUND).await;
    }
}

fn info(engine: &BenchEngine) -> EngineInfo {
    let role = match engine.core.load().role {
        EngineRole::Prefill => "prefill",
        EngineRole::Decode => "decode",
    };
    let label = |text| FastStr::from_static_str(text);
    EngineInfo {
        name: engine.core.name.clone(),
        address: engine.core.name.clone(),
        zone: FastStr::from_static_str(engine.zone),
        labels: LabelMap::from([(label("role"), label(role))]),
        link: Arc::new(link(engine.core.clone(), engine.dead.clone())),
    }
}

// A call reaches a dead engine not at all, or dies with it.
fn guarded<T: Send + 'static>(
    dead: &Arc<OnceSignal>,
    call: impl Future<Output = engine::CallResult<T>> + Send + 'static,
) -> BoxFuture<'static, engine::CallResult<T>> {
    let dead = dead.clone();
    async move {
        tokio::time::sleep(HOP).await;
        if dead.is_set() {
            return Err(CallFailure::unreachable("dead"));
        }
        tokio::select! {
            result = call => result,
            () = dead.wait() => Err(CallFailure::unanswered("died")),
        }
    }
    .boxed()
}

fn link(core: Arc<EngineCore>, dead: Arc<OnceSignal>) -> EngineLink {
    let (prefill, decode, resume, cancel) = (core.clone(), core.clone(), core.clone(), core);
    let (d1, d2, d3, d4) = (dead.clone(), dead.clone(), dead.clone(), dead);
    EngineLink {
        prefill: Box::new(move |order| {
            let core = prefill.clone();
            guarded(&d1, async move { core.prefill(order).await })
        }),
        decode: Box::new(move |order| {
            let core = decode.clone();
            guarded(&d2, async move { Ok(core.decode(order)?.read(0)) })
        }),
        resume: Box::new(move |order| {
            let core = resume.clone();
            guarded(&d3, async move {
                let found = core.find(&order.attempt);
                let log = found.ok_or_else(|| CallFailure::unanswered("no such attempt"))?;
                Ok(log.read(order.from).boxed())
            })
        }),
        cancel: Box::new(move |attempt| {
            let core = cancel.clone();
            guarded(&d4, async move {
                core.cancel(&attempt);
                Ok(())
            })
        }),
    }
}

pub(super) async fn make_fault(fault: BenchFault, engines: Arc<Vec<BenchEngine>>) {
    tokio::time::sleep(RUN_TIME / 3).await;
    let first = |role| {
        let mut all = engines.iter();
        all.find(|engine| engine.core.load().role == role)
            .expect("an engine of each role")
    };
    match fault {
        BenchFault::PrefillLost => first(EngineRole::Prefill).dead.set(),
        BenchFault::DecodeSlow => first(EngineRole::Decode)
            .core
            .change_params(|params| params.slowness = 3.0),
        BenchFault::None | BenchFault::Cancels(_) | BenchFault::Stalls(_) => {}
    }
}

pub(super) async fn sample_slots(engines: Arc<Vec<BenchEngine>>) {
    loop {
        for engine in engines.iter() {
            engine.core.sample_slots();
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

pub(super) fn mean_slots(engines: &[BenchEngine]) -> f64 {
    let uses: Vec<f64> = engines
        .iter()
        .filter(|engine| engine.core.load().role == EngineRole::Decode)
        .map(|engine| engine.core.slot_use())
        .collect();
    uses.iter().sum::<f64>() / uses.len() as f64
}

/// One way between processes.
const HOP: Duration = Duration::from_micros(500);

/// Refusals after which a request of a policy without a queue is given up.
const REFUSALS_WITHOUT_QUEUE: u32 = 6;

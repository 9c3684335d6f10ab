//! One run: hosts, engines and callers in process, on a paused clock.

use {
    super::{
        plan::{self, BenchDeployment, BenchFault, BenchScenario, RUN_TIME, ZONES},
        workload::{self, BenchRequest, PromptMaker},
    },
    crate::{
        control,
        engine::{
            self, AttemptNamer, CallFailure, Canceller, EngineLink, EngineRole, RefusalCause,
        },
        object::{LabelMap, LabelSelector},
        operation::{
            AnswerLog, LifeEnd, LifeLimits, ModelRequest, OnceSignal, ReplayLog, RequestStats,
            RetryBudget, RunVerdict, RunnerParts, run_request,
        },
        route::{EngineInfo, RoutePolicy, RouteTuning, SharedDesk},
        standin::engine::{EngineCore, EngineParams},
    },
    faststr::FastStr,
    futures::{FutureExt, StreamExt, future::BoxFuture},
    hdrhistogram::Histogram,
    std::{
        collections::BTreeMap,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::{task::JoinSet, time::Instant},
};

/// One way between processes.
const HOP: Duration = Duration::from_micros(500);

/// Refusals after which a request of a policy without a queue is given up.
const REFUSALS_WITHOUT_QUEUE: u32 = 6;

const MODEL: FastStr = FastStr::from_static_str("model");

/// One run to make.
#[derive(Debug, Clone)]
pub struct RunPlan {
    /// Whose engines.
    pub deployment: BenchDeployment,
    /// Which row.
    pub scenario: BenchScenario,
    /// The numbers that routing uses.
    pub tuning: RouteTuning,
    /// Makes the run repeatable.
    pub seed: u64,
}

/// What a run gave.
#[derive(Debug, Clone)]
pub struct RunResult {
    /// The run.
    pub plan: RunPlan,
    /// Requests a second that the engines could answer at most.
    pub bound: f64,
    /// Requests offered a second.
    pub offered: f64,
    /// Requests answered a second.
    pub completed: f64,
    /// Requests answered within both targets a second.
    pub goodput: f64,
    /// Prompt tokens computed and thrown away, as a share of those computed.
    pub wasted_prefill: f64,
    /// Refusals that did not run, a second.
    pub refused_not_run: f64,
    /// Refusals that may have run or ran, a second; callers' own cancels aside.
    pub refused_may_have_run: f64,
    /// First-token times, milliseconds: median and 95th percentile.
    pub ttft: (f64, f64),
    /// 95th percentile of the requests' 95th percentile between tokens, milliseconds.
    pub tbt_p95: f64,
    /// Decode slots in use, as a share.
    pub decode_slot_use: f64,
    /// Goodput a second over the bound, in each second of the run.
    pub each_second: Vec<f64>,
}

struct BenchEngine {
    core: Arc<EngineCore>,
    zone: &'static str,
    dead: Arc<OnceSignal>,
}

#[derive(Default)]
struct Totals {
    answered: u64,
    good: u64,
    not_run: u64,
    may_have_run: u64,
    good_at: Vec<Duration>,
    first: Vec<u64>,
    gaps: Vec<u64>,
}

/// Makes a run; the same plan gives the same result.
pub fn run(plan: RunPlan) -> RunResult {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime");
    runtime.block_on(run_paused(plan))
}

async fn run_paused(plan: RunPlan) -> RunResult {
    let params = plan::engine_params(plan.tuning.policy);
    let (prompt, answer) = workload::mean_lengths(&plan.deployment, params.answer_tokens);
    let shared = plan.scenario.shared_prefix as f64;
    let bound = plan::bound(&plan.deployment, &params, prompt + shared, answer, shared);
    let engines = Arc::new(start_engines(&plan, &params));
    let hosts = start_hosts(&plan, &engines);
    let rate = bound * plan.scenario.load;
    let requests = workload::draw_requests(
        &plan.deployment,
        &plan.scenario,
        hosts.len(),
        rate,
        plan.seed,
    );
    let offered = requests.len();
    let prompts = PromptMaker::new(plan.scenario.shared_prefix, plan.seed);
    let totals = Arc::new(Mutex::new(Totals::default()));
    let slots = tokio::spawn(sample_slots(engines.clone()));
    tokio::spawn(make_fault(plan.scenario.fault, engines.clone()));
    let start = Instant::now();
    let mut calls = JoinSet::new();
    for request in requests {
        tokio::time::sleep_until(start + request.at).await;
        let prompt = prompts.prompt(&request);
        let parts = hosts[request.host].clone();
        calls.spawn(call(parts, request, prompt, totals.clone()));
    }
    calls.join_all().await;
    // Cancels are acknowledged and KV caches expire before the engines are counted.
    tokio::time::sleep(Duration::from_secs(3)).await;
    slots.abort();
    let used = mean_slots(&engines);
    let totals = std::mem::take(&mut *totals.lock().expect("totals"));
    assert_nothing_held(&engines);
    summarize(plan, bound, offered, &totals, &engines, used)
}

// The promise that the bench asserts in every run.
fn assert_nothing_held(engines: &[BenchEngine]) {
    for engine in engines {
        let held = engine.core.held();
        assert_eq!(
            held, 0,
            "{} holds memory after all requests ended",
            engine.core.name
        );
    }
}

fn start_engines(plan: &RunPlan, params: &EngineParams) -> Vec<BenchEngine> {
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

fn start_hosts(plan: &RunPlan, engines: &Arc<Vec<BenchEngine>>) -> Vec<Arc<RunnerParts>> {
    let mut hosts = Vec::new();
    for zone in ZONES {
        for _ in 0..plan.deployment.hosts {
            let index = hosts.len() as u64;
            let zone = FastStr::from_static_str(zone);
            let seed = plan.seed ^ (index << 32);
            let desk = SharedDesk::new(zone, plan.tuning.clone(), seed);
            let infos = engines.iter().map(|engine| (info(engine), false)).collect();
            desk.change(|desk, _| desk.set_engines(infos));
            let links = desk.clone();
            let find = move |engine: &str| links.read(|desk| desk.link(engine));
            let canceller = Canceller::new(Box::new(find));
            tokio::spawn(canceller.clone().run());
            tokio::spawn(desk.clone().run_pump());
            tokio::spawn(observe(desk.clone(), engines.clone()));
            hosts.push(Arc::new(RunnerParts {
                desk,
                namer: AttemptNamer::new(FastStr::from_string(format!("h{index}"))),
                canceller,
                budget: Mutex::new(RetryBudget::new(0.1)),
                limits: life_limits(plan.tuning.policy),
            }));
        }
    }
    hosts
}

// A policy without a queue at the host does not wait for room: it gives up after a few refusals.
fn life_limits(policy: RoutePolicy) -> LifeLimits {
    let mut limits = LifeLimits::default();
    if !policy.queues_here() {
        limits.refusals = REFUSALS_WITHOUT_QUEUE;
    }
    limits
}

// Reads load by the daemon's rule: the oldest news first, a few reads a second.
async fn observe(desk: Arc<SharedDesk>, engines: Arc<Vec<BenchEngine>>) {
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
                    desk.asked(&name, now);
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

async fn make_fault(fault: BenchFault, engines: Arc<Vec<BenchEngine>>) {
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

async fn sample_slots(engines: Arc<Vec<BenchEngine>>) {
    loop {
        for engine in engines.iter() {
            engine.core.sample_slots();
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

fn mean_slots(engines: &[BenchEngine]) -> f64 {
    let uses: Vec<f64> = engines
        .iter()
        .filter(|engine| engine.core.load().role == EngineRole::Decode)
        .map(|engine| engine.core.slot_use())
        .collect();
    uses.iter().sum::<f64>() / uses.len() as f64
}

async fn call(
    parts: Arc<RunnerParts>,
    request: BenchRequest,
    prompt: FastStr,
    totals: Arc<Mutex<Totals>>,
) {
    let label = |role| LabelSelector::label("role", role);
    let model_request = ModelRequest {
        id: FastStr::from_string(format!("r{:x}", request.salt)),
        model: MODEL,
        blocks: engine::block_hashes(&prompt).into(),
        prompt,
        max_tokens: u32::MAX,
        tenant: FastStr::from_string(format!("t{}", request.tenant)),
        priority: 5,
        prefills: Arc::new([label("prefill")]),
        decodes: Arc::new([label("decode")]),
        time_limit: Duration::from_secs(60),
        grace: Duration::ZERO,
        adopted: None,
    };
    let tuning = parts.desk.read(|desk| desk.tuning().clone());
    let log: Arc<AnswerLog> = ReplayLog::new();
    let reader = log.reader(0);
    let cancel = Arc::new(OnceSignal::default());
    if let Some(after) = request.cancel_after {
        let cancel = cancel.clone();
        tokio::spawn(async move {
            tokio::time::sleep(after).await;
            cancel.set();
        });
    }
    let (end, stats) = run_request(parts, model_request, log, cancel).await;
    drop(reader);
    let mut totals = totals.lock().expect("totals");
    totals.count(&request, &end, &stats, &tuning);
}

impl Totals {
    fn count(
        &mut self,
        request: &BenchRequest,
        end: &LifeEnd,
        stats: &RequestStats,
        tuning: &RouteTuning,
    ) {
        if let Some(first) = stats.first_token {
            self.first.push(first.as_micros() as u64);
        }
        match end {
            LifeEnd::Answered { .. } => {
                self.answered += 1;
                self.gaps.push(stats.gap_p95().as_micros() as u64);
                if stats.meets(tuning.first_token, tuning.between_tokens) {
                    self.good += 1;
                    self.good_at.push(request.at);
                }
            }
            LifeEnd::Refused(refusal) if refusal.verdict == RunVerdict::NotRun => {
                self.not_run += 1;
            }
            LifeEnd::Refused(_) if request.cancel_after.is_some() => {}
            LifeEnd::Refused(_) => self.may_have_run += 1,
        }
    }
}

// A percentile of times in microseconds, as milliseconds.
fn percentile(times: &[u64], percent: f64) -> f64 {
    let mut histogram: Histogram<u64> =
        Histogram::new_with_bounds(1, 600_000_000, 3).expect("bounds");
    for time in times {
        histogram.saturating_record((*time).max(1));
    }
    histogram.value_at_percentile(percent) as f64 / 1_000.0
}

fn summarize(
    plan: RunPlan,
    bound: f64,
    offered: usize,
    totals: &Totals,
    engines: &[BenchEngine],
    decode_slot_use: f64,
) -> RunResult {
    let seconds = RUN_TIME.as_secs_f64();
    let a_second = |count: u64| count as f64 / seconds;
    let counts: Vec<_> = engines.iter().map(|engine| engine.core.counts()).collect();
    let computed: u64 = counts.iter().map(|counts| counts.computed_tokens).sum();
    let wasted: u64 = counts.iter().map(|counts| counts.wasted_tokens).sum();
    let each_second = (0..RUN_TIME.as_secs())
        .map(|second| {
            let in_second = |at: &&Duration| at.as_secs() == second;
            totals.good_at.iter().filter(in_second).count() as f64 / bound
        })
        .collect();
    RunResult {
        plan,
        bound,
        offered: offered as f64 / seconds,
        completed: a_second(totals.answered),
        goodput: a_second(totals.good),
        wasted_prefill: wasted as f64 / computed.max(1) as f64,
        refused_not_run: a_second(totals.not_run),
        refused_may_have_run: a_second(totals.may_have_run),
        ttft: (
            percentile(&totals.first, 50.0),
            percentile(&totals.first, 95.0),
        ),
        tbt_p95: percentile(&totals.gaps, 95.0),
        decode_slot_use,
        each_second,
    }
}

/// The measured policies by name, for the command line.
pub fn tuning_of(policy: RoutePolicy) -> RouteTuning {
    RouteTuning {
        policy,
        ..RouteTuning::default()
    }
}

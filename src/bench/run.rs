//! One run: hosts, engines and callers in process, on a paused clock.

use {
    super::{
        fleet::{self, BenchEngine},
        plan::{self, BenchDeployment, BenchScenario, RUN_TIME},
        workload::{self, BenchRequest, PromptMaker},
    },
    crate::{
        engine::{self},
        object::LabelSelector,
        operation::{
            AnswerLog, ModelRequest, OnceSignal, ReplayLog, RequestEnd, RequestStats, RunVerdict,
            RunnerParts, run_request,
        },
        relay::RequestDigest,
        route::{RoutePolicy, RouteTuning},
    },
    faststr::FastStr,
    hdrhistogram::Histogram,
    std::{
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::{task::JoinSet, time::Instant},
};

/// The model that the engines serve.
pub(super) const MODEL: FastStr = FastStr::from_static_str("model");

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
    let engines = Arc::new(fleet::start_engines(&plan, &params));
    let hosts = fleet::start_hosts(&plan, &engines);
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
    let slots = tokio::spawn(fleet::sample_slots(engines.clone()));
    tokio::spawn(fleet::make_fault(plan.scenario.fault, engines.clone()));
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
    let used = fleet::mean_slots(&engines);
    let totals = std::mem::take(&mut *totals.lock().expect("totals"));
    fleet::assert_nothing_held(&engines);
    summarize(plan, bound, offered, &totals, &engines, used)
}

async fn call(
    parts: Arc<RunnerParts>,
    request: BenchRequest,
    prompt: FastStr,
    totals: Arc<Mutex<Totals>>,
) {
    let label = |role| LabelSelector::label("role", role);
    let digest = RequestDigest::of("", "", prompt.as_bytes());
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
        digest,
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
        end: &RequestEnd,
        stats: &RequestStats,
        tuning: &RouteTuning,
    ) {
        if let Some(first) = stats.first_token {
            self.first.push(first.as_micros() as u64);
        }
        match end {
            RequestEnd::Answered { .. } => {
                self.answered += 1;
                self.gaps.push(stats.gap_p95().as_micros() as u64);
                if stats.meets(tuning.first_token, tuning.between_tokens) {
                    self.good += 1;
                    self.good_at.push(request.at);
                }
            }
            RequestEnd::Refused(refusal) if refusal.verdict == RunVerdict::NotRun => {
                self.not_run += 1;
            }
            RequestEnd::Refused(_) if request.cancel_after.is_some() => {}
            RequestEnd::Refused(_) => self.may_have_run += 1,
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

//! Deployments and scenarios that the bench knows.

use {
    crate::{route::RoutePolicy, standin::engine::EngineParams},
    std::time::Duration,
};

/// Zones of each deployment.
pub const ZONES: [&str; 3] = ["zone-1", "zone-2", "zone-3"];

/// Who runs how many engines.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BenchDeployment {
    /// Its name in tables.
    pub name: &'static str,
    /// Prefill engines in each zone.
    pub prefills: usize,
    /// Decode engines in each zone.
    pub decodes: usize,
    /// Entry hosts in each zone.
    pub hosts: usize,
    /// Median of the prompts, tokens.
    pub prompt_median: f64,
    /// Spread of the prompts: the sigma of a lognormal distribution.
    pub prompt_sigma: f64,
}

/// The users' deployments: 12 lensmodel workers and 18 summary-models workers, in three zones each.
pub const DEPLOYMENTS: [BenchDeployment; 2] = [
    BenchDeployment {
        name: "coastal-lens",
        prefills: 2,
        decodes: 2,
        hosts: 3,
        prompt_median: 1_600.0,
        prompt_sigma: 1.1,
    },
    BenchDeployment {
        name: "lintas",
        prefills: 3,
        decodes: 3,
        hosts: 3,
        prompt_median: 1_600.0,
        prompt_sigma: 1.1,
    },
];

/// What goes wrong, if anything.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum BenchFault {
    /// Nothing.
    None,
    /// One prefill engine is lost a third into the run.
    PrefillLost,
    /// One decode engine takes three times as long, from a third into the run.
    DecodeSlow,
    /// This share of the callers cancel.
    Cancels(f64),
    /// This share of the transfers stall.
    Stalls(f64),
}

/// One row of the bench.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BenchScenario {
    /// Its name in tables.
    pub name: &'static str,
    /// Offered requests, as a multiple of the engines' bound.
    pub load: f64,
    /// What goes wrong.
    pub fault: BenchFault,
    /// Tokens at the start of prompts that a tenant's requests share.
    pub shared_prefix: usize,
}

const fn row(
    name: &'static str,
    load: f64,
    fault: BenchFault,
    shared_prefix: usize,
) -> BenchScenario {
    BenchScenario {
        name,
        load,
        fault,
        shared_prefix,
    }
}

/// All rows.
pub const SCENARIOS: [BenchScenario; 10] = [
    row("half", 0.5, BenchFault::None, 0),
    row("full", 1.0, BenchFault::None, 0),
    row("over", 1.5, BenchFault::None, 0),
    row("triple", 3.0, BenchFault::None, 0),
    row("prefill-lost", 0.8, BenchFault::PrefillLost, 0),
    row("decode-slow", 0.8, BenchFault::DecodeSlow, 0),
    row("cancels", 0.8, BenchFault::Cancels(0.1), 0),
    row("stalls", 0.8, BenchFault::Stalls(0.05), 0),
    row("shared", 1.0, BenchFault::None, 1_024),
    row("shared-over", 1.5, BenchFault::None, 1_024),
];

/// Rows of the quick set.
pub const QUICK: [&str; 4] = ["half", "full", "over", "cancels"];

/// Prefills that may wait at an engine for policies that queue at the hosts.
const SHORT_QUEUE: usize = 1;

/// The engines of a bench: with a short queue for a policy that queues at the hosts, else with a
/// long one, which serves such policies better.
pub fn engine_params(policy: RoutePolicy) -> EngineParams {
    let mut params = EngineParams::default();
    if policy.queues_requests() {
        params.prefill_queue = SHORT_QUEUE;
    }
    params
}

/// Requests a second that the engines can answer at most: whichever role is scarcer bounds.
///
/// Prefill: the engines' token rate over the mean of tokens to compute, shared prefixes taken as
/// cached. Decode: slots over the time that a mean answer holds one in a full batch.
pub fn bound(
    deployment: &BenchDeployment,
    params: &EngineParams,
    mean_prompt: f64,
    mean_answer: f64,
    shared_prefix: f64,
) -> f64 {
    let zones = ZONES.len() as f64;
    let computed = (mean_prompt - shared_prefix).max(1.0);
    let prefill_time = params.prefill_base.as_secs_f64() + computed / params.prefill_rate;
    let prefill = zones * deployment.prefills as f64 / prefill_time;
    let step = params.step_time(params.slots as usize).as_secs_f64();
    let transfer = params.transfer_time((mean_prompt * params.kv_bytes_per_token as f64) as u64);
    let hold = mean_answer * step + transfer.as_secs_f64();
    let decode = zones * deployment.decodes as f64 * f64::from(params.slots) / hold;
    prefill.min(decode)
}

/// Virtual time during which requests arrive.
pub const RUN_TIME: Duration = Duration::from_secs(40);

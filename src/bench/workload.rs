//! Requests of a run: prompts with heavy tails, bursts, shared prefixes; all from one seed.

use {
    super::plan::{BenchDeployment, BenchScenario, RUN_TIME},
    crate::{engine, standin::engine::answer_length, standin::engine::prompt_seed},
    faststr::FastStr,
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::time::Duration,
};

/// Tenants of a run.
const TENANTS: usize = 12;

/// Shortest and longest prompt, tokens.
const PROMPT_RANGE: (f64, f64) = (24.0, 18_000.0);

/// Length of a burst or a lull, seconds, at most.
const BURST_SECONDS: f64 = 3.0;

/// How much more or less than the mean is offered during bursts and lulls.
const BURST_SHARE: f64 = 0.3;

/// One request of a run.
#[derive(Debug, Clone)]
pub struct BenchRequest {
    /// When it arrives.
    pub at: Duration,
    /// The host that the balancer sends it to.
    pub host: usize,
    /// Its tenant.
    pub tenant: usize,
    /// Length of its prompt, tokens.
    pub tokens: usize,
    /// Makes its prompt differ from all others.
    pub salt: u64,
    /// When its caller cancels, if it does.
    pub cancel_after: Option<Duration>,
}

/// Makes the prompts of a run.
#[derive(Debug)]
pub struct PromptMaker {
    text: String,
    shared: usize,
}

impl PromptMaker {
    /// Prompts whose first `shared` tokens are the tenant's.
    pub fn new(shared: usize, seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let length = PROMPT_RANGE.1 as usize * engine::BYTES_PER_TOKEN * 2;
        let text = (0..length)
            .map(|_| char::from(random.random_range(b'a'..=b'z')))
            .collect();
        Self { text, shared }
    }

    /// The prompt of a request.
    pub fn prompt(&self, request: &BenchRequest) -> FastStr {
        let bytes = request.tokens * engine::BYTES_PER_TOKEN;
        let shared = (self.shared * engine::BYTES_PER_TOKEN).min(bytes);
        let mut prompt = String::with_capacity(bytes + 64);
        if shared > 0 {
            let start = request.tenant * 4_099;
            prompt.push_str(&self.text[start..start + shared]);
        }
        prompt.push_str(&format!("{:016x}", request.salt));
        let rest = bytes.saturating_sub(prompt.len());
        let start = request.salt as usize % (self.text.len() - rest).max(1);
        prompt.push_str(&self.text[start..start + rest]);
        FastStr::from_string(prompt)
    }
}

/// Draws the length of a prompt.
pub fn draw_tokens(deployment: &BenchDeployment, random: &mut StdRng) -> usize {
    let uniform = |random: &mut StdRng| random.random::<f64>().max(1e-12);
    let angle = std::f64::consts::TAU * uniform(random);
    let normal = (-2.0 * uniform(random).ln()).sqrt() * angle.cos();
    let tokens = deployment.prompt_median * (deployment.prompt_sigma * normal).exp();
    tokens.clamp(PROMPT_RANGE.0, PROMPT_RANGE.1) as usize
}

/// Means of prompt and answer lengths, tokens, by drawing many.
pub fn mean_lengths(deployment: &BenchDeployment, answer: (u32, u32)) -> (f64, f64) {
    const DRAWS: usize = 20_000;
    let mut random = StdRng::seed_from_u64(7);
    let prompts: usize = (0..DRAWS)
        .map(|_| draw_tokens(deployment, &mut random))
        .sum();
    let answers: u64 = (0..DRAWS as u64)
        .map(|salt| u64::from(answer_length(prompt_seed(&salt.to_string()), answer)))
        .sum();
    (prompts as f64 / DRAWS as f64, answers as f64 / DRAWS as f64)
}

/// All requests of a run at `rate` a second in the mean.
pub fn draw_requests(
    deployment: &BenchDeployment,
    scenario: &BenchScenario,
    hosts: usize,
    rate: f64,
    seed: u64,
) -> Vec<BenchRequest> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut requests = Vec::new();
    let (mut now, mut phase_end, mut factor) = (0.0, 0.0, 1.0);
    while now < RUN_TIME.as_secs_f64() {
        if now >= phase_end {
            phase_end = now + random.random_range(0.5..BURST_SECONDS);
            factor = random.random_range(1.0 - BURST_SHARE..1.0 + BURST_SHARE);
        }
        let cancels = match scenario.fault {
            super::plan::BenchFault::Cancels(share) => random.random::<f64>() < share,
            _ => false,
        };
        let cancel_after = Duration::from_secs_f64(random.random_range(0.02..3.0));
        requests.push(BenchRequest {
            at: Duration::from_secs_f64(now),
            host: random.random_range(0..hosts),
            tenant: random.random_range(0..TENANTS),
            tokens: draw_tokens(deployment, &mut random) + scenario.shared_prefix,
            salt: random.random(),
            cancel_after: cancels.then_some(cancel_after),
        });
        now += -random.random::<f64>().max(1e-12).ln() / (rate * factor);
    }
    requests
}

//! Ranking of candidate engines by policy.

use {
    super::{
        explain::WeighedEngine,
        policy::{RoutePolicy, RouteTuning},
        view::EngineView,
    },
    rand::{RngExt, rngs::StdRng},
    std::time::Duration,
};

/// Maximum number of engines listed in an explanation.
const EXPLAINED_ENGINES: usize = 6;

/// Candidate engine with its score; lower is better.
#[derive(Debug, Clone, Copy)]
pub struct ScoredEngine<'a> {
    /// The engine.
    pub view: &'a EngineView,
    /// Score: seconds for `joint`, else the policy's own load measure.
    pub score: f64,
}

/// Scores candidates and sorts them, best first.
///
/// Candidates are shuffled first, so that ties are broken at random.
pub fn rank<'a>(
    mut views: Vec<&'a EngineView>,
    random: &mut StdRng,
    score: impl Fn(&EngineView) -> f64,
) -> Vec<ScoredEngine<'a>> {
    shuffle(&mut views, random);
    let mut ranked: Vec<ScoredEngine<'a>> = views
        .into_iter()
        .map(|view| ScoredEngine {
            view,
            score: score(view),
        })
        .collect();
    ranked.sort_by(|a, b| a.score.total_cmp(&b.score));
    ranked
}

fn shuffle(views: &mut [&EngineView], random: &mut StdRng) {
    for last in (1..views.len()).rev() {
        let pick = random.random_range(0..=last);
        views.swap(last, pick);
    }
}

/// Load of a prefill engine as a baseline policy measures it.
pub fn prefill_load(
    policy: RoutePolicy,
    view: &EngineView,
    tuning: &RouteTuning,
    now: Duration,
) -> f64 {
    match policy {
        RoutePolicy::Random | RoutePolicy::RoundRobin => 0.0,
        RoutePolicy::LeastLoaded => view.reported_tokens() as f64,
        RoutePolicy::Thin | RoutePolicy::Joint => view.backlog_tokens(tuning, now) as f64,
    }
}

/// Load of a decode engine as a baseline policy measures it.
pub fn decode_load(policy: RoutePolicy, view: &EngineView) -> f64 {
    match policy {
        RoutePolicy::Random | RoutePolicy::RoundRobin => 0.0,
        RoutePolicy::LeastLoaded => f64::from(view.reported_slots()),
        RoutePolicy::Thin | RoutePolicy::Joint => f64::from(view.slots_used()),
    }
}

/// Predicts the time until an engine has computed a prompt.
pub fn predict_prefill(
    view: &EngineView,
    tokens: u64,
    blocks: &[u64],
    tuning: &RouteTuning,
    now: Duration,
) -> Duration {
    let missing = tokens - view.cached_tokens(blocks).min(tokens);
    let ahead = view.backlog_tokens(tuning, now);
    Duration::from_secs_f64((ahead + missing) as f64 / view.rate(tuning))
}

/// Predicts the transfer time of a prompt's KV cache.
pub fn predict_transfer(view: &EngineView, tokens: u64, tuning: &RouteTuning) -> Duration {
    let bytes = tokens as f64 * view.kv_per_token(tuning);
    Duration::from_secs_f64(bytes / tuning.link_rate)
}

/// Converts the best of the ranked engines to entries of an explanation.
pub fn explain_ranking(
    ranked: &[ScoredEngine<'_>],
    known: impl Fn(&EngineView) -> String,
) -> Vec<WeighedEngine> {
    ranked
        .iter()
        .take(EXPLAINED_ENGINES)
        .map(|scored| WeighedEngine {
            engine: scored.view.info.name.clone(),
            predicted_ms: scored.score * 1_000.0,
            known: known(scored.view),
        })
        .collect()
}

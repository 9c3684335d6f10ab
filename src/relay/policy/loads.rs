//! Load reports between hosts: memory use per backend server, servers that were ejected, and demand per service.
//!
//! Each host only sees its own requests. One host of each zone sums the reports of all and replies to each with the
//! totals of the others. This module is a state machine without I/O.

use {
    crate::account::UseReport,
    faststr::FastStr,
    serde::{Deserialize, Serialize},
    std::{cmp::Reverse, collections::BTreeMap, time::Duration},
    xxhash_rust::xxh3,
};

/// Age at which a report expires: long enough to survive a few lost reports, short enough to forget a host that died.
const REPORT_TTL: Duration = Duration::from_millis(1_500);

/// Most engines in a reply besides those that the reporter asked for: failing ones and the fullest, which it should
/// avoid. Listing all engines of a large zone in every reply would saturate the link of the aggregating host.
const EXTRA_ENGINES_MAX: usize = 48;

/// Identifies a run of a backend server in reports: a hash of its id and start. Among a few thousand runs, collisions
/// are about one in a thousand; the two runs then appear a little more loaded than they are.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct EngineKey(pub u32);

impl EngineKey {
    /// The key of a run whose start is unknown.
    pub fn of(id: &str) -> Self {
        Self::of_run(id, 0)
    }

    /// The key of a run by its id and its start.
    pub fn of_run(id: &str, born: u64) -> Self {
        Self(xxh3::xxh3_64_with_seed(id.as_bytes(), born) as u32)
    }
}

/// Load and health of a backend server in a report.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EngineLoad {
    /// The backend server's run.
    pub engine: EngineKey,
    /// Expected final memory use of its requests, in tokens.
    pub memory_tokens: u64,
    /// Number of hosts that have ejected it because it does not respond.
    pub ejected_by: u32,
}

/// Demand for a service within the retry budget's window.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ServiceDemand {
    /// The service.
    pub service: FastStr,
    /// Requests for it.
    pub requests: u64,
    /// Attempts beyond the first of each request.
    pub retries: u64,
}

/// A load report of one host, or the sum of several.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LoadReport {
    /// Load per backend server.
    pub loads: Vec<EngineLoad>,
    /// Demand per service.
    pub demands: Vec<ServiceDemand>,
    /// Engines that a reply must include regardless of their load: the reporter's preferred ones.
    pub requested: Vec<EngineKey>,
    /// Usage per client account; summed by the zone's ledger, not here.
    pub accounts: UseReport,
    /// In replies: the store does not respond to the aggregating host, or to the one that it follows.
    pub is_store_lost: bool,
}

/// The sender of a report.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum LoadReporter {
    /// A host of the zone, for its own requests.
    Host(FastStr),
    /// Another zone, for all of its hosts.
    Zone(FastStr),
}

/// The latest report of each reporter.
#[derive(Debug, Default)]
pub struct LoadAggregator {
    reports: BTreeMap<LoadReporter, (LoadReport, Duration)>,
}

impl LoadAggregator {
    /// Stores a report, replacing the reporter's previous one.
    pub fn record(&mut self, reporter: LoadReporter, report: LoadReport, now: Duration) {
        self.reports.insert(reporter, (report, now));
    }

    /// Sum of the current reports of all reporters except this host, limited to the engines that it asked for and the
    /// fullest others.
    pub fn total_without(&self, host: &FastStr, now: Duration) -> LoadReport {
        let own = self.reports.get(&LoadReporter::Host(host.clone()));
        let requested = own.map_or(&[][..], |(report, _)| &report.requested);
        self.total(now, requested, |reporter| match reporter {
            LoadReporter::Host(name) => name != host,
            LoadReporter::Zone(_) => true,
        })
    }

    /// Sum of the current reports of the zone's own hosts, limited to the fullest engines.
    pub fn zone_total(&self, now: Duration) -> LoadReport {
        self.total(now, &[], |reporter| {
            matches!(reporter, LoadReporter::Host(_))
        })
    }

    /// Removes expired reports.
    pub fn remove_expired(&mut self, now: Duration) {
        self.reports.retain(|_, (_, at)| is_recent(*at, now));
    }

    fn total(
        &self,
        now: Duration,
        requested: &[EngineKey],
        counts: impl Fn(&LoadReporter) -> bool,
    ) -> LoadReport {
        let mut loads: BTreeMap<EngineKey, EngineLoad> = BTreeMap::new();
        let mut demands: BTreeMap<&FastStr, ServiceDemand> = BTreeMap::new();
        for (reporter, (report, at)) in &self.reports {
            if !counts(reporter) || !is_recent(*at, now) {
                continue;
            }
            for load in &report.loads {
                let total = loads.entry(load.engine).or_default();
                total.engine = load.engine;
                total.memory_tokens += load.memory_tokens;
                total.ejected_by += load.ejected_by;
            }
            for demand in &report.demands {
                let total = demands.entry(&demand.service).or_default();
                total.service = demand.service.clone();
                total.requests += demand.requests;
                total.retries += demand.retries;
            }
        }
        LoadReport {
            loads: limit_engines(loads.into_values().collect(), requested),
            demands: demands.into_values().collect(),
            requested: Vec::new(),
            accounts: UseReport::default(),
            is_store_lost: false,
        }
    }
}

// The requested engines, then the fullest of the rest.
fn limit_engines(loads: Vec<EngineLoad>, requested: &[EngineKey]) -> Vec<EngineLoad> {
    let (mut listed, mut rest): (Vec<EngineLoad>, Vec<EngineLoad>) = loads
        .into_iter()
        .partition(|load| requested.contains(&load.engine));
    rest.sort_by_key(|load| Reverse((load.ejected_by, load.memory_tokens)));
    rest.truncate(EXTRA_ENGINES_MAX);
    listed.extend(rest);
    listed
}

fn is_recent(at: Duration, now: Duration) -> bool {
    now.saturating_sub(at) < REPORT_TTL
}

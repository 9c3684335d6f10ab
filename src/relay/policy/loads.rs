//! Load reports between hosts: memory use per backend server, servers that were ejected, demand per service,
//! and work by priority.
//!
//! Each host only sees its own requests. One host of each zone sums the reports of all and replies to each with the
//! totals of the others. This module is a state machine without I/O.

use {
    super::priority_loads::{PriorityLoad, PrioritySums},
    crate::account::UseReport,
    faststr::FastStr,
    serde::{Deserialize, Serialize},
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
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
    /// Work by priority, for services whose requests have several priorities.
    pub priorities: Vec<PriorityLoad>,
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

/// Sum of the loads and demands of several reports, with the engines in the order of their load.
#[derive(Debug, Default)]
struct LoadSum {
    engines: BTreeMap<EngineKey, EngineLoad>,
    // The same engines by load: ejections first, then memory.
    fullest: BTreeSet<Reverse<(u32, u64, EngineKey)>>,
    demands: BTreeMap<FastStr, ServiceDemand>,
    priorities: PrioritySums,
}

impl LoadSum {
    fn add(&mut self, report: &LoadReport) {
        for load in &report.loads {
            self.update_engine(load.engine, |total| {
                total.memory_tokens += load.memory_tokens;
                total.ejected_by += load.ejected_by;
            });
        }
        for demand in &report.demands {
            let total = self.demands.entry(demand.service.clone()).or_default();
            total.service = demand.service.clone();
            total.requests += demand.requests;
            total.retries += demand.retries;
        }
        self.priorities.add(&report.priorities);
    }

    fn subtract(&mut self, report: &LoadReport) {
        for load in &report.loads {
            self.update_engine(load.engine, |total| total.subtract(load));
        }
        for demand in &report.demands {
            if let Some(total) = self.demands.get_mut(&demand.service) {
                total.subtract(demand);
            }
        }
        self.priorities.subtract(&report.priorities);
    }

    fn update_engine(&mut self, engine: EngineKey, update: impl Fn(&mut EngineLoad)) {
        let mut total = self.engines.remove(&engine).unwrap_or(EngineLoad {
            engine,
            ..EngineLoad::default()
        });
        self.fullest.remove(&Reverse(total.fullness()));
        update(&mut total);
        if total.is_idle() {
            return;
        }
        self.fullest.insert(Reverse(total.fullness()));
        self.engines.insert(engine, total);
    }
}

impl EngineLoad {
    fn fullness(&self) -> (u32, u64, EngineKey) {
        (self.ejected_by, self.memory_tokens, self.engine)
    }

    fn is_idle(&self) -> bool {
        self.ejected_by == 0 && self.memory_tokens == 0
    }

    fn subtract(&mut self, other: &Self) {
        self.memory_tokens = self.memory_tokens.saturating_sub(other.memory_tokens);
        self.ejected_by = self.ejected_by.saturating_sub(other.ejected_by);
    }
}

impl ServiceDemand {
    fn subtract(&mut self, other: &Self) {
        self.requests = self.requests.saturating_sub(other.requests);
        self.retries = self.retries.saturating_sub(other.retries);
    }
}

/// The latest report of each reporter, and their sums. The sums are kept up to date, so that a reply to one reporter
/// does not go through the reports of all others.
#[derive(Debug, Default)]
pub struct LoadAggregator {
    reports: BTreeMap<LoadReporter, (LoadReport, Duration)>,
    // The reporters by the time of their report.
    by_time: BTreeSet<(Duration, LoadReporter)>,
    // All reports, and those of the zone's own hosts.
    all: LoadSum,
    own_zone: LoadSum,
    visited: u64,
}

impl LoadAggregator {
    /// Stores a report, replacing the reporter's previous one.
    pub fn record(&mut self, reporter: LoadReporter, report: LoadReport, now: Duration) {
        self.remove(&reporter);
        self.visited += report.loads.len() as u64;
        self.all.add(&report);
        if matches!(reporter, LoadReporter::Host(_)) {
            self.own_zone.add(&report);
        }
        self.by_time.insert((now, reporter.clone()));
        self.reports.insert(reporter, (report, now));
    }

    fn remove(&mut self, reporter: &LoadReporter) {
        let Some((report, at)) = self.reports.remove(reporter) else {
            return;
        };
        self.visited += report.loads.len() as u64;
        self.by_time.remove(&(at, reporter.clone()));
        self.all.subtract(&report);
        if matches!(reporter, LoadReporter::Host(_)) {
            self.own_zone.subtract(&report);
        }
    }

    /// Sum of the current reports of all reporters except this host, limited to the engines that it asked for and the
    /// fullest others.
    pub fn total_without(&mut self, host: &FastStr, now: Duration) -> LoadReport {
        self.remove_expired(now);
        let own = self.reports.get(&LoadReporter::Host(host.clone()));
        let own = own.map_or_else(LoadReport::default, |(report, _)| report.clone());
        let listed = limit_engines(&self.all, &own);
        self.visited += listed.len() as u64;
        let demands = self.all.demands.values().map(|total| {
            let mut total = total.clone();
            let mut demands = own.demands.iter();
            if let Some(demand) = demands.find(|demand| demand.service == total.service) {
                total.subtract(demand);
            }
            total
        });
        LoadReport {
            loads: listed,
            demands: demands.filter(|total| total.requests > 0).collect(),
            priorities: self.all.priorities.without(&own.priorities),
            ..LoadReport::default()
        }
    }

    /// Sum of the current reports of the zone's own hosts, limited to the fullest engines.
    pub fn zone_total(&mut self, now: Duration) -> LoadReport {
        self.remove_expired(now);
        let demands = self.own_zone.demands.values();
        LoadReport {
            loads: limit_engines(&self.own_zone, &LoadReport::default()),
            demands: demands
                .filter(|total| total.requests > 0)
                .cloned()
                .collect(),
            priorities: self.own_zone.priorities.without(&[]),
            ..LoadReport::default()
        }
    }

    /// Removes expired reports.
    pub fn remove_expired(&mut self, now: Duration) {
        while let Some((at, reporter)) = self.by_time.first().cloned()
            && !is_recent(at, now)
        {
            self.remove(&reporter);
        }
    }

    /// Number of engine loads that were looked at so far, a measure of the cost.
    pub fn visited(&self) -> u64 {
        self.visited
    }
}

// The engines that a report requests, then the fullest of the rest, without the load in the report.
fn limit_engines(total: &LoadSum, own: &LoadReport) -> Vec<EngineLoad> {
    let without_own = |load: &EngineLoad| {
        let mut load = load.clone();
        let mut loads = own.loads.iter();
        if let Some(own) = loads.find(|own| own.engine == load.engine) {
            load.subtract(own);
        }
        load
    };
    let requested = own
        .requested
        .iter()
        .filter_map(|key| total.engines.get(key));
    let mut listed: Vec<EngineLoad> = requested.map(without_own).collect();
    // Without the own load, some of the fullest engines may be less full than others.
    let considered = EXTRA_ENGINES_MAX + own.loads.len();
    let fullest = total.fullest.iter().map(|Reverse((_, _, engine))| engine);
    let rest = fullest.filter(|engine| !own.requested.contains(engine));
    let mut rest: Vec<EngineLoad> = rest
        .take(considered)
        .map(|engine| without_own(&total.engines[engine]))
        .collect();
    rest.sort_by_key(|load| Reverse((load.ejected_by, load.memory_tokens)));
    rest.truncate(EXTRA_ENGINES_MAX);
    listed.extend(rest);
    listed.retain(|load| !load.is_idle());
    listed
}

fn is_recent(at: Duration, now: Duration) -> bool {
    now.saturating_sub(at) < REPORT_TTL
}

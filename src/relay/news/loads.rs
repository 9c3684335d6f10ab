//! What the requests of many hosts take at backend servers, and which of these fail them: a plain state
//! machine.
//!
//! Each host knows its own requests only. One host of a zone adds up what all report and tells each what
//! the others take and saw.

use {
    faststr::FastStr,
    std::{cmp::Reverse, collections::BTreeMap, time::Duration},
};

/// Age from which a report no longer counts: some reports may be lost, and the host itself may be.
const REPORT_LIFE: Duration = Duration::from_millis(1_500);

/// Engines that one answer names at most: those that fail and the fullest, which are to be left alone. With all engines
/// of a large zone in each answer, the link of the host that adds up would be full.
const TOLD_ENGINES: usize = 48;

/// What requests take at a backend server, and whether it answers.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EngineLoad {
    /// Id of the backend server's run.
    pub engine: FastStr,
    /// Tokens of its memory that the requests are expected to take at their end.
    pub memory_tokens: u64,
    /// Hosts that pass it over since it does not answer them.
    pub passed_over: u32,
}

/// Who reports.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum LoadReporter {
    /// A host of the zone, for its own requests.
    Host(FastStr),
    /// Another zone, for all of its hosts.
    Zone(FastStr),
}

/// The latest report of each reporter.
#[derive(Debug, Default)]
pub struct LoadBoard {
    reports: BTreeMap<LoadReporter, (Vec<EngineLoad>, Duration)>,
}

impl LoadBoard {
    /// Takes a report in place of the reporter's last one.
    pub fn take(&mut self, reporter: LoadReporter, loads: Vec<EngineLoad>, now: Duration) {
        self.reports.insert(reporter, (loads, now));
    }

    /// What the requests of all but this host take at the fullest engines, as far as reports are not old.
    pub fn others_of(&self, host: &str, now: Duration) -> Vec<EngineLoad> {
        let loads = self.total(now, |reporter| match reporter {
            LoadReporter::Host(name) => name != host,
            LoadReporter::Zone(_) => true,
        });
        fullest(loads)
    }

    /// What the requests of the zone's own hosts take at the fullest engines.
    pub fn of_zone(&self, now: Duration) -> Vec<EngineLoad> {
        fullest(self.total(now, |reporter| matches!(reporter, LoadReporter::Host(_))))
    }

    /// Forgets reports that no longer count.
    pub fn forget_old(&mut self, now: Duration) {
        self.reports.retain(|_, (_, at)| is_recent(*at, now));
    }

    fn total(&self, now: Duration, counts: impl Fn(&LoadReporter) -> bool) -> Vec<EngineLoad> {
        let mut totals: BTreeMap<&FastStr, EngineLoad> = BTreeMap::new();
        for (reporter, (loads, at)) in &self.reports {
            if !counts(reporter) || !is_recent(*at, now) {
                continue;
            }
            for load in loads {
                let total = totals.entry(&load.engine).or_insert_with(|| EngineLoad {
                    engine: load.engine.clone(),
                    ..EngineLoad::default()
                });
                total.memory_tokens += load.memory_tokens;
                total.passed_over += load.passed_over;
            }
        }
        totals.into_values().collect()
    }
}

fn fullest(mut loads: Vec<EngineLoad>) -> Vec<EngineLoad> {
    loads.sort_by_key(|load| Reverse((load.passed_over, load.memory_tokens)));
    loads.truncate(TOLD_ENGINES);
    loads
}

fn is_recent(at: Duration, now: Duration) -> bool {
    now.saturating_sub(at) < REPORT_LIFE
}

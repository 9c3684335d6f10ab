//! Work by priority in load reports, for services whose requests have several priorities.

use {
    faststr::FastStr,
    std::{cmp::Reverse, collections::BTreeMap},
};

/// Maximum number of priority classes in a report: three services with all their classes. Those of the services with
/// the most work are reported.
const PRIORITY_LOADS_MAX: usize = 12;

/// Requests of a service that count as one priority.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PriorityClass {
    /// The service.
    pub service: FastStr,
    /// The priority; 0 is the most urgent.
    pub priority: u8,
}

/// Work of a priority class.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PriorityLoad {
    /// The class.
    pub class: PriorityClass,
    /// Requests that wait for memory.
    pub waiting: u64,
    /// Tokens of memory that they need.
    pub waiting_tokens: u64,
    /// Tokens of memory that running requests have reserved.
    pub running_tokens: u64,
    /// Tokens of memory that requests need which arrive in one second.
    pub arriving_tokens: u64,
}

impl PriorityLoad {
    /// Whether there is no work.
    pub fn is_idle(&self) -> bool {
        self.waiting == 0 && self.size() == 0
    }

    /// Adds the work of another report.
    pub fn add(&mut self, other: &Self) {
        self.waiting += other.waiting;
        self.waiting_tokens += other.waiting_tokens;
        self.running_tokens += other.running_tokens;
        self.arriving_tokens += other.arriving_tokens;
    }

    fn subtract(&mut self, other: &Self) {
        self.waiting = self.waiting.saturating_sub(other.waiting);
        self.waiting_tokens = self.waiting_tokens.saturating_sub(other.waiting_tokens);
        self.running_tokens = self.running_tokens.saturating_sub(other.running_tokens);
        self.arriving_tokens = self.arriving_tokens.saturating_sub(other.arriving_tokens);
    }

    fn size(&self) -> u64 {
        self.waiting_tokens + self.running_tokens + self.arriving_tokens
    }
}

/// Sums of the work by priority of several reports.
#[derive(Debug, Default)]
pub(super) struct PrioritySums {
    classes: BTreeMap<PriorityClass, PriorityLoad>,
}

impl PrioritySums {
    pub(super) fn add(&mut self, loads: &[PriorityLoad]) {
        for load in loads {
            let empty = || PriorityLoad {
                class: load.class.clone(),
                ..PriorityLoad::default()
            };
            let total = self.classes.entry(load.class.clone());
            total.or_insert_with(empty).add(load);
        }
    }

    pub(super) fn subtract(&mut self, loads: &[PriorityLoad]) {
        for load in loads {
            let Some(total) = self.classes.get_mut(&load.class) else {
                continue;
            };
            total.subtract(load);
            if total.is_idle() {
                self.classes.remove(&load.class);
            }
        }
    }

    /// The sums without one report that is part of them.
    pub(super) fn without(&self, own: &[PriorityLoad]) -> Vec<PriorityLoad> {
        let totals = self.classes.values().map(|total| {
            let mut total = total.clone();
            if let Some(own) = own.iter().find(|own| own.class == total.class) {
                total.subtract(own);
            }
            total
        });
        limit_loads(totals.filter(|total| !total.is_idle()).collect())
    }
}

/// Limits the number of classes, keeping all classes of the services with the most work.
pub fn limit_loads(mut loads: Vec<PriorityLoad>) -> Vec<PriorityLoad> {
    if loads.len() <= PRIORITY_LOADS_MAX {
        return loads;
    }
    let mut sizes: BTreeMap<FastStr, u64> = BTreeMap::new();
    for load in &loads {
        *sizes.entry(load.class.service.clone()).or_default() += load.size();
    }
    let size = |load: &PriorityLoad| sizes.get(&load.class.service).copied();
    loads.sort_by_key(|load| (Reverse(size(load)), load.class.clone()));
    let cut = loads[PRIORITY_LOADS_MAX].class.service.clone();
    loads.truncate(PRIORITY_LOADS_MAX);
    // A service is reported with all its classes or not at all.
    loads.retain(|load| load.class.service != cut);
    loads
}

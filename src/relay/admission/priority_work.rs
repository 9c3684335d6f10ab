//! This host's work by priority: what waits for memory, what runs and what arrives.

use {
    crate::relay::policy::priority_loads::{self, PriorityClass, PriorityLoad},
    std::{collections::BTreeMap, time::Duration},
};

/// Time constant of the rate of arriving tokens: long enough to count some tens of the urgent requests of all hosts,
/// short enough to follow a burst of a few seconds.
const ARRIVAL_WINDOW: Duration = Duration::from_secs(3);

/// Weight of one request in the mean size of requests and in the mean time for which they keep their memory.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Assumed until requests have been seen: the size of a request in tokens, and the time for which it keeps its memory.
const DEFAULT_REQUEST_TOKENS: f64 = 4_000.0;
const DEFAULT_HELD_TIME: Duration = Duration::from_secs(3);

/// How long a class is remembered after its last request.
const CLASS_LIFETIME: Duration = Duration::from_secs(600);

/// Where the work of a request stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkStage {
    /// It waits for memory.
    Waiting,
    /// It has memory at an engine.
    Running,
}

// Work of one class.
#[derive(Debug, Default)]
struct ClassWork {
    waiting: u64,
    waiting_tokens: u64,
    running: u64,
    running_tokens: u64,
    // Tokens that arrive per second, as of a time.
    arrival_rate: f64,
    rate_at: Duration,
    // Mean size of a request; none until one has arrived.
    request_tokens: Option<f64>,
}

impl ClassWork {
    fn rate(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.rate_at);
        self.arrival_rate * (-age.as_secs_f64() / ARRIVAL_WINDOW.as_secs_f64()).exp()
    }

    fn is_forgotten(&self, now: Duration) -> bool {
        let is_idle = self.waiting == 0 && self.running == 0;
        is_idle && now.saturating_sub(self.rate_at) > CLASS_LIFETIME
    }

    fn count_arrival(&mut self, tokens: u64, now: Duration) {
        let tokens = tokens as f64;
        self.arrival_rate = self.rate(now) + tokens / ARRIVAL_WINDOW.as_secs_f64();
        self.rate_at = now;
        let mean = self.request_tokens.unwrap_or(tokens);
        self.request_tokens = Some(mean + (tokens - mean) * SAMPLE_WEIGHT);
    }
}

/// This host's work by priority, for services whose requests have several priorities.
#[derive(Debug, Default)]
pub struct PriorityLedger {
    classes: BTreeMap<PriorityClass, ClassWork>,
    // Mean time for which requests keep their memory, in seconds; none until one has ended.
    held_seconds: Option<f64>,
}

impl PriorityLedger {
    /// Counts the arrival of a request that needs memory for this many tokens.
    pub fn arrived(&mut self, class: &PriorityClass, tokens: u64, now: Duration) {
        let work = self.classes.entry(class.clone()).or_default();
        work.count_arrival(tokens, now);
    }

    /// Counts the tokens of a request at a stage.
    pub fn started(&mut self, class: &PriorityClass, stage: WorkStage, tokens: u64) {
        let work = self.classes.entry(class.clone()).or_default();
        match stage {
            WorkStage::Waiting => {
                work.waiting += 1;
                work.waiting_tokens += tokens;
            }
            WorkStage::Running => {
                work.running += 1;
                work.running_tokens += tokens;
            }
        }
    }

    /// Counts the tokens of a request at a stage no more; it was there for this long.
    pub fn ended(&mut self, class: &PriorityClass, stage: WorkStage, tokens: u64, took: Duration) {
        let work = self.classes.get_mut(class);
        let work = work.expect("what ends was counted when it started");
        match stage {
            WorkStage::Waiting => {
                assert!(work.waiting > 0 && work.waiting_tokens >= tokens);
                work.waiting -= 1;
                work.waiting_tokens -= tokens;
            }
            WorkStage::Running => {
                assert!(work.running > 0 && work.running_tokens >= tokens);
                work.running -= 1;
                work.running_tokens -= tokens;
                let took = took.as_secs_f64();
                let mean = self.held_seconds.unwrap_or(took);
                self.held_seconds = Some(mean + (took - mean) * SAMPLE_WEIGHT);
            }
        }
    }

    /// The work of one service, by priority.
    pub fn service_loads(&self, service: &str, now: Duration) -> Vec<PriorityLoad> {
        let classes = self.classes.iter();
        let classes = classes.filter(|(class, _)| class.service == service);
        loads_of(classes, now)
    }

    /// The work of all services, for a load report. Forgets classes that had none for a long time.
    pub fn reported_loads(&mut self, now: Duration) -> Vec<PriorityLoad> {
        self.classes.retain(|_, work| !work.is_forgotten(now));
        priority_loads::limit_loads(loads_of(self.classes.iter(), now))
    }

    /// Tokens of the running requests of each known class.
    pub fn running_tokens(&self) -> Vec<(PriorityClass, u64)> {
        let classes = self.classes.iter();
        let running = classes.map(|(class, work)| (class.clone(), work.running_tokens));
        running.collect()
    }

    /// Mean size in tokens of a request up to this priority; of any request of the service if none has arrived.
    pub fn request_tokens(&self, class: &PriorityClass) -> u64 {
        let of_service = || {
            let classes = self.classes.iter();
            let classes = classes.filter(|(other, _)| other.service == class.service);
            classes.filter_map(|(other, work)| Some((other.priority, work.request_tokens?)))
        };
        let urgent = of_service().filter(|(priority, _)| *priority <= class.priority);
        let largest = urgent.map(|(_, tokens)| tokens).max_by(f64::total_cmp);
        let any = || of_service().map(|(_, tokens)| tokens).next();
        largest.or_else(any).unwrap_or(DEFAULT_REQUEST_TOKENS) as u64
    }

    /// Mean time for which a request keeps its memory.
    pub fn held_time(&self) -> Duration {
        let known = self.held_seconds.map(Duration::from_secs_f64);
        known.unwrap_or(DEFAULT_HELD_TIME)
    }
}

fn loads_of<'a>(
    classes: impl Iterator<Item = (&'a PriorityClass, &'a ClassWork)>,
    now: Duration,
) -> Vec<PriorityLoad> {
    let loads = classes.map(|(class, work)| PriorityLoad {
        class: class.clone(),
        waiting: work.waiting,
        waiting_tokens: work.waiting_tokens,
        running_tokens: work.running_tokens,
        arriving_tokens: work.rate(now) as u64,
    });
    loads.filter(|load| !load.is_idle()).collect()
}

//! The record of one suspect: a request or prompt part that was running on backend servers when they crashed.

use {
    super::{
        crash_report::{CrashEntry, CrashReport},
        crash_suspect::CrashSuspect,
        loads::EngineKey,
        past_time::PastTime,
    },
    std::time::Duration,
};

/// Crashed runs kept per record. More than make a suspect fatal, so that a run that was dropped does not count again when
/// another one is excused.
const MAX_RUNS: usize = 8;

/// How long a fatal request is rejected before its first and its second trial, so that a harmless request is rejected
/// for at most a minute. One trial may fail by chance: with the second one only after five minutes, one of six
/// simulations of ten minutes rejected a harmless request for longer (tests/relay_crash_innocents.rs). Each trial of a
/// request that is the cause costs a server, and operators accept three sends.
const TRIAL_DELAYS: [Duration; 2] = [Duration::from_secs(40), Duration::from_secs(12)];

/// Retry delay given to callers of a request that failed both trials.
const RETRY_AFTER: Duration = Duration::from_secs(60);

/// Minimum interval between updates of the time a request was last seen, since each update is sent to all hosts.
const SEEN_INTERVAL: Duration = Duration::from_secs(300);

// The crash of one server run while it was running the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ServerCrash {
    run: EngineKey,
    // The earliest time that any host reported.
    at: PastTime,
    // The suspect has run well since, so something else on that run was the cause.
    is_excused: bool,
}

/// The verdict on a suspect, or on a request by its worst one.
///
/// In the order of severity.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CrashVerdict {
    /// Too few crashes count against it to suspect it.
    Harmless,
    /// This many crashes count against it, too few to call it the cause.
    Suspected(usize),
    /// It counts as crashing servers, and one trial is due, one for all hosts together.
    TrialDue,
    /// It crashes servers and must not be sent to any for this long.
    Fatal(Duration),
}

/// The crashes and trials of one request. Merging is commutative and idempotent, so hosts that received the same
/// records hold the same state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashRecord {
    // Sorted by run.
    crashes: Vec<ServerCrash>,
    // When each trial began.
    trials: Vec<PastTime>,
    // When the request was last received, or last running on a server that crashed.
    seen: PastTime,
}

impl CrashRecord {
    /// A record without crashes.
    pub fn new(now: PastTime) -> Self {
        Self {
            crashes: Vec::new(),
            trials: Vec::new(),
            seen: now,
        }
    }

    /// A record received from another host.
    pub fn from_report(report: &CrashReport, now: Duration) -> Self {
        let ago = |age: Duration| PastTime::at(now).before(age);
        let mut record = Self::new(ago(report.seen));
        for crash in &report.crashes {
            record.add(ServerCrash {
                run: crash.run,
                at: ago(crash.age),
                is_excused: crash.is_excused,
            });
        }
        let trials: Vec<PastTime> = report.trials.iter().copied().map(ago).collect();
        record.add_trials(&trials);
        record
    }

    /// The record in the form sent to other hosts.
    pub fn report(&self, suspect: CrashSuspect, now: Duration) -> CrashReport {
        let crashes = self.crashes.iter().map(|crash| CrashEntry {
            run: crash.run,
            age: crash.at.age(now),
            is_excused: crash.is_excused,
        });
        CrashReport {
            digest: suspect.digest(),
            is_part: suspect.is_part(),
            crashes: crashes.collect(),
            trials: self.trials.iter().map(|at| at.age(now)).collect(),
            seen: self.seen.age(now),
        }
    }

    /// When the request was last received, or last running on a server that crashed.
    pub fn seen(&self) -> PastTime {
        self.seen
    }

    /// The number of crashes, excused ones included.
    pub fn crash_count(&self) -> usize {
        self.crashes.len()
    }

    /// The number of crashes that count; each server run counts once, however many hosts saw it crash.
    pub fn counted_crashes(&self) -> usize {
        self.counted_runs().count()
    }

    /// The server runs whose crashes count.
    pub fn counted_runs(&self) -> impl Iterator<Item = EngineKey> {
        let counted = self.crashes.iter().filter(|crash| !crash.is_excused);
        counted.map(|crash| crash.run)
    }

    /// When the crash with this number of the ones that count happened, or the last one if there are fewer.
    pub fn crash_time(&self, number: usize) -> Option<PastTime> {
        let counted = self.crashes.iter().filter(|crash| !crash.is_excused);
        let mut times: Vec<PastTime> = counted.map(|crash| crash.at).collect();
        times.sort();
        times.truncate(number);
        times.last().copied()
    }

    /// Whether the suspect has run well since some of the crashes.
    pub fn has_excused(&self) -> bool {
        self.crashes.iter().any(|crash| crash.is_excused)
    }

    /// Records the crash of a run. Returns whether it was not known before.
    pub fn record_crash(&mut self, run: EngineKey, at: PastTime) -> bool {
        self.record_seen(at);
        self.add(ServerCrash {
            run,
            at,
            is_excused: false,
        })
    }

    /// Excuses all crashes so far, because the suspect ran well. Returns whether any of them counted.
    pub fn excuse(&mut self) -> bool {
        let any_counted = self.counted_crashes() > 0;
        for crash in &mut self.crashes {
            crash.is_excused = true;
        }
        any_counted
    }

    /// Records that the request was received again. Returns whether other hosts need to know.
    pub fn record_seen(&mut self, at: PastTime) -> bool {
        let is_later = at.before(SEEN_INTERVAL) >= self.seen;
        if is_later {
            self.seen = at;
        }
        is_later
    }

    /// Records that a trial begins.
    pub fn record_trial(&mut self, now: PastTime) {
        assert!(
            self.trials.len() < TRIAL_DELAYS.len(),
            "a fatal request gets at most two trials"
        );
        self.trials.push(now);
    }

    /// Merges another host's record. Returns whether this record changed.
    pub fn merge(&mut self, other: &CrashRecord) -> bool {
        let before = self.clone();
        for crash in &other.crashes {
            self.add(*crash);
        }
        self.add_trials(&other.trials);
        self.record_seen(other.seen);
        *self != before
    }

    /// The verdict on a suspect that counts as the cause of its crashes.
    pub fn fatal_verdict(&self, now: Duration) -> CrashVerdict {
        let counted = self.crashes.iter().filter(|crash| !crash.is_excused);
        let events = counted
            .map(|crash| crash.at)
            .chain(self.trials.iter().copied());
        let since = events.max().map_or(Duration::ZERO, |last| last.age(now));
        let Some(delay) = TRIAL_DELAYS.get(self.trials.len()) else {
            // Rejected for as long as it is being received.
            return CrashVerdict::Fatal(RETRY_AFTER);
        };
        match delay.checked_sub(since) {
            Some(left) if !left.is_zero() => CrashVerdict::Fatal(left),
            _ => CrashVerdict::TrialDue,
        }
    }

    // Keeps the earliest time of a crash: the delay of each transmission makes it seem later, and a time that moved
    // with each message would be sent forever.
    fn add(&mut self, crash: ServerCrash) -> bool {
        match self
            .crashes
            .binary_search_by_key(&crash.run, |known| known.run)
        {
            Ok(index) => {
                let known = &mut self.crashes[index];
                known.at = known.at.min(crash.at);
                known.is_excused |= crash.is_excused;
                false
            }
            Err(index) => {
                self.crashes.insert(index, crash);
                self.drop_oldest();
                true
            }
        }
    }

    fn drop_oldest(&mut self) {
        if self.crashes.len() <= MAX_RUNS {
            return;
        }
        let oldest = self.crashes.iter().enumerate();
        let oldest = oldest.min_by_key(|(_, crash)| (!crash.is_excused, crash.at, crash.run));
        if let Some((index, _)) = oldest {
            self.crashes.remove(index);
        }
    }

    fn add_trials(&mut self, trials: &[PastTime]) {
        for (index, at) in trials.iter().enumerate() {
            match self.trials.get_mut(index) {
                Some(known) => *known = (*known).min(*at),
                None => self.trials.push(*at),
            }
        }
    }
}

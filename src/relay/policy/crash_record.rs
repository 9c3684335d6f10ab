//! What is known of one request under which backend servers ended.

use {
    super::{
        crash_mark::{CrashMark, EndMark},
        digest::RequestDigest,
        loads::EngineKey,
        past_time::PastTime,
    },
    std::time::Duration,
};

/// Runs of backend servers that end under a request until it is held to be the cause. Operators allow three.
pub const ENDS_TO_JUDGE: usize = 3;

/// Runs that a record keeps: more than are judged by, so that one that is taken back does not bring a run into
/// consideration again that was forgotten.
const RUNS_KEPT: usize = 8;

/// How long a request that is held to end its servers is refused before it may be tried, and tried again: nobody who did
/// nothing is refused for longer than a minute. One trial alone may fail by chance: with a second one only after five
/// minutes one of six simulations of ten minutes had somebody refused for longer (tests/relay_crash_innocents.rs). Each
/// trial of one that is the cause costs a server, and operators allow three sends.
const TRIAL_PAUSES: [Duration; 2] = [Duration::from_secs(40), Duration::from_secs(12)];

/// When the caller of one that failed both trials is to come back.
const COME_BACK: Duration = Duration::from_secs(60);

/// Least time by which a request has to have come again for its record to live on: each time is told to all hosts.
const SEEN_STEP: Duration = Duration::from_secs(300);

// The end of one run of a backend server under the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ServerEnd {
    run: EngineKey,
    // By the first who told of it.
    at: PastTime,
    // The request has run well since: others ran there too.
    is_excused: bool,
}

/// What a request is held to be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashJudgement {
    /// One like any other.
    Harmless,
    /// Some servers ended under it, too few to say that it was the cause.
    Suspected(usize),
    /// It ends its servers: it is to be sent to none for so long.
    Fatal(Duration),
    /// It ends its servers, as far as is known, and may be tried once by all hosts together.
    TrialDue,
}

/// What is known of one request. Two records of the same request can be merged in any order, any number of times: hosts
/// that heard the same hold the same.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashRecord {
    // By run, in their order.
    ends: Vec<ServerEnd>,
    // When each trial was.
    trials: Vec<PastTime>,
    // When the request last came, or ended a server.
    seen: PastTime,
}

impl CrashRecord {
    /// A record without an end.
    pub fn new(now: PastTime) -> Self {
        Self {
            ends: Vec::new(),
            trials: Vec::new(),
            seen: now,
        }
    }

    /// A record as another host told it.
    pub fn told(mark: &CrashMark, now: Duration) -> Self {
        let ago = |age: Duration| PastTime::at(now).before(age);
        let mut record = Self::new(ago(mark.seen));
        for end in &mark.ends {
            record.add(ServerEnd {
                run: end.run,
                at: ago(end.age),
                is_excused: end.is_excused,
            });
        }
        let trials: Vec<PastTime> = mark.trials.iter().copied().map(ago).collect();
        record.add_trials(&trials);
        record
    }

    /// The record as other hosts are told it.
    pub fn mark(&self, digest: RequestDigest, now: Duration) -> CrashMark {
        let ends = self.ends.iter().map(|end| EndMark {
            run: end.run,
            age: end.at.age(now),
            is_excused: end.is_excused,
        });
        CrashMark {
            digest,
            ends: ends.collect(),
            trials: self.trials.iter().map(|at| at.age(now)).collect(),
            seen: self.seen.age(now),
        }
    }

    /// When it last came, or ended a server.
    pub fn seen(&self) -> PastTime {
        self.seen
    }

    /// Ends that are known, those that are excused too.
    pub fn runs(&self) -> usize {
        self.ends.len()
    }

    /// Ends that count: server runs, whoever saw them.
    pub fn count(&self) -> usize {
        self.ends.iter().filter(|end| !end.is_excused).count()
    }

    /// A run ended under the request. Gives whether that is new.
    pub fn note_end(&mut self, run: EngineKey, at: PastTime) -> bool {
        self.note_seen(at);
        self.add(ServerEnd {
            run,
            at,
            is_excused: false,
        })
    }

    /// The request ran well: the ends so far were not its doing. Gives whether there were any.
    pub fn excuse(&mut self) -> bool {
        let had_any = self.count() > 0;
        for end in &mut self.ends {
            end.is_excused = true;
        }
        had_any
    }

    /// The request came again. Gives whether others are to hear of it.
    pub fn note_seen(&mut self, at: PastTime) -> bool {
        let is_later = at.before(SEEN_STEP) >= self.seen;
        if is_later {
            self.seen = at;
        }
        is_later
    }

    /// A trial begins.
    pub fn note_trial(&mut self, now: PastTime) {
        assert!(
            self.trials.len() < TRIAL_PAUSES.len(),
            "a request that ends its servers is tried twice at the most"
        );
        self.trials.push(now);
    }

    /// Takes what another host knows. Gives whether any of it is new.
    pub fn merge(&mut self, other: &CrashRecord) -> bool {
        let before = self.clone();
        for end in &other.ends {
            self.add(*end);
        }
        self.add_trials(&other.trials);
        self.note_seen(other.seen);
        *self != before
    }

    /// What the request is held to be.
    pub fn judge(&self, now: Duration) -> CrashJudgement {
        match self.count() {
            0 => CrashJudgement::Harmless,
            count if count < ENDS_TO_JUDGE => CrashJudgement::Suspected(count),
            _ => self.judge_fatal(now),
        }
    }

    fn judge_fatal(&self, now: Duration) -> CrashJudgement {
        let counted = self.ends.iter().filter(|end| !end.is_excused);
        let times = counted.map(|end| end.at).chain(self.trials.iter().copied());
        let since = times.max().map_or(Duration::ZERO, |last| last.age(now));
        let Some(pause) = TRIAL_PAUSES.get(self.trials.len()) else {
            // Refused for as long as it keeps coming.
            return CrashJudgement::Fatal(COME_BACK);
        };
        match pause.checked_sub(since) {
            Some(left) if !left.is_zero() => CrashJudgement::Fatal(left),
            _ => CrashJudgement::TrialDue,
        }
    }

    // The earliest time of an end counts: on its way to other hosts it seems later, and a time that grew with each
    // telling would be told forever.
    fn add(&mut self, end: ServerEnd) -> bool {
        match self.ends.binary_search_by_key(&end.run, |known| known.run) {
            Ok(place) => {
                let known = &mut self.ends[place];
                known.at = known.at.min(end.at);
                known.is_excused |= end.is_excused;
                false
            }
            Err(place) => {
                self.ends.insert(place, end);
                self.drop_oldest();
                true
            }
        }
    }

    fn drop_oldest(&mut self) {
        if self.ends.len() <= RUNS_KEPT {
            return;
        }
        let oldest = self.ends.iter().enumerate();
        let oldest = oldest.min_by_key(|(_, end)| (!end.is_excused, end.at, end.run));
        if let Some((place, _)) = oldest {
            self.ends.remove(place);
        }
    }

    fn add_trials(&mut self, trials: &[PastTime]) {
        for (number, at) in trials.iter().enumerate() {
            match self.trials.get_mut(number) {
                Some(known) => *known = (*known).min(*at),
                None => self.trials.push(*at),
            }
        }
    }
}

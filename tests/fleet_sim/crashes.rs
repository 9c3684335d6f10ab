//! Exchange between simulated hosts of the requests that crash servers.

use {
    super::{QUERY_TIMEOUT, STEP, SimFaults, SimFleet},
    bayplank::relay::{
        CachePosition, CrashReport, CrashSuspect, CrashTracker, CrashVerdict, EngineKey,
        FindingSource, ReportBudget, RequestDigest,
    },
    faststr::FastStr,
    rand::seq::SliceRandom,
    std::{collections::BTreeMap, time::Duration},
};

/// Pause before a failed report is sent again, as in the relay.
const RESEND_PAUSE: u64 = 200;
/// Pause between checks for something to report or a host to report to, as in the relay.
const CHECK_INTERVAL: u64 = 1_000;

/// How long a host of another zone that did not respond is skipped.
const SKIP_TIME: u64 = 2_000;

/// Message size of a mark, and of each server crash in it.
const MARK_BYTES: u64 = 40;
const END_BYTES: u64 = 16;

pub struct SimCrashes {
    pub book: CrashTracker,
    budget: ReportBudget,
    // Position up to which this host received each other host's book.
    positions: BTreeMap<usize, CachePosition>,
    // Revision of its own book up to which it has reported to the head of its zone, or to another zone.
    reported: BTreeMap<(FastStr, bool), u64>,
    // Hosts of other zones that did not respond, and until when nothing is sent to them.
    skipped: BTreeMap<usize, u64>,
    next_check: u64,
    has_learned: bool,
    pub sent_bytes: u64,
}

impl SimCrashes {
    pub fn new(id: u64) -> Self {
        Self {
            book: CrashTracker::new(id),
            budget: ReportBudget::default(),
            positions: BTreeMap::new(),
            reported: BTreeMap::new(),
            skipped: BTreeMap::new(),
            next_check: 0,
            has_learned: false,
            sent_bytes: 0,
        }
    }
}

fn bytes_of(marks: &[CrashReport]) -> u64 {
    let sizes = marks.iter();
    sizes
        .map(|mark| MARK_BYTES + END_BYTES * mark.crashes.len() as u64)
        .sum()
}

impl SimFleet {
    fn crash_now(&self) -> Duration {
        Duration::from_millis(self.now)
    }

    /// Records that a run of a server crashed while it served a request of a host.
    pub fn crash_under(&mut self, index: usize, digest: u128, run: u32) {
        self.crash_under_suspects(index, &[RequestDigest(digest).into()], run);
    }

    /// The same for a request with these suspects.
    pub fn crash_under_suspects(&mut self, index: usize, suspects: &[CrashSuspect], run: u32) {
        let now = self.crash_now();
        let crashes = &mut self.hosts[index].crashes;
        for suspect in suspects {
            crashes.book.record_crash(*suspect, EngineKey(run), now);
        }
        crashes.next_check = self.now;
    }

    /// Whether a host sends a request with a suspect now. Trials are granted by one host for all.
    pub fn sends(&mut self, index: usize, suspect: CrashSuspect, trial_host: usize) -> bool {
        let now = self.crash_now();
        let book = &mut self.hosts[index].crashes.book;
        book.record_seen(suspect, now);
        match book.verdict(suspect, now) {
            CrashVerdict::Harmless | CrashVerdict::Suspected(_) => true,
            CrashVerdict::Fatal(_) => false,
            CrashVerdict::TrialDue => {
                let crashes = &mut self.hosts[trial_host].crashes;
                crashes.next_check = self.now;
                crashes.book.grant_trial(suspect, now)
            }
        }
    }

    /// Whether a host considers a request fatal, that is, one that crashes its servers.
    pub fn considers_fatal(&self, index: usize, digest: u128) -> bool {
        let book = &self.hosts[index].crashes.book;
        let judgement = book.verdict(RequestDigest(digest), self.crash_now());
        matches!(judgement, CrashVerdict::Fatal(_) | CrashVerdict::TrialDue)
    }

    /// Runs until all hosts that are up and in a zone that `counts` accepts consider a request fatal, and returns how
    /// long that took.
    pub fn time_to_judge(
        &mut self,
        faults: &SimFaults,
        digest: u128,
        counts: impl Fn(&str) -> bool,
        bound: u64,
    ) -> u64 {
        let start = self.now;
        loop {
            let unaware = (0..self.hosts.len()).filter(|index| {
                let host = &self.hosts[*index];
                host.is_up && counts(&host.entry.zone) && !self.considers_fatal(*index, digest)
            });
            let unaware = unaware.count();
            if unaware == 0 {
                return self.now - start;
            }
            assert!(
                self.now - start < bound,
                "{unaware} hosts do not know of the fatal request within {bound} ms"
            );
            self.run(faults, STEP);
        }
    }

    /// Once it knows the other hosts, a starting host queries three of them, one of its own zone, before it is ready.
    pub(super) fn learn_crashes(&mut self, index: usize, faults: &SimFaults) {
        if self.hosts[index].crashes.has_learned || !self.hosts[index].knows_hosts {
            return;
        }
        self.hosts[index].crashes.has_learned = true;
        let own = self.hosts[index].entry.clone();
        let others = (0..self.hosts.len()).filter(|other| *other != index);
        let mut others: Vec<usize> = others.collect();
        others.shuffle(&mut self.rng);
        others.sort_by_key(|other| self.hosts[*other].entry.zone != own.zone);
        if let Some(last) = others.len().checked_sub(1).filter(|last| *last > 0) {
            others.swap(1, last);
        }
        for other in others.into_iter().take(3) {
            let entry = &self.hosts[other].entry;
            if self.hosts[other].is_up && (faults.path)(&own, entry) {
                self.take_crashes(index, other);
            }
        }
    }

    pub(super) fn has_crash_news(&self, index: usize, from: usize) -> bool {
        let known = self.hosts[index].crashes.positions.get(&from).copied();
        let book = &self.hosts[from].crashes.book;
        let news = book.updates_since(known.unwrap_or_default(), self.crash_now());
        !news.findings.is_empty()
    }

    pub(super) fn take_crashes(&mut self, index: usize, from: usize) {
        let now = self.crash_now();
        let known = self.hosts[index].crashes.positions.get(&from).copied();
        let sender = &mut self.hosts[from].crashes;
        let news = sender.book.updates_since(known.unwrap_or_default(), now);
        sender.sent_bytes += bytes_of(&news.findings);
        let crashes = &mut self.hosts[index].crashes;
        crashes
            .book
            .merge(&news.findings, FindingSource::Distributed, now);
        crashes.positions.insert(from, news.position);
    }

    pub(super) fn report_crashes(&mut self, index: usize, faults: &SimFaults) {
        if self.now < self.hosts[index].crashes.next_check || !self.hosts[index].knows_hosts {
            return;
        }
        let now = self.local_now(index);
        let targets = match self.hosts[index].choice.head(now) {
            Some(head) => vec![(head.name.clone(), self.place_of(&head.name), false)],
            None => self.zone_targets(index),
        };
        // A previous head may have died with what was reported to it. Other zones still have it.
        let reported = &mut self.hosts[index].crashes.reported;
        reported.retain(|(name, is_zone), _| {
            *is_zone || targets.iter().any(|target| target.0 == *name)
        });
        let mut all_reported = true;
        for (name, to, is_zone) in targets {
            all_reported &= self.report_crashes_to(index, name, to, is_zone, faults);
        }
        let pause = match all_reported {
            true => CHECK_INTERVAL,
            // A hanging connection also takes its timeout.
            false => RESEND_PAUSE + QUERY_TIMEOUT,
        };
        self.hosts[index].crashes.next_check = self.now + pause;
    }

    fn place_of(&self, name: &str) -> usize {
        let mut hosts = self.hosts.iter();
        hosts.position(|host| host.entry.name == name).unwrap()
    }

    fn zone_targets(&self, index: usize) -> Vec<(FastStr, usize, bool)> {
        let own = &self.hosts[index].entry.name;
        let mut zones: BTreeMap<FastStr, Vec<usize>> = BTreeMap::new();
        for (place, host) in self.hosts.iter().enumerate() {
            if host.entry.name != *own {
                zones
                    .entry(host.entry.zone.clone())
                    .or_default()
                    .push(place);
            }
        }
        let skipped = &self.hosts[index].crashes.skipped;
        let until = |place: &usize| {
            let until = skipped.get(place).copied();
            until.filter(|until| self.now < *until).unwrap_or_default()
        };
        let targets = zones.into_iter().map(|(zone, places)| {
            let to = places.into_iter().min_by_key(until).unwrap();
            (zone, to, true)
        });
        targets.collect()
    }

    fn report_crashes_to(
        &mut self,
        index: usize,
        name: FastStr,
        to: usize,
        is_zone: bool,
        faults: &SimFaults,
    ) -> bool {
        let now = self.crash_now();
        let crashes = &self.hosts[index].crashes;
        let reported = crashes.reported.get(&(name.clone(), is_zone)).copied();
        let since = match is_zone {
            true => Some(reported.unwrap_or_default()),
            false => reported,
        };
        let marks = crashes.book.reported_since(since, now);
        let marks = self.hosts[index].crashes.budget.limit(marks, now);
        let crashes = &self.hosts[index].crashes;
        let revision = crashes.book.position().revision;
        if marks.is_empty() {
            let reported = &mut self.hosts[index].crashes.reported;
            reported.insert((name, is_zone), revision);
            return true;
        }
        let (from, other) = (&self.hosts[index].entry, &self.hosts[to]);
        let is_reachable = other.is_up && (faults.path)(from, &other.entry);
        if !is_reachable {
            let local = self.local_now(index);
            let host = &mut self.hosts[index];
            match is_zone {
                true => {
                    host.crashes.skipped.insert(to, self.now + SKIP_TIME);
                }
                false => host.choice.note_report_failed(&name, local),
            }
            return false;
        }
        let is_head = other.choice.head(self.local_now(to)).is_none();
        let source = match is_zone && is_head {
            true => FindingSource::Distributed,
            false => FindingSource::Reported,
        };
        let at = &mut self.hosts[to].crashes;
        let before = at.book.position();
        at.book.merge(&marks, source, now);
        if at.book.position() != before {
            at.next_check = self.now;
        }
        let crashes = &mut self.hosts[index].crashes;
        crashes.sent_bytes += bytes_of(&marks);
        crashes.reported.insert((name, is_zone), revision);
        true
    }
}

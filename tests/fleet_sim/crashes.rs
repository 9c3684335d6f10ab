//! How hosts of the fleet tell each other which requests end servers.

use {
    super::{PATIENCE, STEP, SimFleet, SimTrouble},
    bayplank::relay::{
        CachePosition, CrashReport, CrashTracker, CrashVerdict, EngineKey, FindingSource,
        RequestDigest,
    },
    faststr::FastStr,
    rand::seq::SliceRandom,
    std::{collections::BTreeMap, time::Duration},
};

/// Pause before what was not taken is told again, and between looks for another host to tell; as the product has them.
const AGAIN: u64 = 200;
const LOOK: u64 = 1_000;

/// How long a host of another zone that did not answer is passed over.
const PASS_OVER: u64 = 2_000;

/// Bytes of a mark in messages, and of each end in it.
const MARK_BYTES: u64 = 40;
const END_BYTES: u64 = 16;

pub struct SimCrashes {
    pub book: CrashTracker,
    // Up to where this host was told of each other's book.
    places: BTreeMap<usize, CachePosition>,
    // Up to which revision of its own book it has told the head of its zone, or another zone.
    told: BTreeMap<(FastStr, bool), u64>,
    // Hosts of zones that did not answer, and until when none of it is sent to them.
    passed_over: BTreeMap<usize, u64>,
    next_look: u64,
    has_learned: bool,
    pub sent_bytes: u64,
}

impl SimCrashes {
    pub fn new(id: u64) -> Self {
        Self {
            book: CrashTracker::new(id),
            places: BTreeMap::new(),
            told: BTreeMap::new(),
            passed_over: BTreeMap::new(),
            next_look: 0,
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

    /// A server's run ends under a request of a host.
    pub fn end_under(&mut self, index: usize, digest: u128, run: u32) {
        let now = self.crash_now();
        let crashes = &mut self.hosts[index].crashes;
        crashes
            .book
            .record_crash(RequestDigest(digest), EngineKey(run), now);
        crashes.next_look = self.now;
    }

    /// Whether a host holds a request for one that ends its servers.
    pub fn holds_fatal(&self, index: usize, digest: u128) -> bool {
        let book = &self.hosts[index].crashes.book;
        let judgement = book.verdict(RequestDigest(digest), self.crash_now());
        matches!(judgement, CrashVerdict::Fatal(_) | CrashVerdict::TrialDue)
    }

    /// Runs until all hosts that are up and that `counts` names hold a request for fatal; gives how long that took.
    pub fn time_to_judge(
        &mut self,
        trouble: &SimTrouble,
        digest: u128,
        counts: impl Fn(&str) -> bool,
        bound: u64,
    ) -> u64 {
        let start = self.now;
        loop {
            let lacking = (0..self.hosts.len()).filter(|index| {
                let host = &self.hosts[*index];
                host.is_up && counts(&host.entry.zone) && !self.holds_fatal(*index, digest)
            });
            let lacking = lacking.count();
            if lacking == 0 {
                return self.now - start;
            }
            assert!(
                self.now - start < bound,
                "{lacking} hosts do not know within {bound} ms"
            );
            self.run(trouble, STEP);
        }
    }

    /// A host that knows the others asks three of them, one of its own zone, before it is ready.
    pub(super) fn learn_crashes(&mut self, index: usize, trouble: &SimTrouble) {
        if self.hosts[index].crashes.has_learned || !self.hosts[index].knows_hosts {
            return;
        }
        self.hosts[index].crashes.has_learned = true;
        let own = self.hosts[index].entry.clone();
        let others = (0..self.hosts.len()).filter(|other| *other != index);
        let mut others: Vec<usize> = others.collect();
        others.shuffle(&mut self.rng);
        others.sort_by_key(|other| self.hosts[*other].entry.zone != own.zone);
        others.swap(1, self.hosts.len() - 2);
        for other in others.into_iter().take(3) {
            let entry = &self.hosts[other].entry;
            if self.hosts[other].is_up && (trouble.path)(&own, entry) {
                self.take_crashes(index, other);
            }
        }
    }

    pub(super) fn has_crash_news(&self, index: usize, from: usize) -> bool {
        let known = self.hosts[index].crashes.places.get(&from).copied();
        let book = &self.hosts[from].crashes.book;
        let news = book.updates_since(known.unwrap_or_default(), self.crash_now());
        !news.findings.is_empty()
    }

    pub(super) fn take_crashes(&mut self, index: usize, from: usize) {
        let now = self.crash_now();
        let known = self.hosts[index].crashes.places.get(&from).copied();
        let teller = &mut self.hosts[from].crashes;
        let news = teller.book.updates_since(known.unwrap_or_default(), now);
        teller.sent_bytes += bytes_of(&news.findings);
        let crashes = &mut self.hosts[index].crashes;
        crashes
            .book
            .merge(&news.findings, FindingSource::Distributed, now);
        crashes.places.insert(from, news.position);
    }

    pub(super) fn tell_crashes(&mut self, index: usize, trouble: &SimTrouble) {
        if self.now < self.hosts[index].crashes.next_look || !self.hosts[index].knows_hosts {
            return;
        }
        let now = self.local_now(index);
        let targets = match self.hosts[index].choice.head(now) {
            Some(head) => vec![(head.name.clone(), self.place_of(&head.name), false)],
            None => self.zone_targets(index),
        };
        // What an earlier head had heard may have ended with it. Zones stay.
        let told = &mut self.hosts[index].crashes.told;
        told.retain(|(name, is_zone), _| {
            *is_zone || targets.iter().any(|target| target.0 == *name)
        });
        let mut all_told = true;
        for (name, to, is_zone) in targets {
            all_told &= self.tell_one(index, name, to, is_zone, trouble);
        }
        let pause = match all_told {
            true => LOOK,
            // A connection that hangs is waited for besides.
            false => AGAIN + PATIENCE,
        };
        self.hosts[index].crashes.next_look = self.now + pause;
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
        let passed_over = &self.hosts[index].crashes.passed_over;
        let until = |place: &usize| {
            let until = passed_over.get(place).copied();
            until.filter(|until| self.now < *until).unwrap_or_default()
        };
        let targets = zones.into_iter().map(|(zone, places)| {
            let to = places.into_iter().min_by_key(until).unwrap();
            (zone, to, true)
        });
        targets.collect()
    }

    fn tell_one(
        &mut self,
        index: usize,
        name: FastStr,
        to: usize,
        is_zone: bool,
        trouble: &SimTrouble,
    ) -> bool {
        let now = self.crash_now();
        let crashes = &self.hosts[index].crashes;
        let told = crashes.told.get(&(name.clone(), is_zone)).copied();
        let since = match is_zone {
            true => Some(told.unwrap_or_default()),
            false => told,
        };
        let marks = crashes.book.reported_since(since, now);
        let revision = crashes.book.position().revision;
        if marks.is_empty() {
            let told = &mut self.hosts[index].crashes.told;
            told.insert((name, is_zone), revision);
            return true;
        }
        let (from, other) = (&self.hosts[index].entry, &self.hosts[to]);
        let is_heard = other.is_up && (trouble.path)(from, &other.entry);
        if !is_heard {
            let local = self.local_now(index);
            let host = &mut self.hosts[index];
            match is_zone {
                true => {
                    host.crashes.passed_over.insert(to, self.now + PASS_OVER);
                }
                false => host.choice.note_unreported(&name, local),
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
            at.next_look = self.now;
        }
        let crashes = &mut self.hosts[index].crashes;
        crashes.sent_bytes += bytes_of(&marks);
        crashes.told.insert((name, is_zone), revision);
        true
    }
}

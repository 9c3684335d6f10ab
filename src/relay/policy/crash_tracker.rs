//! Detects requests and prompt parts that crash the backend servers running them, from the crashes this host observed and
//! those other hosts reported.
//!
//! A state machine without I/O. A server that crashes was running up to about twenty requests, any of which may be the
//! cause, as may any part of their prompts. Crashes are counted per suspect, each server run once: a suspect that was
//! running on some servers when they crashed, and has not run well since, is treated as the cause and rejected by all
//! hosts. Crashes that a fatal suspect explains make no other one fatal.

use {
    super::{
        crash_record::{CrashRecord, CrashVerdict},
        crash_report::{CrashReport, CrashUpdates},
        crash_suspect::{CrashSuspect, PART_FATAL_CRASHES},
        findings_cache::{CachePosition, FindingSource, FindingsCache},
        loads::EngineKey,
        past_time::PastTime,
    },
    std::{
        cmp::Reverse,
        collections::{BTreeSet, HashSet},
        time::Duration,
    },
};

/// Maximum number of records; 512 take about 100 kB. Beyond it, the record with the fewest crashes is evicted, the least
/// recently seen first. A suspect counts as fatal only after several crashes, so a flood of distinct ones evicts other
/// records first.
const MAX_RECORDS: usize = 512;

/// How long a record is kept after its suspect was last seen.
const RECORD_TTL: Duration = Duration::from_secs(1_800);

/// Minimum number of crashes for a record to be sent to all hosts. Each crash leaves dozens of suspects with a single
/// crash, which only the hosts that aggregate reports need to know of.
const MIN_CRASHES_TO_SHARE: usize = 2;

/// Maximum number of prompt parts that are not fatal in an update for all hosts, since callers choose how many there are.
const MAX_SHARED_PARTS: usize = 8;

/// Crashes that no other fatal suspect explains, without which a suspect does not count as a cause. One may have had any
/// other cause.
const MIN_UNEXPLAINED_CRASHES: usize = 2;

/// How the verdict on a suspect changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VerdictChange {
    /// The suspect now counts as fatal.
    BecameFatal,
    /// The suspect no longer counts as fatal.
    NoLongerFatal,
}

/// The suspects whose verdict changed.
pub type VerdictChanges = Vec<(CrashSuspect, VerdictChange)>;

/// The suspects that were running on backend servers when those crashed.
#[derive(Debug)]
pub struct CrashTracker {
    records: FindingsCache<CrashSuspect, CrashRecord>,
    fatal: BTreeSet<CrashSuspect>,
}

impl CrashTracker {
    /// An empty tracker; `id` is a random number that identifies it to other hosts.
    pub fn new(id: u64) -> Self {
        Self {
            records: FindingsCache::new(id),
            fatal: BTreeSet::new(),
        }
    }

    /// The position of a peer that has received everything; the revision increases with each change.
    pub fn position(&self) -> CachePosition {
        self.records.position()
    }

    /// Whether there is no record.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// The number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// The suspects that count as fatal.
    pub fn fatal_suspects(&self) -> &BTreeSet<CrashSuspect> {
        &self.fatal
    }

    /// The current verdict on a suspect.
    pub fn verdict(&self, suspect: impl Into<CrashSuspect>, now: Duration) -> CrashVerdict {
        let suspect = suspect.into();
        let Some(record) = self.records.get(&suspect) else {
            return CrashVerdict::Harmless;
        };
        if self.fatal.contains(&suspect) {
            return record.fatal_verdict(now);
        }
        match record.counted_crashes() {
            count if count >= suspect.suspected_crashes() => CrashVerdict::Suspected(count),
            _ => CrashVerdict::Harmless,
        }
    }

    /// Records that a server run crashed while it was running a suspect for a caller of this host.
    pub fn record_crash(
        &mut self,
        suspect: impl Into<CrashSuspect>,
        run: EngineKey,
        now: Duration,
    ) -> VerdictChanges {
        let at = PastTime::at(now);
        self.change(suspect.into(), at, FindingSource::Reported, now, |record| {
            record.record_crash(run, at)
        });
        self.update_fatal(now)
    }

    /// Records that a request of this host has shown the suspect to be harmless: it completed, or its server has been writing
    /// on the part for a while.
    pub fn record_success(
        &mut self,
        suspect: impl Into<CrashSuspect>,
        now: Duration,
    ) -> VerdictChanges {
        let suspect = suspect.into();
        if self.records.get(&suspect).is_none() {
            return VerdictChanges::new();
        }
        let at = PastTime::at(now);
        self.change(
            suspect,
            at,
            FindingSource::Reported,
            now,
            CrashRecord::excuse,
        );
        self.update_fatal(now)
    }

    /// Extends the life of a suspect's record, if there is one, because it was received again.
    pub fn record_seen(&mut self, suspect: impl Into<CrashSuspect>, now: Duration) {
        let (suspect, at) = (suspect.into(), PastTime::at(now));
        if self.records.get(&suspect).is_some() {
            self.change(suspect, at, FindingSource::Reported, now, |record| {
                record.record_seen(at)
            });
        }
    }

    /// Whether a fatal suspect may be sent once more as a trial, one for all hosts together. Records the trial if so.
    pub fn grant_trial(&mut self, suspect: impl Into<CrashSuspect>, now: Duration) -> bool {
        let suspect = suspect.into();
        let is_due = self.verdict(suspect, now) == CrashVerdict::TrialDue;
        if is_due {
            let at = PastTime::at(now);
            self.change(suspect, at, FindingSource::Reported, now, |record| {
                record.record_trial(at);
                true
            });
        }
        is_due
    }

    /// Merges the records of another host; returns the suspects whose verdict changed.
    pub fn merge(
        &mut self,
        reports: &[CrashReport],
        source: FindingSource,
        now: Duration,
    ) -> VerdictChanges {
        for report in reports {
            let received = &CrashRecord::from_report(report, now);
            if is_expired(received, now) {
                continue;
            }
            self.change(report.suspect(), received.seen(), source, now, |record| {
                record.merge(received)
            });
        }
        self.update_fatal(now)
    }

    // Changes a suspect's record, creating one last seen at `seen` if needed.
    fn change(
        &mut self,
        suspect: CrashSuspect,
        seen: PastTime,
        source: FindingSource,
        now: Duration,
        change: impl FnOnce(&mut CrashRecord) -> bool,
    ) {
        let begin = || CrashRecord::new(seen);
        self.records.change(suspect, begin, source, now, change);
    }

    // Evicts records and determines anew which suspects count as fatal.
    fn update_fatal(&mut self, now: Duration) -> VerdictChanges {
        self.evict(now);
        let fatal = self.find_fatal();
        let became = fatal.difference(&self.fatal);
        let became = became.map(|suspect| (*suspect, VerdictChange::BecameFatal));
        let cleared = self.fatal.difference(&fatal);
        let cleared = cleared.map(|suspect| (*suspect, VerdictChange::NoLongerFatal));
        let changes = became.chain(cleared).collect();
        self.fatal = fatal;
        changes
    }

    // A fatal suspect explains all of its crashes. Of several, the likelier cause comes first: with enough crashes for any
    // kind of suspect, that no answer has cleared, the first to have had so many, and a request before a part, which it
    // has. The result depends on the records alone, so that hosts with the same records agree.
    fn find_fatal(&self) -> BTreeSet<CrashSuspect> {
        let records = self.records.iter();
        let mut candidates: Vec<(&CrashSuspect, &CrashRecord)> = records
            .filter(|(suspect, record)| record.counted_crashes() >= suspect.fatal_crashes())
            .collect();
        candidates.sort_by_key(|(suspect, record)| {
            let crashes = Reverse(record.counted_crashes().min(PART_FATAL_CRASHES));
            let reached = record.crash_time(PART_FATAL_CRASHES);
            let kind = suspect.is_part();
            (crashes, record.has_excused(), reached, kind, **suspect)
        });
        let mut explained = HashSet::new();
        let mut fatal = BTreeSet::new();
        for (suspect, record) in candidates {
            let runs = record.counted_runs();
            let unexplained = runs.filter(|run| !explained.contains(run)).count();
            if unexplained >= MIN_UNEXPLAINED_CRASHES {
                explained.extend(record.counted_runs());
                fatal.insert(*suspect);
            }
        }
        fatal
    }

    fn evict(&mut self, now: Duration) {
        self.records.retain(|_, record| !is_expired(record, now));
        while self.records.len() > MAX_RECORDS {
            let records = self.records.iter();
            let least = records.min_by_key(|(suspect, record)| {
                (record.counted_crashes(), record.seen(), **suspect)
            });
            let Some(suspect) = least.map(|(suspect, _)| *suspect) else {
                return;
            };
            self.records.remove(&suspect);
        }
    }

    /// The records for all hosts that a peer lacks; `known` is the position up to which it received this tracker.
    pub fn updates_since(&self, known: CachePosition, now: Duration) -> CrashUpdates {
        // Includes excused crashes: a peer may have received them before they were excused.
        let changed = self.records.changed_since(known);
        let changed = changed.filter(|(_, record)| record.crash_count() >= MIN_CRASHES_TO_SHARE);
        let is_bounded =
            |suspect: &CrashSuspect| suspect.is_part() && !self.fatal.contains(suspect);
        let (mut parts, mut shared): (Vec<_>, Vec<_>) =
            changed.partition(|(suspect, _)| is_bounded(suspect));
        parts.sort_by_key(|(_, record)| Reverse(record.crash_count()));
        shared.extend(parts.into_iter().take(MAX_SHARED_PARTS));
        let reports = shared
            .into_iter()
            .map(|(suspect, record)| record.report(*suspect, now))
            .collect();
        CrashUpdates {
            position: self.position(),
            findings: reports,
        }
    }

    /// The changes after a revision that are reported to an aggregating or distributing host. A host that received no
    /// report yet gets the recent changes only: the previous aggregator has distributed the earlier ones.
    pub fn reported_since(&self, revision: Option<u64>, now: Duration) -> Vec<CrashReport> {
        let reported = self.records.reported_since(revision, now);
        let reports = reported.map(|(suspect, record)| record.report(*suspect, now));
        reports.collect()
    }

    /// The record of a fatal suspect in the form sent to other hosts; `None` if it does not count as fatal.
    pub fn fatal_report(&self, suspect: CrashSuspect, now: Duration) -> Option<CrashReport> {
        let record = self.records.get(&suspect)?;
        let is_fatal = self.fatal.contains(&suspect);
        is_fatal.then(|| record.report(suspect, now))
    }

    /// At most `most` records, those with the most crashes first, then the most recently changed. Enough for hosts that
    /// all exchange records with each other.
    pub fn latest(&self, most: usize, now: Duration) -> Vec<CrashReport> {
        let mut latest: Vec<(&CrashSuspect, &CrashRecord)> = self.records.iter().collect();
        latest.sort_by_key(|(suspect, record)| {
            Reverse((
                record.counted_crashes(),
                self.records.changed_revision(suspect),
            ))
        });
        latest.truncate(most);
        let reports = latest.into_iter();
        reports
            .map(|(suspect, record)| record.report(*suspect, now))
            .collect()
    }
}

fn is_expired(record: &CrashRecord, now: Duration) -> bool {
    record.seen().age(now) >= RECORD_TTL
}

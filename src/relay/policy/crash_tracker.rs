//! Detects requests that crash the backend servers running them, from the crashes this host observed and those other
//! hosts reported.
//!
//! A state machine without I/O. A server that crashes was running up to about twenty requests, any of which may be the
//! cause. Crashes are counted per request, each server run once: a request that was running on three servers when they
//! crashed, and has not completed since, is treated as the cause and rejected by all hosts.

use {
    super::{
        crash_record::{CrashRecord, CrashVerdict, FATAL_CRASHES},
        crash_report::{CrashReport, CrashUpdates},
        digest::RequestDigest,
        findings_cache::{CachePosition, FindingSource, FindingsCache},
        loads::EngineKey,
        past_time::PastTime,
    },
    std::{cmp::Reverse, time::Duration},
};

/// Maximum number of request records; 512 take about 100 kB. Beyond it, the record with the fewest crashes is evicted,
/// the least recently seen first. A request counts as fatal only after three crashes, so a flood of distinct requests
/// evicts other records first.
const MAX_RECORDS: usize = 512;

/// How long a record is kept after its request was last seen.
const RECORD_TTL: Duration = Duration::from_secs(1_800);

/// Minimum number of crashes for a record to be sent to all hosts. Each crash leaves up to twenty requests with a
/// single crash, which only the hosts that aggregate reports need to know of.
const MIN_CRASHES_TO_SHARE: usize = 2;

/// How the verdict on a request changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VerdictChange {
    /// The request now counts as fatal.
    BecameFatal,
    /// The request no longer counts as fatal.
    NoLongerFatal,
}

/// The requests that were running on backend servers when those crashed.
#[derive(Debug)]
pub struct CrashTracker {
    records: FindingsCache<RequestDigest, CrashRecord>,
}

impl CrashTracker {
    /// An empty tracker; `id` is a random number that identifies it to other hosts.
    pub fn new(id: u64) -> Self {
        Self {
            records: FindingsCache::new(id),
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

    /// The number of requests that count as fatal.
    pub fn fatal_count(&self) -> usize {
        self.fatal_digests().len()
    }

    /// The requests that count as fatal.
    pub fn fatal_digests(&self) -> Vec<RequestDigest> {
        let records = self.records.iter();
        let fatal = records.filter(|(_, record)| record.counted_crashes() >= FATAL_CRASHES);
        fatal.map(|(digest, _)| *digest).collect()
    }

    /// The current verdict on a request.
    pub fn verdict(&self, digest: RequestDigest, now: Duration) -> CrashVerdict {
        let record = self.records.get(&digest);
        record.map_or(CrashVerdict::Harmless, |record| record.verdict(now))
    }

    /// Records that a server run crashed while it was running a request of this host.
    pub fn record_crash(
        &mut self,
        digest: RequestDigest,
        run: EngineKey,
        now: Duration,
    ) -> Option<VerdictChange> {
        let at = PastTime::at(now);
        self.change(digest, at, FindingSource::Reported, now, |record| {
            record.record_crash(run, at)
        })
    }

    /// Records that a request of this host completed.
    pub fn record_success(
        &mut self,
        digest: RequestDigest,
        now: Duration,
    ) -> Option<VerdictChange> {
        self.records.get(&digest)?;
        let at = PastTime::at(now);
        self.change(
            digest,
            at,
            FindingSource::Reported,
            now,
            CrashRecord::excuse,
        )
    }

    /// Extends the life of a request's record, if there is one, because the request was received again.
    pub fn record_seen(&mut self, digest: RequestDigest, now: Duration) {
        let at = PastTime::at(now);
        if self.records.get(&digest).is_some() {
            self.change(digest, at, FindingSource::Reported, now, |record| {
                record.record_seen(at)
            });
        }
    }

    /// Whether a fatal request may be sent once more as a trial, one for all hosts together. Records the trial if so.
    pub fn grant_trial(&mut self, digest: RequestDigest, now: Duration) -> bool {
        let is_due = self.verdict(digest, now) == CrashVerdict::TrialDue;
        if is_due {
            let at = PastTime::at(now);
            self.change(digest, at, FindingSource::Reported, now, |record| {
                record.record_trial(at);
                true
            });
        }
        is_due
    }

    /// Merges the records of another host; returns the requests whose verdict changed.
    pub fn merge(
        &mut self,
        reports: &[CrashReport],
        source: FindingSource,
        now: Duration,
    ) -> Vec<(RequestDigest, VerdictChange)> {
        let changes = reports.iter().filter_map(|report| {
            let received = &CrashRecord::from_report(report, now);
            if is_expired(received, now) {
                return None;
            }
            let change = self.change(report.digest, received.seen(), source, now, |record| {
                record.merge(received)
            });
            Some((report.digest, change?))
        });
        changes.collect()
    }

    // Changes a request's record, creating one last seen at `seen` if needed.
    fn change(
        &mut self,
        digest: RequestDigest,
        seen: PastTime,
        source: FindingSource,
        now: Duration,
        change: impl FnOnce(&mut CrashRecord) -> bool,
    ) -> Option<VerdictChange> {
        let was_fatal = self.is_fatal(digest);
        let begin = || CrashRecord::new(seen);
        if !self.records.change(digest, begin, source, now, change) {
            return None;
        }
        let is_fatal = self.is_fatal(digest);
        self.evict(now);
        match (was_fatal, is_fatal) {
            (false, true) => Some(VerdictChange::BecameFatal),
            (true, false) => Some(VerdictChange::NoLongerFatal),
            _ => None,
        }
    }

    fn is_fatal(&self, digest: RequestDigest) -> bool {
        let record = self.records.get(&digest);
        record.is_some_and(|record| record.counted_crashes() >= FATAL_CRASHES)
    }

    fn evict(&mut self, now: Duration) {
        self.records.retain(|_, record| !is_expired(record, now));
        while self.records.len() > MAX_RECORDS {
            let records = self.records.iter();
            let least = records
                .min_by_key(|(digest, record)| (record.counted_crashes(), record.seen(), **digest));
            let Some(digest) = least.map(|(digest, _)| *digest) else {
                return;
            };
            self.records.remove(&digest);
        }
    }

    /// The records for all hosts that a peer lacks; `known` is the position up to which it received this tracker.
    pub fn updates_since(&self, known: CachePosition, now: Duration) -> CrashUpdates {
        // Includes excused crashes: a peer may have received them before they were excused.
        let changed = self.records.changed_since(known);
        let changed = changed.filter(|(_, record)| record.crash_count() >= MIN_CRASHES_TO_SHARE);
        let reports = changed
            .map(|(digest, record)| record.report(*digest, now))
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
        let reports = reported.map(|(digest, record)| record.report(*digest, now));
        reports.collect()
    }

    /// The record of a fatal request in the form sent to other hosts; `None` if the request does not count as fatal.
    pub fn fatal_report(&self, digest: RequestDigest, now: Duration) -> Option<CrashReport> {
        let record = self.records.get(&digest)?;
        self.is_fatal(digest).then(|| record.report(digest, now))
    }

    /// At most `most` records, those with the most crashes first, then the most recently changed. Enough for hosts that
    /// all exchange records with each other.
    pub fn latest(&self, most: usize, now: Duration) -> Vec<CrashReport> {
        let mut latest: Vec<(&RequestDigest, &CrashRecord)> = self.records.iter().collect();
        latest.sort_by_key(|(digest, record)| {
            Reverse((
                record.counted_crashes(),
                self.records.changed_revision(digest),
            ))
        });
        latest.truncate(most);
        let reports = latest.into_iter();
        reports
            .map(|(digest, record)| record.report(*digest, now))
            .collect()
    }
}

fn is_expired(record: &CrashRecord, now: Duration) -> bool {
    record.seen().age(now) >= RECORD_TTL
}

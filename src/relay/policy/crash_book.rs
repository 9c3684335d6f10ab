//! Which requests end the backend servers that run them: what this host saw and what others told.
//!
//! A plain state machine. A server that ends has up to some twenty requests under it, and one of them may be the cause.
//! Ends are counted by request and by server run: who was under three of them, and has not run well since, is held to be
//! the cause and is refused by all hosts.

use {
    super::{
        crash_mark::{CrashMark, CrashNews},
        crash_record::{CrashJudgement, CrashRecord, ENDS_TO_JUDGE},
        digest::RequestDigest,
        findings_cache::{CachePosition, FindingsCache, MarkSource},
        loads::EngineKey,
        past_time::PastTime,
    },
    std::{cmp::Reverse, time::Duration},
};

/// Requests that are remembered. Each that is held to be fatal has cost three servers, so that whoever makes up others
/// pushes out those under which the fewest ended first, the longest unseen of them: 512 records are some 100 kB.
const RECORDS_MOST: usize = 512;

/// How long a request is remembered that does not come again.
const RECORD_LIFE: Duration = Duration::from_secs(1_800);

/// Ends from which on all hosts are told: those under whom one server ended are twenty for each that is the cause, and
/// only hosts that add up need them.
const ENDS_TO_TELL: usize = 2;

/// What has become of a judgement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashChange {
    /// The request is held to end its servers from now on.
    Judged,
    /// It no longer is.
    Cleared,
}

/// All requests under which backend servers ended.
#[derive(Debug)]
pub struct CrashBook {
    records: FindingsCache<RequestDigest, CrashRecord>,
}

impl CrashBook {
    /// A book in which nothing stands; `id` is drawn at random.
    pub fn new(id: u64) -> Self {
        Self {
            records: FindingsCache::new(id),
        }
    }

    /// What somebody has been told who was told everything; its revision grows with each change.
    pub fn place(&self) -> CachePosition {
        self.records.place()
    }

    /// Whether no request is remembered.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Requests that are remembered.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Requests that are held to end their servers.
    pub fn fatal_count(&self) -> usize {
        self.fatal_digests().len()
    }

    /// The requests that are held to end their servers.
    pub fn fatal_digests(&self) -> Vec<RequestDigest> {
        let records = self.records.iter();
        let fatal = records.filter(|(_, record)| record.count() >= ENDS_TO_JUDGE);
        fatal.map(|(digest, _)| *digest).collect()
    }

    /// What a request is held to be.
    pub fn judge(&self, digest: RequestDigest, now: Duration) -> CrashJudgement {
        let record = self.records.get(&digest);
        record.map_or(CrashJudgement::Harmless, |record| record.judge(now))
    }

    /// A server's run ended under a request of this host.
    pub fn note_end(
        &mut self,
        digest: RequestDigest,
        run: EngineKey,
        now: Duration,
    ) -> Option<CrashChange> {
        let at = PastTime::at(now);
        self.change(digest, at, MarkSource::Reported, now, |record| {
            record.note_end(run, at)
        })
    }

    /// A request ran well here.
    pub fn note_good_run(&mut self, digest: RequestDigest, now: Duration) -> Option<CrashChange> {
        self.records.get(&digest)?;
        let at = PastTime::at(now);
        self.change(digest, at, MarkSource::Reported, now, CrashRecord::excuse)
    }

    /// A request came that is remembered: its record lives on.
    pub fn note_seen(&mut self, digest: RequestDigest, now: Duration) {
        let at = PastTime::at(now);
        if self.records.get(&digest).is_some() {
            self.change(digest, at, MarkSource::Reported, now, |record| {
                record.note_seen(at)
            });
        }
    }

    /// Whether a request may be tried now, once by all hosts together; if so, the trial begins.
    pub fn grant_trial(&mut self, digest: RequestDigest, now: Duration) -> bool {
        let is_due = self.judge(digest, now) == CrashJudgement::TrialDue;
        if is_due {
            let at = PastTime::at(now);
            self.change(digest, at, MarkSource::Reported, now, |record| {
                record.note_trial(at);
                true
            });
        }
        is_due
    }

    /// Takes what another host told; gives the requests of which the judgement has changed.
    pub fn take(
        &mut self,
        marks: &[CrashMark],
        source: MarkSource,
        now: Duration,
    ) -> Vec<(RequestDigest, CrashChange)> {
        let changes = marks.iter().filter_map(|mark| {
            let theirs = &CrashRecord::told(mark, now);
            if is_old(theirs, now) {
                return None;
            }
            let change = self.change(mark.digest, theirs.seen(), source, now, |record| {
                record.merge(theirs)
            });
            Some((mark.digest, change?))
        });
        changes.collect()
    }

    // Changes a request's record, or begins one as of `seen`.
    fn change(
        &mut self,
        digest: RequestDigest,
        seen: PastTime,
        source: MarkSource,
        now: Duration,
        change: impl FnOnce(&mut CrashRecord) -> bool,
    ) -> Option<CrashChange> {
        let was_fatal = self.is_fatal(digest);
        let begin = || CrashRecord::new(seen);
        if !self.records.change(digest, begin, source, now, change) {
            return None;
        }
        let is_fatal = self.is_fatal(digest);
        self.forget(now);
        match (was_fatal, is_fatal) {
            (false, true) => Some(CrashChange::Judged),
            (true, false) => Some(CrashChange::Cleared),
            _ => None,
        }
    }

    fn is_fatal(&self, digest: RequestDigest) -> bool {
        let record = self.records.get(&digest);
        record.is_some_and(|record| record.count() >= ENDS_TO_JUDGE)
    }

    fn forget(&mut self, now: Duration) {
        self.records.retain(|_, record| !is_old(record, now));
        while self.records.len() > RECORDS_MOST {
            let records = self.records.iter();
            let least =
                records.min_by_key(|(digest, record)| (record.count(), record.seen(), **digest));
            let Some(digest) = least.map(|(digest, _)| *digest) else {
                return;
            };
            self.records.remove(&digest);
        }
    }

    /// What an asker is to know of which all hosts are told; `known` is what it has been told of this book.
    pub fn news_since(&self, known: CachePosition, now: Duration) -> CrashNews {
        // Those that are excused too: others may have heard of the ends alone.
        let told = self.records.since(known);
        let told = told.filter(|(_, record)| record.runs() >= ENDS_TO_TELL);
        let marks = told
            .map(|(digest, record)| record.mark(*digest, now))
            .collect();
        CrashNews {
            place: self.place(),
            marks,
        }
    }

    /// What a host that adds up, or tells others, is to hear of this one, after a revision of this book. Where it was never
    /// told anything that is what has changed lately: whoever added up before has told the rest.
    pub fn reported_since(&self, revision: Option<u64>, now: Duration) -> Vec<CrashMark> {
        let reported = self.records.reported_since(revision, now);
        let marks = reported.map(|(digest, record)| record.mark(*digest, now));
        marks.collect()
    }

    /// A request that is held to end its servers, as it is told; none where it no longer is.
    pub fn fatal_mark(&self, digest: RequestDigest, now: Duration) -> Option<CrashMark> {
        let record = self.records.get(&digest)?;
        self.is_fatal(digest).then(|| record.mark(digest, now))
    }

    /// What has changed last, of so many requests at the most: hosts that all tell each other need no more.
    pub fn latest(&self, most: usize, now: Duration) -> Vec<CrashMark> {
        let mut latest: Vec<(&RequestDigest, &CrashRecord)> = self.records.iter().collect();
        latest.sort_by_key(|(digest, record)| {
            Reverse((record.count(), self.records.changed(digest)))
        });
        latest.truncate(most);
        let marks = latest.into_iter();
        marks
            .map(|(digest, record)| record.mark(*digest, now))
            .collect()
    }
}

fn is_old(record: &CrashRecord, now: Duration) -> bool {
    record.seen().age(now) >= RECORD_LIFE
}

//! Requests that crash their backend servers, shared by all requests of a host.

use {
    super::verdict::{Refusal, RefusalCode, RunVerdict},
    crate::{
        clock::HostClock,
        event,
        relay::{
            CrashReport, CrashTracker, CrashVerdict, EngineKey, FindingSource, RequestDigest,
            VerdictChange, VerdictChanges,
        },
        web::{self, ProbeOutcome},
    },
    std::{
        net::SocketAddr,
        sync::{Mutex, MutexGuard},
        time::Duration,
    },
    tokio::net::TcpStream,
};

/// Time limit for probing a server after a broken connection; the call is retried elsewhere after it.
const PROBE_TIME_LIMIT: Duration = Duration::from_millis(350);

/// Maximum number of marks, most recently changed first, in one exchange with another host: about 3 kB.
const MAX_EXCHANGED_MARKS: usize = 16;

/// Retry delay for a request that is due for a trial but may have run already, so that it cannot be the trial.
const TRIAL_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Requests that crash their servers, from this host's observations and from reports by other hosts.
#[derive(Debug)]
pub struct SharedCrashes {
    book: Mutex<CrashTracker>,
    clock: HostClock,
}

impl SharedCrashes {
    /// Creates an empty record.
    pub fn new(clock: HostClock) -> Self {
        Self {
            book: Mutex::new(CrashTracker::new(rand::random())),
            clock,
        }
    }

    fn book(&self) -> MutexGuard<'_, CrashTracker> {
        self.book.lock().expect("crash book")
    }

    /// Refuses a request that is known to crash its servers; `verdict` says whether it may have run so far.
    ///
    /// If a trial is due, the first host that receives the request admits it; other hosts learn of the trial in the
    /// next exchange.
    pub fn check(&self, digest: RequestDigest, verdict: RunVerdict) -> Result<(), Refusal> {
        let now = self.clock.now();
        let mut book = self.book();
        let wait = match book.verdict(digest, now) {
            CrashVerdict::Harmless | CrashVerdict::Suspected(_) => return Ok(()),
            CrashVerdict::TrialDue if verdict == RunVerdict::NotRun => {
                book.grant_trial(digest, now);
                event::emit(
                    &event::REQUEST_TRIED,
                    &[("suspect", &"request"), ("digest", &digest)],
                );
                return Ok(());
            }
            CrashVerdict::TrialDue => TRIAL_RETRY_AFTER,
            CrashVerdict::Fatal(wait) => wait,
        };
        book.record_seen(digest, now);
        let text =
            format!("backend servers end under this request ({digest}), so it is sent to none");
        Err(Refusal::new(verdict, RefusalCode::EndsServers, text).after(wait))
    }

    /// Probes a server whose connection broke during a request, and records a crash if it refuses connections.
    ///
    /// A restarted server counts as the same server, because the platform does not distinguish runs of the same name.
    pub async fn probe_for_crash(&self, digest: RequestDigest, server: &str, address: SocketAddr) {
        let probe = web::within(
            PROBE_TIME_LIMIT,
            web::probe_patiently(TcpStream::connect, address),
        );
        if probe.await != Ok(ProbeOutcome::Refused) {
            return;
        }
        event::emit(
            &event::BACKEND_ENDED,
            &[("backend", &server), ("digest", &digest)],
        );
        let now = self.clock.now();
        let changes = self.book().record_crash(digest, EngineKey::of(server), now);
        log_changes(&changes);
    }

    /// Records a successful run of a request.
    pub fn note_good_run(&self, digest: RequestDigest) {
        let now = self.clock.now();
        let changes = self.book().record_success(digest, now);
        log_changes(&changes);
    }

    /// Returns the marks to send to other hosts.
    pub fn marks(&self) -> Vec<CrashReport> {
        self.book().latest(MAX_EXCHANGED_MARKS, self.clock.now())
    }

    /// Merges marks received from another host.
    pub fn take(&self, marks: &[CrashReport]) {
        if marks.is_empty() {
            return;
        }
        let changes = self
            .book()
            .merge(marks, FindingSource::Distributed, self.clock.now());
        log_changes(&changes);
    }

    /// Returns the number of requests that are known to crash their servers.
    pub fn fatal_count(&self) -> usize {
        self.book().fatal_suspects().len()
    }
}

fn log_changes(changes: &VerdictChanges) {
    for (suspect, change) in changes {
        let kind = match change {
            VerdictChange::BecameFatal => &event::REQUEST_JUDGED,
            VerdictChange::NoLongerFatal => &event::REQUEST_CLEARED,
        };
        event::emit(kind, &[("suspect", &suspect.kind()), ("digest", suspect)]);
    }
}

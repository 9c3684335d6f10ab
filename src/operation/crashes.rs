//! Requests that end their servers, as all requests of a host share what is known of them.

use {
    super::verdict::{Refusal, RefusalCode, RunVerdict},
    crate::{
        clock::HostClock,
        event,
        relay::{
            CrashReport, CrashTracker, CrashVerdict, EngineKey, FindingSource, RequestDigest,
            VerdictChange,
        },
        web::{self, ProbeOutcome},
    },
    std::{
        net::SocketAddr,
        sync::{Mutex, MutexGuard},
        time::Duration,
    },
};

/// Longest wait until it is known whether a server ended that broke off; the call is sent on after it.
const LEARN_PATIENCE: Duration = Duration::from_millis(350);

/// Marks that an exchange with another host carries at most, those of the last changes: some 3 kB.
const MARKS_TOLD: usize = 16;

/// When a caller is to come back whose request is on trial elsewhere.
const COME_BACK: Duration = Duration::from_secs(5);

/// Which requests end their servers, as far as this host saw and was told.
#[derive(Debug)]
pub struct SharedCrashes {
    book: Mutex<CrashTracker>,
    clock: HostClock,
}

impl SharedCrashes {
    /// Nothing is known yet.
    pub fn new(clock: HostClock) -> Self {
        Self {
            book: Mutex::new(CrashTracker::new(rand::random())),
            clock,
        }
    }

    fn book(&self) -> MutexGuard<'_, CrashTracker> {
        self.book.lock().expect("crash book")
    }

    /// Refuses a request that is held to end its servers; `verdict` is what became of it so far.
    ///
    /// One that may be tried is let in by the first host that it comes to; the others hear of that with the next exchange.
    pub fn check(&self, digest: RequestDigest, verdict: RunVerdict) -> Result<(), Refusal> {
        let now = self.clock.now();
        let mut book = self.book();
        let wait = match book.verdict(digest, now) {
            CrashVerdict::Harmless | CrashVerdict::Suspected(_) => return Ok(()),
            CrashVerdict::TrialDue if verdict == RunVerdict::NotRun => {
                book.grant_trial(digest, now);
                event::emit(&event::REQUEST_TRIED, &[("digest", &digest)]);
                return Ok(());
            }
            CrashVerdict::TrialDue => COME_BACK,
            CrashVerdict::Fatal(wait) => wait,
        };
        book.record_seen(digest, now);
        let text =
            format!("backend servers end under this request ({digest}), so it is sent to none");
        Err(Refusal::new(verdict, RefusalCode::EndsServers, text).after(wait))
    }

    /// A server broke off under a request: finds out whether it ended.
    ///
    /// A server that starts again under its name passes for the same run: the platform tells no others apart.
    pub async fn learn_end(&self, digest: RequestDigest, server: &str, address: SocketAddr) {
        let probing = web::within(LEARN_PATIENCE, web::probe_patiently(address));
        if probing.await != Ok(ProbeOutcome::Refused) {
            return;
        }
        event::emit(
            &event::BACKEND_ENDED,
            &[("backend", &server), ("digest", &digest)],
        );
        let now = self.clock.now();
        let change = self.book().record_crash(digest, EngineKey::of(server), now);
        log_change(digest, change);
    }

    /// A request came to its good end.
    pub fn note_good_run(&self, digest: RequestDigest) {
        let now = self.clock.now();
        let change = self.book().record_success(digest, now);
        log_change(digest, change);
    }

    /// What other hosts are told.
    pub fn marks(&self) -> Vec<CrashReport> {
        self.book().latest(MARKS_TOLD, self.clock.now())
    }

    /// Takes what another host told.
    pub fn take(&self, marks: &[CrashReport]) {
        if marks.is_empty() {
            return;
        }
        let changes = self
            .book()
            .merge(marks, FindingSource::Distributed, self.clock.now());
        for (digest, change) in changes {
            log_change(digest, Some(change));
        }
    }

    /// Requests that are held to end their servers.
    pub fn fatal_count(&self) -> usize {
        self.book().fatal_count()
    }
}

fn log_change(digest: RequestDigest, change: Option<VerdictChange>) {
    match change {
        Some(VerdictChange::BecameFatal) => {
            event::emit(&event::REQUEST_JUDGED, &[("digest", &digest)])
        }
        Some(VerdictChange::NoLongerFatal) => {
            event::emit(&event::REQUEST_CLEARED, &[("digest", &digest)])
        }
        None => {}
    }
}

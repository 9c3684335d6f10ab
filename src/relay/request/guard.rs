//! A request in progress at a backend server: counted, and what is found out where its connection breaks off.

use {
    super::{call::RelayCall, chunks::ChunkEnd},
    crate::{
        event,
        relay::{
            backend::BackendInfo,
            dialect::ResponseMetadata,
            parts::{server_limits::AnswerKind, shared::RelayParts},
            policy::digest::RequestDigest,
        },
    },
    http::StatusCode,
    std::{rc::Rc, time::Duration},
    tokio::{task::JoinHandle, time::Instant},
};

/// Longest time for which a request waits until it is known whether its server ended, before it is sent on: the answer
/// of a host that is there takes one to some milliseconds.
const SETTLE_TIME: Duration = Duration::from_millis(60);

/// A request in progress at a backend server, counted until dropped.
pub struct CallGuard {
    parts: Rc<RelayParts>,
    backend: Box<BackendInfo>,
    began: Instant,
    sent: Duration,
    call: u64,
}

impl CallGuard {
    /// Counts a request from now.
    pub fn begin(parts: &Rc<RelayParts>, backend: &BackendInfo, is_suspected: bool) -> Self {
        let now = parts.now();
        let call = parts
            .book
            .borrow_mut()
            .call_began(&backend.id, is_suspected, now);
        Self {
            parts: parts.clone(),
            backend: Box::new(backend.clone()),
            began: Instant::now(),
            sent: now,
            call,
        }
    }

    /// The request was answered, well or not: takes what the answer says of its server.
    pub(super) fn note_marks(&self, status: StatusCode, marks: &ResponseMetadata) {
        let kind = AnswerKind::of(status, marks.not_run);
        let parts = &self.parts;
        parts.note_marks(&self.backend, &marks.server, kind, self.sent);
    }

    /// The request's connection broke off while it ran, or may have: finds out whether the backend server ended, and
    /// waits a moment for that, so that whoever sends the request on knows.
    pub async fn settle_break(&self, call: &RelayCall) {
        let Some(learning) = self.note_break(call) else {
            return;
        };
        match tokio::time::timeout(SETTLE_TIME, learning).await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => log::error!("finding out about {}: {error}", self.backend.id),
            Err(_) => log::debug!("nobody can say yet whether {} ended", self.backend.id),
        }
    }

    /// The answer that was being passed on came to an end.
    pub(super) fn note_chunk_end(&self, call: &RelayCall, end: ChunkEnd) {
        match end {
            ChunkEnd::Whole => self.parts.note_good_run(|| call.digest()),
            ChunkEnd::Broken => drop(self.note_break(call)),
            ChunkEnd::TimeLimit => {}
        }
    }

    /// The same without waiting; none where the backend server was to end, or is no longer listed.
    pub fn note_break(&self, call: &RelayCall) -> Option<JoinHandle<()>> {
        let book = self.parts.book.borrow();
        let view = book.view(&self.backend.id)?;
        let is_leaving = book.is_leaving(view, self.parts.now());
        if view.info.born != self.backend.born || is_leaving {
            return None;
        }
        let broken = BrokenRun {
            backend: BackendInfo::clone(&self.backend),
            request: call.marks.id.to_string(),
            route: call.route.name.to_string(),
            account: call.account_name().to_owned(),
            digest: call.digest(),
            ran: self.began.elapsed(),
            beside: view.calls().saturating_sub(1),
        };
        let parts = self.parts.clone();
        Some(tokio::task::spawn_local(broken.learn(parts)))
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        let mut book = self.parts.book.borrow_mut();
        book.call_ended(&self.backend.id, self.call);
    }
}

// A request whose connection broke off, as it was then.
struct BrokenRun {
    backend: BackendInfo,
    request: String,
    route: String,
    account: String,
    digest: RequestDigest,
    ran: Duration,
    // Other requests of this host at the same server.
    beside: usize,
}

impl BrokenRun {
    async fn learn(self, parts: Rc<RelayParts>) {
        if parts.has_ended(&self.backend).await {
            parts.metrics.ended_under(&self.backend.service);
            parts.note_end(self.digest, &self.backend);
            self.log();
        }
    }

    fn log(&self) {
        event::emit(
            &event::BACKEND_ENDED,
            &[
                ("backend", &self.backend.id),
                ("service", &self.backend.service),
                ("zone", &self.backend.zone),
                ("request", &self.request),
                ("route", &self.route),
                ("account", &self.account),
                ("digest", &self.digest),
                ("ran_ms", &self.ran.as_millis()),
                ("beside", &self.beside),
            ],
        );
    }
}

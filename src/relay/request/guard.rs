//! Counts the requests in progress at backend servers. When a connection is lost, checks whether the server ended.

use {
    super::client_request::ClientRequest,
    crate::{
        event,
        relay::{
            admission::places::place_request::PlaceEnd,
            backend::BackendInfo,
            dialect::ResponseMetadata,
            parts::{places::HeldPlace, server_limits::AnswerKind, shared::RelayParts},
            policy::{
                crash_suspect::CrashSuspect,
                response_end::{EndCause, ResponseEnd},
                server_limit::LimitSignal,
                server_signals::{BackoffSignal, LeavingSignal},
            },
            software_version::ServerSoftware,
        },
    },
    faststr::FastStr,
    http::StatusCode,
    std::{cell::Cell, rc::Rc, time::Duration},
    tokio::{task::JoinHandle, time::Instant},
};

/// How long a request whose connection was lost waits for the check whether its server ended, before it is retried. A
/// machine that is up responds within one to some milliseconds.
const END_CHECK_TIMEOUT: Duration = Duration::from_millis(60);

/// Time from the head of an answer within which a prompt part crashes the server that begins to write on it.
const WRITE_START_TIME: Duration = Duration::from_secs(1);

/// Whether an engine has been writing an answer for so long that no part of the prompt crashes it.
#[derive(Debug, Clone, Copy, Default)]
enum WriteStart {
    #[default]
    NotBegun,
    Begun(Instant),
    Survived,
}

/// Counts a request as in progress at a backend server until dropped.
pub struct InFlightGuard {
    parts: Rc<RelayParts>,
    backend: Box<BackendInfo>,
    started: Instant,
    // When the head of the response arrived.
    responded: Cell<Option<Instant>>,
    write_start: Cell<WriteStart>,
    sent_at: Duration,
    call_id: u64,
    place: Option<Box<HeldPlace>>,
    // Time until a plain server's successful response began; recorded once all of the response came.
    response_time: Cell<Option<Duration>>,
}

impl InFlightGuard {
    /// Counts a request as in progress from now on.
    pub fn begin(parts: &Rc<RelayParts>, backend: &BackendInfo, is_crash_suspect: bool) -> Self {
        let now = parts.now();
        let call_id = parts
            .book
            .borrow_mut()
            .call_started(&backend.id, is_crash_suspect, now);
        Self {
            parts: parts.clone(),
            backend: Box::new(backend.clone()),
            started: Instant::now(),
            responded: Cell::default(),
            write_start: Cell::default(),
            sent_at: now,
            call_id,
            place: None,
            response_time: Cell::default(),
        }
    }

    /// The software of the server.
    pub(super) fn software(&self) -> ServerSoftware {
        self.backend.server_software()
    }

    /// Holds a place at the server for as long as the request is in progress.
    pub fn with_place(mut self, place: Option<HeldPlace>) -> Self {
        self.place = place.map(Box::new);
        self
    }

    /// Records the head of a plain server's response, in which it may show that it is full or short of places.
    pub(super) fn record_plain_response(&self, status: StatusCode, marks: &ResponseMetadata) {
        if is_full(status, marks) {
            self.end_place(PlaceEnd::Declined);
            self.parts.record_full(&self.backend);
        } else if status.is_success() && !marks.not_run {
            self.response_time.set(Some(self.started.elapsed()));
        }
    }

    fn end_place(&self, end: PlaceEnd) {
        if let Some(place) = &self.place {
            place.set_end(end);
        }
    }

    /// Records what a response, successful or not, says about its server.
    pub(super) fn record_response(&self, status: StatusCode, marks: &ResponseMetadata) {
        self.responded.set(Some(Instant::now()));
        let kind = AnswerKind::of(status, marks.not_run);
        let parts = &self.parts;
        parts.apply_server_marks(&self.backend, &marks.server, kind, self.sent_at);
    }

    /// Records a response that is for this request.
    pub(super) fn record_own_response(&self, status: StatusCode, marks: &ResponseMetadata) {
        if status.is_success() && !marks.not_run {
            self.parts.record_run_answer(&self.backend);
        }
    }

    /// Checks whether the backend server ended, after the connection of a request that ran or may have run was lost.
    /// Waits briefly for the result, so that a retry takes it into account.
    pub async fn await_end_check(&self, request: &ClientRequest) {
        let checking = self.spawn_end_check(self.request_run(request));
        match tokio::time::timeout(END_CHECK_TIMEOUT, checking).await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => log::error!(
                "the check whether {} ended failed: {error}",
                self.backend.id
            ),
            Err(_) => log::debug!(
                "the check whether {} ended is still running; going on without its result",
                self.backend.id
            ),
        }
    }

    /// Records that the server writes its answer. Once it has done so for a while, the parts of the prompt are harmless,
    /// however the answer ends.
    pub(super) fn record_writing(&self, request: &ClientRequest) {
        let now = Instant::now();
        match self.write_start.get() {
            WriteStart::NotBegun => self.write_start.set(WriteStart::Begun(now)),
            WriteStart::Begun(since) if now - since >= WRITE_START_TIME => {
                self.write_start.set(WriteStart::Survived);
                if !self.parts.crashes.is_empty() {
                    self.parts.record_success(&request.suspects()[1..]);
                }
            }
            WriteStart::Begun(_) | WriteStart::Survived => {}
        }
    }

    /// Records how the response ended. Only one that came whole says how long the server takes and that the request is
    /// harmless.
    pub(super) fn record_end(&self, request: &ClientRequest, end: ResponseEnd) {
        if end.is_complete() {
            self.record_response_time(request);
        }
        match end.cause {
            EndCause::Framed => record_success(&self.parts, request),
            // A server that crashes between two events closes the connection in the same way.
            EndCause::ConnectionEnd => self.spawn_close_check(request),
            _ if end.is_broken() => self.spawn_crash_check(request),
            _ => {}
        }
    }

    /// Records the failure of a server that writes more than a response may have.
    pub(super) fn record_endless(&self, end: ResponseEnd) {
        if end.cause == EndCause::TooLarge {
            let detail = "it writes more than a response may have";
            self.parts
                .record_failure(&self.backend, end.failure(), detail);
        }
    }

    fn record_response_time(&self, request: &ClientRequest) {
        if let Some(time) = self.response_time.take() {
            self.end_place(PlaceEnd::Answered(time));
            self.parts
                .record_response_time(&self.backend, &request.route, time);
        }
    }

    // Starts the check without waiting for it. The end of a server that is leaving or not listed is no crash.
    fn spawn_end_check(&self, run: Option<RequestRun>) -> JoinHandle<()> {
        let (parts, backend) = (self.parts.clone(), self.backend.clone());
        tokio::task::spawn_local(async move {
            let has_ended = parts.has_ended(&backend).await;
            if let Some(run) = run.filter(|_| has_ended) {
                run.record_crash(&parts);
            }
        })
    }

    fn spawn_crash_check(&self, request: &ClientRequest) {
        if let Some(run) = self.request_run(request) {
            drop(self.spawn_end_check(Some(run)));
        }
    }

    // Checks whether the backend server ended when it closed the connection in an orderly way; if not, the request is
    // harmless.
    fn spawn_close_check(&self, request: &ClientRequest) {
        let Some(run) = self.request_run(request) else {
            return;
        };
        let parts = self.parts.clone();
        tokio::task::spawn_local(async move {
            match parts.has_ended_orderly(&run.backend).await {
                true => run.record_crash(&parts),
                false => parts.record_success(&run.suspects),
            }
        });
    }

    // Returns `None` if the backend server is leaving, or is no longer listed with this run.
    fn request_run(&self, request: &ClientRequest) -> Option<RequestRun> {
        let book = self.parts.book.borrow();
        let view = book.view(&self.backend.id)?;
        let is_leaving = book.is_leaving(view, self.parts.now());
        if view.info.born != self.backend.born || is_leaving {
            return None;
        }
        Some(RequestRun {
            backend: BackendInfo::clone(&self.backend),
            request: request.marks.id.to_string(),
            route: request.route.name.to_string(),
            account: request.account_name().to_owned(),
            suspects: request.suspects().to_vec(),
            parts: request.marks.shared_parts.clone(),
            ran: self.started.elapsed(),
            responded: self.responded.get().map(|responded| responded.elapsed()),
            concurrent: view.calls().saturating_sub(1),
        })
    }
}

// Digests are computed only while there are records.
fn record_success(parts: &RelayParts, request: &ClientRequest) {
    if !parts.crashes.is_empty() {
        parts.record_success(request.suspects());
    }
}

/// Whether a server declined a request because it holds as many as it can, and for no other reason that it names.
pub(super) fn is_full(status: StatusCode, marks: &ResponseMetadata) -> bool {
    let signals = &marks.server;
    let names_other_reason = signals.leaving == LeavingSignal::Leaving
        || matches!(signals.backoff, BackoffSignal::Backoff(_))
        || matches!(signals.limit, LimitSignal::Limited(_));
    marks.not_run && status == StatusCode::SERVICE_UNAVAILABLE && !names_other_reason
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let mut book = self.parts.book.borrow_mut();
        book.call_ended(&self.backend.id, self.call_id);
    }
}

// A request whose connection ended, with the state of that moment.
struct RequestRun {
    backend: BackendInfo,
    request: String,
    route: String,
    account: String,
    // The request itself first, then the parts of its prompt.
    suspects: Vec<CrashSuspect>,
    // Ids of the shared parts of its prompt.
    parts: Vec<FastStr>,
    ran: Duration,
    // Time since the head of the response arrived.
    responded: Option<Duration>,
    // Number of other requests of this host at the same server.
    concurrent: usize,
}

impl RequestRun {
    fn record_crash(&self, parts: &RelayParts) {
        parts.metrics.services.ended_under(&self.backend.service);
        parts.record_crash(self.accused(), &self.backend);
        self.log_end();
    }

    // An engine that was well into its answer has not crashed because it began to write on a part of the prompt.
    fn accused(&self) -> &[CrashSuspect] {
        match self.responded {
            Some(time) if time >= WRITE_START_TIME => &self.suspects[..1],
            _ => &self.suspects,
        }
    }

    // Each part's id with the digest by which other lines name it.
    fn parts_text(&self) -> String {
        let parts = self.parts.iter().zip(&self.suspects[1..]);
        let parts: Vec<String> = parts
            .map(|(id, suspect)| format!("{id}/{suspect}"))
            .collect();
        parts.join(",")
    }

    fn log_end(&self) {
        let responded_ms = self.responded.map(|responded| responded.as_millis());
        let responded_ms = responded_ms.map_or_else(|| "none".into(), |time| time.to_string());
        event::emit(
            &event::BACKEND_ENDED,
            &[
                ("backend", &self.backend.id),
                ("service", &self.backend.service),
                ("zone", &self.backend.zone),
                ("request", &self.request),
                ("route", &self.route),
                ("account", &self.account),
                ("digest", &self.suspects[0]),
                ("parts", &self.parts_text()),
                ("ran_ms", &self.ran.as_millis()),
                ("responded_ms", &responded_ms),
                ("beside", &self.concurrent),
            ],
        );
    }
}

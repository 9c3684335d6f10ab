//! Requests to plain services. A request is sent again only if it has not run or its route is repeatable.

use {
    super::{
        client_request::ClientRequest,
        forward::{self, ForwardEvent},
        guard::InFlightGuard,
        response::{self, RelayResponse},
        send::{self, PlainBody, PlainResponse, SendOutcome},
        take_up,
    },
    crate::{
        event,
        operation::{Refusal, RefusalCode, RunVerdict},
        relay::{
            backend::BackendInfo,
            parts::shared::RelayParts,
            policy::{
                limit_tracker::PermitWait,
                response_end::{self, ResponseEnd},
                view::BackendFailure,
            },
        },
        web,
    },
    faststr::FastStr,
    futures::{StreamExt, future::LocalBoxFuture, stream::FuturesUnordered},
    std::{ops::RangeInclusive, rc::Rc, time::Duration},
    tokio::time::Instant,
};

/// Part of the latency target after which a repeatable request without a response is also sent to a second server
/// (hedging), whose response can then still be in time.
const HEDGE_DELAY_SHARE: f64 = 0.6;

/// `Retry-After` of a refused plain request.
const RETRY_AFTER: Duration = Duration::from_millis(100);

/// `Retry-After` when no server can be reached. Network partitions and restarts take seconds, and the random spread keeps
/// clients that were refused together from retrying together. The platform's clients wait up to a third of their time.
const UNREACHABLE_RETRY_AFTER: RangeInclusive<Duration> =
    Duration::from_millis(700)..=Duration::from_millis(1_300);

type PendingSend = LocalBoxFuture<'static, (BackendInfo, SendOutcome)>;

/// The state of a plain request: the servers that were tried and their outcomes.
pub(super) struct PlainRelay {
    pub(super) parts: Rc<RelayParts>,
    pub(super) request: Rc<ClientRequest>,
    pub(super) service: FastStr,
    pub(super) tried: Vec<FastStr>,
    // Servers with an outstanding send.
    pub(super) pending: Vec<BackendInfo>,
    // Whether any send reached its server, or may have. The next one then counts as a retry.
    has_reached_server: bool,
    // Whether all remaining servers fail.
    pub(super) is_unreachable: bool,
    // When a permit is likely, if rate-limited servers denied one.
    pub(super) permit_wait: Option<PermitWait>,
    // Contended servers that refused a place, and the shortest time until one of them has one.
    pub(super) without_place: Vec<FastStr>,
    pub(super) place_wait: Option<Duration>,
    // Whether a server declined it for lack of room.
    is_full: bool,
    // The refusal to return if the request may not be sent any more.
    pub(super) final_refusal: Option<Refusal>,
    detail: String,
    // Each server tried and the outcome, for the log.
    attempt_log: String,
    fallback: Option<PlainResponse>,
    // How the response that the client gets ended.
    response_end: Option<ResponseEnd>,
    // Whether the end of the request was logged.
    is_end_logged: bool,
}

impl Drop for PlainRelay {
    // Logs requests whose client disconnected, which drops their state early.
    fn drop(&mut self) {
        if !self.is_end_logged {
            self.log_end("caller-gone");
        }
    }
}

/// Relays a plain request and returns its response.
pub async fn relay_plain(
    parts: Rc<RelayParts>,
    request: Rc<ClientRequest>,
    service: FastStr,
) -> Result<RelayResponse, Refusal> {
    let mut relay = PlainRelay {
        parts,
        request,
        service,
        tried: Vec::new(),
        pending: Vec::new(),
        has_reached_server: false,
        is_unreachable: false,
        permit_wait: None,
        without_place: Vec::new(),
        place_wait: None,
        is_full: false,
        final_refusal: None,
        detail: "no backend server can take it".into(),
        attempt_log: String::new(),
        fallback: None,
        response_end: None,
        is_end_logged: false,
    };
    let parts = relay.parts.clone();
    let finished = parts.until_given_up(relay.run()).await;
    let response = match finished.unwrap_or_else(|| relay.give_up()) {
        Ok(response) => response,
        Err(refusal) => {
            relay.log_end("refused");
            return Err(refusal);
        }
    };
    if let PlainBody::Full(_, end) = &response.body {
        let end = *end;
        relay.response_end = Some(end);
        relay.log_end(response.status.as_str());
    }
    let body = match response.body {
        PlainBody::Full(body, _) => response::held_body(body),
        PlainBody::Streaming(body, guard) => {
            let request = relay.request.clone();
            let observe = |state: &mut (PlainRelay, InFlightGuard), event: ForwardEvent| match event
            {
                ForwardEvent::Chunk if !state.0.request.route.kind.is_stream() => {}
                ForwardEvent::Chunk => {
                    let (parts, request) = (&state.0.parts, &state.0.request);
                    take_up::record_first_event(parts, request, || state.1.software());
                }
                ForwardEvent::End(end) => {
                    state.0.parts.metrics.response_ended(end);
                    state.1.record_endless(end);
                    state.0.response_end = Some(end);
                    state.1.record_end(&state.0.request, end);
                    state.0.log_end(end.as_str());
                }
            };
            response::streamed_body(forward::forward_body(
                *body,
                request,
                (relay, guard),
                observe,
            ))
        }
    };
    Ok(response::relayed_response(
        response.status,
        response.headers,
        body,
    ))
}

impl PlainRelay {
    async fn run(&mut self) -> Result<PlainResponse, Refusal> {
        let mut running: FuturesUnordered<PendingSend> = FuturesUnordered::new();
        if !self.send_to_next(&mut running, false).await {
            return Err(self.refusal(RefusalCode::NoBackend));
        }
        let mut hedge_at = self.hedge_time();
        loop {
            tokio::select! {
                Some((backend, outcome)) = running.next() => {
                    if let Some(response) = self.handle_outcome(&backend, outcome) {
                        return Ok(response);
                    }
                    if self.may_retry() {
                        self.send_to_next(&mut running, false).await;
                    }
                    if running.is_empty() {
                        return self.fallback.take().ok_or_else(|| self.refusal(RefusalCode::BackendLost));
                    }
                }
                () = tokio::time::sleep_until(hedge_at) => {
                    // A request that may crash its servers is sent to one server at a time, so that it ends no two.
                    if self.may_retry() && !self.request.is_crash_suspect {
                        self.send_to_next(&mut running, true).await;
                    }
                    hedge_at = self.hedge_time();
                }
                () = tokio::time::sleep(self.request.time_left()) => {
                    // A process that was suspended may see the deadline late; a response that has arrived still counts.
                    if let Ok(Some((backend, outcome))) = web::within(Duration::ZERO, running.next()).await
                        && let Some(response) = self.handle_outcome(&backend, outcome)
                    {
                        return Ok(response);
                    }
                    self.fail_unanswered();
                    return self.fallback.take().ok_or_else(|| self.refusal(RefusalCode::DeadlinePassed));
                }
            }
        }
    }

    // Ends the request as a planned stop gives it up. Its outstanding sends are dropped, and may have run.
    fn give_up(&mut self) -> Result<PlainResponse, Refusal> {
        for backend in std::mem::take(&mut self.pending) {
            self.log_attempt(&backend, "given-up");
        }
        let refusal = self.parts.stopped_refusal(self.request.verdict());
        self.fallback.take().ok_or(refusal)
    }

    fn hedge_time(&self) -> Instant {
        Instant::now() + self.request.route.latency_target.mul_f64(HEDGE_DELAY_SHARE)
    }

    // Records at the time limit which sends have no response.
    fn fail_unanswered(&mut self) {
        for backend in std::mem::take(&mut self.pending) {
            self.log_attempt(&backend, "silent");
            let detail = "no answer within the time limit";
            self.parts
                .record_failure(&backend, BackendFailure::Silent, detail);
            self.detail = format!("{}: {detail}", backend.id);
        }
    }

    // Sends to the best server not tried yet. That counts as a retry only if an earlier send reached its server or is
    // outstanding: when a zone is cut off, many requests are first sent to a server that is unreachable.
    async fn send_to_next(
        &mut self,
        running: &mut FuturesUnordered<PendingSend>,
        is_hedge: bool,
    ) -> bool {
        let Some(chosen) = self.next_server(is_hedge).await else {
            return false;
        };
        let is_retry = self.has_reached_server || !self.pending.is_empty();
        if is_retry && !self.parts.spend_retry(&self.service) {
            return false;
        }
        let backend = &chosen.backend;
        self.request.budget.borrow_mut().record_send(backend.key());
        self.tried.push(backend.id.clone());
        self.pending.push(backend.clone());
        running.push(Box::pin(send::send_plain(
            self.parts.clone(),
            self.request.clone(),
            chosen,
        )));
        true
    }

    fn may_retry(&self) -> bool {
        let budget = self.request.budget.borrow();
        budget.allows_send() && !budget.is_used_up() && budget.allows_decline()
    }

    fn log_end(&mut self, end: &str) {
        self.is_end_logged = true;
        let request = &self.request;
        let (framing, ended_by) = response_end::log_values(self.response_end);
        let servers = request.budget.borrow().servers_used();
        let open = request.budget.borrow().open_sends();
        self.parts.metrics.attempts.ended(servers);
        event::emit(
            &event::REQUEST_ENDED,
            &[
                ("request", &request.marks.id),
                ("route", &request.route.name),
                ("account", &request.account_name()),
                ("config", &request.config_version),
                ("end", &end),
                ("framing", &framing),
                ("ended_by", &ended_by),
                ("tried", &self.attempt_log),
                ("verdict", &request.verdict()),
                ("open", &open),
                ("servers", &servers),
                ("servers_max", &request.route.attempts),
                ("resumes", &request.resumes()),
                ("ended_ms", &request.age().as_millis()),
            ],
        );
    }

    pub(super) fn log_attempt(&mut self, backend: &BackendInfo, outcome: &str) {
        let at_ms = self.request.age().as_millis();
        let separator = if self.attempt_log.is_empty() { "" } else { "," };
        let software = &backend.software;
        let entry = format!("{separator}{}:{software}:{outcome}@{at_ms}", backend.id);
        self.attempt_log.push_str(&entry);
    }

    // Records the outcome of a send; returns the response if it is the one for the client.
    fn handle_outcome(
        &mut self,
        backend: &BackendInfo,
        outcome: SendOutcome,
    ) -> Option<PlainResponse> {
        self.pending.retain(|pending| pending.id != backend.id);
        let is_unsent = matches!(outcome, SendOutcome::Unsent(_) | SendOutcome::Withheld(_));
        self.has_reached_server |= !is_unsent;
        self.record_use(backend, &outcome);
        match outcome {
            SendOutcome::Responded(response) => {
                self.log_attempt(backend, response.status.as_str());
                let is_good = !response.status.is_server_error();
                self.note_response(backend, is_good);
                if is_good || !self.request.route.kind.is_repeatable() {
                    return Some(*response);
                }
                self.detail = format!("{} answered {}", backend.id, response.status);
                self.fallback = Some(*response);
            }
            SendOutcome::Declined(detail) => self.handle_decline(backend, "declined", &detail),
            SendOutcome::Full(detail) => {
                self.handle_decline(backend, "full", &detail);
                self.ask_again(backend);
            }
            SendOutcome::Unsent(detail) => self.handle_decline(backend, "unsent", &detail),
            SendOutcome::Withheld(detail) => {
                self.handle_decline(backend, "withheld", &detail);
                // If it still takes requests, it may be asked for a permit or a place again.
                self.tried.retain(|tried| *tried != backend.id);
            }
            SendOutcome::Lost(detail) => {
                self.log_attempt(backend, "lost");
                self.detail = format!("{}: {detail}", backend.id);
            }
            SendOutcome::Unproven(status) => {
                self.log_attempt(backend, &format!("{}-unproven", status.as_u16()));
                self.note_response(backend, !status.is_server_error());
                let text = "which does not say that the request did not run";
                self.detail = format!("{} answered {status}, {text}", backend.id);
            }
        }
        None
    }

    fn note_response(&self, backend: &BackendInfo, is_good: bool) {
        let mut book = self.parts.book.borrow_mut();
        book.note_response(&backend.id, is_good);
    }

    fn record_use(&self, backend: &BackendInfo, outcome: &SendOutcome) {
        let mut budget = self.request.budget.borrow_mut();
        match outcome {
            SendOutcome::Responded(_) => budget.record_run(backend.key(), RunVerdict::Ran),
            SendOutcome::Lost(_) | SendOutcome::Unproven(_) => {
                budget.record_run(backend.key(), RunVerdict::MayHaveRun);
            }
            SendOutcome::Declined(_)
            | SendOutcome::Full(_)
            | SendOutcome::Unsent(_)
            | SendOutcome::Withheld(_) => {
                budget.record_not_run(backend.key());
            }
        }
    }

    // Records a send that did not run.
    fn handle_decline(&mut self, backend: &BackendInfo, outcome: &str, detail: &str) {
        self.log_attempt(backend, outcome);
        self.detail = format!("{} {outcome}: {detail}", backend.id);
    }

    // A full server is contended from now on, so that the request may wait for a place there.
    fn ask_again(&mut self, backend: &BackendInfo) {
        self.is_full = true;
        if self
            .parts
            .places
            .is_contended(backend.key(), self.parts.now())
        {
            self.tried.retain(|tried| *tried != backend.id);
        }
    }

    fn refusal(&mut self, code: RefusalCode) -> Refusal {
        if let Some(refusal) = self.final_refusal.take() {
            return refusal;
        }
        let verdict = self.request.verdict();
        let full_wait = self.is_full.then_some(RETRY_AFTER);
        if let Some(wait) = self.place_wait.or(full_wait)
            && verdict == RunVerdict::NotRun
        {
            let text = format!(
                "the servers of {} have no place for it in time",
                self.service
            );
            return Refusal::not_run(RefusalCode::Overloaded, text).after(wait);
        }
        // Permits may be far apart. So if any server was tried, the request is refused with a shorter `Retry-After` below.
        if let Some(wait) = self.permit_wait
            && self.tried.is_empty()
        {
            return self.parts.permit_denied(&self.service, verdict, wait);
        }
        let now = self.parts.now();
        let origin = self.request.origin(&self.parts.settings.zone);
        let wait = self
            .parts
            .book
            .borrow()
            .rotation_wait(&self.service, None, origin, now);
        if let Some(wait) = wait
            && verdict == RunVerdict::NotRun
        {
            return self.parts.out_of_rotation(
                &self.service,
                verdict,
                wait,
                self.request.priority(),
            );
        }
        let refusal = Refusal::new(verdict, code, self.detail.clone());
        match self.is_unreachable {
            true => refusal.after(rand::random_range(UNREACHABLE_RETRY_AFTER)),
            false => refusal.after(RETRY_AFTER),
        }
    }
}

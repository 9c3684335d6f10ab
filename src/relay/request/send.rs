//! Sends a request to one backend server of a plain service and classifies the outcome.

use {
    super::{
        client_request::ClientRequest,
        guard::{self, InFlightGuard},
        response,
        response_body::{BufferedBody, FullBody, ResponseBody},
        server_choice::ChosenServer,
    },
    crate::{
        operation::RunVerdict,
        relay::{
            backend::BackendInfo,
            parts::{availability::SendBasis, shared::RelayParts},
            policy::{
                response_end::ResponseEnd, response_progress::MAX_PLAIN_BYTES, view::BackendFailure,
            },
        },
        web::{FailureCause, HeldBytes, PoolUse, PooledAnswer},
    },
    http::{HeaderMap, StatusCode},
    std::{rc::Rc, time::Duration},
};

/// The response of a plain service.
pub(super) struct PlainResponse {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) body: PlainBody,
}

/// The body of a plain response.
pub(super) enum PlainBody {
    /// Fully buffered.
    Full(FullBody, ResponseEnd),
    /// Forwarded as it arrives, since it is a stream or has no room; the request counts as in progress meanwhile.
    Streaming(Box<ResponseBody>, InFlightGuard),
}

/// The outcome of one send.
pub(super) enum SendOutcome {
    Responded(Box<PlainResponse>),
    /// The server received the request and did not run it.
    Declined(String),
    /// The server declined it because it holds as many requests as it can.
    Full(String),
    /// No byte was written, so the server never received the request.
    Unsent(String),
    /// The same, since what the request was sent by lapsed before a connection was available.
    Withheld(String),
    /// There is no usable response, and the request may have run.
    Lost(String),
    /// The status would promise the client that the request did not run, which the server did not say.
    Unproven(StatusCode),
}

/// Sends a request and waits for its full response, or for the head of a streamed one. Holds its place, if it needs one, for
/// as long as it is in progress.
pub(super) async fn send_plain(
    parts: Rc<RelayParts>,
    request: Rc<ClientRequest>,
    chosen: ChosenServer,
) -> (BackendInfo, SendOutcome) {
    let ChosenServer {
        backend,
        permit,
        place,
        place_asked_at,
    } = chosen;
    let permit_asked_at = permit.consume();
    let admitted_at = place_asked_at.unwrap_or(permit_asked_at);
    let guard = InFlightGuard::begin(&parts, &backend, request.is_crash_suspect).with_place(place);
    let outcome = try_send(&parts, &request, &backend, guard, admitted_at).await;
    (backend, outcome)
}

async fn try_send(
    parts: &Rc<RelayParts>,
    request: &ClientRequest,
    backend: &BackendInfo,
    guard: InFlightGuard,
    admitted_at: Duration,
) -> SendOutcome {
    let outgoing = request.backend_request(backend, &parts.dialect, |_| ());
    let answer_id = request.answer_id();
    let basis = SendBasis {
        reserved_at: None,
        admitted_at: Some(admitted_at),
    };
    let sent = parts
        .send_to(backend, PoolUse::Plain, answer_id, outgoing, basis)
        .await;
    let response = match sent {
        Ok(response) => response,
        Err(failure) => {
            parts.record_send_failure(backend, &failure);
            if failure.cause == FailureCause::Withheld {
                return SendOutcome::Withheld(failure.detail);
            }
            if failure.verdict == RunVerdict::NotRun {
                return SendOutcome::Unsent(failure.detail);
            }
            if failure.is_break() {
                guard.await_end_check(request).await;
            }
            return SendOutcome::Lost(failure.detail);
        }
    };
    parts.log_carried(&request.marks.id, backend, &response);
    let marks = (parts.dialect.read_response)(response.status, &response.headers);
    guard.record_response(response.status, &marks);
    guard.record_plain_response(response.status, &marks);
    if marks.is_for_other_request(&request.marks.id) {
        let detail = "an answer to another request came";
        parts.record_failure(backend, BackendFailure::Broken, detail);
        return SendOutcome::Lost(detail.into());
    }
    guard.record_own_response(response.status, &marks);
    if request.route.kind.is_stream() && response.status.is_success() {
        return SendOutcome::Responded(Box::new(streaming_response(
            parts, request, response, guard,
        )));
    }
    let status = response.status;
    let is_full = guard::is_full(status, &marks);
    if marks.not_run {
        response::end_decline(response, &marks).await;
        return record_decline(parts, backend, status, is_full);
    }
    if response::is_false_promise(request, status) {
        response::end_decline(response, &marks).await;
        return SendOutcome::Unproven(status);
    }
    let headers = response.headers.clone();
    let body = match read_full(parts, request, backend, response).await {
        Ok(ReadBody::Whole(body, end)) => {
            if !status.is_server_error() {
                guard.record_end(request, end);
            }
            PlainBody::Full(body, end)
        }
        Ok(ReadBody::NoRoom(body)) => PlainBody::Streaming(body, guard),
        Err(detail) => {
            guard.await_end_check(request).await;
            return SendOutcome::Lost(detail);
        }
    };
    SendOutcome::Responded(Box::new(PlainResponse {
        status,
        headers,
        body,
    }))
}

fn streaming_response(
    parts: &RelayParts,
    request: &ClientRequest,
    response: PooledAnswer,
    guard: InFlightGuard,
) -> PlainResponse {
    let is_continued = request.marks.last_event.is_some();
    PlainResponse {
        status: response.status,
        headers: response.headers.clone(),
        body: PlainBody::Streaming(
            Box::new(ResponseBody::new(
                &parts.settings,
                request,
                response,
                is_continued,
            )),
            guard,
        ),
    }
}

// A response as far as it was read.
enum ReadBody {
    Whole(FullBody, ResponseEnd),
    NoRoom(Box<ResponseBody>),
}

// Reads a response to its end, unless it has no room. The error says why not all of it came.
async fn read_full(
    parts: &RelayParts,
    request: &ClientRequest,
    backend: &BackendInfo,
    response: PooledAnswer,
) -> Result<ReadBody, String> {
    let body = ResponseBody::new(&parts.settings, request, response, false);
    let held = HeldBytes::new(parts.caller_budget.quota());
    let (body, stop) = match body.read(MAX_PLAIN_BYTES, held).await {
        BufferedBody::Whole(body, stop) => (body, stop),
        BufferedBody::NoRoom(body) => {
            parts.metrics.callers.unbuffered_answers.inc();
            return Ok(ReadBody::NoRoom(body));
        }
    };
    parts.metrics.response_ended(stop.end);
    if !stop.end.is_complete() {
        let detail = stop.to_string();
        parts.record_failure(backend, stop.end.failure(), &detail);
        return Err(detail);
    }
    Ok(ReadBody::Whole(body, stop.end))
}

fn record_decline(
    parts: &RelayParts,
    backend: &BackendInfo,
    status: StatusCode,
    is_full: bool,
) -> SendOutcome {
    parts.record_decline(backend, status);
    let now = parts.now();
    parts.book.borrow_mut().note_rejection(&backend.id, now);
    let detail = format!("status {status}");
    match is_full {
        true => SendOutcome::Full(detail),
        false => SendOutcome::Declined(detail),
    }
}

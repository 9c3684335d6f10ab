//! One send of a request to a backend server of a plain service, and what became of it.

use {
    super::{call::RelayCall, guard::CallGuard},
    crate::{
        operation::RunVerdict,
        relay::{backend::BackendInfo, parts::shared::RelayParts, policy::view::BackendFailure},
        web::{PoolUse, PooledAnswer, PooledBody},
    },
    bytes::Bytes,
    http::{HeaderMap, StatusCode},
    std::rc::Rc,
};

/// Bytes that an answer may have that is read whole.
const ANSWER_LIMIT: usize = 8 << 20;

/// A plain answer.
pub(super) struct PlainAnswer {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) body: PlainBody,
}

/// The body of a plain answer.
pub(super) enum PlainBody {
    /// It is all there.
    Whole(Bytes),
    /// A stream, passed on as it comes; it counts as in progress meanwhile.
    Running(PooledBody, CallGuard),
}

/// What became of one send.
pub(super) enum SendOutcome {
    Answered(Box<PlainAnswer>),
    /// The server got it and did not run it.
    Declined(String),
    /// Nothing of it was written: the server never got it.
    Unsent(String),
    /// It may have run and there is no answer.
    Lost(String),
}

/// Sends a request and waits for its answer: whole, or the head of a stream.
pub(super) async fn send_plain(
    parts: Rc<RelayParts>,
    call: Rc<RelayCall>,
    backend: BackendInfo,
) -> (BackendInfo, SendOutcome) {
    let outcome = outcome_of(&parts, &call, &backend).await;
    (backend, outcome)
}

async fn outcome_of(
    parts: &Rc<RelayParts>,
    call: &RelayCall,
    backend: &BackendInfo,
) -> SendOutcome {
    let guard = CallGuard::begin(parts, backend, call.is_suspected);
    let request = call.request_to(backend, &parts.dialect, |_| ());
    let sent = parts.send_to(backend, PoolUse::Plain, request, None).await;
    let answer = match sent {
        Ok(answer) => answer,
        Err(failure) => {
            parts.note_send_failure(backend, &failure);
            if failure.verdict == RunVerdict::NotRun {
                return SendOutcome::Unsent(failure.detail);
            }
            if failure.is_break() {
                guard.settle_break(call).await;
            }
            return SendOutcome::Lost(failure.detail);
        }
    };
    let marks = (parts.dialect.read_response)(answer.status, &answer.headers);
    guard.note_marks(answer.status, &marks);
    if marks.is_for_other_request(&call.marks.id) {
        let detail = "an answer to another request came";
        parts.note_failure(backend, BackendFailure::Broken, detail);
        return SendOutcome::Lost(detail.into());
    }
    if call.route.kind.is_stream() && answer.status.is_success() {
        return SendOutcome::Answered(Box::new(running(answer, guard)));
    }
    let outcome = read_whole(parts, backend, answer, marks.not_run).await;
    if matches!(outcome, SendOutcome::Lost(_)) {
        guard.settle_break(call).await;
    }
    outcome
}

fn running(answer: PooledAnswer, guard: CallGuard) -> PlainAnswer {
    PlainAnswer {
        status: answer.status,
        headers: answer.headers,
        body: PlainBody::Running(answer.body, guard),
    }
}

async fn read_whole(
    parts: &RelayParts,
    backend: &BackendInfo,
    answer: PooledAnswer,
    not_run: bool,
) -> SendOutcome {
    let (status, headers) = (answer.status, answer.headers);
    let body = match answer.body.read(ANSWER_LIMIT).await {
        Ok(body) => body,
        Err(detail) => {
            parts.note_failure(backend, BackendFailure::Broken, &detail);
            return SendOutcome::Lost(format!("answer cut short: {detail}"));
        }
    };
    if not_run {
        parts.note_decline(backend, status);
        let now = parts.now();
        parts.book.borrow_mut().turned_away(&backend.id, now);
        return SendOutcome::Declined(format!("status {status}"));
    }
    SendOutcome::Answered(Box::new(PlainAnswer {
        status,
        headers,
        body: PlainBody::Whole(body),
    }))
}

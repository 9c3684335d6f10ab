//! Answers to callers: what a backend server said, as it said it, or a refusal.

use {
    crate::{
        filter::VERDICT_HEADER,
        operation::{Refusal, RefusalCode, RunVerdict},
        web::{self, BrokenBody, IngressBody},
    },
    bytes::Bytes,
    futures::Stream,
    http::{HeaderMap, HeaderValue, Response, StatusCode, header},
    http_body::Frame,
    http_body_util::{BodyExt, Full, StreamBody},
    std::{
        pin::Pin,
        task::{Context, Poll},
    },
};

/// An answer to a caller.
pub type RelayAnswer = Response<IngressBody>;

/// A body that is there as a whole.
pub fn whole_body(content: Bytes) -> IngressBody {
    Box::pin(Full::new(content).map_err(|never| match never {}))
}

/// A body whose chunks come one after the other; a failure among them breaks the connection.
pub fn streamed_body<S>(chunks: S) -> IngressBody
where
    S: Stream<Item = Result<Bytes, BrokenBody>> + 'static,
{
    use futures::StreamExt;
    Box::pin(StreamBody::new(chunks.map(|chunk| chunk.map(Frame::data))))
}

/// The head of a backend server's answer with a body for the caller.
pub fn relayed(status: StatusCode, mut headers: HeaderMap, body: IngressBody) -> RelayAnswer {
    web::strip_hop_headers(&mut headers);
    let mut answer = Response::new(body);
    *answer.status_mut() = status;
    *answer.headers_mut() = headers;
    answer
}

/// The answer that tells a caller of a refusal.
pub fn refused(refusal: &Refusal) -> RelayAnswer {
    let status = refusal_status(refusal);
    let mut answer = Response::new(whole_body(Bytes::from(format!("{}\n", refusal.message))));
    *answer.status_mut() = status;
    let headers = answer.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("text/plain; charset=utf-8"),
    );
    headers.insert(
        VERDICT_HEADER,
        HeaderValue::from_static(refusal.verdict.as_str()),
    );
    if let Some(wait) = refusal.retry_after {
        let seconds = format!("{:.2}", wait.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            headers.insert(header::RETRY_AFTER, value);
        }
    }
    answer
}

/// The status of a refusal: one that promises that nothing ran is given only where that is so.
pub fn refusal_status(refusal: &Refusal) -> StatusCode {
    let ran = refusal.verdict != RunVerdict::NotRun;
    let status = match refusal.code {
        RefusalCode::BackendLost | RefusalCode::DeadlinePassed if !ran => 503,
        code if ran && promises_not_run(code.status()) => 502,
        code => code.status(),
    };
    assert!(
        !(ran && promises_not_run(status)),
        "a promise that nothing ran has to be true"
    );
    StatusCode::from_u16(status).expect("a status of a refusal")
}

// Callers ask again after these as if nothing had been sent.
fn promises_not_run(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

struct GuardedBody<K> {
    body: IngressBody,
    // Dropped with the body: at its end, or when the caller is gone.
    _kept: K,
}

impl<K: Unpin> http_body::Body for GuardedBody<K> {
    type Data = Bytes;
    type Error = BrokenBody;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenBody>>> {
        self.body.as_mut().poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> http_body::SizeHint {
        self.body.size_hint()
    }
}

/// A body that keeps something for as long as it is being sent.
pub fn kept_with<K: Unpin + 'static>(body: IngressBody, kept: K) -> IngressBody {
    Box::pin(GuardedBody { body, _kept: kept })
}

//! Responses to clients: relayed from backend servers unaltered, or generated for refusals.

use {
    super::{client_request::ClientRequest, response_body::FullBody},
    crate::{
        filter::VERDICT_HEADER,
        operation::{Refusal, RefusalCode, RunVerdict},
        relay::dialect::ResponseMetadata,
        web::{self, BrokenBody, IngressBody, PooledAnswer},
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

/// Maximum body size of a response with which a server declines a request; with a longer one its connection is closed.
const MAX_DECLINE_BYTES: usize = 64 << 10;

/// A response to a client.
pub type RelayResponse = Response<IngressBody>;

/// A body that is fully buffered.
pub fn full_body(content: Bytes) -> IngressBody {
    Box::pin(Full::new(content).map_err(|never| match never {}))
}

// A buffered body that keeps its share of the callers' budget until it is handed over.
struct PiecedBody(FullBody);

impl http_body::Body for PiecedBody {
    type Data = Bytes;
    type Error = BrokenBody;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenBody>>> {
        let piece = self.0.take_piece();
        Poll::Ready(piece.map(|piece| Ok(Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        self.0.content.is_empty()
    }

    fn size_hint(&self) -> http_body::SizeHint {
        http_body::SizeHint::with_exact(self.0.content.len() as u64)
    }
}

/// A body that was read from a server.
pub(super) fn held_body(body: FullBody) -> IngressBody {
    match body.held.bytes() {
        0 => full_body(body.content),
        _ => Box::pin(PiecedBody(body)),
    }
}

/// A body that is streamed in chunks. An error among them aborts the connection.
pub fn streamed_body<S>(chunks: S) -> IngressBody
where
    S: Stream<Item = Result<Bytes, BrokenBody>> + 'static,
{
    use futures::StreamExt;
    Box::pin(StreamBody::new(chunks.map(|chunk| chunk.map(Frame::data))))
}

/// Builds the response that relays a backend server's status and end-to-end headers.
pub fn relayed_response(
    status: StatusCode,
    mut headers: HeaderMap,
    body: IngressBody,
) -> RelayResponse {
    web::strip_hop_headers(&mut headers);
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// Builds the response for a refusal.
pub fn refusal_response(refusal: &Refusal) -> RelayResponse {
    let status = refusal_status(refusal);
    let mut response = Response::new(full_body(Bytes::from(format!("{}\n", refusal.message))));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("text/plain; charset=utf-8"),
    );
    headers.insert(
        VERDICT_HEADER,
        HeaderValue::from_static(refusal.verdict.as_str()),
    );
    if let Some(wait) = refusal.retry_after {
        // Rounded up: a caller that comes back too early is refused again.
        let hundredths = wait.as_micros().div_ceil(10_000);
        let seconds = format!("{}.{:02}", hundredths / 100, hundredths % 100);
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            headers.insert(header::RETRY_AFTER, value);
        }
    }
    response
}

/// The status code of a refusal. Codes after which clients retry as if nothing had run are used only if nothing ran.
pub fn refusal_status(refusal: &Refusal) -> StatusCode {
    let ran = refusal.verdict != RunVerdict::NotRun;
    let status = match refusal.code {
        RefusalCode::BackendLost | RefusalCode::DeadlinePassed if !ran => 503,
        code if ran && promises_not_run(code.status()) => 502,
        code => code.status(),
    };
    assert!(
        !(ran && promises_not_run(status)),
        "status {status} of a refusal must not promise that nothing ran"
    );
    StatusCode::from_u16(status).expect("refusals have valid status codes")
}

// Whether clients take this status code for a promise that the request has not run, and retry as if nothing had been sent.
fn promises_not_run(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

/// Whether the client of a request that may not be repeated would take the status of a response, which does not say that
/// the request did not run, for a promise of that. Clients of other requests may repeat them whatever their response is.
pub(super) fn is_false_promise(request: &ClientRequest, status: StatusCode) -> bool {
    !request.route.kind.is_repeatable() && promises_not_run(status.as_u16())
}

/// Ends the response of a server that declined a request. Its connection is used again only if the response names the
/// request: a late copy of one that does not would be taken for the decline of the next request there.
pub(super) async fn end_decline(response: PooledAnswer, marks: &ResponseMetadata) {
    if marks.id.is_some() {
        response.body.discard(MAX_DECLINE_BYTES).await;
    }
}

struct GuardedBody<G> {
    body: IngressBody,
    // Dropped with the body: when it was sent, or when the client disconnected.
    _guard: G,
}

impl<G: Unpin> http_body::Body for GuardedBody<G> {
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

/// A body that holds `guard` while it is being sent.
pub fn guarded_body<G: Unpin + 'static>(body: IngressBody, guard: G) -> IngressBody {
    Box::pin(GuardedBody {
        body,
        _guard: guard,
    })
}

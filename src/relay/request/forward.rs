//! Forwards a streamed response body to the client.

use {
    super::{
        client_request::ClientRequest,
        response_body::{BodyStep, ResponseBody},
    },
    crate::{relay::policy::response_end::ResponseEnd, web::BrokenBody},
    bytes::Bytes,
    futures::Stream,
    std::rc::Rc,
    tokio::task,
};

/// Progress of a response body that is being forwarded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ForwardEvent {
    /// A chunk is about to be forwarded.
    Chunk,
    /// Nothing follows.
    End(ResponseEnd),
}

/// The error that ends a forwarded body. Waits until what came before was written: the server drops the rest at an error,
/// also the head.
pub(super) async fn break_off(detail: String) -> BrokenBody {
    task::yield_now().await;
    BrokenBody(detail)
}

/// Forwards the chunks of a response body until it ends or the request's deadline passes, and reports progress to
/// `observe`. Unless all of it came, the forwarded body fails. Keeps `state` until then.
pub(super) fn forward_body<S: 'static>(
    mut body: ResponseBody,
    request: Rc<ClientRequest>,
    state: S,
    observe: impl Fn(&mut S, ForwardEvent) + 'static,
) -> impl Stream<Item = Result<Bytes, BrokenBody>> {
    async_stream::stream! {
        // Moves all of `state` into the stream; fields that the block does not name would otherwise be dropped early.
        let mut state = state;
        loop {
            let next = body.next_within(request.time_left()).await;
            let stop = match next {
                Some(BodyStep::Chunk(bytes, _)) => {
                    observe(&mut state, ForwardEvent::Chunk);
                    yield Ok(bytes);
                    continue;
                }
                Some(BodyStep::End(stop)) => stop,
                None => body.stop_at_deadline(),
            };
            observe(&mut state, ForwardEvent::End(stop.end));
            if !stop.end.is_complete() {
                yield Err(break_off(stop.to_string()).await);
            }
            return;
        }
    }
}

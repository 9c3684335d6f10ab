//! What a caller's connection is doing: whether a request is expected, being read or being answered.

use {
    super::ingress::{BrokenBody, IngressBody},
    bytes::Bytes,
    http_body::{Body, Frame, SizeHint},
    std::{
        cell::Cell,
        pin::Pin,
        rc::Rc,
        task::{Context, Poll},
        time::Duration,
    },
};

/// A connection's phase.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// Opened for a request that has not arrived, or not all of its headers.
    Reading,
    /// A request is being answered.
    Answering,
    /// The last request is answered, and nothing of a further one has arrived.
    Idle,
}

/// The phase of a caller's connection.
#[derive(Debug)]
pub(super) struct ConnectionPhase(Cell<Phase>);

impl Default for ConnectionPhase {
    // A caller opens a connection to send a request.
    fn default() -> Self {
        Self(Cell::new(Phase::Reading))
    }
}

impl ConnectionPhase {
    /// Records that bytes arrived.
    pub(super) fn record_read(&self) {
        if self.0.get() == Phase::Idle {
            self.0.set(Phase::Reading);
        }
    }

    /// Records that the headers of a request have arrived.
    pub(super) fn begin_request(&self) {
        self.0.set(Phase::Answering);
    }

    /// Whether a request is being sent.
    pub(super) fn expects_request(&self) -> bool {
        self.0.get() == Phase::Reading
    }

    /// Completes if the headers of an expected request take longer than `limit` to arrive.
    pub(super) async fn request_overdue(&self, limit: Duration) {
        tokio::time::sleep(limit).await;
        if !self.expects_request() {
            std::future::pending::<()>().await;
        }
    }
}

/// The body of an answer, with whose end the connection is idle.
pub(super) struct TrackedBody {
    body: IngressBody,
    phase: Rc<ConnectionPhase>,
}

impl TrackedBody {
    /// Tracks a body.
    pub(super) fn boxed(body: IngressBody, phase: Rc<ConnectionPhase>) -> IngressBody {
        Box::pin(Self { body, phase })
    }
}

impl Drop for TrackedBody {
    fn drop(&mut self) {
        self.phase.0.set(Phase::Idle);
    }
}

impl Body for TrackedBody {
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

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

//! What a caller's connection is doing: whether a request is expected, being read or being answered, and how its bytes move.

use {
    super::{
        budget::{BytePace, SMALL_BYTES},
        ingress::{BrokenBody, IngressBody},
    },
    crate::operation::OnceSignal,
    bytes::Bytes,
    futures::FutureExt,
    http_body::{Body, Frame, SizeHint},
    std::{
        cell::Cell,
        pin::Pin,
        rc::Rc,
        task::{Context, Poll},
        time::Duration,
    },
    tokio::{io::Interest, net::TcpStream, time::Instant},
};

/// A connection's phase.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// Opened for a request of which nothing has arrived.
    Opened,
    /// Some of a request's headers have arrived.
    Reading,
    /// A request is being answered.
    Answering,
    /// The last request is answered, and nothing of a further one has arrived.
    Idle,
}

/// Why a connection can be closed to make room, the first before the others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum EvictionCause {
    /// The head of a request is late.
    LateHead,
    /// An answer is not read.
    UnreadAnswer,
    /// No request is in progress.
    Idle,
}

/// How soon a connection is closed to make room; the lowest rank goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct EvictionRank {
    cause: EvictionCause,
    since: Instant,
}

/// The state of a caller's connection.
#[derive(Debug)]
pub(super) struct ConnectionState {
    stream: Rc<TcpStream>,
    phase: Cell<Phase>,
    changed: Cell<Instant>,
    answer_started: Cell<Instant>,
    is_answer_held: Cell<bool>,
    written: Cell<usize>,
    // Since when the caller takes no more of an answer.
    blocked: Cell<Option<Instant>>,
    /// Set when the connection has to be closed.
    pub(super) evicted: OnceSignal,
}

impl ConnectionState {
    /// The state of a connection that was opened just now.
    pub(super) fn new(stream: Rc<TcpStream>) -> Self {
        Self {
            stream,
            phase: Cell::new(Phase::Opened),
            changed: Cell::new(Instant::now()),
            answer_started: Cell::new(Instant::now()),
            is_answer_held: Cell::new(false),
            written: Cell::new(0),
            blocked: Cell::default(),
            evicted: OnceSignal::default(),
        }
    }

    fn change(&self, phase: Phase) {
        self.phase.set(phase);
        self.changed.set(Instant::now());
    }

    /// Records that bytes arrived.
    pub(super) fn record_read(&self) {
        if matches!(self.phase.get(), Phase::Opened | Phase::Idle) {
            self.change(Phase::Reading);
        }
    }

    /// Records that the headers of a request have arrived.
    pub(super) fn begin_request(&self) {
        self.change(Phase::Answering);
        self.answer_started.set(self.changed.get());
        self.written.set(0);
    }

    /// Records the size of an answer that is buffered whole; none if it is not.
    pub(super) fn begin_answer(&self, size: Option<u64>) {
        let is_held = size.is_some_and(|size| size > SMALL_BYTES as u64);
        self.is_answer_held.set(is_held);
    }

    /// Since when the caller takes no more of an answer that takes room of others.
    pub(super) fn held_answer_stalled_since(&self, now: Instant) -> Option<Instant> {
        match self.is_answer_held.get() {
            true => self.stalled_since(now),
            false => None,
        }
    }

    /// Records that the caller took bytes.
    pub(super) fn record_write(&self, bytes: usize) {
        self.written.set(self.written.get() + bytes);
        self.blocked.set(None);
    }

    /// Records that the caller takes no more bytes for now.
    pub(super) fn record_blocked(&self) {
        if self.blocked.get().is_none() {
            self.blocked.set(Some(Instant::now()));
        }
    }

    /// Whether a request is being sent.
    pub(super) fn expects_request(&self) -> bool {
        matches!(self.phase.get(), Phase::Opened | Phase::Reading)
    }

    /// Completes if the headers of an expected request take longer than `limit` to arrive.
    pub(super) async fn request_overdue(&self, limit: Duration) {
        tokio::time::sleep(limit).await;
        if !self.expects_request() {
            std::future::pending::<()>().await;
        }
    }

    /// Whether a request's headers have been arriving for more than `limit`.
    pub(super) fn is_head_overdue(&self, now: Instant, limit: Duration) -> bool {
        self.phase.get() == Phase::Reading && now - self.changed.get() > limit
    }

    /// Whether the caller has left while its request is being answered. Bytes behind the request hide that from the reader.
    pub(super) fn is_abandoned(&self) -> bool {
        if self.phase.get() != Phase::Answering {
            return false;
        }
        let ready = self.stream.ready(Interest::READABLE).now_or_never();
        ready.is_some_and(|ready| ready.is_ok_and(|ready| ready.is_read_closed()))
    }

    /// Since when the caller takes no more of an answer, if it reads so slowly that others may have the room.
    pub(super) fn stalled_since(&self, now: Instant) -> Option<Instant> {
        let pace = BytePace {
            started: self.answer_started.get(),
            moved: self.blocked.get()?,
            bytes: self.written.get(),
        };
        pace.is_stalled(now).then_some(pace.moved)
    }

    /// How soon the connection is closed to make room; none if it is not.
    pub(super) fn eviction_rank(&self, now: Instant) -> Option<EvictionRank> {
        let changed = self.changed.get();
        let head = BytePace {
            started: changed,
            moved: changed,
            bytes: 0,
        };
        let (cause, since) = match self.phase.get() {
            Phase::Opened | Phase::Reading if head.is_stalled(now) => {
                (EvictionCause::LateHead, changed)
            }
            Phase::Opened | Phase::Reading => return None,
            // The last bytes of the answer may still be unread.
            Phase::Idle if self.blocked.get().is_none() => (EvictionCause::Idle, changed),
            Phase::Answering | Phase::Idle => {
                (EvictionCause::UnreadAnswer, self.stalled_since(now)?)
            }
        };
        Some(EvictionRank { cause, since })
    }
}

/// The body of an answer, with whose end the connection is idle.
pub(super) struct TrackedBody {
    body: IngressBody,
    state: Rc<ConnectionState>,
}

impl TrackedBody {
    /// Tracks a body.
    pub(super) fn boxed(body: IngressBody, state: Rc<ConnectionState>) -> IngressBody {
        Box::pin(Self { body, state })
    }
}

impl Drop for TrackedBody {
    fn drop(&mut self) {
        self.state.change(Phase::Idle);
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

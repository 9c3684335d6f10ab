//! The body of a backend server's response to a client's request, followed to its end.

use {
    super::client_request::ClientRequest,
    crate::{
        relay::{
            policy::{
                response_end::{BodyEnd, ResponseEnd},
                response_progress::{ResponseHead, ResponseProgress},
            },
            settings::RelaySettings,
        },
        web::{self, HeldBytes, PooledAnswer, PooledBody, SMALL_BYTES},
    },
    bytes::{Buf, Bytes},
    std::{fmt, time::Duration},
    tokio::time::Instant,
};

/// Time after the deadline in which bytes that have arrived before are still passed on: a process that was suspended sees its
/// deadline late.
const OVERDUE_TIME: Duration = Duration::from_millis(100);

/// What comes next of a response body.
#[derive(Debug)]
pub(super) enum BodyStep {
    /// Bytes, and how many of them belong to whole events, if any do.
    Chunk(Bytes, Option<usize>),
    /// Nothing follows.
    End(BodyStop),
}

/// That nothing follows in a response body, and why.
#[derive(Debug)]
pub(super) struct BodyStop {
    /// How the response ended.
    pub(super) end: ResponseEnd,
    // The error of the connection, if there was one.
    error: Option<hyper::Error>,
}

impl fmt::Display for BodyStop {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the response ended by {}", self.end.cause.as_str())?;
        match &self.error {
            Some(error) => write!(f, ": {error}"),
            None => Ok(()),
        }
    }
}

/// A body that was read whole, with the share of the callers' budget that it takes.
pub(super) struct FullBody {
    pub(super) content: Bytes,
    pub(super) held: HeldBytes,
}

/// Bytes of a buffered body that are handed over at once: a connection holds what it has not written yet.
const PIECE_BYTES: usize = 16 << 10;

impl FullBody {
    /// Takes the next bytes; none if all were taken. They are copied: a slice would keep all of the content.
    pub(super) fn take_piece(&mut self) -> Option<Bytes> {
        if self.content.is_empty() {
            return None;
        }
        let piece = Bytes::copy_from_slice(&self.content[..self.content.len().min(PIECE_BYTES)]);
        self.content.advance(piece.len());
        Some(piece)
    }
}

/// What came of reading a whole body.
pub(super) enum BufferedBody {
    /// It was read to its end, or to its limit.
    Whole(FullBody, BodyStop),
    /// The callers' budget has no room for it. Nothing of it is lost.
    NoRoom(Box<ResponseBody>),
}

/// The body of a response; knows whether all of it came.
pub(super) struct ResponseBody {
    // What was read before and comes next.
    prefix: Option<FullBody>,
    content: PooledBody,
    progress: ResponseProgress,
    // When more was wanted after the deadline for the first time.
    overdue_since: Option<Instant>,
}

impl ResponseBody {
    /// The body of a response of which nothing was read. `is_continued`: whether it continues a stream of which the client
    /// has events.
    pub(super) fn new(
        settings: &RelaySettings,
        request: &ClientRequest,
        response: PooledAnswer,
        is_continued: bool,
    ) -> Self {
        let progress = ResponseProgress::new(ResponseHead {
            framing: response.body.framing(),
            is_event_stream: is_event_stream(request, &response),
            may_be_empty: is_continued || !response.status.is_success(),
            max_event_bytes: settings.max_event_bytes,
        });
        let content = response.body;
        Self {
            prefix: None,
            content,
            progress,
            overdue_since: None,
        }
    }

    /// Whether it is a stream of server-sent events.
    pub(super) fn is_event_stream(&self) -> bool {
        self.progress.is_event_stream()
    }

    /// Waits for what comes next; nothing is lost if the wait is given up.
    pub(super) async fn next(&mut self) -> BodyStep {
        if let Some(prefix) = &mut self.prefix {
            match prefix.take_piece() {
                Some(piece) => return BodyStep::Chunk(piece, None),
                None => self.prefix = None,
            }
        }
        match self.content.chunk().await {
            Some(Ok(bytes)) => {
                let whole = self.progress.push(&bytes);
                match self.progress.is_too_large() {
                    true => BodyStep::End(self.stop(BodyEnd::TooLarge, None)),
                    false => BodyStep::Chunk(bytes, whole),
                }
            }
            Some(Err(error)) => BodyStep::End(self.stop(BodyEnd::Lost, Some(error))),
            None => BodyStep::End(self.stop(BodyEnd::Regular, None)),
        }
    }

    /// Waits up to `wait`, which is zero from the request's deadline on, for what comes next. None if nothing came, and if the
    /// deadline is over while bytes are always at hand.
    pub(super) async fn next_within(&mut self, wait: Duration) -> Option<BodyStep> {
        if wait.is_zero() {
            let since = self.overdue_since.get_or_insert_with(Instant::now);
            if since.elapsed() > OVERDUE_TIME {
                return None;
            }
        }
        tokio::time::timeout(wait, self.next()).await.ok()
    }

    /// Judges a body that is given up at the deadline.
    pub(super) fn stop_at_deadline(&self) -> BodyStop {
        self.stop(BodyEnd::TimeLimit, None)
    }

    fn stop(&self, end: BodyEnd, error: Option<hyper::Error>) -> BodyStop {
        let end = self.progress.end(end);
        BodyStop { end, error }
    }

    /// Reads the body to its end, or until it has more than `limit` bytes. What is beyond the first bytes is held of the
    /// budget. Only for bodies that are no event streams.
    pub(super) async fn read(mut self, limit: usize, mut held: HeldBytes) -> BufferedBody {
        let mut whole = Vec::new();
        loop {
            let bytes = match self.next().await {
                BodyStep::Chunk(bytes, _) if whole.len() + bytes.len() > limit => {
                    let stop = self.stop(BodyEnd::TooLarge, None);
                    return BufferedBody::Whole(full_body(whole, held), stop);
                }
                BodyStep::Chunk(bytes, _) => bytes,
                BodyStep::End(stop) => return BufferedBody::Whole(full_body(whole, held), stop),
            };
            let needed = whole.len() + bytes.len();
            if needed > whole.capacity() {
                let capacity = web::next_capacity(whole.capacity(), needed, limit);
                let has_room = capacity <= SMALL_BYTES || held.grow_to(capacity);
                whole.reserve_exact(if has_room { capacity } else { needed } - whole.len());
                if !has_room {
                    whole.extend_from_slice(&bytes);
                    self.prefix = Some(full_body(whole, held));
                    return BufferedBody::NoRoom(Box::new(self));
                }
            }
            whole.extend_from_slice(&bytes);
        }
    }
}

fn full_body(content: Vec<u8>, held: HeldBytes) -> FullBody {
    FullBody {
        content: content.into(),
        held,
    }
}

// A successful response on a streaming route is an event stream unless its head says something else.
fn is_event_stream(request: &ClientRequest, response: &PooledAnswer) -> bool {
    let default = request.route.kind.is_stream() && response.status.is_success();
    web::is_event_stream(&response.headers, default)
}

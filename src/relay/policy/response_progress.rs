//! Judges whether a backend server's response has ended, and whether all of it came.

use {
    super::{
        event_scanner::EventScanner,
        response_end::{BodyEnd, EndCause, ResponseEnd},
    },
    crate::web::BodyFraming,
};

/// Maximum size of a body that is no event stream, in bytes.
pub const MAX_PLAIN_BYTES: usize = 8 << 20;

/// What the head of a response tells about its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResponseHead {
    /// How the end of the body is marked.
    pub framing: BodyFraming,
    /// Whether the body is a stream of server-sent events.
    pub is_event_stream: bool,
    /// Whether a stream without any event can be all of the response: it continues one of which the client has events, or
    /// reports an error.
    pub may_be_empty: bool,
    /// Maximum size of an event, in bytes.
    pub max_event_bytes: usize,
}

/// Follows the body of a response. It is going on until its end is reported; what the end means depends on the framing
/// and, in an event stream, on the position:
///
/// | framing | body | regular end | connection lost | deadline | silence |
/// | --- | --- | --- | --- | --- | --- |
/// | length, chunks | no event stream | complete | broken off | broken off | going on |
/// | length, chunks | between two events, before the first one | complete | broken off | broken off | going on |
/// | length, chunks | inside an event | broken off | broken off | broken off | going on |
/// | connection | no event stream | complete | broken off | broken off | going on |
/// | connection | between two events | complete | broken off | broken off | going on |
/// | connection | before the first event | broken off | broken off | broken off | going on |
/// | connection | inside an event | broken off | broken off | broken off | going on |
///
/// - A response whose end only the connection marks is broken off by a reset, even after a whole event: the reset is the
///   only sign by which it differs from one that is complete.
/// - Before the first event, nothing but the end of the connection says that the response is complete, and a server
///   that crashes ends it too. Where the response may be empty, it is between two events from its start.
/// - One that exceeds the maximum size of an event, or of a body without events, is broken off at once.
/// - An event ends with its blank line. After a line that ended with CR LF, a CR alone is half of a line end: the response
///   was broken off there, since a sender uses one kind of line end.
#[derive(Debug)]
pub struct ResponseProgress {
    head: ResponseHead,
    scanner: EventScanner,
    // Bytes of a body that is no event stream.
    plain_bytes: usize,
}

impl ResponseProgress {
    /// A response of whose body nothing was read.
    pub fn new(head: ResponseHead) -> Self {
        Self {
            head,
            scanner: EventScanner::default(),
            plain_bytes: 0,
        }
    }

    /// Whether the body is a stream of server-sent events.
    pub fn is_event_stream(&self) -> bool {
        self.head.is_event_stream
    }

    /// Follows the next bytes of the body. Returns how many of them belong to whole events, if any do.
    pub fn push(&mut self, bytes: &[u8]) -> Option<usize> {
        match self.head.is_event_stream {
            true => self.scanner.push(bytes),
            false => {
                self.plain_bytes += bytes.len();
                None
            }
        }
    }

    /// Whether more bytes came than an event, or a body without events, may have: the server writes no response.
    pub fn is_too_large(&self) -> bool {
        let is_event_too_large = self.scanner.open_bytes() > self.head.max_event_bytes;
        is_event_too_large || self.plain_bytes > MAX_PLAIN_BYTES
    }

    /// Judges the end of the body.
    pub fn end(&self, end: BodyEnd) -> ResponseEnd {
        let cause = match end {
            BodyEnd::Lost => EndCause::ConnectionLost,
            BodyEnd::TimeLimit => EndCause::TimeLimit,
            BodyEnd::TooLarge => EndCause::TooLarge,
            BodyEnd::Regular => self.regular_end(),
        };
        ResponseEnd {
            framing: self.head.framing,
            cause,
        }
    }

    fn regular_end(&self) -> EndCause {
        if self.scanner.is_inside_event() {
            return EndCause::InsideEvent;
        }
        if self.head.framing != BodyFraming::Connection {
            return EndCause::Framed;
        }
        let has_event = self.scanner.has_event() || self.head.may_be_empty;
        match self.head.is_event_stream && !has_event {
            true => EndCause::NoEvent,
            false => EndCause::ConnectionEnd,
        }
    }
}

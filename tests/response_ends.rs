//! Whether a response has ended and all of it came: drawn event streams with drawn framing, line ends, cuts and reads,
//! against a model.

use {
    bayplank::{
        engine::{self, DecodeOrder, StreamItem},
        relay::{
            BodyEnd, EndCause, EventScanner, EventSplitter, MAX_EVENT_BYTES, ResponseEnd,
            ResponseHead, ResponseProgress,
        },
        web::{BodyFraming, WebClient},
    },
    bolero::{TypeGenerator, check},
    faststr::FastStr,
    futures::StreamExt,
    std::time::Duration,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpListener,
    },
};

/// The line ends of event streams.
const LINE_ENDS: [&str; 3] = ["\n", "\r\n", "\r"];

const FRAMINGS: [BodyFraming; 3] = [
    BodyFraming::Length,
    BodyFraming::Chunked,
    BodyFraming::Connection,
];

/// A drawn event stream.
#[derive(Debug, Clone, TypeGenerator)]
struct DrawnStream {
    events: [DrawnEvent; 4],
    event_count: u8,
    line_end: u8,
    framing: u8,
    // Sizes of the reads.
    reads: [u8; 8],
}

#[derive(Debug, Clone, TypeGenerator)]
struct DrawnEvent {
    data_lines: u8,
    has_type: bool,
    has_comment: bool,
    data: u8,
}

impl DrawnStream {
    fn line_end(&self) -> &'static str {
        LINE_ENDS[usize::from(self.line_end) % LINE_ENDS.len()]
    }

    fn framing(&self) -> BodyFraming {
        FRAMINGS[usize::from(self.framing) % FRAMINGS.len()]
    }

    fn count(&self) -> usize {
        usize::from(self.event_count) % (self.events.len() + 1)
    }

    fn event(&self, index: usize) -> String {
        let end = self.line_end();
        let event = &self.events[index];
        let mut text = String::new();
        if event.has_comment {
            text += &format!(": still here{end}");
        }
        if event.has_type {
            text += &format!("event: token{end}");
        }
        text += &format!("id: {}{end}", index + 1);
        for line in 0..event.data_lines % 3 {
            text += &format!("data: {line} {}: x{end}", event.data);
        }
        text + end
    }

    // The bytes after an event.
    fn text_after(&self, event: usize) -> String {
        (event..self.count())
            .map(|index| self.event(index))
            .collect()
    }

    fn reads<'a>(&self, bytes: &'a [u8]) -> Vec<&'a [u8]> {
        let mut reads = Vec::new();
        let mut rest = bytes;
        for size in self.reads.iter().cycle().take(bytes.len()) {
            let (now, later) = rest.split_at(rest.len().min(usize::from(*size % 16) + 1));
            reads.push(now);
            rest = later;
        }
        reads.push(rest);
        reads
    }

    // The model: the lengths at which the stream is between two events. A comment belongs to no event, and the CR after one
    // that begins a stream may be all of its line end.
    fn boundaries(&self) -> Vec<usize> {
        let mut at = 0;
        let mut boundaries = vec![0];
        if self.count() > 0 && self.events[0].has_comment && self.line_end() == "\r\n" {
            boundaries.push(": still here\r".len());
        }
        for index in 0..self.count() {
            if self.events[index].has_comment {
                boundaries.push(at + format!(": still here{}", self.line_end()).len());
            }
            at += self.event(index).len();
            boundaries.push(at);
        }
        boundaries
    }
}

fn progress(framing: BodyFraming, may_be_empty: bool) -> ResponseProgress {
    ResponseProgress::new(ResponseHead {
        framing,
        is_event_stream: true,
        may_be_empty,
        max_event_bytes: MAX_EVENT_BYTES,
    })
}

#[test]
fn a_stream_is_complete_exactly_where_it_is_between_two_events() {
    check!()
        .with_type::<DrawnStream>()
        .cloned()
        .for_each(|drawn| {
            let text = drawn.text_after(0);
            let boundaries = drawn.boundaries();
            for cut in 0..=text.len() {
                let mut progress = progress(drawn.framing(), true);
                for read in drawn.reads(&text.as_bytes()[..cut]) {
                    progress.push(read);
                }
                let is_between = boundaries.contains(&cut);
                let end = progress.end(BodyEnd::Regular);
                assert_eq!(end.is_complete(), is_between, "{:?}", &text[..cut]);
                for other in [BodyEnd::Lost, BodyEnd::TimeLimit, BodyEnd::TooLarge] {
                    assert!(!progress.end(other).is_complete());
                }
            }
        });
}

// The end of a stream that may have no event: it continues another one, or reports an error.
fn empty_end(framing: BodyFraming, text: &str) -> ResponseEnd {
    let mut progress = progress(framing, true);
    progress.push(text.as_bytes());
    progress.end(BodyEnd::Regular)
}

#[test]
fn before_its_first_event_only_an_explicit_end_completes_a_stream() {
    for (framing, cause) in [
        (BodyFraming::Length, EndCause::Framed),
        (BodyFraming::Chunked, EndCause::Framed),
        (BodyFraming::Connection, EndCause::NoEvent),
    ] {
        for text in ["", ": still here\n", "\n", ":\n\n"] {
            let mut progress = progress(framing, false);
            progress.push(text.as_bytes());
            assert_eq!(progress.end(BodyEnd::Regular).cause, cause, "{text:?}");
            assert!(empty_end(framing, text).is_complete(), "{text:?}");
        }
    }
}

#[test]
fn a_response_that_is_no_event_stream_is_complete_at_each_regular_end() {
    for framing in FRAMINGS {
        for text in ["", "id: 1", "{\"error\": \"no\"}"] {
            let mut progress = ResponseProgress::new(ResponseHead {
                framing,
                is_event_stream: false,
                may_be_empty: false,
                max_event_bytes: MAX_EVENT_BYTES,
            });
            assert_eq!(progress.push(text.as_bytes()), None);
            assert!(progress.end(BodyEnd::Regular).is_complete());
            assert!(!progress.end(BodyEnd::Lost).is_complete());
        }
    }
}

// Passes on the whole events of a part of a stream.
fn pass_on(splitter: &mut EventSplitter, drawn: &DrawnStream, part: &str, client: &mut String) {
    let mut scanner = EventScanner::default();
    for read in drawn.reads(part.as_bytes()) {
        let whole = scanner.push(read);
        if let Some(events) = splitter.push(read, whole) {
            *client += std::str::from_utf8(&events).expect("whole events are text");
        }
    }
}

#[test]
fn a_stream_resumed_after_any_cut_equals_the_whole_one() {
    check!()
        .with_type::<DrawnStream>()
        .cloned()
        .for_each(|drawn| {
            // A comment is passed on at once and sent again with the event that it precedes.
            let drawn = DrawnStream {
                events: drawn.events.map(|event| DrawnEvent {
                    has_comment: false,
                    ..event
                }),
                ..drawn
            };
            let text = drawn.text_after(0);
            for cut in 0..=text.len() {
                let (mut splitter, mut client) = (EventSplitter::default(), String::new());
                pass_on(&mut splitter, &drawn, &text[..cut], &mut client);
                splitter.drop_rest();
                let after = splitter
                    .last_id()
                    .map_or(0, |id| id.parse().expect("a number"));
                pass_on(&mut splitter, &drawn, &drawn.text_after(after), &mut client);
                assert!(splitter.is_empty());
                assert_eq!(client, text, "cut at {cut}");
            }
        });
}

// The items of an engine's stream on the product's own interface that is cut after a number of bytes.
async fn items_of(body: &str) -> Vec<Option<StreamItem>> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n";
    let response = format!("{head}{body}");
    let serving = async {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = [0; 4096];
        assert_ne!(stream.read(&mut request).await.unwrap(), 0);
        stream.write_all(response.as_bytes()).await.unwrap();
    };
    let link = engine::http_link(&WebClient::new(Duration::from_secs(1)), address);
    let text = FastStr::from_static_str;
    let opening = (link.decode)(DecodeOrder {
        attempt: text("a-1"),
        model: text("m"),
        handle: text("c-1"),
        source: text("127.0.0.1:1"),
        max_tokens: 10,
        priority: 0,
        tenant: text("t"),
    });
    let (items, ()) = tokio::join!(opening, serving);
    let items = items.expect("a stream").map(|item| item.ok());
    items.collect().await
}

#[tokio::test]
async fn an_engine_stream_of_the_own_interface_that_is_cut_has_no_last_item() {
    let token = |position| StreamItem::Token {
        position,
        text: FastStr::from_static_str("x"),
    };
    let finished = StreamItem::Finished {
        tokens: 2,
        reason: FastStr::from_static_str("stop"),
        load: None,
    };
    let items = [token(0), token(1), finished.clone()];
    let event = |item| format!("data: {}\n\n", serde_json::to_string(item).unwrap());
    let text: String = items.iter().map(event).collect();
    for cut in (0..text.len()).step_by(7) {
        let received = items_of(&text[..cut]).await;
        let whole = text[..cut].matches("\n\n").count();
        let sound: Vec<StreamItem> = received.into_iter().flatten().collect();
        assert!(sound.len() >= whole, "cut at {cut}: {sound:?}");
        assert!(!sound.contains(&finished), "cut at {cut}");
    }
    let received = items_of(&text).await;
    assert!(received.contains(&Some(finished)));
}

#[test]
fn an_event_is_too_large_exactly_when_it_exceeds_the_maximum_whatever_its_reads_are() {
    check!()
        .with_type()
        .for_each(|(excess, reads): &(i8, Vec<u16>)| {
            let size = MAX_EVENT_BYTES.saturating_add_signed(isize::from(*excess));
            let mut progress = progress(BodyFraming::Chunked, false);
            // What came before counts for nothing.
            progress.push(b"id: 1\ndata: one\n\n: still here\n");
            let event = vec![b'x'; size];
            let mut rest = &event[..];
            let mut reads = reads.iter().chain(std::iter::repeat(&u16::MAX));
            while !rest.is_empty() {
                let read = reads.next().expect("reads without end");
                let (now, later) = rest.split_at(rest.len().min(1 + usize::from(*read)));
                progress.push(now);
                rest = later;
            }
            assert_eq!(progress.is_too_large(), size > MAX_EVENT_BYTES);
        });
}

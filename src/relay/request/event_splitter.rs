//! Splits a stream of server-sent events into whole events.

use bytes::{Bytes, BytesMut};

/// Terminates an event.
const EVENT_END: &[u8] = b"\n\n";

/// Starts the line with the id of an event.
const ID_FIELD: &[u8] = b"id:";

/// Buffers bytes and returns whole events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
    last_id: Option<String>,
}

impl EventSplitter {
    /// Adds bytes and returns the events that are complete now, in one piece.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        self.pending.extend_from_slice(bytes);
        let end = rfind(&self.pending, EVENT_END)? + EVENT_END.len();
        let whole = self.pending.split_to(end).freeze();
        if let Some(id) = last_event_id(&whole) {
            self.last_id = Some(id);
        }
        Some(whole)
    }

    /// Id of the last returned event.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Whether part of an event is buffered.
    pub fn has_rest(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Discards the buffered part of an event, after the connection to its sender was lost.
    pub fn drop_rest(&mut self) {
        self.pending.clear();
    }

    /// Returns the buffered rest when the stream ended regularly.
    pub fn take_rest(&mut self) -> Option<Bytes> {
        let rest = self.pending.split().freeze();
        (!rest.is_empty()).then_some(rest)
    }
}

fn rfind(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes.windows(wanted.len()).rposition(|part| part == wanted)
}

fn last_event_id(events: &[u8]) -> Option<String> {
    let line = events
        .split(|byte| *byte == b'\n')
        .rev()
        .find(|line| line.starts_with(ID_FIELD))?;
    let id = String::from_utf8_lossy(&line[ID_FIELD.len()..]);
    Some(id.trim().to_owned())
}

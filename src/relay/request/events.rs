//! Cutting a stream of server-sent events into whole events.

use bytes::{Bytes, BytesMut};

/// What ends an event.
const EVENT_END: &[u8] = b"\n\n";

/// What begins the line that names an event.
const ID_FIELD: &[u8] = b"id:";

/// Collects bytes and gives out whole events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
    last_id: Option<String>,
}

impl EventSplitter {
    /// Adds bytes; gives the whole events that are there now, in one piece.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        self.pending.extend_from_slice(bytes);
        let end = rfind(&self.pending, EVENT_END)? + EVENT_END.len();
        let whole = self.pending.split_to(end).freeze();
        if let Some(id) = last_event_id(&whole) {
            self.last_id = Some(id);
        }
        Some(whole)
    }

    /// Id of the last event that was given out.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Whether part of an event is left over.
    pub fn has_rest(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Forgets the part of an event that is left over: its sender broke off.
    pub fn drop_rest(&mut self) {
        self.pending.clear();
    }

    /// Gives out what is left over at the stream's orderly end.
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

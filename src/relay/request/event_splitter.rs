//! Splits a stream of server-sent events into whole events, so that a stream that breaks off can be resumed after the last of
//! them.

use bytes::{Bytes, BytesMut};

/// Starts the line with the id of an event.
const ID_FIELD: &[u8] = b"id:";

/// Buffers bytes and returns whole events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
    last_id: Option<String>,
}

impl EventSplitter {
    /// Adds bytes, of which the first `whole` belong to whole events, if any do. Returns the events that are complete now, in
    /// one piece.
    pub fn push(&mut self, bytes: &[u8], whole: Option<usize>) -> Option<Bytes> {
        let (now, later) = bytes.split_at(whole.unwrap_or(0));
        self.pending.extend_from_slice(now);
        let events = whole.map(|_| self.pending.split().freeze());
        self.pending.extend_from_slice(later);
        if let Some(id) = events.as_deref().and_then(last_event_id) {
            self.last_id = Some(id);
        }
        events
    }

    /// Id of the last returned event.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Discards the buffered part of an event, after its sender broke off.
    pub fn drop_rest(&mut self) {
        self.pending.clear();
    }

    /// Whether nothing of an event is buffered.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }
}

fn last_event_id(events: &[u8]) -> Option<String> {
    let line = events
        .split(|byte| matches!(byte, b'\n' | b'\r'))
        .rev()
        .find(|line| line.starts_with(ID_FIELD))?;
    let id = String::from_utf8_lossy(&line[ID_FIELD.len()..]);
    Some(id.trim().to_owned())
}

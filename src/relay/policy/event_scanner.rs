//! Finds the ends of events in a stream of server-sent events.

/// What the current line of a stream is so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum LineState {
    #[default]
    Empty,
    /// A comment, which belongs to no event.
    Comment,
    Field,
}

/// Follows a stream of server-sent events, whose lines end with LF, CR LF or CR, whatever its reads are. An event ends
/// with a blank line.
#[derive(Debug, Default)]
pub struct EventScanner {
    line: LineState,
    // Whether the current event has a whole field.
    has_field: bool,
    // Whether the last byte was a CR, of which a following LF is the second half.
    is_after_cr: bool,
    has_event: bool,
}

impl EventScanner {
    /// Reads the next bytes. Returns how many of them belong to whole events, if any do: up to the last position that is
    /// between two events.
    pub fn push(&mut self, bytes: &[u8]) -> Option<usize> {
        let mut whole = None;
        for (index, byte) in bytes.iter().enumerate() {
            self.push_byte(*byte);
            if !self.is_inside_event() {
                whole = Some(index + 1);
            }
        }
        whole
    }

    fn push_byte(&mut self, byte: u8) {
        let was_after_cr = std::mem::replace(&mut self.is_after_cr, byte == b'\r');
        match (byte, self.line) {
            (b'\n', _) if was_after_cr => {}
            (b'\n' | b'\r', _) => self.end_line(),
            (b':', LineState::Empty) => self.line = LineState::Comment,
            (_, LineState::Empty) => self.line = LineState::Field,
            _ => {}
        }
    }

    fn end_line(&mut self) {
        match std::mem::take(&mut self.line) {
            LineState::Empty => {
                self.has_event |= self.has_field;
                self.has_field = false;
            }
            LineState::Comment => {}
            LineState::Field => self.has_field = true,
        }
    }

    /// Whether the stream has come to a place inside an event or a line.
    pub fn is_inside_event(&self) -> bool {
        self.has_field || self.line != LineState::Empty
    }

    /// Whether any event has come whole.
    pub fn has_event(&self) -> bool {
        self.has_event
    }
}

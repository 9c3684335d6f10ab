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
    // Whether the last line end is CR LF.
    ended_with_crlf: bool,
    // Whether the last byte is a CR and the line before ended with CR LF, so that an LF is missing.
    lacks_lf: bool,
    has_event: bool,
    // Bytes read since the last position between two events.
    open_bytes: usize,
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
        self.open_bytes = match whole {
            Some(end) => bytes.len() - end,
            None => self.open_bytes + bytes.len(),
        };
        whole
    }

    fn push_byte(&mut self, byte: u8) {
        let was_after_cr = std::mem::replace(&mut self.is_after_cr, byte == b'\r');
        self.lacks_lf = byte == b'\r' && self.ended_with_crlf;
        match byte {
            b'\n' if was_after_cr => self.ended_with_crlf = true,
            b'\n' | b'\r' => self.end_line(),
            _ if self.line != LineState::Empty => {}
            b':' => self.line = LineState::Comment,
            _ => self.line = LineState::Field,
        }
    }

    fn end_line(&mut self) {
        self.ended_with_crlf = false;
        match std::mem::take(&mut self.line) {
            LineState::Empty => {
                self.has_event |= self.has_field;
                self.has_field = false;
            }
            LineState::Comment => {}
            LineState::Field => self.has_field = true,
        }
    }

    /// Whether the stream has come to a place inside an event, a line or a line end.
    pub fn is_inside_event(&self) -> bool {
        self.has_field || self.line != LineState::Empty || self.lacks_lf
    }

    /// Number of bytes of the current event that have come.
    pub fn open_bytes(&self) -> usize {
        self.open_bytes
    }

    /// Whether any event has come whole.
    pub fn has_event(&self) -> bool {
        self.has_event
    }
}

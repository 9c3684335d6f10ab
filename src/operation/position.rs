//! Ids of streamed events. They name the attempt that generated a token, so that any host can resume the stream.

use {faststr::FastStr, std::fmt, std::str::FromStr};

const SEPARATOR: char = '~';

/// The position of one token in the stream of a decode attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EventPosition {
    /// The decode engine.
    pub engine: FastStr,
    /// The attempt's name at that engine.
    pub attempt: FastStr,
    /// The token's index in the answer, starting at 0.
    pub position: u32,
}

impl fmt::Display for EventPosition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            engine,
            attempt,
            position,
        } = self;
        write!(f, "{engine}{SEPARATOR}{attempt}{SEPARATOR}{position}")
    }
}

impl FromStr for EventPosition {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        let parts: Vec<&str> = text.split(SEPARATOR).collect();
        let [engine, attempt, position] = parts[..] else {
            return Err(());
        };
        let is_valid_name = |text: &str| {
            let is_allowed = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '.';
            !text.is_empty() && text.len() <= 128 && text.chars().all(is_allowed)
        };
        if !is_valid_name(engine) || !is_valid_name(attempt) {
            return Err(());
        }
        Ok(Self {
            engine: FastStr::new(engine),
            attempt: FastStr::new(attempt),
            position: position.parse().map_err(|_| ())?,
        })
    }
}

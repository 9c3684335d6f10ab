//! Ids of streamed events: where a token came from, so that any host can find the rest.

use {faststr::FastStr, std::fmt, std::str::FromStr};

const SEPARATOR: char = '~';

/// The place of one token in a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EventPosition {
    /// The decode engine.
    pub engine: FastStr,
    /// The attempt there.
    pub attempt: FastStr,
    /// The token's place in the answer, from 0.
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
        let is_name = |text: &str| {
            let fits = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '.';
            !text.is_empty() && text.len() <= 128 && text.chars().all(fits)
        };
        if !is_name(engine) || !is_name(attempt) {
            return Err(());
        }
        Ok(Self {
            engine: FastStr::new(engine),
            attempt: FastStr::new(attempt),
            position: position.parse().map_err(|_| ())?,
        })
    }
}

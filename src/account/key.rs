//! Keys that callers show, known by their hashes only.

use {
    serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error},
    sha2::{Digest, Sha256},
    std::{fmt, str},
};

/// What a written hash begins with.
const PREFIX: &str = "sha256:";

/// The SHA-256 of a key. Hosts hold, log and tell each other nothing else of keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyHash([u8; 32]);

impl KeyHash {
    /// The hash of a key as its caller shows it.
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }

    fn parse(text: &str) -> Option<Self> {
        let digits = text.strip_prefix(PREFIX)?;
        if digits.len() != 64 || !digits.is_ascii() {
            return None;
        }
        let mut hash = [0; 32];
        for (byte, pair) in hash.iter_mut().zip(digits.as_bytes().chunks(2)) {
            *byte = u8::from_str_radix(str::from_utf8(pair).ok()?, 16).ok()?;
        }
        Some(Self(hash))
    }
}

impl fmt::Display for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(PREFIX)?;
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl Serialize for KeyHash {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for KeyHash {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        // The text may be a key that was written in place of its hash, so the error does not show it.
        Self::parse(&text).ok_or_else(|| D::Error::custom("not a hash of a key"))
    }
}

/// What a request shows in place of a key.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ShownKey {
    /// Nothing.
    #[default]
    None,
    /// One key.
    One(KeyHash),
    /// Several, of which nobody can say which one is meant.
    Several,
}

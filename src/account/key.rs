//! API keys of callers, kept as hashes only.

use {
    serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error},
    sha2::{Digest, Sha256},
    std::{fmt, str},
};

/// Prefix of a hash in its text form.
const PREFIX: &str = "sha256:";

/// SHA-256 of an API key. Hosts store, log and exchange only the hash, never the key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyHash([u8; 32]);

impl KeyHash {
    /// Hashes a key as the caller presents it.
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
        // The text may be an unhashed key entered by mistake, so the error does not include it.
        Self::parse(&text).ok_or_else(|| D::Error::custom("not a hash of a key"))
    }
}

/// The API key that a request presents, if any.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum PresentedKey {
    /// No key.
    #[default]
    None,
    /// Exactly one key.
    One(KeyHash),
    /// Several keys, so that it is ambiguous which one applies.
    Multiple,
}

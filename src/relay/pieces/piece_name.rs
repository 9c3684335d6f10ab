//! Names of pieces.

use {
    serde::{Deserialize, Serialize},
    std::{fmt, num::ParseIntError},
};

/// Length of a name in bytes.
pub const NAME_BYTES: usize = 16;

/// The name of a piece: a hash of its uncompressed content.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct PieceName([u8; NAME_BYTES]);

impl PieceName {
    /// The name of a content.
    pub fn of(content: &[u8]) -> Self {
        let hash = blake3::hash(content);
        let mut name = [0; NAME_BYTES];
        name.copy_from_slice(&hash.as_bytes()[..NAME_BYTES]);
        Self(name)
    }

    /// The name with these bytes.
    pub fn from_bytes(bytes: [u8; NAME_BYTES]) -> Self {
        Self(bytes)
    }

    /// The bytes of the name.
    pub fn as_bytes(&self) -> &[u8; NAME_BYTES] {
        &self.0
    }

    /// A number that is evenly distributed over all names.
    pub fn number(&self) -> u64 {
        let mut low = [0; 8];
        low.copy_from_slice(&self.0[..8]);
        u64::from_le_bytes(low)
    }
}

impl fmt::Display for PieceName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", u128::from_be_bytes(self.0))
    }
}

impl fmt::Debug for PieceName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl From<PieceName> for String {
    fn from(name: PieceName) -> Self {
        name.to_string()
    }
}

impl TryFrom<String> for PieceName {
    type Error = ParseIntError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        let number = u128::from_str_radix(&text, 16)?;
        Ok(Self(number.to_be_bytes()))
    }
}

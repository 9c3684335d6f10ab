//! What may crash backend servers: a whole request, or a part of a prompt that many requests share.

use {
    super::digest::{PartDigest, RequestDigest},
    std::fmt,
};

/// Crashed server runs from which a part of prompts counts as the cause.
pub const PART_FATAL_CRASHES: usize = 4;

/// What crashes count against.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum CrashSuspect {
    /// All requests of one account with the same target and body.
    Request(RequestDigest),
    /// All requests whose prompts have this part, whatever else they hold.
    PromptPart(PartDigest),
}

impl CrashSuspect {
    /// The suspect with a digest in the form that hosts exchange.
    pub fn from_wire(digest: u128, is_part: bool) -> Self {
        match is_part {
            true => Self::PromptPart(PartDigest(digest)),
            false => Self::Request(RequestDigest(digest)),
        }
    }

    /// The digest, which is unique among the suspects of its kind.
    pub fn digest(self) -> u128 {
        match self {
            Self::Request(digest) => digest.0,
            Self::PromptPart(digest) => digest.0,
        }
    }

    /// Whether it is a part of prompts.
    pub fn is_part(self) -> bool {
        matches!(self, Self::PromptPart(_))
    }

    /// Its kind in log events and texts.
    pub fn kind(self) -> &'static str {
        match self {
            Self::Request(_) => "request",
            Self::PromptPart(_) => "prompt-part",
        }
    }

    /// Crashed server runs from which it is suspected. A part that many requests share is in one crash after the other
    /// by chance.
    pub fn suspected_crashes(self) -> usize {
        match self {
            Self::Request(_) => 1,
            Self::PromptPart(_) => 2,
        }
    }

    /// Crashed server runs from which it counts as the cause. Operators accept the loss of three servers to a request and of
    /// five to a part.
    pub fn fatal_crashes(self) -> usize {
        match self {
            Self::Request(_) => 3,
            Self::PromptPart(_) => PART_FATAL_CRASHES,
        }
    }
}

impl From<RequestDigest> for CrashSuspect {
    fn from(digest: RequestDigest) -> Self {
        Self::Request(digest)
    }
}

impl From<PartDigest> for CrashSuspect {
    fn from(digest: PartDigest) -> Self {
        Self::PromptPart(digest)
    }
}

impl fmt::Display for CrashSuspect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Request(digest) => digest.fmt(f),
            Self::PromptPart(digest) => digest.fmt(f),
        }
    }
}

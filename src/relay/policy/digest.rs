//! Identifies a request by its contents, since callers may send it again to any host and under another id, and the parts
//! of prompts that requests share.

use {
    blake3::Hasher,
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// A digest of what determines a request's work at a backend server: its client account, its path and query, its body.
///
/// Half of a BLAKE3 hash, so that nobody can forge a request with the digest of another caller's request, and a body
/// cannot be recovered from it. Hashing 64 KiB takes 30 to 39 µs (test `a_large_body_is_hashed_quickly`); SHA-256 took
/// 49 µs with dedicated CPU instructions, which not all processors have.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestDigest(pub u128);

impl RequestDigest {
    /// The digest of a request; `account` is empty if it is not known.
    pub fn of(account: &str, target: &str, body: &[u8]) -> Self {
        let mut hasher = Hasher::new();
        for part in [account.as_bytes(), target.as_bytes()] {
            // The length prefix keeps bytes from moving between parts without changing the digest.
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        hasher.update(body);
        Self(half_hash(&hasher))
    }
}

impl fmt::Display for RequestDigest {
    // The low 64 bits, enough to distinguish thousands of requests in a log.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0 as u64)
    }
}

/// A digest of the id of a prompt part, which its caller chose. It has a fixed size, whatever the length of the id.
///
/// Engines cache parts by their ids for all accounts and models, so neither is included.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PartDigest(pub u128);

impl PartDigest {
    /// The digest of a part's id.
    pub fn of(id: &str) -> Self {
        let mut hasher = Hasher::new();
        hasher.update(id.as_bytes());
        Self(half_hash(&hasher))
    }
}

impl fmt::Display for PartDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0 as u64)
    }
}

fn half_hash(hasher: &Hasher) -> u128 {
    let hash = hasher.finalize();
    let half = hash
        .as_bytes()
        .first_chunk()
        .expect("a BLAKE3 hash has 32 bytes");
    u128::from_le_bytes(*half)
}

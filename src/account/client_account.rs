//! A client account as operators configure it.

use {
    super::key::KeyHash,
    faststr::FastStr,
    serde::{Deserialize, Serialize},
    xxhash_rust::xxh3,
};

/// A client account.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ClientAccount {
    /// Name, which is also sent to backend servers.
    pub name: FastStr,
    /// Hashes of the API keys of its callers.
    pub keys: Vec<KeyHash>,
    /// Overrides the priority of the route; 0 is the most urgent. None keeps the route's priority.
    pub priority: Option<u8>,
    /// Rate limit across all hosts. None means unlimited.
    pub limit: Option<AccountLimit>,
    /// The regions whose servers may run its requests and store their data; none if all may.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub allowed_regions: Option<Vec<FastStr>>,
}

/// Rate limit of an account across all hosts.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct AccountLimit {
    /// Unit that the limit counts.
    pub unit: LimitUnit,
    /// Units per second.
    pub rate: f64,
    /// Units that may be used at once on top of the rate.
    pub burst: f64,
}

impl AccountLimit {
    /// Units charged for a request of `tokens` tokens, 0 if the request names no number.
    pub fn charge(&self, tokens: u64) -> f64 {
        match self.unit {
            LimitUnit::Requests => 1.0,
            LimitUnit::Tokens { unnamed } if tokens == 0 => unnamed as f64,
            LimitUnit::Tokens { .. } => tokens as f64,
        }
    }
}

/// Unit that a limit counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LimitUnit {
    /// Requests.
    Requests,
    /// Tokens of the prompt plus the maximum number of completion tokens.
    Tokens {
        /// Tokens charged for a request that names no number.
        unnamed: u64,
    },
}

/// Account id in messages between hosts: a hash of the account's name.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AccountKey(pub u64);

impl AccountKey {
    /// Computes the id from the account's name.
    pub fn of(name: &str) -> Self {
        Self(xxh3::xxh3_64(name.as_bytes()))
    }
}

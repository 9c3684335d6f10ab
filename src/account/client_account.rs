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
    /// Its name, which backend servers are told.
    pub name: FastStr,
    /// Hashes of the keys that its callers show.
    pub keys: Vec<KeyHash>,
    /// Goes before the priority of a route, 0 is the most urgent; none leaves it to the route.
    pub priority: Option<u8>,
    /// What all hosts together let in; none where nothing bounds it.
    pub limit: Option<AccountLimit>,
}

/// What all hosts together let in for an account.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct AccountLimit {
    /// What is counted.
    pub unit: LimitUnit,
    /// Units a second.
    pub rate: f64,
    /// Units that may be used at once beyond that.
    pub burst: f64,
}

impl AccountLimit {
    /// Units that a request of so many tokens is charged; `tokens` is 0 for one that names none.
    pub fn charge(&self, tokens: u64) -> f64 {
        match self.unit {
            LimitUnit::Requests => 1.0,
            LimitUnit::Tokens { unnamed } if tokens == 0 => unnamed as f64,
            LimitUnit::Tokens { .. } => tokens as f64,
        }
    }
}

/// What a limit counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LimitUnit {
    /// Requests.
    Requests,
    /// Tokens of the prompt and of the longest answer.
    Tokens {
        /// Tokens of a request that names none.
        unnamed: u64,
    },
}

/// An account in what hosts tell each other: a hash of its name.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AccountKey(pub u64);

impl AccountKey {
    /// The key of an account by its name.
    pub fn of(name: &str) -> Self {
        Self(xxh3::xxh3_64(name.as_bytes()))
    }
}

//! What hosts tell each other of the use of accounts.

use {super::client_account::AccountKey, std::time::Duration};

/// What an account used: at a host since it last told, at a zone since its ledger began.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AccountUse {
    /// The account.
    pub account: AccountKey,
    /// Units that its callers asked for, refused or not. Counted modulo 2^32, as the next.
    pub asked: u32,
    /// Units that were let in, less what was given back.
    pub taken: u32,
}

/// An account whose limit may be met soon.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct NearAccount {
    /// The account.
    pub account: AccountKey,
    /// Share of its requests that fits into its limit, 0 to 1; for a host that cannot ask.
    pub share: f64,
}

/// Which ledger a zone's sums are of: they begin at 0 with each.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LedgerLife {
    /// Drawn when it began.
    pub id: u64,
    /// How long ago that was.
    pub age: Duration,
}

/// What a report tells of accounts, or the answer to one.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct UseReport {
    /// Of a host, what it let in by itself since its last report; of a zone, the sums of its ledger.
    pub uses: Vec<AccountUse>,
    /// The accounts of which the zone's ledger is to be asked first; in answers to hosts.
    pub near: Vec<NearAccount>,
    /// The ledger of a zone's sums.
    pub ledger: Option<LedgerLife>,
}

//! What hosts tell each other of the use of accounts.

use {super::client_account::AccountKey, faststr::FastStr, std::time::Duration};

/// What an account used: by a host since it last told, by a ledger since it began.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AccountUse {
    /// The account.
    pub account: AccountKey,
    /// Units that its callers asked for, refused or not. Counted modulo 2^32, as the next.
    pub asked: u32,
    /// Units that were let in, less what was given back.
    pub taken: u32,
    /// Units used by all and not yet drained, as a ledger has it; 0 where that is not told.
    pub level: u32,
}

/// An account whose limit may be met soon.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct NearAccount {
    /// The account.
    pub account: AccountKey,
    /// Share of its requests that fits into its limit, 0 to 1; for a host that cannot ask.
    pub share: f64,
}

/// What a host's report tells of accounts, or the answer to it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct UseReport {
    /// What the host let in by itself since its last report.
    pub uses: Vec<AccountUse>,
    /// The accounts of which the zone's ledger is to be asked first; in answers, and none where it cannot say yet.
    pub near: Option<Vec<NearAccount>>,
}

/// What a ledger let in since it began.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LedgerSums {
    /// Drawn when it began.
    pub id: u64,
    /// How long ago that was.
    pub age: Duration,
    /// The availability zone of its host.
    pub zone: FastStr,
    /// By account; an account that is not named has not changed lately.
    pub uses: Vec<AccountUse>,
}

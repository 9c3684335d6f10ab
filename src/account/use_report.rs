//! Messages about account usage that hosts exchange.

use {super::client_account::AccountKey, faststr::FastStr, std::time::Duration};

/// Usage of an account: on a host since its last report, or in a ledger since its start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AccountUse {
    /// The account.
    pub account: AccountKey,
    /// Requested units, refused ones included, modulo 2^32.
    pub asked: u32,
    /// Admitted units less refunds, modulo 2^32.
    pub taken: u32,
    /// Units used in all zones and not yet drained, as a ledger knows them. 0 if not sent.
    pub level: u32,
}

/// Account that may reach its limit soon.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct NearAccount {
    /// The account.
    pub account: AccountKey,
    /// Fraction of its requests that fits its limit, 0 to 1, for hosts that cannot ask the ledger.
    pub share: f64,
}

/// Account part of a host's report, or of the answer to it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct UseReport {
    /// Usage that the host admitted without asking since its last report.
    pub uses: Vec<AccountUse>,
    /// Accounts for which the zone's ledger must be asked first. Set in answers only, and none while the
    /// ledger is warming up.
    pub near: Option<Vec<NearAccount>>,
}

/// Totals of a ledger since its start.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LedgerSums {
    /// Random id, drawn when the ledger started.
    pub id: u64,
    /// Age of the ledger.
    pub age: Duration,
    /// The availability zone of its host.
    pub zone: FastStr,
    /// Totals by account. An omitted account has not changed lately.
    pub uses: Vec<AccountUse>,
}

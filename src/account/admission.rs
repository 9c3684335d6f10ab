//! How a host admits a request of an account: at once, after asking the zone's ledger, or by an estimate.

use {
    super::{
        client_account::AccountKey,
        use_report::{AccountUse, NearAccount},
    },
    std::{collections::BTreeMap, time::Duration},
};

/// Maximum age of the list of accounts near their limits. Reports are answered twice in that time.
const NEAR_MAX_AGE: Duration = Duration::from_millis(2_000);

/// How long a host uses estimates after the ledger failed to answer. By then it reports to another host.
const UNANSWERED_TIME: Duration = Duration::from_millis(400);

/// Fraction of requests that a host admits without asking before any ledger has sent it a list of accounts.
/// All hosts are briefly in that state after a loss of all hosts, when callers of interrupted requests retry
/// at once. When all requests were admitted for 1.2 s, accounts at 7.5 times their usual demand reached 1.08
/// of the tolerated usage; with this value the worst case stays below 1.0. With 0.65, one in 18 requests
/// within the limits would be refused in the following nine seconds (tests/account_limits.rs).
const INITIAL_SHARE: f64 = 0.7;

/// How a request is admitted.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AdmissionMode {
    /// At once, since the account is far below its limit.
    Immediate,
    /// If the zone's ledger agrees.
    AskLedger,
    /// With this probability, since the ledger does not answer.
    Estimate(f64),
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct UnreportedUse {
    asked: u32,
    taken: u32,
}

/// A host's data on account usage, by which it admits requests.
#[derive(Debug, Default)]
pub struct AccountAdmission {
    unreported: BTreeMap<AccountKey, UnreportedUse>,
    near: BTreeMap<AccountKey, f64>,
    near_received: Option<Duration>,
    unanswered_until: Duration,
}

impl AccountAdmission {
    /// Decides how a request of an account is admitted.
    pub fn choose(&self, account: AccountKey, now: Duration) -> AdmissionMode {
        let has_list = self
            .near_received
            .is_some_and(|at| now.saturating_sub(at) < NEAR_MAX_AGE);
        let near = self.near.get(&account);
        match near {
            None if has_list => AdmissionMode::Immediate,
            _ if now < self.unanswered_until => {
                AdmissionMode::Estimate(self.estimated_share(account))
            }
            _ => AdmissionMode::AskLedger,
        }
    }

    /// Whether no ledger has sent this host a list of accounts yet.
    pub fn lacks_usage_data(&self) -> bool {
        self.near_received.is_none()
    }

    /// Fraction of an account's requests to admit when the ledger cannot be asked.
    pub fn estimated_share(&self, account: AccountKey) -> f64 {
        let default_share = match self.lacks_usage_data() {
            true => INITIAL_SHARE,
            false => 1.0,
        };
        self.near.get(&account).copied().unwrap_or(default_share)
    }

    /// Records that the ledger did not answer.
    pub fn record_no_answer(&mut self, now: Duration) {
        self.unanswered_until = now + UNANSWERED_TIME;
    }

    /// Records a request of `units` that was admitted or refused without the ledger.
    pub fn record(&mut self, account: AccountKey, units: f64, is_admitted: bool) {
        let unreported = self.unreported.entry(account).or_default();
        let units = units.round() as u32;
        unreported.asked = unreported.asked.wrapping_add(units);
        if is_admitted {
            unreported.taken = unreported.taken.wrapping_add(units);
        }
    }

    /// Refunds an admitted request that certainly did not run.
    pub fn refund(&mut self, account: AccountKey, units: f64) {
        let unreported = self.unreported.entry(account).or_default();
        unreported.taken = unreported.taken.wrapping_sub(units.round() as u32);
    }

    /// Takes the usage to report and marks it as reported.
    pub fn take_unreported(&mut self) -> Vec<AccountUse> {
        let unreported = std::mem::take(&mut self.unreported).into_iter();
        unreported
            .map(|(account, usage)| AccountUse {
                account,
                asked: usage.asked,
                taken: usage.taken,
                level: 0,
            })
            .collect()
    }

    /// Restores usage whose report was not delivered, so that it is reported again.
    pub fn restore_unreported(&mut self, uses: Vec<AccountUse>) {
        for used in uses {
            let unreported = self.unreported.entry(used.account).or_default();
            unreported.asked = unreported.asked.wrapping_add(used.asked);
            unreported.taken = unreported.taken.wrapping_add(used.taken);
        }
    }

    /// Sets the accounts near their limits as received from the zone's ledger, which sends none during its
    /// warm-up.
    pub fn set_near_limit(&mut self, near: Option<&[NearAccount]>, now: Duration) {
        let Some(near) = near else { return };
        let shares = near.iter().map(|near| (near.account, near.share));
        self.near = shares.collect();
        self.near_received = Some(now);
    }
}

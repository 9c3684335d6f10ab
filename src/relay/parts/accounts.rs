//! Client accounts: authenticates requests by API key and enforces the rate limit of each account.

use {
    super::{metric_labels::LimitEnd, shared::RelayParts},
    crate::{
        account::{
            self, AccountAdmission, AccountDirectory, AccountKey, AccountLimit, AccountUse,
            AdmissionMode, ClientAccount, KeyStatus, LedgerSums, PresentedKey, UseReport,
            ZoneLedger,
        },
        operation::{Refusal, RefusalCode},
        relay::config::RelayRoute,
    },
    faststr::FastStr,
    futures::future::LocalBoxFuture,
    rand::RngExt,
    std::{cell::RefCell, collections::BTreeSet, fmt, ops::RangeInclusive, rc::Rc, time::Duration},
};

/// Retry delay for callers whose key this host cannot verify. Other hosts may be able to, and this one usually reaches
/// the store again within one or two seconds. Random, because every caller of the host is refused at the same time.
const UNVERIFIED_KEY_RETRY: RangeInclusive<Duration> =
    Duration::from_millis(300)..=Duration::from_millis(900);

/// Random addition to the retry delay of a caller over its limit, as a fraction of the delay, so that callers refused at
/// the same moment don't retry together.
const RETRY_JITTER: f64 = 0.2;

/// Timeout of a query to the zone's ledger: a fraction of the request's latency target, up to a maximum. The ledger
/// usually answers within milliseconds, and admission by estimate is not much worse.
const QUERY_TIMEOUT_PART: f64 = 0.2;
const QUERY_TIMEOUT_MAX: Duration = Duration::from_millis(120);

/// Number of hosts that a host without ledger data queries in turn. When all hosts are killed and the first host of each
/// zone stays down, a single query leaves a restarted host to estimate for its first requests: 0.68 to 0.74 of them
/// were admitted without ledger data, and none with a second query (100 requests, three runs of a test).
const LEDGER_QUERY_ATTEMPTS: usize = 2;

/// A ledger's decision on a charge: admitted, or the delay before a retry. `None` if the ledger did not answer.
pub type ChargeDecision = Option<Result<(), Duration>>;

/// Queries the host that owns the zone's ledger; `None` if that is this host or if the owner is unknown.
pub type LedgerQuery =
    dyn Fn(AccountKey, u32, Duration) -> Option<LocalBoxFuture<'static, ChargeDecision>>;

/// The units charged to an account for a request.
#[derive(Debug, Clone, Copy)]
pub struct UseCharge {
    account: AccountKey,
    units: f64,
}

/// This host's state of account limits: its allowances, the ledger that it keeps for the zone, and how to query the
/// host that owns the zone's ledger.
pub struct AccountGate {
    allowances: RefCell<AccountAdmission>,
    ledger: RefCell<ZoneLedger>,
    query: RefCell<Option<Rc<LedgerQuery>>>,
}

impl fmt::Debug for AccountGate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("AccountGate")
    }
}

impl AccountGate {
    pub(super) fn new(ledger: ZoneLedger) -> Self {
        Self {
            allowances: RefCell::default(),
            ledger: RefCell::new(ledger),
            query: RefCell::default(),
        }
    }

    /// Sets the function that queries the owner of the zone's ledger.
    pub fn set_ledger_query(&self, query: Rc<LedgerQuery>) {
        *self.query.borrow_mut() = Some(query);
    }
}

impl RelayParts {
    /// Returns the account that the request's key belongs to; `None` if the route needs no account.
    pub fn identify(
        &self,
        route: &RelayRoute,
        shown: PresentedKey,
    ) -> Result<Option<Rc<ClientAccount>>, Refusal> {
        let routes = self.routes();
        let accounts = routes.as_ref().and_then(|routes| routes.accounts());
        let proof = self.cluster.borrow().proof_age(self.now());
        let rules = &self.settings.bounds.keys;
        match account::check_key(accounts, shown, route.is_public, proof, rules) {
            KeyStatus::Account(account) => {
                let life = rules.max_proof_age();
                let is_proved = life.is_none_or(|life| proof.is_some_and(|age| age < life));
                assert!(
                    is_proved || route.is_public,
                    "a key that may have been revoked gives no access"
                );
                Ok(Some(account))
            }
            KeyStatus::NotRequired => Ok(None),
            KeyStatus::Unknown => Err(Refusal::not_run(
                RefusalCode::UnknownCaller,
                "no key in force was shown",
            )),
            KeyStatus::Unverified => {
                self.metrics.unsure_keys.inc();
                let age = proof.map_or(-1, |age| age.as_millis() as i64);
                let text = format!(
                    "this host cannot tell whether the key is in force; it was sure {age} ms ago"
                );
                let refusal = Refusal::not_run(RefusalCode::NotConfigured, text);
                Err(refusal.after(rand::rng().random_range(UNVERIFIED_KEY_RETRY)))
            }
        }
    }

    /// Charges a request of `tokens` tokens to its account, or refuses it if the account is over its limit. `target` is
    /// the latency target of the request. Returns `None` if the account has no limit.
    pub async fn admit(
        &self,
        account: &ClientAccount,
        tokens: u64,
        target: Duration,
    ) -> Result<Option<UseCharge>, Refusal> {
        let Some(limit) = account.limit else {
            return Ok(None);
        };
        let charge = UseCharge {
            account: AccountKey::of(&account.name),
            units: limit.charge(tokens),
        };
        let choice = self
            .accounts
            .allowances
            .borrow()
            .choose(charge.account, self.now());
        let admission = match choice {
            AdmissionMode::Immediate => self.admit_by_share(charge, 1.0),
            AdmissionMode::Estimate(share) => self.admit_by_share(charge, share),
            AdmissionMode::AskLedger => match self.query_ledger(charge, limit, target).await {
                Ok(answer) => answer,
                Err(share) => self.admit_by_share(charge, share),
            },
        };
        let end = match admission {
            Ok(()) => LimitEnd::LetIn,
            Err(_) => LimitEnd::OverLimit,
        };
        self.metrics.limited(&account.name, charge.units, end);
        match admission {
            Ok(()) => Ok(Some(charge)),
            Err(wait) => Err(self.over_limit(account, wait)),
        }
    }

    fn over_limit(&self, account: &ClientAccount, wait: Duration) -> Refusal {
        let spread = rand::random_range(1.0..=1.0 + RETRY_JITTER);
        let text = format!("account {} is over its limit", account.name);
        Refusal::not_run(RefusalCode::OverLimit, text).after(wait.mul_f64(spread))
    }

    // Admits a fraction `share` of requests at random, without the ledger.
    fn admit_by_share(&self, charge: UseCharge, share: f64) -> Result<(), Duration> {
        let is_admitted = rand::random_bool(share.clamp(0.0, 1.0));
        let mut allowances = self.accounts.allowances.borrow_mut();
        allowances.record(charge.account, charge.units, is_admitted);
        match is_admitted {
            true => Ok(()),
            false => Err(Duration::from_secs(1)),
        }
    }

    // Returns the ledger's decision. If the ledger does not answer, the error is the fraction of requests to admit.
    async fn query_ledger(
        &self,
        charge: UseCharge,
        limit: AccountLimit,
        target: Duration,
    ) -> Result<Result<(), Duration>, f64> {
        let patience = target.mul_f64(QUERY_TIMEOUT_PART).min(QUERY_TIMEOUT_MAX);
        let lacks_data = self.accounts.allowances.borrow().lacks_usage_data();
        let attempts = if lacks_data { LEDGER_QUERY_ATTEMPTS } else { 1 };
        for _ in 0..attempts {
            let decision = self.query_ledger_owner(charge, limit, patience).await?;
            if let Some(decision) = decision {
                return Ok(decision);
            }
        }
        let mut allowances = self.accounts.allowances.borrow_mut();
        allowances.record_no_answer(self.now());
        Err(allowances.estimated_share(charge.account))
    }

    // Queries the current owner of the zone's ledger; `None` if it does not answer.
    async fn query_ledger_owner(
        &self,
        charge: UseCharge,
        limit: AccountLimit,
        patience: Duration,
    ) -> Result<ChargeDecision, f64> {
        let call = self.accounts.query.borrow().clone();
        let units = charge.units.round() as u32;
        let query = call.and_then(|call| call(charge.account, units, patience));
        let Some(query) = query else {
            // While the hosts are unknown, any of them may own the ledger: if each decided by its own copy, each would
            // admit the whole remainder of a limit.
            if !self.cluster.borrow().hosts_position().is_known() {
                return Err(self
                    .accounts
                    .allowances
                    .borrow()
                    .estimated_share(charge.account));
            }
            let now = self.now();
            let mut ledger = self.accounts.ledger.borrow_mut();
            ledger.mark_in_use(now);
            return Ok(Some(ledger.charge(
                charge.account,
                limit,
                charge.units,
                now,
            )));
        };
        self.metrics.ledger_asks.inc();
        let answer = query.await;
        if answer.is_none() {
            self.metrics.ledger_silences.inc();
        }
        Ok(answer)
    }

    /// Returns whether this host has received no data on the use of accounts yet.
    pub fn lacks_account_data(&self) -> bool {
        self.accounts.allowances.borrow().lacks_usage_data()
    }

    /// Refunds the charge for a request that was admitted but certainly did not run.
    pub fn refund(&self, account: &FastStr, charge: UseCharge) {
        self.metrics
            .limited(account, charge.units, LimitEnd::GivenBack);
        let mut allowances = self.accounts.allowances.borrow_mut();
        allowances.refund(charge.account, charge.units);
    }

    /// Takes the units that this host admitted without the ledger since its last report.
    pub fn take_unreported_uses(&self) -> Vec<AccountUse> {
        self.accounts.allowances.borrow_mut().take_unreported()
    }

    /// Puts back units from a report that was not delivered.
    pub fn restore_uses(&self, uses: Vec<AccountUse>) {
        self.accounts
            .allowances
            .borrow_mut()
            .restore_unreported(uses);
    }

    /// Applies a report from the owner of the zone's ledger.
    pub fn apply_use_report(&self, report: &UseReport) {
        let mut allowances = self.accounts.allowances.borrow_mut();
        allowances.set_near_limit(report.near.as_deref(), self.now());
    }
}

/// Calls `work` with the accounts of the active configuration, if it has any.
fn with_accounts<T>(parts: &RelayParts, work: impl FnOnce(&AccountDirectory) -> T) -> Option<T> {
    let routes = parts.routes()?;
    routes.accounts().map(work)
}

impl RelayParts {
    /// Records in the ledger the units that a host of the zone admitted by itself, and returns the accounts near their
    /// limits, for which that host must query the ledger. The host may be this one.
    pub fn record_uses(&self, uses: &[AccountUse]) -> UseReport {
        let now = self.now();
        let near = with_accounts(self, |accounts| {
            let mut ledger = self.accounts.ledger.borrow_mut();
            ledger.mark_in_use(now);
            for used in uses {
                let account = accounts.account(used.account);
                if let Some(limit) = account.and_then(|account| account.limit) {
                    ledger.record_use(*used, limit, now);
                }
            }
            let is_warmed_up = ledger.is_warmed_up(now);
            is_warmed_up.then(|| ledger.near_limit(accounts, now).to_vec())
        });
        UseReport {
            near: near.flatten(),
            uses: Vec::new(),
        }
    }

    /// Charges units for another host's request; `None` if this host does not know the account or its limit.
    ///
    /// Starting hosts query hosts that may not know any account yet. Admitting those requests without recording them let
    /// through a million units at once under a limit of a thousand per second
    /// (platform/tests/on_platform/accounts.rs).
    pub fn charge_ledger(&self, account: AccountKey, units: u32) -> Option<Result<(), Duration>> {
        let now = self.now();
        let answer = with_accounts(self, |accounts| {
            let limit = accounts.account(account)?.limit?;
            let mut ledger = self.accounts.ledger.borrow_mut();
            ledger.mark_in_use(now);
            Some(ledger.charge(account, limit, f64::from(units), now))
        });
        answer.flatten()
    }

    /// Merges the sums of another ledger; returns this host's own and those it received recently.
    pub fn exchange_sums(&self, theirs: &LedgerSums) -> Vec<LedgerSums> {
        let now = self.now();
        let near = self.near_accounts();
        let answer = with_accounts(self, |accounts| {
            let mut ledger = self.accounts.ledger.borrow_mut();
            ledger.merge_sums(theirs, accounts, now);
            let mut all = ledger.recent_peer_sums(&near, now);
            all.retain(|sums| sums.id != theirs.id);
            all.extend(ledger.sums_for_peer(&near, now));
            all
        });
        answer.unwrap_or_default()
    }

    /// Merges the sums of other ledgers.
    pub fn merge_sums(&self, all: &[LedgerSums]) {
        let now = self.now();
        with_accounts(self, |accounts| {
            let mut ledger = self.accounts.ledger.borrow_mut();
            for sums in all {
                ledger.merge_sums(sums, accounts, now);
            }
        });
    }

    /// Returns the accounts that are near their limits according to this host's ledger.
    pub fn near_accounts(&self) -> BTreeSet<AccountKey> {
        let now = self.now();
        let near = with_accounts(self, |accounts| {
            let mut ledger = self.accounts.ledger.borrow_mut();
            let near = ledger.near_limit(accounts, now).iter();
            near.map(|near| near.account).collect()
        });
        near.unwrap_or_default()
    }

    /// Returns the sums of this host's ledger to send now, for all accounts if `is_whole`; `None` if no host relies on
    /// this ledger or if there is nothing to send.
    pub fn sums_to_send(&self, is_whole: bool) -> Option<LedgerSums> {
        let now = self.now();
        let near = self.near_accounts();
        let mut ledger = self.accounts.ledger.borrow_mut();
        if !ledger.is_in_use(now) {
            return None;
        }
        let sums = ledger.sums_to_broadcast(is_whole, &near, now);
        (is_whole || !sums.uses.is_empty()).then_some(sums)
    }

    /// Updates the ledger with the zones that have hosts, and removes stale ledgers and accounts that are no longer
    /// configured.
    pub fn update_ledger(&self) {
        let own = &self.settings.zone;
        let cluster = self.cluster.borrow();
        let zones = cluster.hosts().map(|entry| entry.zone.clone());
        let zones: BTreeSet<FastStr> = zones.filter(|zone| zone != own).collect();
        drop(cluster);
        let now = self.now();
        let mut ledger = self.accounts.ledger.borrow_mut();
        ledger.set_zones(&zones);
        with_accounts(self, |accounts| ledger.evict_expired(accounts, now));
    }
}

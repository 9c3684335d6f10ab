//! Client accounts at this host: whose a request is, and whether it fits into the account's limit.

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

/// When a caller is to come back to a host that cannot say whether its key is in force: others may know, and this one
/// hears of the store again within a second or two. Spread, since all callers of the host are told so.
const COME_BACK_UNSURE: RangeInclusive<Duration> =
    Duration::from_millis(300)..=Duration::from_millis(900);

/// Part of the wait that a caller over its limit is told, added by draw: those that were refused in the same
/// moment come back one after the other.
const WAIT_SPREAD: f64 = 0.2;

/// Part of a request's latency target for which the ledger's answer is waited for, and the most: it comes within
/// milliseconds, and a guess is not much worse.
const ASK_SHARE: f64 = 0.2;
const ASK_LONGEST: Duration = Duration::from_millis(120);

/// Hosts of the zone that one which was told nothing asks in turn. After all hosts were killed and the first of each zone
/// stayed dark, each host would guess for its first requests: 0.68 to 0.74 of them were let in untold, none with a
/// second question (100 requests, three runs of a test).
const OWNERS_ASKED: usize = 2;

/// What a ledger answers: let in, or when to come back; none where it did not answer.
pub type ChargeAnswer = Option<Result<(), Duration>>;

/// Asks the host that keeps the zone's books; gives nothing where that is this one or is not known.
pub type LedgerAsk =
    dyn Fn(AccountKey, u32, Duration) -> Option<LocalBoxFuture<'static, ChargeAnswer>>;

/// Units that were charged for a request.
#[derive(Debug, Clone, Copy)]
pub struct UseCharge {
    account: AccountKey,
    units: f64,
}

/// The use of client accounts, as far as this host has to do with it.
pub struct AccountGate {
    desk: RefCell<AccountAdmission>,
    ledger: RefCell<ZoneLedger>,
    ask: RefCell<Option<Rc<LedgerAsk>>>,
}

impl fmt::Debug for AccountGate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("AccountGate")
    }
}

impl AccountGate {
    pub(super) fn new(ledger: ZoneLedger) -> Self {
        Self {
            desk: RefCell::default(),
            ledger: RefCell::new(ledger),
            ask: RefCell::default(),
        }
    }

    /// Takes the way to the zone's ledger.
    pub fn set_ask(&self, ask: Rc<LedgerAsk>) {
        *self.ask.borrow_mut() = Some(ask);
    }
}

impl RelayParts {
    /// The account that a request is for, by the key that it shows; none where none is needed.
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
                    "keys that may have been taken away open nothing"
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
                Err(refusal.after(rand::rng().random_range(COME_BACK_UNSURE)))
            }
        }
    }

    /// Lets a request of so many tokens in if it fits into its account's limit.
    pub async fn let_in(
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
            .desk
            .borrow()
            .choose(charge.account, self.now());
        let is_let_in = match choice {
            AdmissionMode::Immediate => self.guess(charge, 1.0),
            AdmissionMode::Estimate(share) => self.guess(charge, share),
            AdmissionMode::AskLedger => match self.ask_ledger(charge, limit, target).await {
                Ok(answer) => answer,
                Err(share) => self.guess(charge, share),
            },
        };
        let end = match is_let_in {
            Ok(()) => LimitEnd::LetIn,
            Err(_) => LimitEnd::OverLimit,
        };
        self.metrics.limited(&account.name, charge.units, end);
        match is_let_in {
            Ok(()) => Ok(Some(charge)),
            Err(wait) => Err(self.over_limit(account, wait)),
        }
    }

    fn over_limit(&self, account: &ClientAccount, wait: Duration) -> Refusal {
        let spread = rand::random_range(1.0..=1.0 + WAIT_SPREAD);
        let text = format!("account {} is over its limit", account.name);
        Refusal::not_run(RefusalCode::OverLimit, text).after(wait.mul_f64(spread))
    }

    // Without the ledger: this share of requests is let in.
    fn guess(&self, charge: UseCharge, share: f64) -> Result<(), Duration> {
        let is_let_in = rand::random_bool(share.clamp(0.0, 1.0));
        let mut desk = self.accounts.desk.borrow_mut();
        desk.record(charge.account, charge.units, is_let_in);
        match is_let_in {
            true => Ok(()),
            false => Err(Duration::from_secs(1)),
        }
    }

    // What the ledger says; where it is silent, the share to guess by.
    async fn ask_ledger(
        &self,
        charge: UseCharge,
        limit: AccountLimit,
        target: Duration,
    ) -> Result<Result<(), Duration>, f64> {
        let patience = target.mul_f64(ASK_SHARE).min(ASK_LONGEST);
        let is_untold = self.accounts.desk.borrow().lacks_usage_data();
        let keepers = if is_untold { OWNERS_ASKED } else { 1 };
        for _ in 0..keepers {
            let asked = self.ask_owner(charge, limit, patience).await?;
            if let Some(answer) = asked {
                return Ok(answer);
            }
        }
        let mut desk = self.accounts.desk.borrow_mut();
        desk.record_no_answer(self.now());
        Err(desk.estimated_share(charge.account))
    }

    // Asks whoever keeps the zone's books now; none where that one does not answer.
    async fn ask_owner(
        &self,
        charge: UseCharge,
        limit: AccountLimit,
        patience: Duration,
    ) -> Result<ChargeAnswer, f64> {
        let ask = self.accounts.ask.borrow().clone();
        let units = charge.units.round() as u32;
        let asking = ask.and_then(|ask| ask(charge.account, units, patience));
        let Some(asking) = asking else {
            // Any host may keep the zone's books: each of them would let in what is left of a limit.
            if !self.cluster.borrow().hosts_position().is_known() {
                return Err(self.accounts.desk.borrow().estimated_share(charge.account));
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
        let answer = asking.await;
        if answer.is_none() {
            self.metrics.ledger_silences.inc();
        }
        Ok(answer)
    }

    /// Whether this host was told nothing yet of the use of accounts.
    pub fn is_untold_of_use(&self) -> bool {
        self.accounts.desk.borrow().lacks_usage_data()
    }

    /// A request that was let in has certainly not run.
    pub fn give_back(&self, account: &FastStr, charge: UseCharge) {
        self.metrics
            .limited(account, charge.units, LimitEnd::GivenBack);
        let mut desk = self.accounts.desk.borrow_mut();
        desk.refund(charge.account, charge.units);
    }

    /// What this host let in by itself since it last told.
    pub fn untold_uses(&self) -> Vec<AccountUse> {
        self.accounts.desk.borrow_mut().take_unreported()
    }

    /// What was to be told did not arrive.
    pub fn put_back_uses(&self, uses: Vec<AccountUse>) {
        self.accounts.desk.borrow_mut().restore_unreported(uses);
    }

    /// Takes what the zone's ledger tells of accounts.
    pub fn take_near(&self, report: &UseReport) {
        let mut desk = self.accounts.desk.borrow_mut();
        desk.set_near_limit(report.near.as_deref(), self.now());
    }
}

/// Calls of `work` are made with the accounts in force; nothing is done where there are none.
fn with_accounts<T>(parts: &RelayParts, work: impl FnOnce(&AccountDirectory) -> T) -> Option<T> {
    let routes = parts.routes()?;
    routes.accounts().map(work)
}

impl RelayParts {
    /// Keeps the books for another host of the zone, or for this one: what it let in goes in, which accounts it is to
    /// ask for comes out.
    pub fn answer_uses(&self, uses: &[AccountUse]) -> UseReport {
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

    /// Answers a host that asks for a request's units; none where this host does not know the account or its limit.
    ///
    /// Hosts that start ask before those that they ask know any account. Let in unwritten, that was a million units of a limit
    /// of a thousand a second at once (platform/tests/on_platform/accounts.rs).
    pub fn answer_charge(&self, account: AccountKey, units: u32) -> Option<Result<(), Duration>> {
        let now = self.now();
        let answer = with_accounts(self, |accounts| {
            let limit = accounts.account(account)?.limit?;
            let mut ledger = self.accounts.ledger.borrow_mut();
            ledger.mark_in_use(now);
            Some(ledger.charge(account, limit, f64::from(units), now))
        });
        answer.flatten()
    }

    /// Takes the sums of another ledger; gives this host's, and those that it heard lately.
    pub fn answer_sums(&self, theirs: &LedgerSums) -> Vec<LedgerSums> {
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

    /// Takes the sums of other ledgers.
    pub fn take_sums(&self, all: &[LedgerSums]) {
        let now = self.now();
        with_accounts(self, |accounts| {
            let mut ledger = self.accounts.ledger.borrow_mut();
            for sums in all {
                ledger.merge_sums(sums, accounts, now);
            }
        });
    }

    /// The accounts that are near their limits, as this host's ledger has it.
    pub fn near_accounts(&self) -> BTreeSet<AccountKey> {
        let now = self.now();
        let near = with_accounts(self, |accounts| {
            let mut ledger = self.accounts.ledger.borrow_mut();
            let near = ledger.near_limit(accounts, now).iter();
            near.map(|near| near.account).collect()
        });
        near.unwrap_or_default()
    }

    /// The sums of this host's ledger that are to be told now, of all accounts where `is_whole`; none where no host goes
    /// by it, or there is nothing to tell.
    pub fn sums_to_tell(&self, is_whole: bool) -> Option<LedgerSums> {
        let now = self.now();
        let near = self.near_accounts();
        let mut ledger = self.accounts.ledger.borrow_mut();
        if !ledger.is_in_use(now) {
            return None;
        }
        let sums = ledger.sums_to_broadcast(is_whole, &near, now);
        (is_whole || !sums.uses.is_empty()).then_some(sums)
    }

    /// Brings the books up to date with the zones that have hosts and with the accounts in force.
    pub fn keep_books(&self) {
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

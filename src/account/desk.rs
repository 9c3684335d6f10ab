//! How a host comes to let an account's request in: freely, after it has asked the zone's ledger, or by a guess.

use {
    super::{
        client_account::AccountKey,
        use_report::{AccountUse, NearAccount},
    },
    std::{collections::BTreeMap, time::Duration},
};

/// How old the list of accounts that are near their limits may be: reports are answered twice in that time.
const NEAR_LIFE: Duration = Duration::from_millis(2_000);

/// How long a host goes by guesses after a question that was not answered: by then it reports to another host.
const SILENT_TIME: Duration = Duration::from_millis(400);

/// Share of requests that a host lets in without asking while nobody has told it of any account. All hosts are in that state
/// for a moment after all were lost, and callers whose requests broke off come back at once. With all let in for 1.2 s,
/// accounts at 7.5 times their usual went to 1.08 of what is tolerated; with this share the worst stays below 1.0, and with
/// 0.65 one request in 18 within the limits would be refused in the nine seconds from then on (tests/account_limits.rs).
const UNTOLD_SHARE: f64 = 0.7;

/// How a request is let in.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum UseChoice {
    /// At once: its account is far under its limit.
    Free,
    /// If the zone's ledger says so.
    Ask,
    /// As this share of requests, 0 to 1: the ledger does not answer.
    Guess(f64),
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct UntoldUse {
    asked: u32,
    taken: u32,
}

/// What a host knows of the use of accounts.
#[derive(Debug, Default)]
pub struct AllowanceDesk {
    untold: BTreeMap<AccountKey, UntoldUse>,
    near: BTreeMap<AccountKey, f64>,
    near_told: Option<Duration>,
    silent_until: Duration,
}

impl AllowanceDesk {
    /// How a request of an account is let in.
    pub fn choose(&self, account: AccountKey, now: Duration) -> UseChoice {
        let is_told = self
            .near_told
            .is_some_and(|at| now.saturating_sub(at) < NEAR_LIFE);
        let near = self.near.get(&account);
        match near {
            None if is_told => UseChoice::Free,
            _ if now < self.silent_until => UseChoice::Guess(self.guessed_share(account)),
            _ => UseChoice::Ask,
        }
    }

    /// Whether no ledger has told this host anything yet.
    pub fn is_untold(&self) -> bool {
        self.near_told.is_none()
    }

    /// Share of an account's requests that is let in where the ledger cannot be asked.
    pub fn guessed_share(&self, account: AccountKey) -> f64 {
        let usual = match self.is_untold() {
            true => UNTOLD_SHARE,
            false => 1.0,
        };
        self.near.get(&account).copied().unwrap_or(usual)
    }

    /// The ledger did not answer a question.
    pub fn note_silent(&mut self, now: Duration) {
        self.silent_until = now + SILENT_TIME;
    }

    /// A request of so many units was let in, or refused, without the ledger.
    pub fn note(&mut self, account: AccountKey, units: f64, is_let_in: bool) {
        let untold = self.untold.entry(account).or_default();
        let units = units.round() as u32;
        untold.asked = untold.asked.wrapping_add(units);
        if is_let_in {
            untold.taken = untold.taken.wrapping_add(units);
        }
    }

    /// A request that was let in did certainly not run.
    pub fn give_back(&mut self, account: AccountKey, units: f64) {
        let untold = self.untold.entry(account).or_default();
        untold.taken = untold.taken.wrapping_sub(units.round() as u32);
    }

    /// What is to be told, and counts as told from now on.
    pub fn take_untold(&mut self) -> Vec<AccountUse> {
        let untold = std::mem::take(&mut self.untold).into_iter();
        untold
            .map(|(account, use_)| AccountUse {
                account,
                asked: use_.asked,
                taken: use_.taken,
                level: 0,
            })
            .collect()
    }

    /// What was to be told did not arrive; it is told again.
    pub fn put_back(&mut self, uses: Vec<AccountUse>) {
        for used in uses {
            let untold = self.untold.entry(used.account).or_default();
            untold.asked = untold.asked.wrapping_add(used.asked);
            untold.taken = untold.taken.wrapping_add(used.taken);
        }
    }

    /// Takes the accounts that are near their limits, as the zone's ledger tells them; nothing where it cannot yet.
    pub fn set_near(&mut self, near: Option<&[NearAccount]>, now: Duration) {
        let Some(near) = near else { return };
        let named = near.iter().map(|near| (near.account, near.share));
        self.near = named.collect();
        self.near_told = Some(now);
    }
}

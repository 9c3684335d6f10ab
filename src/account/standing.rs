//! Whether a key opens a route: by the configuration in force, and by how surely that is the newest.
//!
//! Keys that were taken away open nothing, also at a host that cannot hear of it. So a host lets a request in by its
//! key only while it can show that its configuration was the newest a short time before. The proof is a moment: a call
//! to the store that was *sent* then was answered later, with nothing newer. Counted from the sending it holds
//! whatever delayed the answer, a frozen process included. Hosts pass the moment on, never a later one.

use {
    super::{client_account::ClientAccount, directory::AccountDirectory, key::ShownKey},
    std::{rc::Rc, time::Duration},
};

/// Part of the time that operators give a revocation which is left unused: clocks of two hosts may run differently by
/// one in a hundred, by far more than quartz does.
const CLOCK_MARGIN: f64 = 0.01;

/// How long a watch of the store may be deaf before it is cut: a proof by a watch may be wrong by as much.
const DEAF_MARGIN: Duration = Duration::from_millis(1_000);

/// Part of a proof's life after which it is renewed: what is left has to last through an outage of the store.
const RENEW_PART: f64 = 0.12;

/// By when keys that were taken away have to be closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeyRules {
    /// From the acknowledgement of a configuration until a key that it lacks must not open anything at any host, in
    /// touch or not; none where only hosts in touch have to know.
    pub revoke_time: Option<Duration>,
    /// From the acknowledgement of a configuration until a key that it adds must not be refused.
    pub apply_time: Duration,
}

impl KeyRules {
    /// How old a proof may be that still lets requests in.
    pub fn proof_life(&self) -> Option<Duration> {
        let time = self.revoke_time?.mul_f64(1.0 - CLOCK_MARGIN);
        Some(time.saturating_sub(DEAF_MARGIN))
    }

    /// How often a proof is renewed.
    pub fn renew_time(&self) -> Option<Duration> {
        Some(self.proof_life()?.mul_f64(RENEW_PART))
    }
}

/// What a shown key says of a request.
#[derive(Debug, Clone, PartialEq)]
pub enum KeyStanding {
    /// It is in force, and for this account.
    Account(Rc<ClientAccount>),
    /// No key is needed, and none in force was shown.
    Open,
    /// No configuration known here has it.
    Unknown,
    /// This host may be behind: whether the key is in force is not known here.
    Unsure,
}

/// Judges what a request shows. `accounts` is none where the configuration in force has no accounts at all; `proof` is
/// how long ago it was surely the newest.
pub fn judge_key(
    accounts: Option<&AccountDirectory>,
    shown: ShownKey,
    is_public: bool,
    proof: Option<Duration>,
    rules: &KeyRules,
) -> KeyStanding {
    let Some(accounts) = accounts else {
        return KeyStanding::Open;
    };
    let holder = match shown {
        ShownKey::One(key) => accounts.holder(&key),
        ShownKey::None | ShownKey::Several => None,
    };
    if is_public {
        return holder.map_or(KeyStanding::Open, KeyStanding::Account);
    }
    let is_within = |life: Duration| proof.is_some_and(|age| age < life);
    match holder {
        Some(account) => match rules.proof_life().is_none_or(is_within) {
            true => KeyStanding::Account(account),
            false => KeyStanding::Unsure,
        },
        // It may have been added since: who says no for good has to be sure.
        None if matches!(shown, ShownKey::One(_)) && !is_within(rules.apply_time) => {
            KeyStanding::Unsure
        }
        None => KeyStanding::Unknown,
    }
}

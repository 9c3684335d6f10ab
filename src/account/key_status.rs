//! Decides whether a key grants access to a route, by the active configuration and by how recently it was
//! confirmed to be the newest.
//!
//! Revoked keys must grant no access, even on a host that cannot receive the revocation. A host therefore
//! admits a request by its key only if its configuration was confirmed as the newest a short time ago. The
//! confirmation (proof) is a point in time: a call to the store *sent* at that time was answered later and
//! returned nothing newer. Because it counts from the sending, it holds whatever delayed the answer, even if
//! the process was suspended. Hosts pass this time on and never replace it by a later one.

use {
    super::{client_account::ClientAccount, directory::AccountDirectory, key::PresentedKey},
    std::{rc::Rc, time::Duration},
};

/// Fraction of the configured revocation time kept as a margin: the clocks of two hosts may drift apart by
/// 1%, far more than quartz clocks do.
const CLOCK_MARGIN: f64 = 0.01;

/// How long a watch of the store may be silent before it is closed. A proof obtained from a watch may be off
/// by as much.
const WATCH_MARGIN: Duration = Duration::from_millis(1_000);

/// Fraction of the maximum proof age after which the proof is renewed. The rest has to last through an outage
/// of the store.
const RENEWAL_FRACTION: f64 = 0.12;

/// Deadlines for key changes to take effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeyRules {
    /// Time from the acknowledgement of a configuration until keys missing from it must be rejected by every
    /// host, whether it is connected or not. None if this applies to connected hosts only.
    pub revoke_time: Option<Duration>,
    /// Time from the acknowledgement of a configuration until its new keys must be accepted.
    pub apply_time: Duration,
}

impl KeyRules {
    /// Maximum age of a proof that still admits requests.
    pub fn max_proof_age(&self) -> Option<Duration> {
        let time = self.revoke_time?.mul_f64(1.0 - CLOCK_MARGIN);
        Some(time.saturating_sub(WATCH_MARGIN))
    }

    /// Interval at which a proof is renewed.
    pub fn renewal_interval(&self) -> Option<Duration> {
        Some(self.max_proof_age()?.mul_f64(RENEWAL_FRACTION))
    }
}

/// Result of checking a presented key.
#[derive(Debug, Clone, PartialEq)]
pub enum KeyStatus {
    /// The key is valid and belongs to this account.
    Account(Rc<ClientAccount>),
    /// No key is required, and no valid one was presented.
    NotRequired,
    /// The key is missing or not in the configuration.
    Unknown,
    /// This host's configuration may be outdated, so the key cannot be checked.
    Unverified,
}

/// Checks the key that a request presents. `accounts` is none if the active configuration defines no
/// accounts; `proof` is the time since the configuration was confirmed to be the newest.
pub fn check_key(
    accounts: Option<&AccountDirectory>,
    presented: PresentedKey,
    is_public: bool,
    proof: Option<Duration>,
    rules: &KeyRules,
) -> KeyStatus {
    let Some(accounts) = accounts else {
        return KeyStatus::NotRequired;
    };
    let owner = match presented {
        PresentedKey::One(key) => accounts.owner(&key),
        PresentedKey::None | PresentedKey::Multiple => None,
    };
    if is_public {
        return owner.map_or(KeyStatus::NotRequired, KeyStatus::Account);
    }
    let is_within = |life: Duration| proof.is_some_and(|age| age < life);
    match owner {
        Some(account) => match rules.max_proof_age().is_none_or(is_within) {
            true => KeyStatus::Account(account),
            false => KeyStatus::Unverified,
        },
        // The key may have been added since. A final refusal requires a recent proof.
        None if matches!(presented, PresentedKey::One(_)) && !is_within(rules.apply_time) => {
            KeyStatus::Unverified
        }
        None => KeyStatus::Unknown,
    }
}

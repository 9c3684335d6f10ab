//! Totals received from another ledger, and the usage since the previous ones.

use {
    super::{
        client_account::AccountKey,
        use_report::{AccountUse, LedgerSums},
    },
    faststr::FastStr,
    std::{collections::BTreeMap, time::Duration},
};

/// Totals received from another ledger.
#[derive(Debug, Default)]
pub(super) struct PeerLedger {
    // When the ledger last sent its totals, on this host's clock, and its age then.
    pub(super) updated: Duration,
    pub(super) age: Duration,
    pub(super) zone: FastStr,
    pub(super) sums: BTreeMap<AccountKey, AccountUse>,
}

impl PeerLedger {
    /// Merges totals, received from the ledger itself or relayed by a third one, and returns the usage since
    /// the previous ones. The first totals of a ledger that is older than the receiving one include usage
    /// from before the receiver's start, so they only set the baseline.
    pub(super) fn merge(
        &mut self,
        sums: &LedgerSums,
        is_older: bool,
        now: Duration,
    ) -> Vec<AccountUse> {
        self.zone = sums.zone.clone();
        (self.updated, self.age) = (now, sums.age);
        let mut changes = Vec::new();
        for sum in &sums.uses {
            let previous = self.sums.get(&sum.account).copied();
            let previous = previous.unwrap_or(match is_older {
                true => *sum,
                false => AccountUse::default(),
            });
            // Relayed totals may be older than the ones already known.
            if let Some(change) = usage_since(previous, *sum) {
                self.sums.insert(sum.account, *sum);
                changes.push(change);
            }
        }
        changes
    }
}

// Usage between two totals of a ledger, modulo 2^32. None if the second one is the older.
fn usage_since(previous: AccountUse, sum: AccountUse) -> Option<AccountUse> {
    let asked = sum.asked.wrapping_sub(previous.asked);
    let is_later = (asked as i32) >= 0;
    is_later.then(|| AccountUse {
        account: sum.account,
        asked,
        taken: sum.taken.wrapping_sub(previous.taken),
        level: sum.level,
    })
}

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
pub(super) struct SeenLedger {
    // When the ledger last sent its totals, on this host's clock, and its age then.
    pub(super) told: Duration,
    pub(super) age: Duration,
    pub(super) zone: FastStr,
    pub(super) sums: BTreeMap<AccountKey, AccountUse>,
}

impl SeenLedger {
    /// Merges totals, received from the ledger itself or relayed by a third one, and returns the usage since
    /// the previous ones. The first totals of a ledger that is older than the receiving one include usage
    /// from before the receiver's start, so they only set the baseline.
    pub(super) fn take(
        &mut self,
        sums: &LedgerSums,
        is_older: bool,
        now: Duration,
    ) -> Vec<AccountUse> {
        self.zone = sums.zone.clone();
        (self.told, self.age) = (now, sums.age);
        let mut changes = Vec::new();
        for sum in &sums.uses {
            let before = self.sums.get(&sum.account).copied();
            let before = before.unwrap_or(match is_older {
                true => *sum,
                false => AccountUse::default(),
            });
            // Relayed totals may be older than the ones already known.
            if let Some(change) = use_since(before, *sum) {
                self.sums.insert(sum.account, *sum);
                changes.push(change);
            }
        }
        changes
    }
}

// Usage between two totals of a ledger, modulo 2^32. None if the second one is the older.
fn use_since(before: AccountUse, sum: AccountUse) -> Option<AccountUse> {
    let asked = sum.asked.wrapping_sub(before.asked);
    let is_later = (asked as i32) >= 0;
    is_later.then(|| AccountUse {
        account: sum.account,
        asked,
        taken: sum.taken.wrapping_sub(before.taken),
        level: sum.level,
    })
}

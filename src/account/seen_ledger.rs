//! What another ledger told of its sums, and what it used since it last told.

use {
    super::{
        client_account::AccountKey,
        use_report::{AccountUse, LedgerSums},
    },
    faststr::FastStr,
    std::{collections::BTreeMap, time::Duration},
};

/// What another ledger told.
#[derive(Debug, Default)]
pub(super) struct SeenLedger {
    // When it told last, on this host's clock, and how old it was then.
    pub(super) told: Duration,
    pub(super) age: Duration,
    pub(super) zone: FastStr,
    pub(super) sums: BTreeMap<AccountKey, AccountUse>,
}

impl SeenLedger {
    /// Takes sums, from the ledger itself or from a third one; gives what was used since the last ones. Of a ledger that is
    /// older than the one that takes, first sums go back to before what that one knows.
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
            // What a third one heard may be older than what is known already.
            if let Some(change) = use_since(before, *sum) {
                self.sums.insert(sum.account, *sum);
                changes.push(change);
            }
        }
        changes
    }
}

// What was used between two sums of a ledger, counted modulo 2^32; none where the second one is the older.
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

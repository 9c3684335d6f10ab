//! Exchange of totals between ledgers.

use {
    super::{
        account_usage::{self, AccountUsage},
        client_account::{AccountKey, AccountLimit},
        directory::AccountDirectory,
        ledger::{IDLE_TIMEOUT, MAX_DEBT_SECONDS, UNREACHABLE_AFTER, ZoneLedger},
        use_report::{AccountUse, LedgerSums},
    },
    faststr::FastStr,
    std::{collections::BTreeSet, time::Duration},
};

/// Fraction of the difference between the levels of two ledgers that is corrected with each update. Without
/// it, usage that one ledger missed would distort its level for as long as the account is at its limit, and
/// its zone would get less than its share: with an account at eight times its usual demand, 0.46 of the
/// requests of one zone were refused and 0.17 of another's.
const LEVEL_CORRECTION: f64 = 0.3;

/// Maximum level added, as a fraction of the burst, for usage above its share by a zone that was unreachable.
const MAX_RECOVERED_LEVEL: f64 = 1.0;

impl ZoneLedger {
    /// Totals to broadcast now: those of all active accounts if `is_whole`, else those of accounts near their
    /// limits or with much usage since the last broadcast.
    pub fn sums_to_broadcast(
        &mut self,
        is_whole: bool,
        near: &BTreeSet<AccountKey>,
        now: Duration,
    ) -> LedgerSums {
        let sums = self.sums_of(now, |account, usage| {
            is_whole || near.contains(account) || usage.is_broadcast_due()
        });
        for sent in &sums.uses {
            if let Some(usage) = self.usages.get_mut(&sent.account) {
                usage.broadcast_asked = sent.asked;
                usage.broadcast_taken = sent.taken;
            }
        }
        sums
    }

    /// Totals for another ledger that asks: those of `some` accounts and of accounts with much usage. None if
    /// no host uses this ledger, as it then knows the usage of its zone only from others.
    pub fn sums_for_peer(&self, some: &BTreeSet<AccountKey>, now: Duration) -> Option<LedgerSums> {
        self.is_in_use(now).then(|| {
            self.sums_of(now, |account, usage| {
                some.contains(account) || usage.is_broadcast_due()
            })
        })
    }

    fn sums_of(
        &self,
        now: Duration,
        is_due: impl Fn(&AccountKey, &AccountUsage) -> bool,
    ) -> LedgerSums {
        let usages = self.usages.iter();
        let used = usages.filter(|(_, usage)| now.saturating_sub(usage.last_used) < IDLE_TIMEOUT);
        let due = used.filter(|(account, usage)| is_due(account, usage));
        let uses = due.map(|(account, usage)| AccountUse {
            account: *account,
            asked: usage.asked,
            taken: usage.taken,
            level: account_usage::to_units(usage.bucket.level()),
        });
        LedgerSums {
            id: self.id,
            age: now.saturating_sub(self.started),
            zone: self.zone.clone(),
            uses: uses.collect(),
        }
    }

    /// Recent totals of other ledgers for `some` accounts, relayed since ledger hosts may not all reach each
    /// other.
    pub fn recent_peer_sums(&self, some: &BTreeSet<AccountKey>, now: Duration) -> Vec<LedgerSums> {
        let peers = self.peers.iter();
        let recent =
            peers.filter(|(_, ledger)| now.saturating_sub(ledger.updated) < UNREACHABLE_AFTER);
        recent
            .map(|(id, ledger)| LedgerSums {
                id: *id,
                age: ledger.age + now.saturating_sub(ledger.updated),
                zone: ledger.zone.clone(),
                uses: some
                    .iter()
                    .filter_map(|account| ledger.sums.get(account))
                    // The level has changed since.
                    .map(|sum| AccountUse { level: 0, ..*sum })
                    .collect(),
            })
            .collect()
    }

    /// Merges the totals of another ledger, received directly or relayed by a third one.
    pub fn merge_sums(&mut self, sums: &LedgerSums, accounts: &AccountDirectory, now: Duration) {
        if sums.id == self.id {
            return;
        }
        // Totals of an older ledger include usage from before the start of this one.
        let is_older = sums.age > now.saturating_sub(self.started);
        let peer = self.peers.entry(sums.id).or_default();
        let changes = peer.merge(sums, is_older, now);
        for change in changes {
            let account = accounts.account(change.account);
            if let Some(limit) = account.and_then(|account| account.limit) {
                self.record_remote_use(&sums.zone, change, limit, now);
            }
        }
        if sums.zone != self.zone {
            self.zones.insert(sums.zone.clone(), Some(now));
        }
    }

    fn record_remote_use(
        &mut self,
        zone: &FastStr,
        change: AccountUse,
        limit: AccountLimit,
        now: Duration,
    ) {
        let reserved = self.reserve(change.account, limit, now);
        let rate = self.own_rate(limit, &reserved, now);
        let usage = self.usage_mut(change.account, limit, now);
        usage.charge_unreachable(&reserved, now);
        usage.bucket.drain(rate, now);
        let remote = usage.remote.entry(zone.clone()).or_default();
        if change.asked > 0 {
            remote.demand.add(f64::from(change.asked), now);
        }
        let assumed = std::mem::take(&mut remote.assumed);
        let used = f64::from(change.taken as i32);
        match assumed > 0.0 {
            false => {
                usage.bucket.add(used);
                // The other ledger does not know what was admitted here since the last broadcast.
                let unsent = usage.taken.wrapping_sub(usage.broadcast_taken) as i32;
                let peer_level = f64::from(change.level) + f64::from(unsent);
                let difference = peer_level - usage.bucket.level();
                if change.level > 0 {
                    usage.bucket.add(difference * LEVEL_CORRECTION);
                }
            }
            // Usage above its share was spread over the whole partition and has mostly drained.
            true => usage
                .bucket
                .add((used - assumed).min(limit.burst * MAX_RECOVERED_LEVEL)),
        }
        usage
            .bucket
            .cap(limit.burst + MAX_DEBT_SECONDS * limit.rate);
    }
}

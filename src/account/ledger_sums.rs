//! Exchange of totals between ledgers.

use {
    super::{
        account_book::{self, AccountBook},
        client_account::{AccountKey, AccountLimit},
        directory::AccountDirectory,
        ledger::{BOOK_LIFE, CUT_AFTER, DEBT_SECONDS, ZoneLedger},
        use_report::{AccountUse, LedgerSums},
    },
    faststr::FastStr,
    std::{collections::BTreeSet, time::Duration},
};

/// Fraction of the difference between the levels of two ledgers that is corrected with each update. Without
/// it, usage that one ledger missed would distort its level for as long as the account is at its limit, and
/// its zone would get less than its share: with an account at eight times its usual demand, 0.46 of the
/// requests of one zone were refused and 0.17 of another's.
const LEVEL_PULL: f64 = 0.3;

/// Maximum level added, as a fraction of the burst, for usage above its share by a zone that was unreachable.
const HEALED_LEVEL: f64 = 1.0;

impl ZoneLedger {
    /// Totals to broadcast now: those of all active accounts if `is_whole`, else those of accounts near their
    /// limits or with much usage since the last broadcast.
    pub fn tell_sums(
        &mut self,
        is_whole: bool,
        near: &BTreeSet<AccountKey>,
        now: Duration,
    ) -> LedgerSums {
        let sums = self.sums_of(now, |account, book| {
            is_whole || near.contains(account) || book.has_more_to_tell()
        });
        for told in &sums.uses {
            if let Some(book) = self.books.get_mut(&told.account) {
                book.told = told.asked;
                book.told_taken = told.taken;
            }
        }
        sums
    }

    /// Totals for another ledger that asks: those of `some` accounts and of accounts with much usage. None if
    /// no host uses this ledger, as it then knows the usage of its zone only from others.
    pub fn answer_sums(&self, some: &BTreeSet<AccountKey>, now: Duration) -> Option<LedgerSums> {
        self.is_kept(now).then(|| {
            self.sums_of(now, |account, book| {
                some.contains(account) || book.has_more_to_tell()
            })
        })
    }

    fn sums_of(
        &self,
        now: Duration,
        is_due: impl Fn(&AccountKey, &AccountBook) -> bool,
    ) -> LedgerSums {
        let books = self.books.iter();
        let used = books.filter(|(_, book)| now.saturating_sub(book.used) < BOOK_LIFE);
        let due = used.filter(|(account, book)| is_due(account, book));
        let uses = due.map(|(account, book)| AccountUse {
            account: *account,
            asked: book.asked,
            taken: book.taken,
            level: account_book::whole(book.bucket.level()),
        });
        LedgerSums {
            id: self.id,
            age: now.saturating_sub(self.began),
            zone: self.zone.clone(),
            uses: uses.collect(),
        }
    }

    /// Recent totals of other ledgers for `some` accounts, relayed since ledger hosts may not all reach each
    /// other.
    pub fn heard_sums(&self, some: &BTreeSet<AccountKey>, now: Duration) -> Vec<LedgerSums> {
        let seen = self.seen.iter();
        let seen = seen.filter(|(_, ledger)| now.saturating_sub(ledger.told) < CUT_AFTER);
        seen.map(|(id, ledger)| LedgerSums {
            id: *id,
            age: ledger.age + now.saturating_sub(ledger.told),
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
    pub fn take_sums(&mut self, sums: &LedgerSums, accounts: &AccountDirectory, now: Duration) {
        if sums.id == self.id {
            return;
        }
        // Totals of an older ledger include usage from before the start of this one.
        let is_older = sums.age > now.saturating_sub(self.began);
        let seen = self.seen.entry(sums.id).or_default();
        let changes = seen.take(sums, is_older, now);
        for change in changes {
            let account = accounts.account(change.account);
            if let Some(limit) = account.and_then(|account| account.limit) {
                self.note_away(&sums.zone, change, limit, now);
            }
        }
        if sums.zone != self.zone {
            self.zones.insert(sums.zone.clone(), Some(now));
        }
    }

    fn note_away(
        &mut self,
        zone: &FastStr,
        change: AccountUse,
        limit: AccountLimit,
        now: Duration,
    ) {
        let reserved = self.reserve(change.account, limit, now);
        let rate = self.own_rate(limit, &reserved, now);
        let book = self.book(change.account, limit, now);
        book.settle(&reserved, now);
        book.bucket.drain(rate, now);
        let away = book.away.entry(zone.clone()).or_default();
        if change.asked > 0 {
            away.demand.add(f64::from(change.asked), now);
        }
        let assumed = std::mem::take(&mut away.assumed);
        let used = f64::from(change.taken as i32);
        match assumed > 0.0 {
            false => {
                book.bucket.add(used);
                // The other ledger does not know what was admitted here since the last broadcast.
                let unheard = book.taken.wrapping_sub(book.told_taken) as i32;
                let theirs = f64::from(change.level) + f64::from(unheard);
                let apart = theirs - book.bucket.level();
                if change.level > 0 {
                    book.bucket.add(apart * LEVEL_PULL);
                }
            }
            // Usage above its share was spread over the whole partition and has mostly drained.
            true => book
                .bucket
                .add((used - assumed).min(limit.burst * HEALED_LEVEL)),
        }
        book.bucket.cap(limit.burst + DEBT_SECONDS * limit.rate);
    }
}

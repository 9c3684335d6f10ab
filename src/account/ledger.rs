//! What each account uses, as the host knows it that keeps the books of its availability zone.
//!
//! The account that is near its limit is asked for here before each of its requests, by all hosts of the zone; others
//! are let in freely and told with the next report. The zones tell each other their sums several times a second. A
//! zone that is not heard of is taken to use its share of the limit, by what was asked for there before, so both
//! sides of a cut together stay within the limit.

use {
    super::{
        bucket::{BucketRate, RateBucket},
        client_account::{AccountKey, AccountLimit},
        directory::AccountDirectory,
        use_report::{AccountUse, LedgerLife, NearAccount, UseReport},
    },
    faststr::FastStr,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// How long a zone may go unheard until its share of each limit is left to it: three of its reports.
const CUT_AFTER: Duration = Duration::from_millis(1_000);

/// Time over which demand is averaged, seconds: long against the pause between two requests of a small account, short
/// against the window in which operators count.
const DEMAND_SECONDS: f64 = 3.0;

/// How many times its present demand an account is taken to ask for all at once, before its hosts hear of it.
const SURGE: f64 = 8.0;

/// Time until all hosts of a zone know that an account is near its limit, seconds: two reports and the sums of the
/// other zones.
const LAG_SECONDS: f64 = 1.5;

/// Part of what may go beyond a limit that is left to requests which are let in without asking.
const FREE_PART: f64 = 0.6;

/// Part of the burst that is taken as used when a ledger begins: what was used before it is not known.
const BEGIN_LEVEL: f64 = 0.5;

/// Seconds of the rate that a bucket may be over its burst: what went beyond is repaid later, but no longer than that.
const DEBT_SECONDS: f64 = 2.0;

/// Demand of a zone that asks for nothing, as part of the rate: its first requests find some room.
const IDLE_DEMAND: f64 = 0.02;

/// How long an account that is not used is told of, and a ledger that is not heard of remembered.
const BOOK_LIFE: Duration = Duration::from_secs(30);

/// What may go beyond a limit, as operators tolerate it: `share` of what a window allows, and `extra` units.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitTolerance {
    /// Part of what the window allows.
    pub share: f64,
    /// Units beyond that.
    pub extra: f64,
    /// The window.
    pub window: Duration,
}

impl LimitTolerance {
    /// Nothing is tolerated.
    pub const NONE: Self = Self {
        share: 0.0,
        extra: 0.0,
        window: Duration::from_secs(1),
    };
}

/// Units a second, averaged over some seconds.
#[derive(Debug, Clone, Copy, Default)]
struct DemandRate {
    rate: f64,
    at: Duration,
}

impl DemandRate {
    fn now(&self, now: Duration) -> f64 {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        self.rate * (-passed / DEMAND_SECONDS).exp()
    }

    fn add(&mut self, units: f64, now: Duration) {
        self.rate = self.now(now) + units / DEMAND_SECONDS;
        self.at = now;
    }
}

/// What is known of an account in another zone.
#[derive(Debug, Clone, Copy, Default)]
struct AwayUse {
    demand: DemandRate,
    // Units that it was taken to use while it was not heard of.
    assumed: f64,
}

/// What unheard zones are taken to use of an account's limit.
#[derive(Debug, Clone, Copy)]
struct ReservedRate {
    // Share of the limit, 0 to 1, and the same in units a second.
    share: f64,
    rate: f64,
    // Since when at most.
    time: Duration,
}

/// The books of an account.
#[derive(Debug, Clone, Default)]
struct AccountBook {
    bucket: RateBucket,
    // The last time of any use.
    used: Duration,
    // Time up to which what unheard zones use was assumed.
    settled: Duration,
    // Sums of the own zone since the ledger began.
    asked: u32,
    taken: u32,
    demand: DemandRate,
    away: BTreeMap<FastStr, AwayUse>,
}

/// The books of an availability zone.
#[derive(Debug)]
pub struct ZoneLedger {
    id: u64,
    began: Duration,
    tolerance: LimitTolerance,
    books: BTreeMap<AccountKey, AccountBook>,
    // The other zones that have hosts, and when each was last heard of.
    zones: BTreeMap<FastStr, Option<Duration>>,
    // When another ledger last told its sums, and which, by its id.
    seen: BTreeMap<u64, (Duration, BTreeMap<AccountKey, AccountUse>)>,
}

impl ZoneLedger {
    /// Books in which nothing stands; `id` is drawn at random.
    pub fn new(id: u64, tolerance: LimitTolerance, now: Duration) -> Self {
        Self {
            id,
            began: now,
            tolerance,
            books: BTreeMap::new(),
            zones: BTreeMap::new(),
            seen: BTreeMap::new(),
        }
    }

    /// Takes the other zones that have hosts.
    pub fn set_zones(&mut self, zones: &BTreeSet<FastStr>) {
        self.zones.retain(|zone, _| zones.contains(zone));
        for zone in zones {
            self.zones.entry(zone.clone()).or_default();
        }
    }

    /// Lets a request of so many units in, or tells when its caller is to come back.
    pub fn charge(
        &mut self,
        account: AccountKey,
        limit: AccountLimit,
        units: f64,
        now: Duration,
    ) -> Result<(), Duration> {
        let reserved = self.reserve(account, limit, now);
        let book = self.book(account, limit, now);
        book.note_asked(units, now);
        let own = 1.0 - reserved.share;
        let bounds = BucketRate {
            rate: limit.rate * own,
            burst: limit.burst.max(1.0) * own,
        };
        book.settle(reserved, now);
        let taken = book.bucket.take(units, bounds, now);
        if taken.is_ok() {
            book.taken = book.taken.wrapping_add(whole(units));
        }
        taken
    }

    /// Takes what a host let in by itself, or was given back to it.
    pub fn note(&mut self, used: AccountUse, limit: AccountLimit, now: Duration) {
        let reserved = self.reserve(used.account, limit, now);
        let book = self.book(used.account, limit, now);
        book.note_asked(f64::from(used.asked), now);
        book.settle(reserved, now);
        book.bucket.drain(limit.rate - reserved.rate, now);
        // Given back where that is more: a difference modulo 2^32.
        book.bucket.add(f64::from(used.taken as i32));
        book.bucket.cap(limit.burst + DEBT_SECONDS * limit.rate);
        book.taken = book.taken.wrapping_add(used.taken);
    }

    /// The sums of this zone, for the others.
    pub fn sums(&self, now: Duration) -> UseReport {
        let books = self.books.iter();
        let books = books.filter(|(_, book)| now.saturating_sub(book.used) < BOOK_LIFE);
        let uses = books.map(|(account, book)| AccountUse {
            account: *account,
            asked: book.asked,
            taken: book.taken,
        });
        UseReport {
            uses: uses.collect(),
            near: Vec::new(),
            ledger: Some(LedgerLife {
                id: self.id,
                age: now.saturating_sub(self.began),
            }),
        }
    }

    /// Takes the sums of another zone.
    pub fn take_sums(
        &mut self,
        zone: &FastStr,
        sums: &UseReport,
        accounts: &AccountDirectory,
        now: Duration,
    ) {
        let Some(ledger) = sums.ledger else { return };
        // Sums of a ledger that is older than this one go back to before what this one knows.
        let is_older = ledger.age > now.saturating_sub(self.began);
        let (told, seen) = self.seen.entry(ledger.id).or_default();
        let is_first = told.is_zero();
        *told = now;
        let changes: Vec<AccountUse> = sums
            .uses
            .iter()
            .map(|sum| {
                let before = match seen.insert(sum.account, *sum) {
                    Some(before) => before,
                    None if is_first && is_older => *sum,
                    None => AccountUse::default(),
                };
                use_since(before, *sum)
            })
            .collect();
        for change in changes {
            let account = accounts.account(change.account);
            if let Some(limit) = account.and_then(|account| account.limit) {
                self.note_away(zone, change, limit, now);
            }
        }
        self.zones.insert(zone.clone(), Some(now));
    }

    fn note_away(
        &mut self,
        zone: &FastStr,
        change: AccountUse,
        limit: AccountLimit,
        now: Duration,
    ) {
        let reserved = self.reserve(change.account, limit, now);
        let book = self.book(change.account, limit, now);
        book.settle(reserved, now);
        book.bucket.drain(limit.rate - reserved.rate, now);
        let away = book.away.entry(zone.clone()).or_default();
        if change.asked > 0 {
            away.demand.add(f64::from(change.asked), now);
        }
        let assumed = std::mem::take(&mut away.assumed);
        book.bucket.add(f64::from(change.taken as i32) - assumed);
        book.bucket.cap(limit.burst + DEBT_SECONDS * limit.rate);
    }

    /// The accounts of which hosts are to ask before they let a request in.
    pub fn near(&self, accounts: &AccountDirectory, now: Duration) -> Vec<NearAccount> {
        let books = self.books.iter();
        let near = books.filter_map(|(account, book)| {
            let limit = accounts.account(*account)?.limit?;
            let is_cut = self.reserved_share(*account, now) > 0.0;
            let demand = book.total_demand(now);
            let is_near = is_cut || self.may_surge(book, limit, demand);
            is_near.then(|| NearAccount {
                account: *account,
                share: fitting_share(limit, demand),
            })
        });
        near.collect()
    }

    // Whether the account could go beyond its limit by more than is tolerated before its hosts hear of it.
    fn may_surge(&self, book: &AccountBook, limit: AccountLimit, demand: f64) -> bool {
        let window = self.tolerance.window.as_secs_f64();
        let allowed = limit.rate * window + limit.burst;
        let tolerated = allowed * self.tolerance.share + self.tolerance.extra;
        let unused = limit.burst - book.bucket.level() + (limit.rate - demand) * window;
        let room = FREE_PART * (tolerated + unused);
        demand * SURGE * LAG_SECONDS > room
    }

    /// Share of an account's limit that is left to zones which are not heard of.
    fn reserved_share(&self, account: AccountKey, now: Duration) -> f64 {
        let mut unheard = self
            .zones
            .iter()
            .filter(|(_, heard)| !self.unheard_time(**heard, now).is_zero())
            .peekable();
        if unheard.peek().is_none() {
            return 0.0;
        }
        let Some(book) = self.books.get(&account) else {
            return unheard.count() as f64 / (self.zones.len() + 1) as f64;
        };
        let own = book.demand.now(now);
        let demand_of = |zone: &FastStr| {
            let away = book.away.get(zone);
            away.map_or(own, |away| away.demand.rate)
        };
        let floor = book.idle_demand();
        let whole: f64 = self.zones.keys().map(|zone| demand_of(zone) + floor).sum();
        let away: f64 = unheard.map(|(zone, _)| demand_of(zone) + floor).sum();
        away / (whole + own + floor)
    }

    // How long a zone has been taken to use its share unheard.
    fn unheard_time(&self, heard: Option<Duration>, now: Duration) -> Duration {
        let until = heard.unwrap_or(self.began) + CUT_AFTER;
        now.saturating_sub(until)
    }

    // What the unheard zones use of an account's limit, units a second, and for how long at most.
    fn reserve(&self, account: AccountKey, limit: AccountLimit, now: Duration) -> ReservedRate {
        let share = self.reserved_share(account, now);
        let zones = self.zones.values();
        let times = zones.map(|heard| self.unheard_time(*heard, now));
        ReservedRate {
            share,
            rate: limit.rate * share,
            time: times.max().unwrap_or_default(),
        }
    }

    fn book(
        &mut self,
        account: AccountKey,
        limit: AccountLimit,
        now: Duration,
    ) -> &mut AccountBook {
        let began = self.began;
        let book = self.books.entry(account).or_insert_with(|| {
            // Later on an account that has no book has not been used for long.
            let is_new = now.saturating_sub(began) < BOOK_LIFE;
            let level = if is_new {
                limit.burst * BEGIN_LEVEL
            } else {
                0.0
            };
            AccountBook {
                bucket: RateBucket::filled(level, now),
                settled: now,
                ..AccountBook::default()
            }
        });
        book.used = now;
        book
    }

    /// Forgets other ledgers that were not heard of for long, and accounts that are no longer configured.
    pub fn forget_old(&mut self, accounts: &AccountDirectory, now: Duration) {
        self.seen
            .retain(|_, (told, _)| now.saturating_sub(*told) < BOOK_LIFE);
        self.books
            .retain(|account, _| accounts.account(*account).is_some());
    }

    /// Units used of an account's limit and not yet drained, and units that are asked for each second; for metrics.
    pub fn figures(&self, account: AccountKey, now: Duration) -> (f64, f64) {
        let book = self.books.get(&account);
        book.map_or((0.0, 0.0), |book| {
            (book.bucket.level(), book.total_demand(now))
        })
    }
}

impl AccountBook {
    fn note_asked(&mut self, units: f64, now: Duration) {
        if units > 0.0 {
            self.asked = self.asked.wrapping_add(whole(units));
            self.demand.add(units, now);
        }
    }

    // The unheard zones are taken to have used their share since the last call.
    fn settle(&mut self, reserved: ReservedRate, now: Duration) {
        let passed = now.saturating_sub(self.settled).min(reserved.time);
        self.settled = now;
        // Spread over all zones evenly: what each did use is told when it is heard of again.
        let zones = self.away.len().max(1) as f64;
        let assumed = reserved.rate * passed.as_secs_f64() / zones;
        for away in self.away.values_mut() {
            away.assumed += assumed;
        }
    }

    fn total_demand(&self, now: Duration) -> f64 {
        let away: f64 = self.away.values().map(|away| away.demand.now(now)).sum();
        self.demand.now(now) + away
    }

    fn idle_demand(&self) -> f64 {
        let most = self.away.values().map(|away| away.demand.rate);
        IDLE_DEMAND * most.fold(self.demand.rate, f64::max).max(1.0)
    }
}

fn fitting_share(limit: AccountLimit, demand: f64) -> f64 {
    match demand > limit.rate {
        true => limit.rate / demand,
        false => 1.0,
    }
}

// What was used between two sums of a ledger, counted modulo 2^32. What was asked for only grows: sums that began anew,
// as those of an account that was taken out and came back, tell of nothing.
fn use_since(before: AccountUse, sum: AccountUse) -> AccountUse {
    let asked = sum.asked.wrapping_sub(before.asked);
    let is_anew = (asked as i32) < 0;
    AccountUse {
        account: sum.account,
        asked: if is_anew { 0 } else { asked },
        taken: if is_anew {
            0
        } else {
            sum.taken.wrapping_sub(before.taken)
        },
    }
}

// Sums are of whole units.
fn whole(units: f64) -> u32 {
    units.round().clamp(0.0, f64::from(u32::MAX)) as u32
}

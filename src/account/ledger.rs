//! What each account uses, as the host knows it that keeps the books of its availability zone.
//!
//! The account that is near its limit is asked for here before each of its requests, by all hosts of the zone; others
//! are let in freely and told with the next report. The zones tell each other their sums several times a second. A
//! zone that is not heard of is taken to use its share of the limit, by what was asked for there before, so both
//! sides of a cut together stay within the limit.

use {
    super::{
        account_book::{self, AccountBook, ReservedRate, UnheardZone},
        bucket::{BucketRate, RateBucket},
        client_account::{AccountKey, AccountLimit},
        directory::AccountDirectory,
        seen_ledger::SeenLedger,
        tolerance::LimitTolerance,
        use_report::{AccountUse, NearAccount},
    },
    faststr::FastStr,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
    xxhash_rust::xxh3,
};

/// How long a zone may go unheard until its share of each limit is left to it: three of its reports.
pub(super) const CUT_AFTER: Duration = Duration::from_millis(1_000);

/// How many times its present demand an account is taken to ask for all at once, before its hosts hear of it.
const SURGE: f64 = 8.0;

/// Time until all hosts of a zone know that an account is near its limit, seconds: two reports and the sums of the
/// other zones.
const LAG_SECONDS: f64 = 1.5;

/// How often the accounts that are near their limits are worked out.
const NEAR_PERIOD: Duration = Duration::from_millis(100);

/// Time after which a ledger has heard of all hosts of its zone and of the other zones.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);

/// Part of what may go beyond a limit that callers get; the rest covers what hosts do not know of each other.
const GRANTED_PART: f64 = 0.1;

/// Part of what may go beyond a limit that is left to requests which are let in without asking.
const FREE_PART: f64 = 0.6;

/// Part of the burst that is taken as used when a ledger begins: what was used before it is not known.
const BEGIN_LEVEL: f64 = 0.9;

/// Seconds of the rate that a bucket may be over its burst: what went beyond is repaid later, but no longer than that.
pub(super) const DEBT_SECONDS: f64 = 2.0;

/// Seconds of an account's rate that a zone asks for until it tells the others, if the account is far under its limit.
const TELL_SECONDS: f64 = 0.25;

/// How long a ledger is one that hosts go by, after one of them asked it: as long as they keep to what it told.
const KEPT_TIME: Duration = Duration::from_millis(2_000);

/// How long an account that is not used is told of, and a ledger that is not heard of remembered.
pub(super) const BOOK_LIFE: Duration = Duration::from_secs(30);

/// The books of an availability zone.
#[derive(Debug)]
pub struct ZoneLedger {
    pub(super) id: u64,
    pub(super) zone: FastStr,
    pub(super) began: Duration,
    tolerance: LimitTolerance,
    pub(super) books: BTreeMap<AccountKey, AccountBook>,
    // The other zones that have hosts, and when each was last heard of.
    pub(super) zones: BTreeMap<FastStr, Option<Duration>>,
    // What other ledgers told, by their ids.
    pub(super) seen: BTreeMap<u64, SeenLedger>,
    // The accounts near their limits, as last worked out, and when that was.
    near: Vec<NearAccount>,
    near_at: Option<Duration>,
    // When a host was last answered that asked or told of its uses.
    kept: Option<Duration>,
}

impl ZoneLedger {
    /// Books of an availability zone in which nothing stands; `id` is drawn at random.
    pub fn new(id: u64, zone: FastStr, tolerance: LimitTolerance, now: Duration) -> Self {
        Self {
            id,
            zone,
            began: now,
            tolerance,
            books: BTreeMap::new(),
            zones: BTreeMap::new(),
            seen: BTreeMap::new(),
            near: Vec::new(),
            near_at: None,
            kept: None,
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
        let room = self.room(limit, now);
        let rate = self.own_rate(limit, &reserved, now);
        let book = self.book(account, limit, now);
        book.note_asked(units, now);
        let own = reserved.own_share();
        let bounds = BucketRate {
            rate,
            burst: room * own,
        };
        book.settle(&reserved, now);
        let taken = book.bucket.take(units, bounds, now);
        if taken.is_ok() {
            book.taken = book.taken.wrapping_add(account_book::whole(units));
        }
        taken
    }

    /// Takes what a host let in by itself, or was given back to it.
    pub fn note(&mut self, used: AccountUse, limit: AccountLimit, now: Duration) {
        let reserved = self.reserve(used.account, limit, now);
        let rate = self.own_rate(limit, &reserved, now);
        let book = self.book(used.account, limit, now);
        book.note_asked(f64::from(used.asked), now);
        book.settle(&reserved, now);
        book.bucket.drain(rate, now);
        // Given back where that is more: a difference modulo 2^32.
        book.bucket.add(f64::from(used.taken as i32));
        book.bucket.cap(limit.burst + DEBT_SECONDS * limit.rate);
        book.taken = book.taken.wrapping_add(used.taken);
    }

    /// A host was answered that asks this ledger, or tells it of its uses.
    ///
    /// A host that comes to keep the books long after its start begins them now: as of its start, what was used before would have
    /// drained. Of three zones whose keepers were killed each let in a third of the burst once more, 222,600 units where 70,100
    /// were left (tests/account_limits.rs).
    pub fn note_kept(&mut self, now: Duration) {
        if !self.is_kept(now) && self.is_settled(now) {
            self.begin(now);
        }
        self.kept = Some(now);
    }

    // Other ledgers take it for another one: its sums begin anew.
    fn begin(&mut self, now: Duration) {
        let drawn = xxh3::xxh3_64_with_seed(&self.id.to_le_bytes(), now.as_nanos() as u64);
        self.id = drawn.max(1);
        self.began = now;
        self.books.clear();
        self.near.clear();
        self.near_at = None;
        for heard in self.zones.values_mut() {
            *heard = None;
        }
    }

    /// Whether hosts go by this ledger.
    pub fn is_kept(&self, now: Duration) -> bool {
        self.kept
            .is_some_and(|at| now.saturating_sub(at) < KEPT_TIME)
    }

    /// Whether it has heard enough to say which accounts are far under their limits. Until then hosts ask for all: with
    /// 1.4 million units a second asked for after all hosts were killed, 0.3 s without asking went 0.11 beyond what is
    /// tolerated (tests/account_limits.rs).
    pub fn is_settled(&self, now: Duration) -> bool {
        now.saturating_sub(self.began) >= SETTLE_TIME
    }

    /// The accounts of which hosts are to ask before they let a request in; worked out anew each tenth of a second, since
    /// all hosts of the zone are told it several times a second.
    pub fn near(&mut self, accounts: &AccountDirectory, now: Duration) -> &[NearAccount] {
        let is_due = self
            .near_at
            .is_none_or(|at| now.saturating_sub(at) >= NEAR_PERIOD);
        if is_due {
            self.near = self.near_now(accounts, now);
            self.near_at = Some(now);
        }
        &self.near
    }

    fn near_now(&self, accounts: &AccountDirectory, now: Duration) -> Vec<NearAccount> {
        let books = self.books.iter();
        let near = books.filter_map(|(account, book)| {
            let limit = accounts.account(*account)?.limit?;
            let is_cut = !self.hears_all(now);
            let demand = book.total_demand(now);
            let is_near = is_cut || self.may_surge(book, limit, demand);
            is_near.then(|| NearAccount {
                account: *account,
                share: fitting_share(limit, demand),
            })
        });
        near.collect()
    }

    // Units beyond the burst that are let in on purpose.
    fn granted_beyond(&self, limit: AccountLimit) -> f64 {
        GRANTED_PART * self.tolerance.beyond(limit)
    }

    // This ledger's part of what is left of a limit and of its rate. While it has just begun, the ledgers of zones that have not
    // told it anything may have begun at the same time: they share both. Three that had not heard of each other let in 190,800
    // units of one account in 0.6 s, where its limit leaves 97,810 (tests/account_limits.rs).
    fn begin_part(&self, now: Duration) -> f64 {
        if self.is_settled(now) {
            return 1.0;
        }
        let unheard = self.zones.values().filter(|heard| heard.is_none());
        1.0 / (1 + unheard.count()) as f64
    }

    // How full a bucket may be.
    fn room(&self, limit: AccountLimit, now: Duration) -> f64 {
        let whole = limit.burst.max(1.0) + self.granted_beyond(limit);
        let begun = limit.burst * BEGIN_LEVEL;
        begun + (whole - begun) * self.begin_part(now)
    }

    // Units a second that drain for this side of a cut, or for this one of several ledgers that have just begun.
    pub(super) fn own_rate(
        &self,
        limit: AccountLimit,
        reserved: &ReservedRate,
        now: Duration,
    ) -> f64 {
        limit.rate * reserved.own_share() * self.begin_part(now)
    }

    // Whether the account could go beyond its limit by more than is tolerated before its hosts hear of it.
    fn may_surge(&self, book: &AccountBook, limit: AccountLimit, demand: f64) -> bool {
        let window = self.tolerance.window.as_secs_f64();
        let tolerated = self.tolerance.beyond(limit);
        let unused = limit.burst - book.bucket.level() + (limit.rate - demand) * window;
        let room = FREE_PART * (tolerated + unused);
        demand * SURGE * LAG_SECONDS > room
    }

    fn hears_all(&self, now: Duration) -> bool {
        let mut zones = self.zones.values();
        zones.all(|heard| self.unheard_time(*heard, now).is_zero())
    }

    // How long a zone has been taken to use its share unheard.
    fn unheard_time(&self, heard: Option<Duration>, now: Duration) -> Duration {
        let until = heard.unwrap_or(self.began) + CUT_AFTER;
        now.saturating_sub(until)
    }

    // What is left to zones that are not heard of: their shares of the demand as all zones knew it when they last heard
    // of each other, so that the shares of all sides of a cut together are the whole.
    pub(super) fn reserve(
        &self,
        account: AccountKey,
        limit: AccountLimit,
        now: Duration,
    ) -> ReservedRate {
        let times = self.zones.iter().map(|(zone, heard)| {
            let time = self.unheard_time(*heard, now);
            (zone, time)
        });
        let unheard: Vec<(&FastStr, Duration)> =
            times.filter(|(_, time)| !time.is_zero()).collect();
        if unheard.is_empty() {
            return ReservedRate::default();
        }
        let book = self.books.get(&account);
        let demand_of = |zone: &FastStr| {
            let book = book?;
            let away = book.away.get(zone);
            let demand = away.map_or(book.known_demand, |away| away.known_demand);
            Some(demand + book.idle_demand())
        };
        // Nothing is known of an account without a book: all zones are alike.
        let demand_of = |zone: &FastStr| demand_of(zone).unwrap_or(1.0);
        let own = book.map_or(1.0, |book| book.known_demand + book.idle_demand());
        let whole: f64 = own + self.zones.keys().map(demand_of).sum::<f64>();
        let zones = unheard.into_iter().map(|(zone, time)| {
            let rate = limit.rate * demand_of(zone) / whole;
            UnheardZone {
                name: zone.clone(),
                rate,
                time,
            }
        });
        let zones: Vec<UnheardZone> = zones.collect();
        let rate: f64 = zones.iter().map(|zone| zone.rate).sum();
        ReservedRate {
            share: rate / limit.rate,
            zones,
        }
    }

    pub(super) fn book(
        &mut self,
        account: AccountKey,
        limit: AccountLimit,
        now: Duration,
    ) -> &mut AccountBook {
        let hears_all = self.hears_all(now);
        let began = self.began;
        let book = self.books.entry(account).or_insert_with(|| AccountBook {
            // What was used before the ledger began has drained since.
            bucket: RateBucket::filled(limit.burst * BEGIN_LEVEL, began),
            settled: now,
            ..AccountBook::default()
        });
        book.tell_from = limit.rate * TELL_SECONDS;
        if hears_all {
            book.note_known(now);
        }
        book.used = now;
        book
    }

    /// Forgets other ledgers that were not heard of for long, and accounts that are no longer configured.
    pub fn forget_old(&mut self, accounts: &AccountDirectory, now: Duration) {
        self.seen
            .retain(|_, ledger| now.saturating_sub(ledger.told) < BOOK_LIFE);
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

fn fitting_share(limit: AccountLimit, demand: f64) -> f64 {
    match demand > limit.rate {
        true => limit.rate / demand,
        false => 1.0,
    }
}

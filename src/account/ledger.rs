//! Usage of each account in an availability zone, as tracked by the host that keeps the zone's ledger.
//!
//! For an account near its limit, every host of the zone asks the ledger before it admits a request. Requests
//! of other accounts are admitted without asking and reported periodically. Ledgers of different zones
//! exchange their totals several times a second. A zone that cannot be reached is assumed to use its share of
//! the limit, based on its earlier demand, so that both sides of a network partition together stay within the
//! limit.

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

/// Time without an update after which a zone counts as unreachable and its share of each limit is reserved
/// for it: three report intervals.
pub(super) const CUT_AFTER: Duration = Duration::from_millis(1_000);

/// Factor by which an account's demand may jump before the hosts of the zone learn that it is near its limit.
const SURGE: f64 = 8.0;

/// Time until all hosts of a zone know that an account is near its limit, in seconds: two reports plus the
/// totals of the other zones.
const LAG_SECONDS: f64 = 1.5;

/// Interval at which the list of accounts near their limits is recomputed.
const NEAR_PERIOD: Duration = Duration::from_millis(100);

/// Time after which a new ledger has received data from all hosts of its zone and from the other zones.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);

/// Fraction of the tolerated overshoot that is granted to callers. The rest covers usage that hosts do not
/// know of yet.
const GRANTED_PART: f64 = 0.1;

/// Fraction of the tolerated overshoot that is left for requests admitted without asking.
const FREE_PART: f64 = 0.6;

/// Fraction of the burst that a new ledger assumes to be used, as it does not know the earlier usage.
const BEGIN_LEVEL: f64 = 0.9;

/// Seconds of the rate by which a bucket may exceed its burst. The excess delays later requests, but by no
/// more than this.
pub(super) const DEBT_SECONDS: f64 = 2.0;

/// Demand since the last broadcast, in seconds of the account's rate, from which a ledger broadcasts an
/// account that is far below its limit.
const TELL_SECONDS: f64 = 0.25;

/// How long a ledger counts as in use after a request from a host: hosts act on its answers for that long.
const KEPT_TIME: Duration = Duration::from_millis(2_000);

/// How long an idle account stays in broadcasts, and how long a silent ledger is remembered.
pub(super) const BOOK_LIFE: Duration = Duration::from_secs(30);

/// Tracks the usage of all accounts in an availability zone.
#[derive(Debug)]
pub struct ZoneLedger {
    pub(super) id: u64,
    pub(super) zone: FastStr,
    pub(super) began: Duration,
    tolerance: LimitTolerance,
    pub(super) books: BTreeMap<AccountKey, AccountBook>,
    // Other zones that have hosts, each with the time of its last update.
    pub(super) zones: BTreeMap<FastStr, Option<Duration>>,
    // Totals received from other ledgers, by ledger id.
    pub(super) seen: BTreeMap<u64, SeenLedger>,
    // Accounts near their limits and the time at which the list was computed.
    near: Vec<NearAccount>,
    near_at: Option<Duration>,
    // When the ledger last answered a host that asked it or reported usage.
    kept: Option<Duration>,
}

impl ZoneLedger {
    /// Creates an empty ledger. `id` is random.
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

    /// Sets the other zones that have hosts.
    pub fn set_zones(&mut self, zones: &BTreeSet<FastStr>) {
        self.zones.retain(|zone, _| zones.contains(zone));
        for zone in zones {
            self.zones.entry(zone.clone()).or_default();
        }
    }

    /// Admits a request of `units`, or returns how long its caller should wait.
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

    /// Records usage that a host admitted without asking, or that was refunded to it.
    pub fn note(&mut self, used: AccountUse, limit: AccountLimit, now: Duration) {
        let reserved = self.reserve(used.account, limit, now);
        let rate = self.own_rate(limit, &reserved, now);
        let book = self.book(used.account, limit, now);
        book.note_asked(f64::from(used.asked), now);
        book.settle(&reserved, now);
        book.bucket.drain(rate, now);
        // The difference is modulo 2^32 and negative if more was refunded than used.
        book.bucket.add(f64::from(used.taken as i32));
        book.bucket.cap(limit.burst + DEBT_SECONDS * limit.rate);
        book.taken = book.taken.wrapping_add(used.taken);
    }

    /// Records that the ledger answered a host that asked it or reported usage.
    ///
    /// If a host becomes the keeper of the ledger long after its start, the ledger is reset to start now.
    /// With the host's start as the reference, all earlier usage would count as drained. When the keepers of
    /// three zones were killed, each new one admitted a third of the burst again: 222,600 units where 70,100
    /// were left (tests/account_limits.rs).
    pub fn note_kept(&mut self, now: Duration) {
        if !self.is_kept(now) && self.is_settled(now) {
            self.begin(now);
        }
        self.kept = Some(now);
    }

    // The new id makes other ledgers treat it as a new ledger whose totals start at zero.
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

    /// Whether hosts currently use this ledger.
    pub fn is_kept(&self, now: Duration) -> bool {
        self.kept
            .is_some_and(|at| now.saturating_sub(at) < KEPT_TIME)
    }

    /// Whether the ledger has enough data to tell which accounts are far below their limits. Until then hosts
    /// ask for every request: with a demand of 1.4 million units a second after all hosts were killed, 0.3 s
    /// without asking exceeded the tolerance by 0.11 (tests/account_limits.rs).
    pub fn is_settled(&self, now: Duration) -> bool {
        now.saturating_sub(self.began) >= SETTLE_TIME
    }

    /// Accounts for which hosts must ask before they admit a request. The list is recomputed at most every
    /// 0.1 s, since all hosts of the zone request it several times a second.
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

    // Units above the burst that are admitted on purpose.
    fn granted_beyond(&self, limit: AccountLimit) -> f64 {
        GRANTED_PART * self.tolerance.beyond(limit)
    }

    // This ledger's share of the remaining limit and of its rate. During warm-up, the ledgers of zones that
    // have sent no update may be just as new, so all of them share both. Three ledgers that had not heard
    // from each other admitted 190,800 units of one account in 0.6 s, where its limit left 97,810
    // (tests/account_limits.rs).
    fn begin_part(&self, now: Duration) -> f64 {
        if self.is_settled(now) {
            return 1.0;
        }
        let unheard = self.zones.values().filter(|heard| heard.is_none());
        1.0 / (1 + unheard.count()) as f64
    }

    // Capacity of an account's bucket.
    fn room(&self, limit: AccountLimit, now: Duration) -> f64 {
        let whole = limit.burst.max(1.0) + self.granted_beyond(limit);
        let begun = limit.burst * BEGIN_LEVEL;
        begun + (whole - begun) * self.begin_part(now)
    }

    // Drain rate of this side of a partition, or of this one of several new ledgers, in units per second.
    pub(super) fn own_rate(
        &self,
        limit: AccountLimit,
        reserved: &ReservedRate,
        now: Duration,
    ) -> f64 {
        limit.rate * reserved.own_share() * self.begin_part(now)
    }

    // Whether the account could exceed its limit by more than the tolerance before its hosts learn that it is
    // near.
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

    // How long a zone has been unreachable, that is, assumed to use its share.
    fn unheard_time(&self, heard: Option<Duration>, now: Duration) -> Duration {
        let until = heard.unwrap_or(self.began) + CUT_AFTER;
        now.saturating_sub(until)
    }

    // Rate reserved for unreachable zones. Their shares follow from the demand that all zones knew when they
    // were last in contact, so the shares of all sides of a partition add up to the whole limit.
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
        // Without usage data for the account, all zones count as equal.
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
            // Usage from before the ledger started has drained since.
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

    /// Drops ledgers that have been silent for too long and accounts that are no longer configured.
    pub fn forget_old(&mut self, accounts: &AccountDirectory, now: Duration) {
        self.seen
            .retain(|_, ledger| now.saturating_sub(ledger.told) < BOOK_LIFE);
        self.books
            .retain(|account, _| accounts.account(*account).is_some());
    }

    /// Units used and not yet drained, and demand in units per second, for metrics.
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

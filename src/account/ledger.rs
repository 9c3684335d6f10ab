//! Usage of each account in an availability zone, as tracked by the host that keeps the zone's ledger.
//!
//! For an account near its limit, every host of the zone asks the ledger before it admits a request. Requests
//! of other accounts are admitted without asking and reported periodically. Ledgers of different zones
//! exchange their totals several times a second. A zone that cannot be reached is assumed to use its share of
//! the limit, based on its earlier demand, so that both sides of a network partition together stay within the
//! limit.

use {
    super::{
        account_usage::{self, AccountUsage, ReservedRate, UnreachableZone},
        bucket::{BucketRate, RateBucket},
        client_account::{AccountKey, AccountLimit},
        directory::AccountDirectory,
        peer_ledger::PeerLedger,
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
pub(super) const UNREACHABLE_AFTER: Duration = Duration::from_millis(1_000);

/// Factor by which an account's demand may jump before the hosts of the zone learn that it is near its limit.
const SURGE_FACTOR: f64 = 8.0;

/// Time until all hosts of a zone know that an account is near its limit, in seconds: two reports plus the
/// totals of the other zones.
const PROPAGATION_SECONDS: f64 = 1.5;

/// Interval at which the list of accounts near their limits is recomputed.
const NEAR_INTERVAL: Duration = Duration::from_millis(100);

/// Time after which a new ledger has received data from all hosts of its zone and from the other zones.
const WARM_UP_TIME: Duration = Duration::from_millis(1_500);

/// Fraction of the tolerated overshoot that is granted to callers. The rest covers usage that hosts do not
/// know of yet.
const GRANTED_FRACTION: f64 = 0.1;

/// Fraction of the tolerated overshoot that is left for requests admitted without asking.
const UNCHECKED_FRACTION: f64 = 0.6;

/// Fraction of the burst that a new ledger assumes to be used, as it does not know the earlier usage.
const INITIAL_FILL: f64 = 0.9;

/// Seconds of the rate by which a bucket may exceed its burst. The excess delays later requests, but by no
/// more than this.
pub(super) const MAX_DEBT_SECONDS: f64 = 2.0;

/// Demand since the last broadcast, in seconds of the account's rate, from which a ledger broadcasts an
/// account that is far below its limit.
const BROADCAST_SECONDS: f64 = 0.25;

/// How long a ledger counts as in use after a request from a host: hosts act on its answers for that long.
const IN_USE_TIME: Duration = Duration::from_millis(2_000);

/// How long an idle account stays in broadcasts, and how long a silent ledger is remembered.
pub(super) const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Tracks the usage of all accounts in an availability zone.
#[derive(Debug)]
pub struct ZoneLedger {
    pub(super) id: u64,
    pub(super) zone: FastStr,
    pub(super) started: Duration,
    tolerance: LimitTolerance,
    pub(super) usages: BTreeMap<AccountKey, AccountUsage>,
    // Other zones that have hosts, each with the time of its last update.
    pub(super) zones: BTreeMap<FastStr, Option<Duration>>,
    // Totals received from other ledgers, by ledger id.
    pub(super) peers: BTreeMap<u64, PeerLedger>,
    // Accounts near their limits and the time at which the list was computed.
    near: Vec<NearAccount>,
    near_computed: Option<Duration>,
    // When the ledger last answered a host that asked it or reported usage.
    last_answered: Option<Duration>,
}

impl ZoneLedger {
    /// Creates an empty ledger. `id` is random.
    pub fn new(id: u64, zone: FastStr, tolerance: LimitTolerance, now: Duration) -> Self {
        Self {
            id,
            zone,
            started: now,
            tolerance,
            usages: BTreeMap::new(),
            zones: BTreeMap::new(),
            peers: BTreeMap::new(),
            near: Vec::new(),
            near_computed: None,
            last_answered: None,
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
        let capacity = self.capacity(limit, now);
        let rate = self.own_rate(limit, &reserved, now);
        let usage = self.usage_mut(account, limit, now);
        usage.record_demand(units, now);
        let own = reserved.own_share();
        let bounds = BucketRate {
            rate,
            burst: capacity * own,
        };
        usage.charge_unreachable(&reserved, now);
        let taken = usage.bucket.take(units, bounds, now);
        if taken.is_ok() {
            usage.taken = usage.taken.wrapping_add(account_usage::to_units(units));
        }
        taken
    }

    /// Records usage that a host admitted without asking, or that was refunded to it.
    pub fn record_use(&mut self, used: AccountUse, limit: AccountLimit, now: Duration) {
        let reserved = self.reserve(used.account, limit, now);
        let rate = self.own_rate(limit, &reserved, now);
        let usage = self.usage_mut(used.account, limit, now);
        usage.record_demand(f64::from(used.asked), now);
        usage.charge_unreachable(&reserved, now);
        usage.bucket.drain(rate, now);
        // The difference is modulo 2^32 and negative if more was refunded than used.
        usage.bucket.add(f64::from(used.taken as i32));
        usage
            .bucket
            .cap(limit.burst + MAX_DEBT_SECONDS * limit.rate);
        usage.taken = usage.taken.wrapping_add(used.taken);
    }

    /// Records that the ledger answered a host that asked it or reported usage.
    ///
    /// If a host becomes the keeper of the ledger long after its start, the ledger is reset to start now.
    /// With the host's start as the reference, all earlier usage would count as drained. When the keepers of
    /// three zones were killed, each new one admitted a third of the burst again: 222,600 units where 70,100
    /// were left (tests/account_limits.rs).
    pub fn mark_in_use(&mut self, now: Duration) {
        if !self.is_in_use(now) && self.is_warmed_up(now) {
            self.reset(now);
        }
        self.last_answered = Some(now);
    }

    // The new id makes other ledgers treat it as a new ledger whose totals start at zero.
    fn reset(&mut self, now: Duration) {
        let hash = xxh3::xxh3_64_with_seed(&self.id.to_le_bytes(), now.as_nanos() as u64);
        self.id = hash.max(1);
        self.started = now;
        self.usages.clear();
        self.near.clear();
        self.near_computed = None;
        for last_update in self.zones.values_mut() {
            *last_update = None;
        }
    }

    /// Whether hosts currently use this ledger.
    pub fn is_in_use(&self, now: Duration) -> bool {
        self.last_answered
            .is_some_and(|at| now.saturating_sub(at) < IN_USE_TIME)
    }

    /// Whether the ledger has enough data to tell which accounts are far below their limits. Until then hosts
    /// ask for every request: with a demand of 1.4 million units a second after all hosts were killed, 0.3 s
    /// without asking exceeded the tolerance by 0.11 (tests/account_limits.rs).
    pub fn is_warmed_up(&self, now: Duration) -> bool {
        now.saturating_sub(self.started) >= WARM_UP_TIME
    }

    /// Accounts for which hosts must ask before they admit a request. The list is recomputed at most every
    /// 0.1 s, since all hosts of the zone request it several times a second.
    pub fn near_limit(&mut self, accounts: &AccountDirectory, now: Duration) -> &[NearAccount] {
        let is_due = self
            .near_computed
            .is_none_or(|at| now.saturating_sub(at) >= NEAR_INTERVAL);
        if is_due {
            self.near = self.near_now(accounts, now);
            self.near_computed = Some(now);
        }
        &self.near
    }

    fn near_now(&self, accounts: &AccountDirectory, now: Duration) -> Vec<NearAccount> {
        let usages = self.usages.iter();
        let near = usages.filter_map(|(account, usage)| {
            let limit = accounts.account(*account)?.limit?;
            let is_partitioned = !self.reaches_all(now);
            let demand = usage.total_demand(now);
            let is_near = is_partitioned || self.may_exceed(usage, limit, demand);
            is_near.then(|| NearAccount {
                account: *account,
                share: admissible_share(limit, demand),
            })
        });
        near.collect()
    }

    // Units above the burst that are admitted on purpose.
    fn granted_overshoot(&self, limit: AccountLimit) -> f64 {
        GRANTED_FRACTION * self.tolerance.beyond(limit)
    }

    // This ledger's share of the remaining limit and of its rate. During warm-up, the ledgers of zones that
    // have sent no update may be just as new, so all of them share both. Three ledgers that had not heard
    // from each other admitted 190,800 units of one account in 0.6 s, where its limit left 97,810
    // (tests/account_limits.rs).
    fn warm_up_share(&self, now: Duration) -> f64 {
        if self.is_warmed_up(now) {
            return 1.0;
        }
        let silent = self
            .zones
            .values()
            .filter(|last_update| last_update.is_none());
        1.0 / (1 + silent.count()) as f64
    }

    // Capacity of an account's bucket.
    fn capacity(&self, limit: AccountLimit, now: Duration) -> f64 {
        let full = limit.burst.max(1.0) + self.granted_overshoot(limit);
        let initial = limit.burst * INITIAL_FILL;
        initial + (full - initial) * self.warm_up_share(now)
    }

    // Drain rate of this side of a partition, or of this one of several new ledgers, in units per second.
    pub(super) fn own_rate(
        &self,
        limit: AccountLimit,
        reserved: &ReservedRate,
        now: Duration,
    ) -> f64 {
        limit.rate * reserved.own_share() * self.warm_up_share(now)
    }

    // Whether the account could exceed its limit by more than the tolerance before its hosts learn that it is
    // near.
    fn may_exceed(&self, usage: &AccountUsage, limit: AccountLimit, demand: f64) -> bool {
        let window = self.tolerance.window.as_secs_f64();
        let tolerated = self.tolerance.beyond(limit);
        let unused = limit.burst - usage.bucket.level() + (limit.rate - demand) * window;
        let capacity = UNCHECKED_FRACTION * (tolerated + unused);
        demand * SURGE_FACTOR * PROPAGATION_SECONDS > capacity
    }

    fn reaches_all(&self, now: Duration) -> bool {
        let mut zones = self.zones.values();
        zones.all(|last_update| self.unreachable_time(*last_update, now).is_zero())
    }

    // How long a zone has been unreachable, that is, assumed to use its share.
    fn unreachable_time(&self, last_update: Option<Duration>, now: Duration) -> Duration {
        let until = last_update.unwrap_or(self.started) + UNREACHABLE_AFTER;
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
        let times = self.zones.iter().map(|(zone, last_update)| {
            let time = self.unreachable_time(*last_update, now);
            (zone, time)
        });
        let unreachable: Vec<(&FastStr, Duration)> =
            times.filter(|(_, time)| !time.is_zero()).collect();
        if unreachable.is_empty() {
            return ReservedRate::default();
        }
        let usage = self.usages.get(&account);
        let demand_of = |zone: &FastStr| {
            let usage = usage?;
            let remote = usage.remote.get(zone);
            let demand = remote.map_or(usage.known_demand, |remote| remote.known_demand);
            Some(demand + usage.idle_demand())
        };
        // Without usage data for the account, all zones count as equal.
        let demand_of = |zone: &FastStr| demand_of(zone).unwrap_or(1.0);
        let own = usage.map_or(1.0, |usage| usage.known_demand + usage.idle_demand());
        let total: f64 = own + self.zones.keys().map(demand_of).sum::<f64>();
        let zones = unreachable.into_iter().map(|(zone, time)| {
            let rate = limit.rate * demand_of(zone) / total;
            UnreachableZone {
                name: zone.clone(),
                rate,
                time,
            }
        });
        let zones: Vec<UnreachableZone> = zones.collect();
        let rate: f64 = zones.iter().map(|zone| zone.rate).sum();
        ReservedRate {
            share: rate / limit.rate,
            zones,
        }
    }

    pub(super) fn usage_mut(
        &mut self,
        account: AccountKey,
        limit: AccountLimit,
        now: Duration,
    ) -> &mut AccountUsage {
        let reaches_all = self.reaches_all(now);
        let started = self.started;
        let usage = self.usages.entry(account).or_insert_with(|| AccountUsage {
            // Usage from before the ledger started has drained since.
            bucket: RateBucket::with_level(limit.burst * INITIAL_FILL, started),
            charged_until: now,
            ..AccountUsage::default()
        });
        usage.broadcast_threshold = limit.rate * BROADCAST_SECONDS;
        if reaches_all {
            usage.store_known_demand(now);
        }
        usage.last_used = now;
        usage
    }

    /// Drops ledgers that have been silent for too long and accounts that are no longer configured.
    pub fn evict_expired(&mut self, accounts: &AccountDirectory, now: Duration) {
        self.peers
            .retain(|_, ledger| now.saturating_sub(ledger.updated) < IDLE_TIMEOUT);
        self.usages
            .retain(|account, _| accounts.account(*account).is_some());
    }

    /// Units used and not yet drained, and demand in units per second, for metrics.
    pub fn level_and_demand(&self, account: AccountKey, now: Duration) -> (f64, f64) {
        let usage = self.usages.get(&account);
        usage.map_or((0.0, 0.0), |usage| {
            (usage.bucket.level(), usage.total_demand(now))
        })
    }
}

fn admissible_share(limit: AccountLimit, demand: f64) -> f64 {
    match demand > limit.rate {
        true => limit.rate / demand,
        false => 1.0,
    }
}

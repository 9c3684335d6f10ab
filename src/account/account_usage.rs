//! Usage of one account as its zone's ledger knows it.

use {
    super::bucket::RateBucket,
    faststr::FastStr,
    std::{collections::BTreeMap, time::Duration},
};

/// Fraction of its share of a limit that one side of a partition uses, since the sides know each other's
/// demand only approximately.
const PARTITION_FRACTION: f64 = 0.88;

/// Averaging time of the demand, in seconds: long compared with the gap between two requests of a small
/// account, short compared with the window in which operators measure.
const SHORT_TERM_SECONDS: f64 = 3.0;

/// Averaging time, in seconds, of the demand by which zones share limits during a partition. With 3 s, a
/// single large request changes the share of a small account by a quarter.
const LONG_TERM_SECONDS: f64 = 20.0;

/// Demand assumed for an idle zone, as a fraction of the rate, so that its first requests are admitted.
const IDLE_DEMAND: f64 = 0.02;

/// Demand in units per second, as exponentially weighted averages.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct DemandRate {
    // Short-term and long-term averages: the short one shows a surge, the long one keeps the shares of zones
    // steady.
    short_term: f64,
    long_term: f64,
    at: Duration,
}

impl DemandRate {
    pub(super) fn short_term(&self, now: Duration) -> f64 {
        self.short_term * self.decay(SHORT_TERM_SECONDS, now)
    }

    pub(super) fn long_term(&self, now: Duration) -> f64 {
        self.long_term * self.decay(LONG_TERM_SECONDS, now)
    }

    fn decay(&self, seconds: f64, now: Duration) -> f64 {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        (-passed / seconds).exp()
    }

    pub(super) fn add(&mut self, units: f64, now: Duration) {
        self.short_term = self.short_term(now) + units / SHORT_TERM_SECONDS;
        self.long_term = self.long_term(now) + units / LONG_TERM_SECONDS;
        self.at = now;
    }
}

/// Usage of an account in another zone.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct RemoteUsage {
    pub(super) demand: DemandRate,
    // Demand when all zones were last reachable, in units per second.
    pub(super) known_demand: f64,
    // Units assumed to be used while the zone was unreachable.
    pub(super) assumed: f64,
}

/// Unreachable zone.
#[derive(Debug)]
pub(super) struct UnreachableZone {
    pub(super) name: FastStr,
    // Its share of the limit, in units per second.
    pub(super) rate: f64,
    // How long this usage has been assumed.
    pub(super) time: Duration,
}

/// Assumed usage of an account's limit by unreachable zones.
#[derive(Debug, Default)]
pub(super) struct ReservedRate {
    // Share of the limit for all unreachable zones, 0 to 1.
    pub(super) share: f64,
    pub(super) zones: Vec<UnreachableZone>,
}

impl ReservedRate {
    // Share of the limit left for this side, 0 to 1.
    pub(super) fn own_share(&self) -> f64 {
        match self.zones.is_empty() {
            true => 1.0,
            false => (1.0 - self.share) * PARTITION_FRACTION,
        }
    }
}

/// Usage of an account.
#[derive(Debug, Clone, Default)]
pub(super) struct AccountUsage {
    pub(super) bucket: RateBucket,
    // Time of the last use.
    pub(super) last_used: Duration,
    // Time up to which the usage of unreachable zones is accounted for.
    pub(super) charged_until: Duration,
    // Totals of the own zone since the ledger started.
    pub(super) asked: u32,
    pub(super) taken: u32,
    // Totals at the last broadcast, and the increase in `asked` that triggers the next one.
    pub(super) broadcast_asked: u32,
    pub(super) broadcast_taken: u32,
    pub(super) broadcast_threshold: f64,
    pub(super) demand: DemandRate,
    // Demand of the own zone when all zones were last reachable, in units per second.
    pub(super) known_demand: f64,
    pub(super) remote: BTreeMap<FastStr, RemoteUsage>,
}

impl AccountUsage {
    // Stores the present demand as known to all zones. Called while all zones are reachable.
    pub(super) fn store_known_demand(&mut self, now: Duration) {
        self.known_demand = self.demand.long_term(now);
        for remote in self.remote.values_mut() {
            remote.known_demand = remote.demand.long_term(now);
        }
    }

    pub(super) fn is_broadcast_due(&self) -> bool {
        f64::from(self.asked.wrapping_sub(self.broadcast_asked)) >= self.broadcast_threshold
    }

    pub(super) fn record_demand(&mut self, units: f64, now: Duration) {
        if units > 0.0 {
            self.asked = self.asked.wrapping_add(to_units(units));
            self.demand.add(units, now);
        }
    }

    // Charges unreachable zones with their shares since the last call. Their real usage is received once they
    // are reachable again.
    pub(super) fn charge_unreachable(&mut self, reserved: &ReservedRate, now: Duration) {
        let passed = now.saturating_sub(self.charged_until);
        self.charged_until = now;
        for zone in &reserved.zones {
            let remote = self
                .remote
                .entry(zone.name.clone())
                .or_insert_with(|| RemoteUsage {
                    // Demand unknown: assume that of this zone.
                    demand: DemandRate::default(),
                    known_demand: self.known_demand,
                    assumed: 0.0,
                });
            remote.assumed += zone.rate * passed.min(zone.time).as_secs_f64();
        }
    }

    pub(super) fn total_demand(&self, now: Duration) -> f64 {
        let remote: f64 = self
            .remote
            .values()
            .map(|remote| remote.demand.short_term(now))
            .sum();
        self.demand.short_term(now) + remote
    }

    pub(super) fn idle_demand(&self) -> f64 {
        let most = self.remote.values().map(|remote| remote.known_demand);
        IDLE_DEMAND * most.fold(self.known_demand, f64::max).max(1.0)
    }
}

// Totals are whole units.
pub(super) fn to_units(units: f64) -> u32 {
    units.round().clamp(0.0, f64::from(u32::MAX)) as u32
}

//! The books of one account: what it used, as far as its zone's ledger knows.

use {
    super::bucket::RateBucket,
    faststr::FastStr,
    std::{collections::BTreeMap, time::Duration},
};

/// Part of its share of a limit that a side of a cut uses: the sides know the demand of each other a little differently.
const CUT_PART: f64 = 0.88;

/// Time over which demand is averaged, seconds: long against the pause between two requests of a small account, short
/// against the window in which operators count.
const DEMAND_SECONDS: f64 = 3.0;

/// Time over which the demand is averaged that zones share limits by in a cut, seconds: with three, a single large
/// request moves the share of a small account by a quarter.
const SHARE_SECONDS: f64 = 20.0;

/// Demand of a zone that asks for nothing, as part of the rate: its first requests find some room.
const IDLE_DEMAND: f64 = 0.02;

/// Units a second, averaged over some seconds.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct DemandRate {
    // Over the last seconds, and over many: a surge shows in the one, shares of zones are steady in the other.
    quick: f64,
    slow: f64,
    at: Duration,
}

impl DemandRate {
    pub(super) fn quick(&self, now: Duration) -> f64 {
        self.quick * self.left(DEMAND_SECONDS, now)
    }

    pub(super) fn slow(&self, now: Duration) -> f64 {
        self.slow * self.left(SHARE_SECONDS, now)
    }

    fn left(&self, seconds: f64, now: Duration) -> f64 {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        (-passed / seconds).exp()
    }

    pub(super) fn add(&mut self, units: f64, now: Duration) {
        self.quick = self.quick(now) + units / DEMAND_SECONDS;
        self.slow = self.slow(now) + units / SHARE_SECONDS;
        self.at = now;
    }
}

/// What is known of an account in another zone.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct AwayUse {
    pub(super) demand: DemandRate,
    // The same as of when all zones were last heard, units a second.
    pub(super) known_demand: f64,
    // Units that it was taken to use while it was not heard of.
    pub(super) assumed: f64,
}

/// A zone that is not heard of.
#[derive(Debug)]
pub(super) struct UnheardZone {
    pub(super) name: FastStr,
    // Its part of the limit, units a second.
    pub(super) rate: f64,
    // How long it has been taken to use that.
    pub(super) time: Duration,
}

/// What unheard zones are taken to use of an account's limit.
#[derive(Debug, Default)]
pub(super) struct ReservedRate {
    // Share of the limit for all of them, 0 to 1.
    pub(super) share: f64,
    pub(super) zones: Vec<UnheardZone>,
}

impl ReservedRate {
    // What is left for this side, 0 to 1.
    pub(super) fn own_share(&self) -> f64 {
        match self.zones.is_empty() {
            true => 1.0,
            false => (1.0 - self.share) * CUT_PART,
        }
    }
}

/// The books of an account.
#[derive(Debug, Clone, Default)]
pub(super) struct AccountBook {
    pub(super) bucket: RateBucket,
    // The last time of any use.
    pub(super) used: Duration,
    // Time up to which what unheard zones use was assumed.
    pub(super) settled: Duration,
    // Sums of the own zone since the ledger began.
    pub(super) asked: u32,
    pub(super) taken: u32,
    // What of them was told to the other ledgers last, and from how much more on it is told again.
    pub(super) told: u32,
    pub(super) told_taken: u32,
    pub(super) tell_from: f64,
    pub(super) demand: DemandRate,
    // Demand of the own zone as all zones knew it when all were last heard, units a second.
    pub(super) known_demand: f64,
    pub(super) away: BTreeMap<FastStr, AwayUse>,
}

impl AccountBook {
    // All zones were heard lately: what is known of their demand is known to all of them.
    pub(super) fn note_known(&mut self, now: Duration) {
        self.known_demand = self.demand.slow(now);
        for away in self.away.values_mut() {
            away.known_demand = away.demand.slow(now);
        }
    }

    pub(super) fn has_more_to_tell(&self) -> bool {
        f64::from(self.asked.wrapping_sub(self.told)) >= self.tell_from
    }

    pub(super) fn note_asked(&mut self, units: f64, now: Duration) {
        if units > 0.0 {
            self.asked = self.asked.wrapping_add(whole(units));
            self.demand.add(units, now);
        }
    }

    // The unheard zones are taken to have used their shares since the last call: what each did use is told when it is
    // heard of again.
    pub(super) fn settle(&mut self, reserved: &ReservedRate, now: Duration) {
        let passed = now.saturating_sub(self.settled);
        self.settled = now;
        for zone in &reserved.zones {
            let away = self
                .away
                .entry(zone.name.clone())
                .or_insert_with(|| AwayUse {
                    // Not known: as much as here.
                    demand: DemandRate::default(),
                    known_demand: self.known_demand,
                    assumed: 0.0,
                });
            away.assumed += zone.rate * passed.min(zone.time).as_secs_f64();
        }
    }

    pub(super) fn total_demand(&self, now: Duration) -> f64 {
        let away: f64 = self.away.values().map(|away| away.demand.quick(now)).sum();
        self.demand.quick(now) + away
    }

    pub(super) fn idle_demand(&self) -> f64 {
        let most = self.away.values().map(|away| away.known_demand);
        IDLE_DEMAND * most.fold(self.known_demand, f64::max).max(1.0)
    }
}

// Sums are of whole units.
pub(super) fn whole(units: f64) -> u32 {
    units.round().clamp(0.0, f64::from(u32::MAX)) as u32
}

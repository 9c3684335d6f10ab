//! The places that a host uses while it reaches no host that leases them.

use {
    super::{place_request::PlaceRequest, service_times::ASSUMED_SERVICE_TIME},
    crate::{
        account::{BucketRate, RateBucket},
        relay::policy::loads::EngineKey,
    },
    std::{collections::BTreeMap, time::Duration},
};

/// Fraction of its equal share that an isolated host uses. On the other side of a network partition an owner may lease all
/// places; together with the shares of all isolated hosts, a server still has room in its queue.
const ISOLATED_FRACTION: f64 = 0.3;

/// The share of an isolated host at each server.
#[derive(Debug, Default)]
pub struct IsolatedPlaces {
    servers: BTreeMap<EngineKey, RateBucket>,
}

impl IsolatedPlaces {
    /// Whether one of `hosts` hosts may send a request, or the time until it may. `level` is a random number from 0 to 1
    /// that delays its first one, so that hosts that are isolated at once do not all send at once.
    pub fn take(
        &mut self,
        request: &PlaceRequest,
        hosts: usize,
        level: f64,
        now: Duration,
    ) -> Result<(), Duration> {
        let service_time = match request.service_time.is_zero() {
            true => ASSUMED_SERVICE_TIME,
            false => request.service_time,
        };
        let served = f64::from(request.slots.max(1)) / service_time.as_secs_f64();
        let share = BucketRate {
            rate: served * ISOLATED_FRACTION / hosts.max(1) as f64,
            burst: 1.0,
        };
        let bucket = self.servers.entry(request.server);
        let bucket = bucket.or_insert_with(|| RateBucket::with_level(share.burst + level, now));
        bucket.take(1.0, share, now)
    }

    /// Keeps the shares of servers that are still contended.
    pub fn retain(&mut self, is_kept: impl Fn(EngineKey) -> bool) {
        self.servers.retain(|server, _| is_kept(*server));
    }
}

//! Allocates permits for rate-limited backend servers, on the host that owns a server's permits.
//!
//! A state machine without I/O. A rate-limited server states how many requests a second it accepts from all hosts
//! together. One host allocates these as permits, so that the limit holds whichever hosts the requests come from. Its
//! size grows with the number of rate-limited servers that the host owns.

use {
    super::{
        cold_limit::ColdLimit, limit_tracker::ReportedLimit, loads::EngineKey, past_time::PastTime,
        server_limit::ServerLimit,
    },
    crate::account::{BucketRate, RateBucket},
    std::{collections::BTreeMap, time::Duration},
};

/// Minimum permits a second, whatever limit the server states. One request in 1.7 s shows whether it still has a limit,
/// and a server with limit 0 may get up to five requests in four seconds.
pub const MIN_PERMITS_PER_SECOND: f64 = 0.6;

/// The burst size: this many seconds of the limit, plus a constant, since requests do not arrive evenly. Even with the
/// time that hosts hold unused permits and with a change of owner, it stays below what a server accepts.
const BURST_SECONDS: f64 = 0.3;
const BURST_BASE: f64 = 0.25;

/// Fraction of its rate that a cold server gets as permits. Requests are counted there by the second: in one second
/// arrive the permits of that second, those that hosts held unused, a burst, and for a while those of an earlier owner.
const COLD_FRACTION: f64 = 0.75;

/// Fraction of the burst available to less urgent requests while more urgent ones arrive.
const LESS_URGENT_FRACTION: f64 = 0.1;

/// Fraction of the burst up to which a host gets more permits than it needs for its current request.
const SPARE_FRACTION: f64 = 0.5;

/// How long after an urgent request more of them are expected.
const URGENT_WINDOW: Duration = Duration::from_secs(2);

/// How long after a host starts to allocate a server's permits another host may still be doing so; by then all hosts
/// know the new owner. Until then it allocates only a fraction.
pub(super) const TAKEOVER_TIME: Duration = Duration::from_secs(2);
const TAKEOVER_FRACTION: f64 = 0.5;

/// The same for a cold server, whose requests are counted by the second. An earlier owner that was cut off may use the
/// whole rate until it notices, and for as long again some hosts skip it and others ask it.
const COLD_TAKEOVER_TIME: Duration = Duration::from_secs(4);
const COLD_TAKEOVER_FRACTION: f64 = 0.25;

/// Requests a second that such a host allocates beyond that fraction: what a cold server bears includes a constant, which is most
/// of it at a low rate.
const COLD_TAKEOVER_EXTRA: f64 = 3.0;

/// Fraction of its equal share of a limit that a host uses while it reaches no owner. On the other side of a network
/// partition an owner may allocate the whole limit; together with the shares of all partitioned hosts, the total stays
/// below what a server accepts.
const PARTITIONED_FRACTION: f64 = 0.3;

/// Time without requests for a cold server's permits after which this host allocates like one that has just begun to.
const COLD_GAP: Duration = Duration::from_secs(1);

/// How long the state of a server is kept after the last request for its permits. Longer than it takes until all hosts
/// have learned that its limit ended.
const SERVER_TTL: Duration = Duration::from_secs(30);

/// A host's request for permits for a server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PermitRequest {
    /// The server.
    pub server: EngineKey,
    /// The server's limit as known to the requesting host.
    pub reported: ReportedLimit,
    /// The server's limit while it is cold, as known to the requesting host.
    pub cold: Option<ColdLimit>,
    /// The number of permits that the requesting host can use; 0 if it only passes on the server's limit.
    pub wanted: u32,
    /// The priority rank of the request; 0 is the most urgent.
    pub rank: u8,
}

/// The response to a [`PermitRequest`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PermitGrant {
    /// The number of permits granted. They expire soon if unused.
    pub permits: u32,
    /// If none was granted, the time until one is likely.
    pub wait: Duration,
    /// The server's limit as known to the owner.
    pub reported: ReportedLimit,
    /// Its limit while it is cold, as known to the owner.
    pub cold: Option<ColdLimit>,
}

#[derive(Debug)]
struct ServerPermits {
    reported: ReportedLimit,
    cold: Option<ColdLimit>,
    bucket: RateBucket,
    started: Duration,
    last_request: Duration,
    // The most urgent rank of a recent request, and when it was made.
    most_urgent: (u8, Duration),
}

/// The permits of all servers that a host allocates.
#[derive(Debug, Default)]
pub struct PermitAllocator {
    servers: BTreeMap<EngineKey, ServerPermits>,
}

impl PermitAllocator {
    /// Allocates permits to all hosts.
    pub fn allocate(&mut self, request: &PermitRequest, now: Duration) -> PermitGrant {
        self.allocate_fraction(request, 1.0, 1.0, now)
    }

    /// Allocates permits to this host while it reaches no owner, as a fraction of an equal share between `hosts` hosts.
    /// `level` is a random number from 0 to 1, so that hosts that are partitioned at once do not all send at once.
    pub fn allocate_isolated(
        &mut self,
        request: &PermitRequest,
        hosts: usize,
        level: f64,
        now: Duration,
    ) -> PermitGrant {
        let fraction = if hosts <= 1 {
            1.0
        } else {
            PARTITIONED_FRACTION / hosts as f64
        };
        self.allocate_fraction(request, fraction, level, now)
    }

    /// Allocates permits to one of `hosts` hosts that all reach each other and use an equal share each.
    pub fn allocate_share(
        &mut self,
        request: &PermitRequest,
        hosts: usize,
        level: f64,
        now: Duration,
    ) -> PermitGrant {
        self.allocate_fraction(request, 1.0 / hosts.max(1) as f64, level, now)
    }

    // Allocates from this host's fraction of the server's limit.
    fn allocate_fraction(
        &mut self,
        request: &PermitRequest,
        fraction: f64,
        level: f64,
        now: Duration,
    ) -> PermitGrant {
        let servers = &mut self.servers;
        let state = servers
            .entry(request.server)
            .or_insert_with(|| ServerPermits {
                reported: request.reported,
                cold: request.cold,
                bucket: initial_bucket(permit_limit(request, now), fraction, level, now),
                started: now,
                last_request: now,
                most_urgent: (request.rank, now),
            });
        state.update_limit(request, fraction, level, now);
        state.restart_after_gap(now);
        state.last_request = now;
        match state.limit(now) {
            Some(limit) => state.allocate(limit, request, fraction, now),
            None => state.grant(request.wanted, Duration::ZERO),
        }
    }

    /// Records that this host hears from other hosts again. Meanwhile another one may have allocated the permits of cold
    /// servers, and some hosts may still ask that one.
    pub fn contact_restored(&mut self, now: Duration) {
        let cold = self.servers.values_mut();
        cold.filter(|state| state.cold.is_some())
            .for_each(|state| state.started = now);
    }

    /// Removes servers for which no host has requested permits within [`SERVER_TTL`].
    pub fn remove_expired(&mut self, now: Duration) {
        self.servers
            .retain(|_, state| now.saturating_sub(state.last_request) < SERVER_TTL);
    }

    /// The number of servers with allocation state.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Whether there is no such server.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }
}

// The permits allocated earlier by another host are unknown, so a whole burst counts as used.
fn initial_bucket(
    limit: Option<ServerLimit>,
    fraction: f64,
    level: f64,
    now: Duration,
) -> RateBucket {
    let burst = limit.map_or(0.0, |limit| rate_and_burst(limit, fraction).burst);
    RateBucket::with_level(burst + level, now)
}

fn permit_limit(request: &PermitRequest, now: Duration) -> Option<ServerLimit> {
    lower_limit(request.reported.limit, request.cold, now)
}

// The limit at which permits are allocated.
fn lower_limit(
    own: Option<ServerLimit>,
    cold: Option<ColdLimit>,
    now: Duration,
) -> Option<ServerLimit> {
    let cold = cold.filter(|cold| cold.is_cold(now));
    let cold = cold.map(|cold| cold.rate.scaled(COLD_FRACTION));
    ServerLimit::lower(own, cold)
}

/// The rate and burst for a fraction of a server's limit.
fn rate_and_burst(limit: ServerLimit, fraction: f64) -> BucketRate {
    let rate = limit.per_second().max(MIN_PERMITS_PER_SECOND) * fraction;
    BucketRate {
        rate,
        burst: BURST_BASE + BURST_SECONDS * rate,
    }
}

impl ServerPermits {
    fn update_limit(&mut self, request: &PermitRequest, fraction: f64, level: f64, now: Duration) {
        let was_limited = self.limit(now).is_some();
        if request.reported.as_of > self.reported.as_of {
            self.reported = request.reported;
        }
        self.cold = request.cold;
        // Until a server is rate-limited again, it gets requests without permits.
        let limit = self.limit(now);
        if !was_limited && limit.is_some() {
            self.bucket = initial_bucket(limit, fraction, level, now);
        }
    }

    fn limit(&self, now: Duration) -> Option<ServerLimit> {
        lower_limit(self.reported.limit, self.cold, now)
    }

    fn allocate(
        &mut self,
        limit: ServerLimit,
        request: &PermitRequest,
        fraction: f64,
        now: Duration,
    ) -> PermitGrant {
        let takeover_fraction = self.takeover_fraction(now);
        let full = rate_and_burst(limit, fraction * takeover_fraction);
        let available = match self.is_less_urgent(request.rank, now) {
            true => BucketRate {
                burst: full.burst * LESS_URGENT_FRACTION,
                ..full
            },
            false => full,
        };
        // Permits allocated at a higher limit are not deducted at a lower one.
        self.bucket.cap(full.burst + 1.0);
        if request.wanted == 0 {
            return self.grant(0, Duration::ZERO);
        }
        if let Err(wait) = self.bucket.take(1.0, available, now) {
            return self.grant(0, wait);
        }
        let spare = full.burst * SPARE_FRACTION - self.bucket.level();
        let extra = (spare.max(0.0) as u32).min(request.wanted - 1);
        self.bucket.add(f64::from(extra));
        assert!(
            self.bucket.level() <= full.burst + 1.0,
            "the permits allocated at once do not exceed the burst"
        );
        self.grant(1 + extra, Duration::ZERO)
    }

    fn cold_takeover_fraction(&self) -> f64 {
        let rate = self.cold.map_or(0.0, |cold| cold.rate.per_second());
        (COLD_TAKEOVER_FRACTION + COLD_TAKEOVER_EXTRA / rate.max(1.0)).min(1.0)
    }

    fn takeover_fraction(&self, now: Duration) -> f64 {
        let is_cold = self.cold.is_some_and(|cold| cold.is_cold(now));
        let (time, fraction) = match is_cold {
            true => (COLD_TAKEOVER_TIME, self.cold_takeover_fraction()),
            false => (TAKEOVER_TIME, TAKEOVER_FRACTION),
        };
        match now.saturating_sub(self.started) < time {
            true => fraction,
            false => 1.0,
        }
    }

    // While nobody asked here, another host may have allocated a cold server's permits.
    fn restart_after_gap(&mut self, now: Duration) {
        if self.cold.is_some() && now.saturating_sub(self.last_request) >= COLD_GAP {
            self.started = now;
        }
    }

    fn is_less_urgent(&mut self, rank: u8, now: Duration) -> bool {
        let (most_urgent, seen_at) = self.most_urgent;
        let is_less = rank > most_urgent && now.saturating_sub(seen_at) < URGENT_WINDOW;
        if !is_less {
            self.most_urgent = (rank, now);
        }
        is_less
    }

    fn grant(&self, permits: u32, wait: Duration) -> PermitGrant {
        PermitGrant {
            permits,
            wait,
            reported: self.reported,
            cold: self.cold,
        }
    }
}

/// Reports are sent to other hosts with their age, since hosts' clocks differ.
impl ReportedLimit {
    /// A report of this age.
    pub fn from_age(limit: Option<ServerLimit>, age: Duration, now: Duration) -> Self {
        Self {
            limit,
            as_of: PastTime::at(now).before(age),
        }
    }

    /// The age of the report.
    pub fn age(&self, now: Duration) -> Duration {
        self.as_of.age(now)
    }
}

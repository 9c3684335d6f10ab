//! Permits at rate-limited backend servers, as the host allocates them that keeps them for a server.
//!
//! A plain state machine. A rate-limited server names how many requests a second it takes from all hosts together, and one
//! host allocates these as permits, so that the bound holds wherever the requests come from. What it holds grows with the
//! rate-limited servers that it keeps.

use {
    super::{
        limit_book::LimitSaying, loads::EngineKey, past_time::PastTime, server_limit::ServerLimit,
    },
    crate::account::{BucketRate, RateBucket},
    std::{collections::BTreeMap, time::Duration},
};

/// Least permits a second that are allocated, whatever the server names: a request in 1.7 s shows whether it still names a
/// limit, and a server that names 0 is bounded at five in four seconds.
pub const PERMITS_LEAST: f64 = 0.6;

/// Permits that may be allocated at once, as seconds of the limit and besides: requests do not come evenly. With the life of
/// a permit in a host's hands and with one owner after another it stays under what a server allows.
const BURST_SECONDS: f64 = 0.3;
const BURST_LEAST: f64 = 0.25;

/// Part of that which is left to less urgent requests while more urgent ones come.
const LESS_URGENT_PART: f64 = 0.1;

/// Part of it up to which a host gets more permits than it needs now.
const SPARE_PART: f64 = 0.5;

/// How long more urgent requests are taken to come on.
const URGENT_TIME: Duration = Duration::from_secs(2);

/// How long a host that has come to allocate the permits at a server may not be the only one: others learn within that
/// time whom to ask. Meanwhile it allocates a part.
pub(super) const TAKE_OVER_TIME: Duration = Duration::from_secs(2);
const TAKE_OVER_PART: f64 = 0.5;

/// Part of its share of a limit that a host takes which reaches nobody who allocates permits. On the other side of a cut
/// somebody may allocate the whole; with the shares of all that are cut off it stays under what a server allows.
const CUT_PART: f64 = 0.3;

/// How long a server is remembered of which nobody asks: longer than it takes until all hosts have heard of its end.
const SHEET_LIFE: Duration = Duration::from_secs(30);

/// A host's question for permits at a server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PermitRequest {
    /// The server.
    pub server: EngineKey,
    /// What the asker knows that the server said.
    pub saying: LimitSaying,
    /// Permits that the asker has use for: one at the least, unless it only tells what it knows.
    pub wanted: u32,
    /// How urgent the request is, 0 the most.
    pub rank: u8,
}

/// The answer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PermitGrant {
    /// Permits that the asker may use up soon.
    pub permits: u32,
    /// Where there is none: when one is likely.
    pub wait: Duration,
    /// What the owner knows that the server said.
    pub saying: LimitSaying,
}

#[derive(Debug)]
struct ServerPermits {
    saying: LimitSaying,
    bucket: RateBucket,
    began: Duration,
    asked: Duration,
    // The most urgent rank that asked lately, and when.
    urgent: (u8, Duration),
}

/// Permits at all servers that a host keeps.
#[derive(Debug, Default)]
pub struct PermitAllocator {
    sheets: BTreeMap<EngineKey, ServerPermits>,
}

impl PermitAllocator {
    /// Allocates permits to all hosts.
    pub fn deal(&mut self, ask: &PermitRequest, now: Duration) -> PermitGrant {
        self.allocate_part(ask, 1.0, 1.0, now)
    }

    /// Allocates permits to one host alone, of so many, as a part of its share of a limit; `level` from 0 to 1 is drawn at
    /// random, so that not all hosts that are cut off together send in the same moment.
    pub fn allocate_alone(
        &mut self,
        ask: &PermitRequest,
        hosts: usize,
        level: f64,
        now: Duration,
    ) -> PermitGrant {
        let part = if hosts <= 1 {
            1.0
        } else {
            CUT_PART / hosts as f64
        };
        self.allocate_part(ask, part, level, now)
    }

    /// Allocates permits to one host of so many that all hear each other and take an equal share each.
    pub fn allocate_share(
        &mut self,
        ask: &PermitRequest,
        hosts: usize,
        level: f64,
        now: Duration,
    ) -> PermitGrant {
        self.allocate_part(ask, 1.0 / hosts.max(1) as f64, level, now)
    }

    // `part` of a server's limit is this host's.
    fn allocate_part(
        &mut self,
        ask: &PermitRequest,
        part: f64,
        level: f64,
        now: Duration,
    ) -> PermitGrant {
        let sheets = &mut self.sheets;
        let sheet = sheets.entry(ask.server).or_insert_with(|| ServerPermits {
            saying: ask.saying,
            bucket: begun_bucket(ask.saying.limit, part, level, now),
            began: now,
            asked: now,
            urgent: (ask.rank, now),
        });
        sheet.take_saying(ask.saying, part, level, now);
        sheet.asked = now;
        match sheet.saying.limit {
            Some(limit) => sheet.deal(limit, ask, part, now),
            None => sheet.grant(ask.wanted, Duration::ZERO),
        }
    }

    /// Forgets servers of which nobody has asked for long.
    pub fn forget_old(&mut self, now: Duration) {
        self.sheets
            .retain(|_, sheet| now.saturating_sub(sheet.asked) < SHEET_LIFE);
    }

    /// Servers that are remembered.
    pub fn len(&self) -> usize {
        self.sheets.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.sheets.is_empty()
    }
}

// What was allocated before by another host is not known: as much as may be at once.
fn begun_bucket(limit: Option<ServerLimit>, part: f64, level: f64, now: Duration) -> RateBucket {
    let burst = limit.map_or(0.0, |limit| bounds(limit, part).burst);
    RateBucket::with_level(burst + level, now)
}

/// Permits a second at a server that names a limit, and how many at once.
fn bounds(limit: ServerLimit, part: f64) -> BucketRate {
    let rate = limit.per_second().max(PERMITS_LEAST) * part;
    BucketRate {
        rate,
        burst: BURST_LEAST + BURST_SECONDS * rate,
    }
}

impl ServerPermits {
    fn take_saying(&mut self, saying: LimitSaying, part: f64, level: f64, now: Duration) {
        if saying.said <= self.saying.said {
            return;
        }
        // A server that comes to be rate-limited again has been sent whatever came.
        if self.saying.limit.is_none() && saying.limit.is_some() {
            self.bucket = begun_bucket(saying.limit, part, level, now);
        }
        self.saying = saying;
    }

    fn deal(
        &mut self,
        limit: ServerLimit,
        ask: &PermitRequest,
        part: f64,
        now: Duration,
    ) -> PermitGrant {
        let begun = match now.saturating_sub(self.began) < TAKE_OVER_TIME {
            true => TAKE_OVER_PART,
            false => 1.0,
        };
        let whole = bounds(limit, part * begun);
        let own = match self.is_less_urgent(ask.rank, now) {
            true => BucketRate {
                burst: whole.burst * LESS_URGENT_PART,
                ..whole
            },
            false => whole,
        };
        // What was allocated at a higher limit is not made up for at a lower one.
        self.bucket.cap(whole.burst + 1.0);
        if ask.wanted == 0 {
            return self.grant(0, Duration::ZERO);
        }
        if let Err(wait) = self.bucket.take(1.0, own, now) {
            return self.grant(0, wait);
        }
        let spare = whole.burst * SPARE_PART - self.bucket.level();
        let more = (spare.max(0.0) as u32).min(ask.wanted - 1);
        self.bucket.add(f64::from(more));
        assert!(
            self.bucket.level() <= whole.burst + 1.0,
            "no more permits are allocated at once than a server takes"
        );
        self.grant(1 + more, Duration::ZERO)
    }

    fn is_less_urgent(&mut self, rank: u8, now: Duration) -> bool {
        let (most, seen) = self.urgent;
        let is_less = rank > most && now.saturating_sub(seen) < URGENT_TIME;
        if !is_less {
            self.urgent = (rank, now);
        }
        is_less
    }

    fn grant(&self, permits: u32, wait: Duration) -> PermitGrant {
        PermitGrant {
            permits,
            wait,
            saying: self.saying,
        }
    }
}

/// The times of sayings as they are told: how long ago.
impl LimitSaying {
    /// A saying that is so old.
    pub fn told(limit: Option<ServerLimit>, age: Duration, now: Duration) -> Self {
        Self {
            limit,
            said: PastTime::at(now).before(age),
        }
    }

    /// How old it is.
    pub fn age(&self, now: Duration) -> Duration {
        self.said.age(now)
    }
}

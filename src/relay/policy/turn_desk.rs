//! Turns at backend servers in need, as the host deals them out that keeps them for a server.
//!
//! A plain state machine. A server in need names how many requests a second it takes from all hosts together, and one
//! host deals these out as turns, so that the bound holds wherever the requests come from. What it holds grows with the
//! servers in need that it keeps.

use {
    super::{
        loads::EngineKey, need_book::LimitSaying, past_time::PastTime, server_limit::ServerLimit,
    },
    crate::account::{BucketRate, RateBucket},
    std::{collections::BTreeMap, time::Duration},
};

/// Least turns a second that are dealt out, whatever the server names: a request in 1.7 s shows whether it still names a
/// limit, and a server that names 0 is bounded at five in four seconds.
pub const TURNS_LEAST: f64 = 0.6;

/// Turns that may be dealt out at once, as seconds of the limit and besides: requests do not come evenly. With the life of
/// a turn in a host's hands and with one keeper after another it stays under what a server allows.
const BURST_SECONDS: f64 = 0.3;
const BURST_LEAST: f64 = 0.25;

/// Part of that which is left to less urgent requests while more urgent ones come.
const LESS_URGENT_PART: f64 = 0.1;

/// Part of it up to which a host gets more turns than it needs now.
const SPARE_PART: f64 = 0.5;

/// How long more urgent requests are taken to come on.
const URGENT_TIME: Duration = Duration::from_secs(2);

/// How long a host that has come to deal out the turns at a server may not be the only one: others learn within that
/// time whom to ask. Meanwhile it deals out a part.
pub(super) const TAKE_OVER_TIME: Duration = Duration::from_secs(2);
const TAKE_OVER_PART: f64 = 0.5;

/// Part of its share of a limit that a host takes which reaches nobody who deals out turns. On the other side of a cut
/// somebody may deal out the whole; with the shares of all that are cut off it stays under what a server allows.
const CUT_PART: f64 = 0.3;

/// How long a server is remembered of which nobody asks: longer than it takes until all hosts have heard of its end.
const SHEET_LIFE: Duration = Duration::from_secs(30);

/// A host's question for turns at a server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TurnAsk {
    /// The server.
    pub server: EngineKey,
    /// What the asker knows that the server said.
    pub saying: LimitSaying,
    /// Turns that the asker has use for: one at the least, unless it only tells what it knows.
    pub wanted: u32,
    /// How urgent the request is, 0 the most.
    pub rank: u8,
}

/// The answer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TurnGrant {
    /// Turns that the asker may use up soon.
    pub turns: u32,
    /// Where there is none: when one is likely.
    pub wait: Duration,
    /// What the keeper knows that the server said.
    pub saying: LimitSaying,
}

#[derive(Debug)]
struct TurnSheet {
    saying: LimitSaying,
    bucket: RateBucket,
    began: Duration,
    asked: Duration,
    // The most urgent rank that asked lately, and when.
    urgent: (u8, Duration),
}

/// Turns at all servers that a host keeps.
#[derive(Debug, Default)]
pub struct TurnDesk {
    sheets: BTreeMap<EngineKey, TurnSheet>,
}

impl TurnDesk {
    /// Deals out turns to all hosts.
    pub fn deal(&mut self, ask: &TurnAsk, now: Duration) -> TurnGrant {
        self.deal_part(ask, 1.0, 1.0, now)
    }

    /// Deals out turns to one host alone, of so many, as a part of its share of a limit; `level` from 0 to 1 is drawn at
    /// random, so that not all hosts that are cut off together send in the same moment.
    pub fn deal_alone(
        &mut self,
        ask: &TurnAsk,
        hosts: usize,
        level: f64,
        now: Duration,
    ) -> TurnGrant {
        let part = if hosts <= 1 {
            1.0
        } else {
            CUT_PART / hosts as f64
        };
        self.deal_part(ask, part, level, now)
    }

    /// Deals out turns to one host of so many that all hear each other and take an equal share each.
    pub fn deal_share(
        &mut self,
        ask: &TurnAsk,
        hosts: usize,
        level: f64,
        now: Duration,
    ) -> TurnGrant {
        self.deal_part(ask, 1.0 / hosts.max(1) as f64, level, now)
    }

    // `part` of a server's limit is this desk's.
    fn deal_part(&mut self, ask: &TurnAsk, part: f64, level: f64, now: Duration) -> TurnGrant {
        let sheets = &mut self.sheets;
        let sheet = sheets.entry(ask.server).or_insert_with(|| TurnSheet {
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

// What was dealt out before by another host is not known: as much as may be at once.
fn begun_bucket(limit: Option<ServerLimit>, part: f64, level: f64, now: Duration) -> RateBucket {
    let burst = limit.map_or(0.0, |limit| bounds(limit, part).burst);
    RateBucket::filled(burst + level, now)
}

/// Turns a second at a server that names a limit, and how many at once.
fn bounds(limit: ServerLimit, part: f64) -> BucketRate {
    let rate = limit.per_second().max(TURNS_LEAST) * part;
    BucketRate {
        rate,
        burst: BURST_LEAST + BURST_SECONDS * rate,
    }
}

impl TurnSheet {
    fn take_saying(&mut self, saying: LimitSaying, part: f64, level: f64, now: Duration) {
        if saying.said <= self.saying.said {
            return;
        }
        // A server that comes to be in need once more has been sent whatever came.
        if self.saying.limit.is_none() && saying.limit.is_some() {
            self.bucket = begun_bucket(saying.limit, part, level, now);
        }
        self.saying = saying;
    }

    fn deal(&mut self, limit: ServerLimit, ask: &TurnAsk, part: f64, now: Duration) -> TurnGrant {
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
        // What was dealt out at a higher limit is not made up for at a lower one.
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
            "no more turns are dealt out at once than a server takes"
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

    fn grant(&self, turns: u32, wait: Duration) -> TurnGrant {
        TurnGrant {
            turns,
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

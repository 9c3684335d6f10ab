//! Which backend servers are rate-limited, as far as this host knows: those that name how many requests a second they take
//! from all hosts together; and the permits at them that this host holds.
//!
//! A plain state machine. What it holds grows with the rate-limited servers, not with those that are listed.

use {
    super::{
        loads::EngineKey,
        past_time::PastTime,
        permit_allocator::{PERMITS_LEAST, PermitGrant, PermitRequest},
        server_limit::ServerLimit,
    },
    std::{collections::BTreeMap, time::Duration},
    xxhash_rust::xxh3,
};

/// How long a permit is held that no request of this host has used: it counts as used where it was allocated.
const PERMIT_LIFE: Duration = Duration::from_millis(300);

/// How long a host goes by it that no permit is left, at the most: other hosts may leave theirs.
const EMPTY_TIME: Duration = Duration::from_millis(250);

/// Time after which a rate-limited server is sent a request although others have room, to hear whether it still is: by the host
/// that allocates the permits there, which knows whatever others heard; by others only where that one has no requests.
const LOOK_TIME: Duration = Duration::from_millis(800);
const AWAY_LOOK_TIME: Duration = Duration::from_secs(5);

/// Time whose requests are asked for together.
const ASK_AHEAD: Duration = Duration::from_millis(250);

/// Most permits that are asked for together.
const PERMITS_MOST: u32 = 16;

/// How long a limit is believed that nobody hears renewed, and its end told on: whoever sends there hears within seconds what
/// is so, and what is remembered for nobody is forgotten at last.
pub(super) const BELIEF_LIFE: Duration = Duration::from_secs(60);

/// Longest time that a caller is told to stay away: a server's limit may end any time.
const WAIT_MOST: Duration = Duration::from_secs(30);

/// How often a limit that changes is shown to operators.
const SHOW_PAUSE: Duration = Duration::from_secs(1);

/// What a server said of its limit, and since when that is surely so.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitSaying {
    /// The limit; none where it named none.
    pub limit: Option<ServerLimit>,
    /// When the request was sent whose answer said so. Of two answers the one to the later request is the newer, in
    /// whichever order they are read.
    pub said: PastTime,
}

/// Whether a request may be sent to a server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum PermitState {
    /// The server is not rate-limited.
    Free,
    /// It is rate-limited, and a permit is held.
    Held,
    /// It is rate-limited, and its owner is to be asked.
    Ask,
    /// No permit is left; one is likely after this time.
    Empty(Duration),
}

/// When a permit is likely, and at which server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PermitWait {
    /// The server.
    pub server: EngineKey,
    /// After how long.
    pub time: Duration,
}

impl PermitWait {
    /// The shorter one.
    pub fn least(one: Option<Self>, other: Self) -> Self {
        match one {
            Some(one) if one.time <= other.time => one,
            _ => other,
        }
    }
}

// That no permit is left, for requests of a rank or less urgent ones.
#[derive(Debug, Clone, Copy)]
struct DeniedPermits {
    rank: u8,
    until: Duration,
    // When the next caller that is sent away is to come back.
    next: Duration,
}

// What is known of a rate-limited server.
#[derive(Debug, Clone)]
struct KnownLimit {
    saying: LimitSaying,
    limit: ServerLimit,
    // The limit that operators were shown last, and when.
    shown: ServerLimit,
    shown_at: Duration,
    held: u32,
    held_until: Duration,
    empty: Option<DeniedPermits>,
    // This host allocates the permits there itself.
    is_own: bool,
    // Permits used in the present period of asking ahead and in the one before, and when the present one began.
    used: u32,
    used_before: u32,
    period: Duration,
}

impl KnownLimit {
    fn new(saying: LimitSaying, limit: ServerLimit, now: Duration) -> Self {
        Self {
            saying,
            limit,
            shown: limit,
            shown_at: now,
            held: 0,
            held_until: now,
            empty: None,
            is_own: false,
            used: 0,
            used_before: 0,
            period: now,
        }
    }

    fn take(&mut self, saying: LimitSaying, limit: ServerLimit) {
        // More than before: those who were told that nothing is left may ask again.
        if limit > self.limit {
            self.empty = None;
        }
        (self.saying, self.limit) = (saying, limit);
    }

    fn held(&self, now: Duration) -> u32 {
        match now < self.held_until {
            true => self.held,
            false => 0,
        }
    }

    fn empty(&self, rank: u8, now: Duration) -> Option<DeniedPermits> {
        self.empty
            .filter(|empty| now < empty.until && rank >= empty.rank)
    }

    fn note_used(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.period);
        if passed >= ASK_AHEAD {
            self.used_before = if passed < ASK_AHEAD * 2 { self.used } else { 0 };
            self.used = 0;
            self.period = now;
        }
        self.used += 1;
    }
}

/// The rate-limited servers.
#[derive(Debug, Default)]
pub struct LimitBook {
    // Another one at each host.
    seed: u64,
    limits: BTreeMap<EngineKey, KnownLimit>,
}

impl LimitBook {
    /// The rate-limited servers as a host of this name knows them: none yet.
    pub fn new(host: &str) -> Self {
        Self {
            seed: xxh3::xxh3_64(host.as_bytes()),
            limits: BTreeMap::new(),
        }
    }

    /// The rate-limited servers.
    pub fn servers(&self) -> Vec<EngineKey> {
        self.limits.keys().copied().collect()
    }

    /// Whether this host allocates the permits at a server.
    pub fn set_own(&mut self, server: EngineKey, is_own: bool) {
        if let Some(known) = self.limits.get_mut(&server) {
            known.is_own = is_own;
        }
    }

    /// The place of a server in the order in which this host goes to those that are alike otherwise: those without a limit first,
    /// and those that have not said for a while whether they still are; then those at which it allocates the permits itself,
    /// without a question; then each host goes to others first.
    pub fn order(&self, server: EngineKey, now: Duration) -> u64 {
        let Some(known) = self.limits.get(&server) else {
            return 0;
        };
        let look_time = if known.is_own {
            LOOK_TIME
        } else {
            AWAY_LOOK_TIME
        };
        match known.is_own {
            _ if known.saying.age(now) >= look_time => 0,
            true => 1,
            false => xxh3::xxh3_64_with_seed(&server.0.to_le_bytes(), self.seed).max(2),
        }
    }

    /// The limit that a server names; none where it is not rate-limited as far as is known.
    pub fn limit(&self, server: EngineKey) -> Option<ServerLimit> {
        self.limits.get(&server).map(|known| known.limit)
    }

    /// How long ago the request was sent whose answer last told of a server's limit; zero where none is known.
    pub fn age(&self, server: EngineKey, now: Duration) -> Duration {
        let known = self.limits.get(&server);
        known.map_or(Duration::ZERO, |known| known.saying.age(now))
    }

    /// Permits at a server that this host holds.
    pub fn held(&self, server: EngineKey, now: Duration) -> u32 {
        self.limits.get(&server).map_or(0, |known| known.held(now))
    }

    /// How many servers are rate-limited.
    pub fn len(&self) -> usize {
        self.limits.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.limits.is_empty()
    }

    /// Takes what a server said, from its own answer or from another host. Gives the limit that operators were shown
    /// before, where they are to be shown another one now.
    pub fn take(
        &mut self,
        server: EngineKey,
        saying: LimitSaying,
        now: Duration,
    ) -> Option<Option<ServerLimit>> {
        let Some(known) = self.limits.get_mut(&server) else {
            let limit = saying.limit?;
            self.limits
                .insert(server, KnownLimit::new(saying, limit, now));
            return Some(None);
        };
        if known.saying.said > saying.said {
            return None;
        }
        let shown = known.shown;
        let Some(limit) = saying.limit else {
            self.limits.remove(&server);
            return Some(Some(shown));
        };
        known.take(saying, limit);
        let is_due = now.saturating_sub(known.shown_at) >= SHOW_PAUSE;
        if limit == shown || !is_due {
            return None;
        }
        (known.shown, known.shown_at) = (limit, now);
        Some(Some(shown))
    }

    /// Whether a request of a rank may be sent to a server now.
    pub fn permit(&self, server: EngineKey, rank: u8, now: Duration) -> PermitState {
        let Some(known) = self.limits.get(&server) else {
            return PermitState::Free;
        };
        if known.held(now) > 0 {
            return PermitState::Held;
        }
        match known.empty(rank, now) {
            Some(empty) => PermitState::Empty(empty.next.saturating_sub(now).min(WAIT_MOST)),
            None => PermitState::Ask,
        }
    }

    /// Uses a permit that is held, if there is one.
    pub fn use_permit(&mut self, server: EngineKey, now: Duration) -> bool {
        let Some(known) = self.limits.get_mut(&server) else {
            return false;
        };
        if known.held(now) == 0 {
            return false;
        }
        known.held -= 1;
        known.note_used(now);
        true
    }

    /// A permit was taken and no request was sent for it: the next one may have it.
    pub fn give_back(&mut self, server: EngineKey, now: Duration) {
        if let Some(known) = self.limits.get_mut(&server) {
            known.held = known.held(now) + 1;
            known.held_until = known.held_until.max(now + PERMIT_LIFE);
        }
    }

    /// What the owner of a server's permits is to be asked for a request of a rank; nothing where the server is not rate-limited.
    pub fn ask(&self, server: EngineKey, rank: u8, now: Duration) -> Option<PermitRequest> {
        let known = self.limits.get(&server)?;
        let is_recent = now.saturating_sub(known.period) < ASK_AHEAD * 2;
        let used = if is_recent {
            known.used.max(known.used_before)
        } else {
            0
        };
        Some(PermitRequest {
            server,
            saying: known.saying,
            wanted: used.clamp(1, PERMITS_MOST),
            rank,
        })
    }

    /// Takes the owner's answer; what the server said is taken apart.
    pub fn take_grant(&mut self, server: EngineKey, rank: u8, grant: &PermitGrant, now: Duration) {
        let Some(known) = self.limits.get_mut(&server) else {
            return;
        };
        known.held = known.held(now) + grant.permits;
        if grant.permits > 0 {
            known.held_until = now + PERMIT_LIFE;
            known.empty = None;
            return;
        }
        known.empty = Some(DeniedPermits {
            rank,
            until: now + grant.wait.min(EMPTY_TIME),
            next: now + grant.wait,
        });
    }

    /// A request is sent away for want of a permit; those after it are told a later time, each one its own.
    pub fn note_sent_away(&mut self, server: EngineKey) {
        let Some(known) = self.limits.get_mut(&server) else {
            return;
        };
        let pause = 1.0 / known.limit.per_second().max(PERMITS_LEAST);
        if let Some(empty) = &mut known.empty {
            empty.next += Duration::from_secs_f64(pause);
        }
    }

    /// Forgets limits that nobody has heard renewed for long; gives whose they were.
    pub fn forget_old(&mut self, now: Duration) -> Vec<EngineKey> {
        let old = |known: &KnownLimit| known.saying.age(now) >= BELIEF_LIFE;
        let limits = self.limits.iter();
        let gone: Vec<EngineKey> = limits
            .filter(|(_, known)| old(known))
            .map(|(server, _)| *server)
            .collect();
        for server in &gone {
            self.limits.remove(server);
        }
        gone
    }
}

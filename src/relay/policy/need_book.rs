//! Which backend servers are in need, as far as this host knows: those that name how many requests a second they take
//! from all hosts together; and the turns at them that this host holds.
//!
//! A plain state machine. What it holds grows with the servers in need, not with those that are listed.

use {
    super::{
        loads::EngineKey,
        past_time::PastTime,
        server_limit::ServerLimit,
        turn_desk::{TURNS_LEAST, TurnAsk, TurnGrant},
    },
    std::{collections::BTreeMap, time::Duration},
    xxhash_rust::xxh3,
};

/// How long a turn is held that no request of this host has used: it counts as used where it was dealt out.
const TURN_LIFE: Duration = Duration::from_millis(300);

/// How long a host goes by it that no turn is left, at the most: other hosts may leave theirs.
const EMPTY_TIME: Duration = Duration::from_millis(250);

/// Time after which a server in need is sent a request although others have room, to hear whether it still is: by the host
/// that deals out the turns there, which knows whatever others heard; by others only where that one has no requests.
const LOOK_TIME: Duration = Duration::from_millis(800);
const AWAY_LOOK_TIME: Duration = Duration::from_secs(5);

/// Time whose requests are asked for together.
const ASK_AHEAD: Duration = Duration::from_millis(250);

/// Most turns that are asked for together.
const TURNS_MOST: u32 = 16;

/// How long a limit is believed that nobody hears renewed, and its end told on: whoever sends there hears within seconds what
/// is so, and what is remembered for nobody is forgotten at last.
pub(super) const BELIEF_LIFE: Duration = Duration::from_secs(60);

/// Longest time that a caller is told to stay away: a server's need may end any time.
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
pub enum TurnState {
    /// The server is in no need.
    Free,
    /// It is in need, and a turn is held.
    Held,
    /// It is in need, and its keeper is to be asked.
    Ask,
    /// No turn is left; one is likely after this time.
    Empty(Duration),
}

/// When a turn is likely, and at which server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TurnWait {
    /// The server.
    pub server: EngineKey,
    /// After how long.
    pub time: Duration,
}

impl TurnWait {
    /// The shorter one.
    pub fn least(one: Option<Self>, other: Self) -> Self {
        match one {
            Some(one) if one.time <= other.time => one,
            _ => other,
        }
    }
}

// That no turn is left, for requests of a rank or less urgent ones.
#[derive(Debug, Clone, Copy)]
struct EmptyTurns {
    rank: u8,
    until: Duration,
    // When the next caller that is sent away is to come back.
    next: Duration,
}

// What is known of a server in need.
#[derive(Debug, Clone)]
struct ServerNeed {
    saying: LimitSaying,
    limit: ServerLimit,
    // The limit that operators were shown last, and when.
    shown: ServerLimit,
    shown_at: Duration,
    held: u32,
    held_until: Duration,
    empty: Option<EmptyTurns>,
    // This host deals out the turns there itself.
    is_own: bool,
    // Turns used in the present period of asking ahead and in the one before, and when the present one began.
    used: u32,
    used_before: u32,
    period: Duration,
}

impl ServerNeed {
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

    fn empty(&self, rank: u8, now: Duration) -> Option<EmptyTurns> {
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

/// The servers in need.
#[derive(Debug, Default)]
pub struct NeedBook {
    // Another one at each host.
    seed: u64,
    needs: BTreeMap<EngineKey, ServerNeed>,
}

impl NeedBook {
    /// The servers in need as a host of this name knows them: none yet.
    pub fn new(host: &str) -> Self {
        Self {
            seed: xxh3::xxh3_64(host.as_bytes()),
            needs: BTreeMap::new(),
        }
    }

    /// The servers in need.
    pub fn servers(&self) -> Vec<EngineKey> {
        self.needs.keys().copied().collect()
    }

    /// Whether this host deals out the turns at a server.
    pub fn set_own(&mut self, server: EngineKey, is_own: bool) {
        if let Some(need) = self.needs.get_mut(&server) {
            need.is_own = is_own;
        }
    }

    /// The place of a server in the order in which this host goes to those that are alike otherwise: those in no need first,
    /// and those that have not said for a while whether they still are; then those at which it deals out the turns itself,
    /// without a question; then each host goes to others first.
    pub fn order(&self, server: EngineKey, now: Duration) -> u64 {
        let Some(need) = self.needs.get(&server) else {
            return 0;
        };
        let look_time = if need.is_own {
            LOOK_TIME
        } else {
            AWAY_LOOK_TIME
        };
        match need.is_own {
            _ if need.saying.age(now) >= look_time => 0,
            true => 1,
            false => xxh3::xxh3_64_with_seed(&server.0.to_le_bytes(), self.seed).max(2),
        }
    }

    /// The limit that a server names; none where it is in no need as far as is known.
    pub fn limit(&self, server: EngineKey) -> Option<ServerLimit> {
        self.needs.get(&server).map(|need| need.limit)
    }

    /// How long ago the request was sent whose answer last told of a server's need; zero where none is known.
    pub fn age(&self, server: EngineKey, now: Duration) -> Duration {
        let need = self.needs.get(&server);
        need.map_or(Duration::ZERO, |need| need.saying.age(now))
    }

    /// Turns at a server that this host holds.
    pub fn held(&self, server: EngineKey, now: Duration) -> u32 {
        self.needs.get(&server).map_or(0, |need| need.held(now))
    }

    /// How many servers are in need.
    pub fn len(&self) -> usize {
        self.needs.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.needs.is_empty()
    }

    /// Takes what a server said, from its own answer or from another host. Gives the limit that operators were shown
    /// before, where they are to be shown another one now.
    pub fn take(
        &mut self,
        server: EngineKey,
        saying: LimitSaying,
        now: Duration,
    ) -> Option<Option<ServerLimit>> {
        let Some(need) = self.needs.get_mut(&server) else {
            let limit = saying.limit?;
            self.needs
                .insert(server, ServerNeed::new(saying, limit, now));
            return Some(None);
        };
        if need.saying.said > saying.said {
            return None;
        }
        let shown = need.shown;
        let Some(limit) = saying.limit else {
            self.needs.remove(&server);
            return Some(Some(shown));
        };
        need.take(saying, limit);
        let is_due = now.saturating_sub(need.shown_at) >= SHOW_PAUSE;
        if limit == shown || !is_due {
            return None;
        }
        (need.shown, need.shown_at) = (limit, now);
        Some(Some(shown))
    }

    /// Whether a request of a rank may be sent to a server now.
    pub fn turn(&self, server: EngineKey, rank: u8, now: Duration) -> TurnState {
        let Some(need) = self.needs.get(&server) else {
            return TurnState::Free;
        };
        if need.held(now) > 0 {
            return TurnState::Held;
        }
        match need.empty(rank, now) {
            Some(empty) => TurnState::Empty(empty.next.saturating_sub(now).min(WAIT_MOST)),
            None => TurnState::Ask,
        }
    }

    /// Uses a turn that is held, if there is one.
    pub fn use_turn(&mut self, server: EngineKey, now: Duration) -> bool {
        let Some(need) = self.needs.get_mut(&server) else {
            return false;
        };
        if need.held(now) == 0 {
            return false;
        }
        need.held -= 1;
        need.note_used(now);
        true
    }

    /// A turn was taken and no request was sent for it: the next one may have it.
    pub fn give_back(&mut self, server: EngineKey, now: Duration) {
        if let Some(need) = self.needs.get_mut(&server) {
            need.held = need.held(now) + 1;
            need.held_until = need.held_until.max(now + TURN_LIFE);
        }
    }

    /// What the keeper of a server's turns is to be asked for a request of a rank; nothing where the server is in no need.
    pub fn ask(&self, server: EngineKey, rank: u8, now: Duration) -> Option<TurnAsk> {
        let need = self.needs.get(&server)?;
        let is_recent = now.saturating_sub(need.period) < ASK_AHEAD * 2;
        let used = if is_recent {
            need.used.max(need.used_before)
        } else {
            0
        };
        Some(TurnAsk {
            server,
            saying: need.saying,
            wanted: used.clamp(1, TURNS_MOST),
            rank,
        })
    }

    /// Takes the keeper's answer; what the server said is taken apart.
    pub fn take_grant(&mut self, server: EngineKey, rank: u8, grant: &TurnGrant, now: Duration) {
        let Some(need) = self.needs.get_mut(&server) else {
            return;
        };
        need.held = need.held(now) + grant.turns;
        if grant.turns > 0 {
            need.held_until = now + TURN_LIFE;
            need.empty = None;
            return;
        }
        need.empty = Some(EmptyTurns {
            rank,
            until: now + grant.wait.min(EMPTY_TIME),
            next: now + grant.wait,
        });
    }

    /// A request is sent away for want of a turn; those after it are told a later time, each one its own.
    pub fn note_sent_away(&mut self, server: EngineKey) {
        let Some(need) = self.needs.get_mut(&server) else {
            return;
        };
        let pause = 1.0 / need.limit.per_second().max(TURNS_LEAST);
        if let Some(empty) = &mut need.empty {
            empty.next += Duration::from_secs_f64(pause);
        }
    }

    /// Forgets limits that nobody has heard renewed for long; gives whose they were.
    pub fn forget_old(&mut self, now: Duration) -> Vec<EngineKey> {
        let old = |need: &ServerNeed| need.saying.age(now) >= BELIEF_LIFE;
        let needs = self.needs.iter();
        let gone: Vec<EngineKey> = needs
            .filter(|(_, need)| old(need))
            .map(|(server, _)| *server)
            .collect();
        for server in &gone {
            self.needs.remove(server);
        }
        gone
    }
}

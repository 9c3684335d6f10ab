//! Servers of plain services that name how many calls a second they take from all hosts together, on the product's own
//! interface.
//!
//! Hosts of this interface do not deal out turns to each other: each takes an equal share of what a server names, by the
//! number of hosts.

use {
    super::servers::ServerInfo,
    crate::{
        clock::HostClock,
        relay::{EngineKey, LimitMark, LimitSaying, NeedBook, ServerHeaders, TurnDesk, TurnState},
    },
    faststr::FastStr,
    http::{HeaderMap, HeaderName},
    std::{
        sync::{Mutex, MutexGuard},
        time::Duration,
    },
};

/// What a server's answers say of it: the calls a second that it takes from all hosts together, and that it is leaving.
pub const SERVER_HEADERS: ServerHeaders = ServerHeaders {
    limit: HeaderName::from_static("bayplank-server-limit"),
    leaving: HeaderName::from_static("bayplank-server-leaving"),
};

// All calls of this interface are alike urgent.
const RANK: u8 = 0;

#[derive(Debug)]
struct OwnTurns {
    needs: NeedBook,
    desk: TurnDesk,
}

/// Which servers are in need, and this host's turns there.
#[derive(Debug)]
pub struct ServerNeeds {
    turns: Mutex<OwnTurns>,
    clock: HostClock,
}

impl ServerNeeds {
    /// None is known to be in need.
    pub fn new(host: &str, clock: HostClock) -> Self {
        let turns = OwnTurns {
            needs: NeedBook::new(host),
            desk: TurnDesk::default(),
        };
        Self {
            turns: Mutex::new(turns),
            clock,
        }
    }

    fn turns(&self) -> MutexGuard<'_, OwnTurns> {
        self.turns.lock().expect("server needs")
    }

    /// Time on the clock that sends are noted by.
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Takes what an answer says; the call was sent at `sent` and ran well or not.
    pub fn note(&self, server: &ServerInfo, headers: &HeaderMap, ran_well: bool, sent: Duration) {
        let values = headers.get_all(&SERVER_HEADERS.limit).iter();
        let limit = match LimitMark::read(values.map(|value| value.as_bytes())) {
            LimitMark::Named(limit) => Some(limit),
            LimitMark::Unsaid if ran_well => None,
            LimitMark::Unsaid => return,
            LimitMark::Unreadable => {
                log::debug!("{} names a limit that is none", server.name);
                return;
            }
        };
        let now = self.clock.now();
        let saying = LimitSaying::told(limit, now.saturating_sub(sent), now);
        self.turns().needs.take(key_of(server), saying, now);
    }

    /// Takes a turn at a server for one of so many hosts; otherwise when one is likely. A server in no need takes all.
    pub fn take_turn(&self, server: &ServerInfo, hosts: usize) -> Result<(), Duration> {
        let now = self.clock.now();
        let server = key_of(server);
        let turns = &mut *self.turns();
        turns.needs.forget_old(now);
        turns.desk.forget_old(now);
        if turns.needs.turn(server, RANK, now) == TurnState::Ask
            && let Some(ask) = turns.needs.ask(server, RANK, now)
        {
            let grant = turns.desk.deal_share(&ask, hosts, rand::random(), now);
            turns.needs.take_grant(server, RANK, &grant, now);
        }
        match turns.needs.turn(server, RANK, now) {
            TurnState::Free => Ok(()),
            TurnState::Held if turns.needs.use_turn(server, now) => Ok(()),
            TurnState::Empty(wait) => {
                turns.needs.note_sent_away(server);
                Err(wait)
            }
            TurnState::Held | TurnState::Ask => Err(Duration::ZERO),
        }
    }

    /// The limits that are believed of some servers, for operators: calls a second of all hosts.
    pub fn limits<'a>(&self, servers: impl Iterator<Item = &'a ServerInfo>) -> Vec<(FastStr, f64)> {
        let turns = self.turns();
        let limit = |server: &ServerInfo| {
            let limit = turns.needs.limit(key_of(server))?;
            Some((server.name.clone(), limit.per_second()))
        };
        servers.filter_map(limit).collect()
    }
}

// The platform of this interface does not tell runs of a server under one name apart.
fn key_of(server: &ServerInfo) -> EngineKey {
    EngineKey::of(&server.name)
}

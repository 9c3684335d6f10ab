//! Servers of plain services that name how many calls a second they take from all hosts together, on the product's own
//! interface.
//!
//! Hosts of this interface do not deal out turns to each other: each takes an equal share of what a server names, by the
//! number of hosts.

use {
    super::servers::ServerInfo,
    crate::{
        clock::HostClock,
        event,
        relay::{
            self, AvailabilityBook, EngineKey, LimitMark, LimitSaying, NeedBook,
            ServerAvailability, ServerHeaders, ServerMarks, ServerRun, TurnDesk, TurnState,
        },
    },
    faststr::FastStr,
    http::{HeaderMap, HeaderName, StatusCode},
    std::{
        collections::HashSet,
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
    availability: AvailabilityBook,
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
            availability: AvailabilityBook::default(),
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

    /// Takes what an answer says of its server; the call was sent at `sent`.
    pub fn note(
        &self,
        server: &ServerInfo,
        status: StatusCode,
        headers: &HeaderMap,
        sent: Duration,
    ) {
        let marks = relay::read_server_marks(status, headers, &SERVER_HEADERS);
        self.note_availability(server, &marks);
        let ran_well = status.is_success();
        let limit = match marks.limit {
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

    fn note_availability(&self, server: &ServerInfo, marks: &ServerMarks) {
        let now = self.clock.now();
        let mut turns = self.turns();
        let change = turns.availability.note(&server.run(), marks, now);
        drop(turns);
        if change.is_leaving {
            event::emit(
                &event::SERVER_LEAVING,
                &[("backend", &server.name), ("from", &"answer")],
            );
        }
        if let Some(time) = change.backoff {
            event::emit(
                &event::SERVER_BACKOFF,
                &[
                    ("backend", &server.name),
                    ("from", &"answer"),
                    ("backoff_ms", &time.as_millis()),
                ],
            );
        }
    }

    /// Whether a server takes new calls of this host, as far as its answers say.
    pub fn availability(&self, server: &ServerInfo) -> ServerAvailability {
        let now = self.clock.now();
        self.turns().availability.availability(&server.run(), now)
    }

    /// Evicts what is no longer of use of servers that are not listed.
    pub fn evict_expired(&self, listed: &[ServerInfo]) {
        let now = self.clock.now();
        let runs: HashSet<ServerRun> = listed.iter().map(ServerInfo::run).collect();
        let mut turns = self.turns();
        let ended = turns
            .availability
            .evict_expired(|run| runs.contains(run), now);
        drop(turns);
        for run in ended {
            event::emit(&event::SERVER_BACKOFF_ENDED, &[("backend", &run.id)]);
        }
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

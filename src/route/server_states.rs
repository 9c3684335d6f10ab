//! Servers of plain services that name how many calls a second they take from all hosts together, on the product's own
//! interface.
//!
//! Hosts of this interface do not allocate permits to each other: each takes an equal share of what a server names, by the
//! number of hosts.

use {
    super::servers::ServerInfo,
    crate::{
        clock::HostClock,
        event,
        relay::{
            self, AvailabilityBook, EngineKey, LimitBook, LimitMark, LimitSaying, PermitAllocator,
            PermitState, ServerAvailability, ServerHeaders, ServerMarks, ServerRun,
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
struct KnownStates {
    limits: LimitBook,
    allocator: PermitAllocator,
    availability: AvailabilityBook,
}

/// Which servers are rate-limited, and this host's permits there.
#[derive(Debug)]
pub struct ServerStates {
    permits: Mutex<KnownStates>,
    clock: HostClock,
}

impl ServerStates {
    /// None is known to be rate-limited.
    pub fn new(host: &str, clock: HostClock) -> Self {
        let permits = KnownStates {
            limits: LimitBook::new(host),
            allocator: PermitAllocator::default(),
            availability: AvailabilityBook::default(),
        };
        Self {
            permits: Mutex::new(permits),
            clock,
        }
    }

    fn permits(&self) -> MutexGuard<'_, KnownStates> {
        self.permits.lock().expect("server limits")
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
        self.permits().limits.take(key_of(server), saying, now);
    }

    fn note_availability(&self, server: &ServerInfo, marks: &ServerMarks) {
        let now = self.clock.now();
        let mut permits = self.permits();
        let change = permits.availability.note(&server.run(), marks, now);
        drop(permits);
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
        self.permits().availability.availability(&server.run(), now)
    }

    /// Evicts what is no longer of use of servers that are not listed.
    pub fn evict_expired(&self, listed: &[ServerInfo]) {
        let now = self.clock.now();
        let runs: HashSet<ServerRun> = listed.iter().map(ServerInfo::run).collect();
        let mut permits = self.permits();
        let ended = permits
            .availability
            .evict_expired(|run| runs.contains(run), now);
        drop(permits);
        for run in ended {
            event::emit(&event::SERVER_BACKOFF_ENDED, &[("backend", &run.id)]);
        }
    }

    /// Takes a permit at a server for one of so many hosts; otherwise when one is likely. A server without a limit takes all.
    pub fn take_permit(&self, server: &ServerInfo, hosts: usize) -> Result<(), Duration> {
        let now = self.clock.now();
        let server = key_of(server);
        let permits = &mut *self.permits();
        permits.limits.forget_old(now);
        permits.allocator.forget_old(now);
        if permits.limits.permit(server, RANK, now) == PermitState::Ask
            && let Some(ask) = permits.limits.ask(server, RANK, now)
        {
            let grant = permits
                .allocator
                .allocate_share(&ask, hosts, rand::random(), now);
            permits.limits.take_grant(server, RANK, &grant, now);
        }
        match permits.limits.permit(server, RANK, now) {
            PermitState::Free => Ok(()),
            PermitState::Held if permits.limits.use_permit(server, now) => Ok(()),
            PermitState::Empty(wait) => {
                permits.limits.note_sent_away(server);
                Err(wait)
            }
            PermitState::Held | PermitState::Ask => Err(Duration::ZERO),
        }
    }

    /// The limits that are believed of some servers, for operators: calls a second of all hosts.
    pub fn limits<'a>(&self, servers: impl Iterator<Item = &'a ServerInfo>) -> Vec<(FastStr, f64)> {
        let permits = self.permits();
        let limit = |server: &ServerInfo| {
            let limit = permits.limits.limit(key_of(server))?;
            Some((server.name.clone(), limit.per_second()))
        };
        servers.filter_map(limit).collect()
    }
}

// The platform of this interface does not tell runs of a server under one name apart.
fn key_of(server: &ServerInfo) -> EngineKey {
    EngineKey::of(&server.name)
}

//! What answers of plain services' servers say about them, on the product's own interface: how many calls a second they take
//! from all hosts together, that they are leaving, that this host is to back off.
//!
//! Hosts of this interface do not allocate permits to each other: each takes an equal share of what a server names, by the
//! number of hosts.

use {
    super::servers::ServerInfo,
    crate::{
        clock::HostClock,
        event,
        relay::{
            self, AvailabilityTracker, EngineKey, LimitSignal, LimitTracker, PermitAllocator,
            PermitState, ReportedLimit, ServerAvailability, ServerHeaders, ServerRun,
            ServerSignals,
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
    limits: LimitTracker,
    allocator: PermitAllocator,
    availability: AvailabilityTracker,
}

/// Which servers are rate-limited, leaving or waiting for a backoff to end, and this host's permits.
#[derive(Debug)]
pub struct ServerStates {
    known: Mutex<KnownStates>,
    clock: HostClock,
}

impl ServerStates {
    /// Nothing is known yet.
    pub fn new(host: &str, clock: HostClock) -> Self {
        let known = KnownStates {
            limits: LimitTracker::new(host),
            allocator: PermitAllocator::default(),
            availability: AvailabilityTracker::default(),
        };
        Self {
            known: Mutex::new(known),
            clock,
        }
    }

    fn known(&self) -> MutexGuard<'_, KnownStates> {
        self.known.lock().expect("server states")
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
            LimitSignal::Limited(limit) => Some(limit),
            LimitSignal::Absent if ran_well => None,
            LimitSignal::Absent => return,
            LimitSignal::Invalid => {
                log::debug!("{} names a limit that is none", server.name);
                return;
            }
        };
        let now = self.clock.now();
        let saying = ReportedLimit::from_age(limit, now.saturating_sub(sent), now);
        self.known().limits.update(key_of(server), saying, now);
    }

    fn note_availability(&self, server: &ServerInfo, marks: &ServerSignals) {
        let now = self.clock.now();
        let mut known = self.known();
        let change = known.availability.record(&server.run(), marks, now);
        drop(known);
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
        self.known().availability.availability(&server.run(), now)
    }

    /// Evicts what is no longer of use of servers that are not listed.
    pub fn evict_expired(&self, listed: &[ServerInfo]) {
        let now = self.clock.now();
        let runs: HashSet<ServerRun> = listed.iter().map(ServerInfo::run).collect();
        let mut known = self.known();
        let ended = known
            .availability
            .evict_expired(|run| runs.contains(run), now);
        drop(known);
        for run in ended {
            event::emit(&event::SERVER_BACKOFF_ENDED, &[("backend", &run.id)]);
        }
    }

    /// Takes a permit at a server for one of so many hosts; otherwise when one is likely. A server without a limit takes all.
    pub fn take_permit(&self, server: &ServerInfo, hosts: usize) -> Result<(), Duration> {
        let now = self.clock.now();
        let server = key_of(server);
        let known = &mut *self.known();
        known.limits.remove_expired(now);
        known.allocator.remove_expired(now);
        if known.limits.permit(server, RANK, now) == PermitState::MustRequest
            && let Some(ask) = known.limits.permit_request(server, RANK, now)
        {
            let grant = known
                .allocator
                .allocate_share(&ask, hosts, rand::random(), now);
            known.limits.apply_grant(server, RANK, &grant, now);
        }
        match known.limits.permit(server, RANK, now) {
            PermitState::Unlimited => Ok(()),
            PermitState::Held if known.limits.use_permit(server, now) => Ok(()),
            PermitState::Denied(wait) => {
                known.limits.record_rejection(server);
                Err(wait)
            }
            PermitState::Held | PermitState::MustRequest => Err(Duration::ZERO),
        }
    }

    /// The limits that are believed of some servers, for operators: calls a second of all hosts.
    pub fn limits<'a>(&self, servers: impl Iterator<Item = &'a ServerInfo>) -> Vec<(FastStr, f64)> {
        let known = self.known();
        let limit = |server: &ServerInfo| {
            let limit = known.limits.limit(key_of(server))?;
            Some((server.name.clone(), limit.per_second()))
        };
        servers.filter_map(limit).collect()
    }
}

// The platform of this interface does not tell runs of a server under one name apart.
fn key_of(server: &ServerInfo) -> EngineKey {
    EngineKey::of(&server.name)
}

//! Tracks what servers of plain services report in their responses through the product's own headers: their
//! rate limit across all hosts, that they are leaving, and that this host should back off.
//!
//! Hosts do not allocate permits to each other here. Each host takes an equal share of a server's limit, by
//! the number of hosts.

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

/// Response headers in which a server reports its rate limit in calls per second across all hosts, and that
/// it is leaving.
pub const SERVER_HEADERS: ServerHeaders = ServerHeaders {
    limit: HeaderName::from_static("bayplank-server-limit"),
    leaving: HeaderName::from_static("bayplank-server-leaving"),
};

// All calls have the same priority here.
const CALL_PRIORITY: u8 = 0;

#[derive(Debug)]
struct KnownStates {
    limits: LimitTracker,
    allocator: PermitAllocator,
    availability: AvailabilityTracker,
}

/// Rate limits, availability and backoffs of servers, and the permits of this host.
#[derive(Debug)]
pub struct ServerStates {
    known: Mutex<KnownStates>,
    clock: HostClock,
}

impl ServerStates {
    /// Creates an empty state.
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
        self.known.lock().expect("server states lock")
    }

    /// Current time on the clock of the send times.
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Processes the headers of a response; its request was sent at `sent`.
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
                log::debug!(
                    "backend server {} sent an unreadable rate limit",
                    server.name
                );
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

    /// Availability of a server for new calls of this host, as reported in its responses.
    pub fn availability(&self, server: &ServerInfo) -> ServerAvailability {
        let now = self.clock.now();
        self.known().availability.availability(&server.run(), now)
    }

    /// Evicts outdated state of servers that are not listed.
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

    /// Takes a permit for a server whose limit is shared by `hosts` hosts, or returns when one is likely to
    /// be available. A server without a limit accepts every call.
    pub fn take_permit(&self, server: &ServerInfo, hosts: usize) -> Result<(), Duration> {
        let now = self.clock.now();
        let server = key_of(server);
        let known = &mut *self.known();
        known.limits.remove_expired(now);
        known.allocator.remove_expired(now);
        if known.limits.permit(server, CALL_PRIORITY, now) == PermitState::MustRequest
            && let Some(ask) = known.limits.permit_request(server, CALL_PRIORITY, now)
        {
            let grant = known
                .allocator
                .allocate_share(&ask, hosts, rand::random(), now);
            known.limits.apply_grant(server, CALL_PRIORITY, &grant, now);
        }
        match known.limits.permit(server, CALL_PRIORITY, now) {
            PermitState::Unlimited => Ok(()),
            PermitState::Held if known.limits.use_permit(server, now) => Ok(()),
            PermitState::Denied(wait) => {
                known.limits.record_rejection(server);
                Err(wait)
            }
            PermitState::Held | PermitState::MustRequest => Err(Duration::ZERO),
        }
    }

    /// Effective limits of some servers, in calls per second across all hosts, for operators.
    pub fn limits<'a>(&self, servers: impl Iterator<Item = &'a ServerInfo>) -> Vec<(FastStr, f64)> {
        let known = self.known();
        let limit = |server: &ServerInfo| {
            let limit = known.limits.limit(key_of(server))?;
            Some((server.name.clone(), limit.per_second()))
        };
        servers.filter_map(limit).collect()
    }
}

// The platform does not distinguish runs of a server under the same name here.
fn key_of(server: &ServerInfo) -> EngineKey {
    EngineKey::of(&server.name)
}

//! The plain servers that are short of places, as one host knows them.
//!
//! A state machine without I/O. A request to any other server needs no place, and no message.

use {
    crate::relay::policy::loads::EngineKey,
    faststr::FastStr,
    std::{collections::BTreeMap, time::Duration},
};

/// How long a server counts as contended after it declined a request or another host said so.
pub const CONTENDED_TTL: Duration = Duration::from_secs(6);

/// How long a host relies on what it was told of a server's wait, since requests of other hosts end meanwhile.
const ROOM_MEMORY: Duration = Duration::from_millis(50);

/// Maximum number of contended servers that a host keeps. A fleet with more is short of room everywhere, and learns
/// it from the answers to its requests.
const MAX_CONTENDED: usize = 256;

/// A response that takes this many times as long as the server's quick ones is a slow one.
const SLOW_FACTOR: f64 = 4.0;

/// Slow responses within [`SLOW_WINDOW`] from which a server counts as contended; a single one may be due to a lost
/// packet.
const SLOW_RESPONSES: u32 = 2;
const SLOW_WINDOW: Duration = Duration::from_secs(1);

/// Time without a response, also as a multiple of that of the server's quick ones, after which a place that a request of this
/// host holds is stuck: the request or its response is held up on the way.
const STUCK_AFTER: Duration = Duration::from_millis(300);
const STUCK_FACTOR: f64 = 8.0;

/// Growth of the quickest response time with each slower one.
const QUICK_GROWTH: f64 = 1.02;

/// Weight of the latest response in the mean response time.
const MEAN_WEIGHT: f64 = 0.2;

/// How long response times are kept after the last response.
const TIMES_TTL: Duration = Duration::from_secs(60);

/// Where to send a request, of several servers in order of preference.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlaceChoice {
    /// The server with this index has room as far as known: it needs no place.
    Send(usize),
    /// The server with this index is contended: its owner is asked for a place.
    Request {
        /// The index of the server.
        index: usize,
        /// Whether to wait for a place; not if another server may have room.
        may_wait: bool,
    },
}

#[derive(Debug, Clone, Copy, Default)]
struct ContendedServer {
    until: Duration,
    // When a place is expected to be free.
    room_at: Duration,
}

#[derive(Debug, Clone, Copy)]
struct ResponseTimes {
    quick: Duration,
    mean: Duration,
    slow: u32,
    slow_since: Duration,
    last: Duration,
}

/// The contended servers, and the response times of all.
#[derive(Debug, Default)]
pub struct ContendedServers {
    servers: BTreeMap<EngineKey, ContendedServer>,
    // By server and route, since routes differ in the work that their requests cause.
    times: BTreeMap<(EngineKey, FastStr), ResponseTimes>,
    // When the places were taken that requests of this host hold.
    held: BTreeMap<EngineKey, Vec<Duration>>,
}

impl ContendedServers {
    /// Whether no server is contended.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Whether requests to a server need a place.
    pub fn is_contended(&self, server: EngineKey, now: Duration) -> bool {
        let contended = self.servers.get(&server);
        contended.is_some_and(|contended| now < contended.until)
    }

    /// The contended servers.
    pub fn servers(&self, now: Duration) -> impl Iterator<Item = EngineKey> {
        let current = self
            .servers
            .iter()
            .filter(move |(_, known)| now < known.until);
        current.map(|(server, _)| *server)
    }

    /// The mean recent response time of a server for a route; zero if there is none.
    pub fn service_time(&self, server: EngineKey, route: &FastStr) -> Duration {
        let times = self.times.get(&(server, route.clone()));
        times.map_or(Duration::ZERO, |times| times.mean)
    }

    /// Records that a request of this host holds a place at a server from now on.
    pub fn note_taken(&mut self, server: EngineKey, now: Duration) {
        self.held.entry(server).or_default().push(now);
    }

    /// Records that a request gave back the place that it took at this time.
    pub fn note_released(&mut self, server: EngineKey, taken_at: Duration) {
        let Some(held) = self.held.get_mut(&server) else {
            return;
        };
        if let Some(index) = held.iter().position(|taken| *taken == taken_at) {
            held.swap_remove(index);
        }
        if held.is_empty() {
            self.held.remove(&server);
        }
    }

    // Whether a request of this host at a server gets no answer, so that more of them would take places from other hosts.
    fn is_stuck(&self, server: EngineKey, now: Duration) -> bool {
        let Some(held) = self.held.get(&server) else {
            return false;
        };
        let routes = (server, FastStr::default())..;
        let routes = self.times.range(routes);
        let routes = routes.take_while(|((of, _), _)| *of == server);
        let quick = routes.map(|(_, times)| times.quick).max();
        let limit = quick
            .unwrap_or_default()
            .mul_f64(STUCK_FACTOR)
            .max(STUCK_AFTER);
        held.iter().any(|taken| now.saturating_sub(*taken) >= limit)
    }

    /// Chooses among servers in order of preference, without those at which this host's requests are stuck; `None` if there
    /// are none.
    pub fn choose(&self, ranked: &[EngineKey], now: Duration) -> Option<PlaceChoice> {
        let is_stuck =
            |server: &EngineKey| self.is_contended(*server, now) && self.is_stuck(*server, now);
        let is_free = |server: &EngineKey| !self.is_contended(*server, now);
        let room_at = |server: &EngineKey| {
            let known = self.servers.get(server);
            known.map_or(now, |known| known.room_at.max(now))
        };
        let may_have_room =
            |server: &EngineKey| is_free(server) || (room_at(server) <= now && !is_stuck(server));
        if !ranked.iter().any(is_free) {
            let servers = ranked.iter().enumerate();
            let servers = servers.filter(|(_, server)| !is_stuck(server));
            let times = servers.map(|(index, server)| (index, room_at(server)));
            let (index, _) = times.min_by_key(|(_, time)| *time)?;
            return Some(PlaceChoice::Request {
                index,
                may_wait: true,
            });
        }
        let index = ranked.iter().position(may_have_room)?;
        match is_free(&ranked[index]) {
            true => Some(PlaceChoice::Send(index)),
            false => Some(PlaceChoice::Request {
                index,
                may_wait: false,
            }),
        }
    }

    /// Records that a server is contended for a time. Returns whether that was not known.
    pub fn note_contended(&mut self, server: EngineKey, time: Duration, now: Duration) -> bool {
        let is_new = !self.is_contended(server, now);
        if is_new && self.servers.len() >= MAX_CONTENDED {
            return false;
        }
        let known = self.servers.entry(server).or_default();
        known.until = known.until.max(now + time.min(CONTENDED_TTL));
        is_new
    }

    /// Records what the owner of a server's places said: how long the server stays contended, and when a place is
    /// expected to be free. Returns whether the server has room again.
    pub fn note_answer(
        &mut self,
        server: EngineKey,
        contended: Duration,
        wait: Duration,
        now: Duration,
    ) -> bool {
        if contended.is_zero() {
            return self.servers.remove(&server).is_some();
        }
        // Requests come in before the owner's time is over, so hosts with few of them do not fall out.
        self.note_contended(server, contended.max(CONTENDED_TTL / 2), now);
        if let Some(known) = self.servers.get_mut(&server) {
            known.room_at = now + wait.min(ROOM_MEMORY);
        }
        false
    }

    /// Records the time of a response. Returns the usual time if the server shows by this one that it is short of places.
    pub fn note_response(
        &mut self,
        server: EngineKey,
        route: &FastStr,
        time: Duration,
        latency_target: Duration,
        now: Duration,
    ) -> Option<Duration> {
        let times = self.times.entry((server, route.clone()));
        let times = times.or_insert(ResponseTimes {
            quick: time,
            mean: time,
            slow: 0,
            slow_since: now,
            last: now,
        });
        times.last = now;
        times.quick = time.min(times.quick.mul_f64(QUICK_GROWTH));
        times.mean = times.mean.mul_f64(1.0 - MEAN_WEIGHT) + time.mul_f64(MEAN_WEIGHT);
        let is_slow = time > times.quick.mul_f64(SLOW_FACTOR) && time > latency_target / 2;
        if !is_slow {
            return None;
        }
        if now.saturating_sub(times.slow_since) >= SLOW_WINDOW {
            times.slow = 0;
            times.slow_since = now;
        }
        times.slow += 1;
        (times.slow >= SLOW_RESPONSES).then_some(times.quick)
    }

    /// Removes servers that are not contended any more, and returns them.
    pub fn remove_expired(&mut self, now: Duration) -> Vec<EngineKey> {
        self.times
            .retain(|_, times| now.saturating_sub(times.last) < TIMES_TTL);
        let expired = self.servers.extract_if(.., |_, known| now >= known.until);
        expired.map(|(server, _)| server).collect()
    }
}

//! Tracks the backend servers that accept no new requests from this host according to their responses: those that are
//! leaving, and those that asked it to back off.
//!
//! A state machine without I/O. It holds entries only for servers whose responses stated one of the two.

use {
    super::server_signals::{BackoffSignal, LeavingSignal, ServerSignals},
    faststr::FastStr,
    std::{collections::HashMap, net::SocketAddr, time::Duration},
};

/// How long after a server stated that it is leaving or backing off a request may still be sent for which memory was
/// reserved before, since its prompt is already being computed. Shorter than the half second after which servers count
/// requests as violations.
const ADMITTED_GRACE: Duration = Duration::from_millis(300);

/// Time over which the load ramps up after a backoff.
const RAMP_UP_TIME: Duration = Duration::from_millis(1_000);

/// How long a run with an unknown start time counts as leaving, since a later run under the same name looks the same.
const UNDATED_LEAVING_TTL: Duration = Duration::from_secs(600);

/// How long the state of a run is kept after it was last listed. Its store entry may expire while the store is
/// unavailable.
const UNLISTED_TTL: Duration = Duration::from_secs(600);

/// Identifies one run of a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ServerRun {
    /// The server's id.
    pub id: FastStr,
    /// When the run started, in Unix milliseconds; 0 if unknown.
    pub born: u64,
    /// The address it listens on.
    pub address: SocketAddr,
}

/// Whether a server accepts new requests from this host, according to its responses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerAvailability {
    /// It accepts requests.
    Available,
    /// It asked for no requests for this remaining time.
    BackingOff(Duration),
    /// It accepts no more requests.
    Leaving,
}

/// How a response changed the availability of its server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AvailabilityChange {
    /// The server is leaving, which was not known.
    pub is_leaving: bool,
    /// The server asked for a backoff of this length while it was available.
    pub backoff: Option<Duration>,
}

/// A backoff that a server asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ServerBackoff {
    since: Duration,
    until: Duration,
    // Whether its end was reported.
    is_reported: bool,
}

#[derive(Debug, Default)]
struct KnownAvailability {
    leaving_since: Option<Duration>,
    backoff: Option<ServerBackoff>,
    // When a response last stated something, or the run was last listed.
    known_at: Duration,
}

/// The servers that are leaving or that asked this host to back off.
#[derive(Debug, Default)]
pub struct AvailabilityTracker {
    servers: HashMap<ServerRun, KnownAvailability>,
}

impl AvailabilityTracker {
    /// Records what a response states about its server.
    pub fn record(
        &mut self,
        run: &ServerRun,
        signals: &ServerSignals,
        now: Duration,
    ) -> AvailabilityChange {
        let is_leaving = signals.leaving == LeavingSignal::Leaving;
        let backoff = match signals.backoff {
            BackoffSignal::Backoff(time) if !time.is_zero() => Some(time),
            _ => None,
        };
        if !is_leaving && backoff.is_none() {
            return AvailabilityChange::default();
        }
        let before = self.availability(run, now);
        let known = self.servers.entry(run.clone()).or_default();
        known.known_at = now;
        if is_leaving {
            known.leaving_since.get_or_insert(now);
        }
        if let Some(time) = backoff {
            known.back_off(time, now);
        }
        AvailabilityChange {
            is_leaving: is_leaving && before != ServerAvailability::Leaving,
            backoff: backoff.filter(|_| before == ServerAvailability::Available),
        }
    }

    /// Whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Whether a server accepts new requests.
    pub fn availability(&self, run: &ServerRun, now: Duration) -> ServerAvailability {
        let Some(known) = self.known(run) else {
            return ServerAvailability::Available;
        };
        known.availability(run, now)
    }

    /// Whether a server is leaving.
    pub fn is_leaving(&self, run: &ServerRun, now: Duration) -> bool {
        self.availability(run, now) == ServerAvailability::Leaving
    }

    /// Whether a request may be sent to a server now; `admitted` is when memory was reserved there for it, if it was.
    pub fn may_send(&self, run: &ServerRun, admitted: Option<Duration>, now: Duration) -> bool {
        let Some(known) = self.known(run) else {
            return true;
        };
        let is_admitted = |since: Duration| {
            admitted.is_some_and(|admitted| admitted < since) && now < since + ADMITTED_GRACE
        };
        match known.availability(run, now) {
            ServerAvailability::Available => true,
            ServerAvailability::BackingOff(_) => known
                .backoff
                .is_some_and(|backoff| is_admitted(backoff.since)),
            ServerAvailability::Leaving => known.leaving_since.is_some_and(is_admitted),
        }
    }

    /// The part of a server's load that is still held back after its backoff, falling from 1 at the end of the backoff
    /// to 0.
    pub fn ramp_up_remaining(&self, run: &ServerRun, now: Duration) -> f64 {
        let backoff = self.known(run).and_then(|known| known.backoff);
        let Some(over) = backoff.and_then(|backoff| now.checked_sub(backoff.until)) else {
            return 0.0;
        };
        (1.0 - over.as_secs_f64() / RAMP_UP_TIME.as_secs_f64()).max(0.0)
    }

    /// Evicts expired entries; those of listed runs expire later. Returns the runs whose backoff has ended since the
    /// last call.
    pub fn evict_expired(
        &mut self,
        is_listed: impl Fn(&ServerRun) -> bool,
        now: Duration,
    ) -> Vec<ServerRun> {
        let mut ended = Vec::new();
        self.servers.retain(|run, known| {
            if is_listed(run) {
                known.known_at = known.known_at.max(now);
            }
            if known.finish_backoff(now) {
                ended.push(run.clone());
            }
            known.is_needed(run, now)
        });
        ended
    }

    /// The runs that accept no new requests now.
    pub fn unavailable(
        &self,
        now: Duration,
    ) -> impl Iterator<Item = (&ServerRun, ServerAvailability)> {
        let known = self.servers.iter();
        let all = known.map(move |(run, known)| (run, known.availability(run, now)));
        all.filter(|(_, availability)| *availability != ServerAvailability::Available)
    }

    // Fast path: this runs for each request and server, and the table is usually empty.
    fn known(&self, run: &ServerRun) -> Option<&KnownAvailability> {
        match self.servers.is_empty() {
            true => None,
            false => self.servers.get(run),
        }
    }
}

impl KnownAvailability {
    fn availability(&self, run: &ServerRun, now: Duration) -> ServerAvailability {
        if self.is_leaving(run, now) {
            return ServerAvailability::Leaving;
        }
        match self.backoff {
            Some(backoff) if now < backoff.until => {
                ServerAvailability::BackingOff(backoff.until - now)
            }
            _ => ServerAvailability::Available,
        }
    }

    fn is_leaving(&self, run: &ServerRun, now: Duration) -> bool {
        let is_dated = run.born > 0;
        self.leaving_since
            .is_some_and(|since| is_dated || now < since + UNDATED_LEAVING_TTL)
    }

    // Of overlapping backoffs, the one that ends last applies.
    fn back_off(&mut self, time: Duration, now: Duration) {
        let until = now + time;
        match &mut self.backoff {
            Some(backoff) if now < backoff.until => backoff.until = backoff.until.max(until),
            _ => {
                self.backoff = Some(ServerBackoff {
                    since: now,
                    until,
                    is_reported: false,
                })
            }
        }
    }

    // Returns true once when the backoff has ended; removes it after the ramp-up.
    fn finish_backoff(&mut self, now: Duration) -> bool {
        let Some(backoff) = &mut self.backoff else {
            return false;
        };
        let is_over = now >= backoff.until && !backoff.is_reported;
        backoff.is_reported |= is_over;
        if now >= backoff.until + RAMP_UP_TIME {
            self.backoff = None;
        }
        is_over
    }

    fn is_needed(&self, run: &ServerRun, now: Duration) -> bool {
        let is_known_leaving = self.is_leaving(run, now) && now < self.known_at + UNLISTED_TTL;
        self.backoff.is_some() || is_known_leaving
    }
}

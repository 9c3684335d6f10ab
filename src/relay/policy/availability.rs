//! Which backend servers take no new requests of this host because their answers say so: those that are leaving, and those
//! that asked it to back off.
//!
//! A plain state machine: what answers say and the time go in, whether a request may be sent comes out. It holds nothing of
//! servers whose answers say nothing.

use {
    super::server_marks::{BackoffMark, LeavingMark, ServerMarks},
    faststr::FastStr,
    std::{collections::HashMap, net::SocketAddr, time::Duration},
};

/// How long after a server's word a request may still be sent that had memory reserved there before it, since its prompt is
/// being computed. Less than the half second after which servers count.
const ADMITTED_GRACE: Duration = Duration::from_millis(300);

/// Time after a backoff over which work comes back step by step.
const RETURN_TIME: Duration = Duration::from_millis(1_000);

/// How long a run is known to be leaving whose beginning nobody knows: a later run under its name cannot be told from it.
const UNDATED_LEAVING_LIFE: Duration = Duration::from_secs(600);

/// How long what is known of a run outlasts its entry, which may lapse while the store is away.
const UNLISTED_LIFE: Duration = Duration::from_secs(600);

/// One run of a backend server, told from all others.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ServerRun {
    /// The server's id.
    pub id: FastStr,
    /// When the run began, Unix milliseconds; 0 where that is not known.
    pub born: u64,
    /// Where it listens.
    pub address: SocketAddr,
}

/// Whether a server takes new requests of this host, as far as its answers say.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerAvailability {
    /// It does.
    Available,
    /// Not before this time is over.
    BackingOff(Duration),
    /// Not any more.
    Leaving,
}

/// What an answer changed in what is known of its server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AvailabilityChange {
    /// It is leaving, which was not known.
    pub is_leaving: bool,
    /// It asked for a backoff of this length while none was in force.
    pub backoff: Option<Duration>,
}

/// A backoff that a server asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ServerBackoff {
    since: Duration,
    until: Duration,
    // Whether its end was told.
    is_ended: bool,
}

#[derive(Debug, Default)]
struct KnownAvailability {
    leaving_since: Option<Duration>,
    backoff: Option<ServerBackoff>,
    // When an answer last said something, or the run was last listed.
    known_at: Duration,
}

/// The servers that are leaving or that asked this host to back off.
#[derive(Debug, Default)]
pub struct AvailabilityBook {
    servers: HashMap<ServerRun, KnownAvailability>,
}

impl AvailabilityBook {
    /// Takes what an answer says of its server.
    pub fn note(
        &mut self,
        run: &ServerRun,
        marks: &ServerMarks,
        now: Duration,
    ) -> AvailabilityChange {
        let is_leaving = marks.leaving == LeavingMark::Leaving;
        let backoff = match marks.backoff {
            BackoffMark::Lasting(time) if !time.is_zero() => Some(time),
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

    /// Whether nothing is known of any server.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Whether a server takes new requests.
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

    /// Whether a request may be sent to a server now; `admitted` is when memory was reserved there for it, if that was so.
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

    /// How far the work of a server has still to come back after its backoff: from 1 at its end down to 0.
    pub fn returning(&self, run: &ServerRun, now: Duration) -> f64 {
        let backoff = self.known(run).and_then(|known| known.backoff);
        let Some(over) = backoff.and_then(|backoff| now.checked_sub(backoff.until)) else {
            return 0.0;
        };
        (1.0 - over.as_secs_f64() / RETURN_TIME.as_secs_f64()).max(0.0)
    }

    /// Evicts expired entries, later those of listed runs; gives the runs whose backoff is over.
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
            if known.end_backoff(now) {
                ended.push(run.clone());
            }
            known.is_of_use(run, now)
        });
        ended
    }

    /// The runs that take no new requests now, with what is known of each.
    pub fn unavailable(
        &self,
        now: Duration,
    ) -> impl Iterator<Item = (&ServerRun, ServerAvailability)> {
        let known = self.servers.iter();
        let all = known.map(move |(run, known)| (run, known.availability(run, now)));
        all.filter(|(_, availability)| *availability != ServerAvailability::Available)
    }

    // Most hosts know of no such server, and the question is asked for each request and server.
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
            .is_some_and(|since| is_dated || now < since + UNDATED_LEAVING_LIFE)
    }

    // Of several the last to end holds.
    fn back_off(&mut self, time: Duration, now: Duration) {
        let until = now + time;
        match &mut self.backoff {
            Some(backoff) if now < backoff.until => backoff.until = backoff.until.max(until),
            _ => {
                self.backoff = Some(ServerBackoff {
                    since: now,
                    until,
                    is_ended: false,
                })
            }
        }
    }

    // Gives whether a backoff is over, once; forgets it when its work has come back.
    fn end_backoff(&mut self, now: Duration) -> bool {
        let Some(backoff) = &mut self.backoff else {
            return false;
        };
        let is_over = now >= backoff.until && !backoff.is_ended;
        backoff.is_ended |= is_over;
        if now >= backoff.until + RETURN_TIME {
            self.backoff = None;
        }
        is_over
    }

    fn is_of_use(&self, run: &ServerRun, now: Duration) -> bool {
        let is_known_leaving = self.is_leaving(run, now) && now < self.known_at + UNLISTED_LIFE;
        self.backoff.is_some() || is_known_leaving
    }
}

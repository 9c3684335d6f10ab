//! The rate-limited backend servers that this host knows of, and the permits it holds for them. Such a server states
//! how many requests a second it accepts from all hosts together, or is cold and the configuration states it.
//!
//! A state machine without I/O. Its size grows with the number of rate-limited servers, not with the number of listed
//! ones.

use {
    super::{
        cold_limit::ColdState,
        loads::EngineKey,
        past_time::PastTime,
        permit_allocator::{MIN_PERMITS_PER_SECOND, PermitGrant, PermitRequest},
        server_limit::ServerLimit,
    },
    std::{collections::BTreeMap, time::Duration},
    xxhash_rust::xxh3,
};

/// How long an unused permit stays valid. The allocating host counts it as used from the start.
const PERMIT_TTL: Duration = Duration::from_millis(300);

/// Maximum time for which a denial is cached, since other hosts may leave their permits unused.
const DENIAL_CACHE_TIME: Duration = Duration::from_millis(250);

/// Age of the last reported limit after which a server gets a request although others have capacity, to find out
/// whether it is still rate-limited. The host that allocates its permits probes first, since it receives what others
/// heard; the other hosts only probe if that host has no requests.
const PROBE_INTERVAL: Duration = Duration::from_millis(800);
const REMOTE_PROBE_INTERVAL: Duration = Duration::from_secs(5);

/// Period whose requests are covered by one permit request.
const PREFETCH_PERIOD: Duration = Duration::from_millis(250);

/// Maximum number of permits in one permit request.
const MAX_PERMITS: u32 = 16;

/// How long a reported limit, or the end of one, is kept without being confirmed. Hosts that send to the server learn
/// its current state within seconds, so this only removes entries of servers that get no requests.
pub(super) const LIMIT_TTL: Duration = Duration::from_secs(60);

/// Maximum retry delay given to a caller, since a server's limit may end at any time.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// Minimum interval between reports of a changed limit to operators.
const SHOW_INTERVAL: Duration = Duration::from_secs(1);

/// The limit that a server reported, and the time from which it is known to apply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedLimit {
    /// The limit; `None` if the server reported none.
    pub limit: Option<ServerLimit>,
    /// When the request was sent whose response reported it. Of two responses, the one to the later request is the
    /// newer one, whichever is read first.
    pub as_of: PastTime,
}

/// Whether a request may be sent to a server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum PermitState {
    /// The server is not rate-limited.
    Unlimited,
    /// The server is rate-limited, and this host holds a permit.
    Held,
    /// The server is rate-limited, and the owner of its permits must be asked.
    MustRequest,
    /// No permit is available; one is likely after this time.
    Denied(Duration),
}

/// The time until a permit for a server is likely.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PermitWait {
    /// The server.
    pub server: EngineKey,
    /// The time until then.
    pub time: Duration,
}

impl PermitWait {
    /// The shorter of two waits.
    pub fn shorter(one: Option<Self>, other: Self) -> Self {
        match one {
            Some(one) if one.time <= other.time => one,
            _ => other,
        }
    }
}

// A cached denial for requests of a priority rank and less urgent ones.
#[derive(Debug, Clone, Copy)]
struct CachedDenial {
    rank: u8,
    until: Duration,
    // When the next rejected caller should retry.
    retry_at: Duration,
}

// The state of a rate-limited server.
#[derive(Debug, Clone)]
pub(super) struct KnownLimit {
    // What the server itself stated.
    pub(super) reported: ReportedLimit,
    pub(super) cold: Option<ColdState>,
    // The server's own limit last reported to operators, and when.
    shown: Option<ServerLimit>,
    shown_at: Duration,
    held: u32,
    held_until: Duration,
    denial: Option<CachedDenial>,
    // Whether this host allocates the server's permits.
    is_own: bool,
    // Permits used in the current prefetch period and in the previous one, and when the current one began.
    used: u32,
    previous_used: u32,
    period_start: Duration,
}

impl KnownLimit {
    pub(super) fn new(reported: ReportedLimit, now: Duration) -> Self {
        Self {
            reported,
            cold: None,
            shown: reported.limit,
            shown_at: now,
            held: 0,
            held_until: now,
            denial: None,
            is_own: false,
            used: 0,
            previous_used: 0,
            period_start: now,
        }
    }

    fn update(&mut self, reported: ReportedLimit) {
        // A higher limit may have permits for requests that were denied.
        if reported.limit > self.reported.limit {
            self.denial = None;
        }
        self.reported = reported;
    }

    // A cold server is not probed: its list entry says when it is warm.
    fn is_probe_due(&self, interval: Duration, now: Duration) -> bool {
        self.cold(now).is_none() && self.reported.age(now) >= interval
    }

    fn held(&self, now: Duration) -> u32 {
        match now < self.held_until {
            true => self.held,
            false => 0,
        }
    }

    fn denial(&self, rank: u8, now: Duration) -> Option<CachedDenial> {
        self.denial
            .filter(|denial| now < denial.until && rank >= denial.rank)
    }

    fn record_use(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.period_start);
        if passed >= PREFETCH_PERIOD {
            self.previous_used = if passed < PREFETCH_PERIOD * 2 {
                self.used
            } else {
                0
            };
            self.used = 0;
            self.period_start = now;
        }
        self.used += 1;
    }
}

/// The rate-limited servers, and the permits that this host holds for them.
#[derive(Debug, Default)]
pub struct LimitTracker {
    // Differs between hosts.
    seed: u64,
    pub(super) limits: BTreeMap<EngineKey, KnownLimit>,
}

impl LimitTracker {
    /// An empty tracker for the host of this name.
    pub fn new(host: &str) -> Self {
        Self {
            seed: xxh3::xxh3_64(host.as_bytes()),
            limits: BTreeMap::new(),
        }
    }

    /// The keys of the rate-limited servers.
    pub fn servers(&self) -> Vec<EngineKey> {
        self.limits.keys().copied().collect()
    }

    /// Sets whether this host allocates the permits of a server.
    pub fn set_own(&mut self, server: EngineKey, is_own: bool) {
        if let Some(known) = self.limits.get_mut(&server) {
            known.is_own = is_own;
        }
    }

    /// The sort key of a server among servers that are otherwise equal. Servers whose limit has not been confirmed for a
    /// while come first, since only a request shows whether it still holds; then those without a limit; then those whose
    /// permits this host allocates itself and so needs no request to another host; then the others, in a pseudo-random
    /// order that differs between hosts.
    pub fn order(&self, server: EngineKey, now: Duration) -> u64 {
        let Some(known) = self.limits.get(&server) else {
            return 1;
        };
        if known.effective_limit(now).is_none() {
            return 1;
        }
        let probe_interval = if known.is_own {
            PROBE_INTERVAL
        } else {
            REMOTE_PROBE_INTERVAL
        };
        match known.is_own {
            _ if known.is_probe_due(probe_interval, now) => 0,
            true => 2,
            false => xxh3::xxh3_64_with_seed(&server.0.to_le_bytes(), self.seed).max(3),
        }
    }

    /// The limit that a server stated; `None` if it is not known to have one.
    pub fn limit(&self, server: EngineKey) -> Option<ServerLimit> {
        let known = self.limits.get(&server);
        known.and_then(|known| known.reported.limit)
    }

    /// The age of a server's limit, counted from when the request was sent whose response reported it; zero if it has
    /// no limit.
    pub fn age(&self, server: EngineKey, now: Duration) -> Duration {
        let known = self.limits.get(&server);
        known.map_or(Duration::ZERO, |known| known.reported.age(now))
    }

    /// The number of permits that this host holds for a server.
    pub fn held(&self, server: EngineKey, now: Duration) -> u32 {
        self.limits.get(&server).map_or(0, |known| known.held(now))
    }

    /// The number of servers that stated a limit.
    pub fn len(&self) -> usize {
        let known = self.limits.values();
        known.filter(|known| known.reported.limit.is_some()).count()
    }

    /// Whether no server is rate-limited, whether it stated a limit or is cold.
    pub fn is_empty(&self) -> bool {
        self.limits.is_empty()
    }

    /// Records what a server reported, read from its response or received from another host. If the change should be
    /// reported to operators, returns the limit last reported to them.
    pub fn update(
        &mut self,
        server: EngineKey,
        reported: ReportedLimit,
        now: Duration,
    ) -> Option<Option<ServerLimit>> {
        let Some(known) = self.limits.get_mut(&server) else {
            reported.limit?;
            self.limits.insert(server, KnownLimit::new(reported, now));
            return Some(None);
        };
        if known.reported.as_of > reported.as_of {
            return None;
        }
        let shown = known.shown;
        if reported.limit.is_none() && known.cold.is_none() {
            self.limits.remove(&server);
            return Some(shown);
        }
        known.update(reported);
        let is_transition = shown.is_some() != reported.limit.is_some();
        let is_due = is_transition || now.saturating_sub(known.shown_at) >= SHOW_INTERVAL;
        if reported.limit == shown || !is_due {
            return None;
        }
        (known.shown, known.shown_at) = (reported.limit, now);
        Some(shown)
    }

    /// Whether a request of a priority rank may be sent to a server now.
    pub fn permit(&self, server: EngineKey, rank: u8, now: Duration) -> PermitState {
        let known = self.limits.get(&server);
        let Some(known) = known.filter(|known| known.effective_limit(now).is_some()) else {
            return PermitState::Unlimited;
        };
        if known.held(now) > 0 {
            return PermitState::Held;
        }
        match known.denial(rank, now) {
            Some(denial) => PermitState::Denied(denial.retry_at.saturating_sub(now).min(MAX_WAIT)),
            None => PermitState::MustRequest,
        }
    }

    /// Uses a held permit. Returns whether there was one.
    pub fn use_permit(&mut self, server: EngineKey, now: Duration) -> bool {
        let Some(known) = self.limits.get_mut(&server) else {
            return false;
        };
        if known.held(now) == 0 {
            return false;
        }
        known.held -= 1;
        known.record_use(now);
        true
    }

    /// Returns a permit for which no request was sent, so that the next request can use it.
    pub fn return_permit(&mut self, server: EngineKey, now: Duration) {
        if let Some(known) = self.limits.get_mut(&server) {
            known.held = known.held(now) + 1;
            known.held_until = known.held_until.max(now + PERMIT_TTL);
        }
    }

    /// The permit request to send to the owner of a server's permits for a request of a priority rank; `None` if the
    /// server is not rate-limited.
    pub fn permit_request(
        &self,
        server: EngineKey,
        rank: u8,
        now: Duration,
    ) -> Option<PermitRequest> {
        let known = self.limits.get(&server)?;
        known.effective_limit(now)?;
        let is_recent = now.saturating_sub(known.period_start) < PREFETCH_PERIOD * 2;
        let used = if is_recent {
            known.used.max(known.previous_used)
        } else {
            0
        };
        Some(PermitRequest {
            server,
            reported: known.reported,
            cold: known.cold(now),
            wanted: used.clamp(1, MAX_PERMITS),
            rank,
        })
    }

    /// Applies the owner's response. The server's limit in it is not applied here but passed to [`LimitTracker::update`].
    pub fn apply_grant(&mut self, server: EngineKey, rank: u8, grant: &PermitGrant, now: Duration) {
        let Some(known) = self.limits.get_mut(&server) else {
            return;
        };
        known.held = known.held(now) + grant.permits;
        if grant.permits > 0 {
            known.held_until = now + PERMIT_TTL;
            known.denial = None;
            return;
        }
        known.denial = Some(CachedDenial {
            rank,
            until: now + grant.wait.min(DENIAL_CACHE_TIME),
            retry_at: now + grant.wait,
        });
    }

    /// Records that a caller was rejected for lack of a permit, so that the next one gets a later retry time.
    pub fn record_rejection(&mut self, server: EngineKey) {
        let Some(known) = self.limits.get_mut(&server) else {
            return;
        };
        let until = known.denial.map_or(Duration::ZERO, |denial| denial.until);
        let Some(limit) = known.effective_limit(until) else {
            return;
        };
        let interval = 1.0 / limit.per_second().max(MIN_PERMITS_PER_SECOND);
        if let Some(denial) = &mut known.denial {
            denial.retry_at += Duration::from_secs_f64(interval);
        }
    }

    /// Removes limits that have not been confirmed within [`LIMIT_TTL`]; returns their servers.
    pub fn remove_expired(&mut self, now: Duration) -> Vec<EngineKey> {
        let is_expired = |known: &KnownLimit| {
            known.reported.limit.is_some() && known.reported.age(now) >= LIMIT_TTL
        };
        let limits = self.limits.iter();
        let expired: Vec<EngineKey> = limits
            .filter(|(_, known)| is_expired(known))
            .map(|(server, _)| *server)
            .collect();
        for server in &expired {
            let Some(known) = self.limits.get_mut(server) else {
                continue;
            };
            (known.reported.limit, known.shown) = (None, None);
            if known.cold.is_none() {
                self.limits.remove(server);
            }
        }
        expired
    }
}

//! The cold servers among the rate-limited ones that a host knows of.

use {
    super::{
        cold_limit::{ColdLimit, ColdState},
        limit_tracker::{KnownLimit, LIMIT_TTL, LimitTracker, ReportedLimit},
        loads::EngineKey,
        server_limit::ServerLimit,
    },
    std::time::Duration,
};

impl KnownLimit {
    /// Its limit while it is cold.
    pub(super) fn cold(&self, now: Duration) -> Option<ColdLimit> {
        self.cold.and_then(|cold| cold.current(now))
    }

    /// The lower of its own limit and the one while it is cold.
    pub(super) fn effective_limit(&self, now: Duration) -> Option<ServerLimit> {
        let cold = self.cold(now).map(|cold| cold.rate);
        ServerLimit::lower(self.reported.limit, cold)
    }
}

impl LimitTracker {
    /// The limit of a server while it is cold.
    pub fn cold(&self, server: EngineKey, now: Duration) -> Option<ColdLimit> {
        let known = self.limits.get(&server);
        known.and_then(|known| known.cold(now))
    }

    /// Whether a server is cold.
    pub fn is_cold(&self, server: EngineKey, now: Duration) -> bool {
        self.cold(server, now).is_some()
    }

    /// The number of cold servers.
    pub fn cold_count(&self, now: Duration) -> usize {
        let known = self.limits.values();
        known.filter(|known| known.cold(now).is_some()).count()
    }

    /// Records what the list of servers states: that a server is cold, or, with nothing left, that it is warm. Returns
    /// whether it turned cold.
    pub fn set_cold(&mut self, server: EngineKey, cold: ColdLimit, now: Duration) -> bool {
        if cold.is_cold(now) {
            return self.insert_cold(server, cold, now);
        }
        if let Some(cold) = self.cold_state(server) {
            cold.end(now);
        }
        false
    }

    /// Records what another host knows of a cold server, unless this host's list said that it is warm. Returns whether
    /// it turned cold.
    pub fn learn_cold(&mut self, server: EngineKey, cold: ColdLimit, now: Duration) -> bool {
        let known = self.cold_state(server).copied();
        let is_news = known.is_none_or(|known| known.is_extended_by(cold, now));
        is_news && cold.is_cold(now) && self.insert_cold(server, cold, now)
    }

    /// Sets the rate of a cold server, as the configuration names it now; `None` if it names none any more.
    pub fn set_cold_rate(&mut self, server: EngineKey, rate: Option<ServerLimit>, now: Duration) {
        match (self.cold_state(server), rate) {
            (Some(cold), Some(rate)) => cold.set_rate(rate),
            (Some(cold), None) => cold.end(now),
            (None, _) => {}
        }
    }

    /// The servers that have become warm since the last call. Forgets those that have been warm for a while.
    pub fn take_warmed(&mut self, now: Duration) -> Vec<EngineKey> {
        let mut warmed = Vec::new();
        self.limits.retain(|server, known| {
            if known.cold.as_mut().is_some_and(|cold| cold.take_end(now)) {
                warmed.push(*server);
            }
            known.cold = known.cold.filter(|cold| !cold.is_expired(now));
            known.cold.is_some() || known.reported.limit.is_some()
        });
        warmed
    }

    fn cold_state(&mut self, server: EngineKey) -> Option<&mut ColdState> {
        self.limits.get_mut(&server)?.cold.as_mut()
    }

    fn insert_cold(&mut self, server: EngineKey, cold: ColdLimit, now: Duration) -> bool {
        // Older than anything that the server may state.
        let unreported = ReportedLimit::from_age(None, LIMIT_TTL, Duration::ZERO);
        let limits = &mut self.limits;
        let known = limits
            .entry(server)
            .or_insert_with(|| KnownLimit::new(unreported, now));
        let was_cold = known.cold(now).is_some();
        known.cold = Some(ColdState::new(cold));
        assert!(
            known.effective_limit(now).is_some(),
            "a cold server is rate-limited"
        );
        !was_cold
    }
}

//! Finds out which plain servers are contended, tells other hosts, and shows them to operators.

use {
    super::shared::RelayParts,
    crate::{
        event,
        relay::{
            admission::places::contended_servers::CONTENDED_TTL,
            backend::BackendInfo,
            config::RelayRoute,
            policy::{findings_cache::FindingSource, loads::EngineKey},
        },
    },
    faststr::FastStr,
    std::{collections::BTreeSet, time::Duration},
};

/// What shows that a plain server is short of places.
#[derive(Debug, Clone, Copy)]
enum ContentionCause {
    /// It declined a request.
    Declined,
    /// It answered in this time, and usually answers in the other one.
    Slow { time: Duration, usual: Duration },
}

impl ContentionCause {
    fn name(self) -> &'static str {
        match self {
            Self::Declined => "declined",
            Self::Slow { .. } => "slow",
        }
    }

    // The time of the response and the usual one; zero if none came.
    fn times(self) -> (Duration, Duration) {
        match self {
            Self::Declined => (Duration::ZERO, Duration::ZERO),
            Self::Slow { time, usual } => (time, usual),
        }
    }
}

impl RelayParts {
    /// Records that a plain server declined a request because it is full.
    pub fn record_full(&self, backend: &BackendInfo) {
        self.metrics.places.declines.inc();
        self.note_contended(backend, ContentionCause::Declined);
    }

    /// Records the time of a successful response of a plain server.
    pub fn record_response_time(&self, backend: &BackendInfo, route: &RelayRoute, time: Duration) {
        if !self.has_places(backend) {
            return;
        }
        let usual = {
            let mut contended = self.places.contended.borrow_mut();
            let target = route.latency_target;
            contended.note_response(backend.key(), &route.name, time, target, self.now())
        };
        if let Some(usual) = usual {
            self.note_contended(backend, ContentionCause::Slow { time, usual });
        }
    }

    // A server that does not say how many requests it processes has no places to lease.
    fn has_places(&self, backend: &BackendInfo) -> bool {
        backend.slots > 0 && self.places.has_call()
    }

    fn note_contended(&self, backend: &BackendInfo, cause: ContentionCause) {
        if !self.has_places(backend) || !self.book.borrow().is_current(backend) {
            return;
        }
        let (server, now) = (backend.key(), self.now());
        let is_new = {
            let mut contended = self.places.contended.borrow_mut();
            contended.note_contended(server, CONTENDED_TTL, now)
        };
        self.announce_contention(server, CONTENDED_TTL);
        if is_new {
            event::emit(
                &event::SERVER_CONTENDED,
                &[
                    ("backend", &backend.id),
                    ("service", &backend.service),
                    ("zone", &backend.zone),
                    ("places", &backend.slots),
                    ("cause", &cause.name()),
                    ("answered_ms", &cause.times().0.as_millis()),
                    ("usual_ms", &cause.times().1.as_millis()),
                ],
            );
        }
    }

    fn announce_contention(&self, server: EngineKey, time: Duration) {
        let mut updates = self.limits.updates.borrow_mut();
        if updates.record_contention(server, time, FindingSource::Reported, self.now()) {
            self.findings_changed.notify_one();
            self.state_changed.notify_waiters();
        }
    }

    /// Applies that a server is contended, which another host sent.
    pub(super) fn apply_contention(
        &self,
        server: EngineKey,
        time: Duration,
        source: FindingSource,
    ) {
        let (now, time) = (self.now(), time.min(CONTENDED_TTL));
        let mut updates = self.limits.updates.borrow_mut();
        let is_news = updates.record_contention(server, time, source, now);
        drop(updates);
        let mut contended = self.places.contended.borrow_mut();
        contended.note_contended(server, time, now);
        if is_news && source == FindingSource::Reported {
            self.findings_changed.notify_one();
        }
        if is_news {
            self.state_changed.notify_waiters();
        }
    }

    /// Tells other hosts that the servers whose places this host leases are still contended, and removes those that have
    /// room again.
    pub fn renew_contention(&self) {
        let now = self.now();
        let free = self.places.allocator.borrow_mut().remove_unused(now);
        for server in free {
            self.log_free(server);
        }
        let contended: Vec<(EngineKey, Duration)> = {
            let allocator = self.places.allocator.borrow();
            allocator.contended(now).collect()
        };
        // No longer than it lasts for the owner, so that a later contention is news again.
        for (server, time) in contended {
            self.announce_contention(server, time);
        }
        let mut known = self.places.contended.borrow_mut();
        known.remove_expired(now);
        let mut isolated = self.places.isolated.borrow_mut();
        isolated.retain(|server| known.is_contended(server, now));
    }

    fn log_free(&self, server: EngineKey) {
        for backend in self.book.borrow().listed(&BTreeSet::from([server])) {
            event::emit(
                &event::SERVER_HAS_ROOM,
                &[
                    ("backend", &backend.id),
                    ("service", &backend.service),
                    ("zone", &backend.zone),
                ],
            );
        }
    }

    /// Returns the number of places that this host has leased to all hosts.
    pub fn leased_places(&self) -> usize {
        let allocator = self.places.allocator.borrow();
        allocator.views(self.now()).map(|view| view.leased).sum()
    }

    /// Returns a page for operators with one line for each contended server.
    pub fn contention_page(&self) -> String {
        let now = self.now();
        let servers = self.places.contended.borrow().servers(now).collect();
        let listed = self.book.borrow().listed(&servers);
        let lines = listed.iter().map(|backend| self.contention_line(backend));
        lines.collect()
    }

    fn contention_line(&self, backend: &BackendInfo) -> String {
        let server = backend.key();
        let owner = self.permit_owner(&backend.zone, server);
        let owner = owner.map_or_else(FastStr::default, |owner| owner.name);
        let allocator = self.places.allocator.borrow();
        // Only the owner knows the capacity and who waits.
        let own = allocator
            .views(self.now())
            .find(|view| view.server == server);
        let own = own.map_or_else(String::new, |view| {
            format!(
                " capacity={} in_use={} waiting={}",
                view.capacity, view.leased, view.waiting
            )
        });
        format!(
            "backend={} service={} zone={} places={} owner={owner:?}{own}\n",
            backend.id, backend.service, backend.zone, backend.slots
        )
    }
}

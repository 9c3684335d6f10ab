//! Rate limits of backend servers: reads them from responses and exchanges them with other hosts.

use {
    super::shared::RelayParts,
    crate::{
        event,
        relay::{
            backend::BackendInfo,
            policy::{
                findings_cache::{CachePosition, CacheUpdates, FindingSource},
                limit_tracker::ReportedLimit,
                limit_updates::{LimitUpdate, LimitUpdates},
                loads::EngineKey,
                permit_allocator::PermitRequest,
                server_limit::{LimitSignal, ServerLimit},
            },
        },
    },
    faststr::FastStr,
    http::StatusCode,
    std::{
        cell::RefCell,
        collections::{BTreeMap, HashMap},
        fmt,
        net::SocketAddr,
        time::Duration,
    },
};

/// Maximum number of log lines for limits that arrive in one update.
const LOGGED_LIMITS_MAX: usize = 16;

/// The kind of response that states or omits a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerKind {
    /// The response to a request that ran successfully: if it states no limit, the server has none.
    GoodRun,
    /// Any other response, including those to calls of this host: it has no meaning if it states no limit.
    Other,
}

impl AnswerKind {
    /// Returns the kind of a response, by its status and whether it says that the request did not run.
    pub fn of(status: StatusCode, not_run: bool) -> Self {
        match status.is_success() && !not_run {
            true => Self::GoodRun,
            false => Self::Other,
        }
    }
}

/// The limits of rate-limited servers that hosts exchange.
#[derive(Debug)]
pub struct LimitExchange {
    pub(super) updates: RefCell<LimitUpdates>,
    // Position up to which this host has received the updates of each other host, by its address.
    received: RefCell<HashMap<SocketAddr, CachePosition>>,
}

impl LimitExchange {
    /// Creates an empty exchange; `id` is random.
    pub(super) fn new(id: u64) -> Self {
        Self {
            updates: RefCell::new(LimitUpdates::new(id)),
            received: RefCell::default(),
        }
    }

    /// Returns the position up to which this host has received the limits of the host at an address.
    pub fn received_position(&self, address: SocketAddr) -> CachePosition {
        let received = self.received.borrow();
        received.get(&address).copied().unwrap_or_default()
    }

    // Removes the positions of hosts that are no longer listed.
    pub(super) fn retain_listed(&self, is_listed: impl Fn(&SocketAddr) -> bool) {
        let mut received = self.received.borrow_mut();
        received.retain(|address, _| is_listed(address));
    }
}

// Displays a limit in log lines and on pages for operators.
struct ShownLimit(Option<ServerLimit>);

impl fmt::Display for ShownLimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(limit) => limit.fmt(f),
            None => f.write_str("none"),
        }
    }
}

impl RelayParts {
    /// Applies what a backend server's response states about its limit. `sent` is when the request was sent.
    pub fn note_limit(
        &self,
        backend: &BackendInfo,
        mark: LimitSignal,
        kind: AnswerKind,
        sent: Duration,
    ) {
        let limit = match (mark, kind) {
            (LimitSignal::Limited(limit), _) => Some(limit),
            (LimitSignal::Invalid, _) => return self.note_unreadable_limit(backend),
            (LimitSignal::Absent, AnswerKind::GoodRun) => None,
            (LimitSignal::Absent, AnswerKind::Other) => return,
        };
        let age = self.now().saturating_sub(sent);
        let saying = ReportedLimit::from_age(limit, age, self.now());
        let was_limited = self.apply_limit(backend, saying, "answer");
        if was_limited && limit.is_none() {
            self.report_limit_end(backend, saying);
        }
    }

    // Counted in a metric, but logged at debug level only: a faulty server could fill the log.
    fn note_unreadable_limit(&self, backend: &BackendInfo) {
        self.metrics.unreadable_limits.inc();
        log::debug!("{}: unreadable rate limit", backend.id);
    }

    // Records a limit; returns whether the server was known to be rate-limited before.
    pub(super) fn apply_limit(
        &self,
        backend: &BackendInfo,
        saying: ReportedLimit,
        from: &str,
    ) -> bool {
        let now = self.now();
        let mut book = self.book.borrow_mut();
        if !book.is_current(backend) {
            return false;
        }
        let was_limited = book.limits.limit(backend.key()).is_some();
        if !was_limited && saying.limit.is_none() {
            return false;
        }
        let before = book.limits.update(backend.key(), saying, now);
        drop(book);
        self.announce_limit(backend, saying);
        if !was_limited {
            self.update_ownership(backend);
        }
        if let Some(before) = before {
            self.log_limit(backend, saying, before, from);
        }
        was_limited
    }

    fn announce_limit(&self, backend: &BackendInfo, saying: ReportedLimit) {
        let mut updates = self.limits.updates.borrow_mut();
        if updates.record(backend.key(), saying, FindingSource::Reported, self.now()) {
            self.findings_changed.notify_one();
            self.state_changed.notify_waiters();
        }
    }

    fn log_limit(
        &self,
        backend: &BackendInfo,
        saying: ReportedLimit,
        before: Option<ServerLimit>,
        from: &str,
    ) {
        event::emit(
            &event::SERVER_LIMIT,
            &[
                ("backend", &backend.id),
                ("service", &backend.service),
                ("zone", &backend.zone),
                ("limit", &ShownLimit(saying.limit)),
                ("was", &ShownLimit(before)),
                ("from", &from),
                ("age_ms", &saying.age(self.now()).as_millis()),
            ],
        );
    }

    // Tells the host that allocates the permits for a server that the server's limit has ended. That host would otherwise
    // learn it only with the next permit request, which this host has no reason to send any more.
    fn report_limit_end(&self, backend: &BackendInfo, saying: ReportedLimit) {
        let Some(call) = self.permits.call() else {
            return;
        };
        let report = call(
            backend.zone.clone(),
            PermitRequest {
                server: backend.key(),
                reported: saying,
                cold: self.book.borrow().limits.cold(backend.key(), self.now()),
                wanted: 0,
                rank: u8::MAX,
            },
        );
        tokio::task::spawn_local(async move {
            report.await;
        });
    }

    // Caches whether this host allocates the permits for a server, because each request needs it. Recomputed when it may have
    // changed.
    pub(super) fn update_ownership(&self, backend: &BackendInfo) {
        let owner = self.permit_owner(&backend.zone, backend.key());
        let is_own = owner.is_some_and(|owner| owner.name == self.settings.name);
        let mut book = self.book.borrow_mut();
        book.limits.set_own(backend.key(), is_own);
    }

    /// Recomputes for which servers this host allocates the permits, after a change of the backend servers or hosts.
    pub fn update_all_ownership(&self) {
        let limits = self.book.borrow().limits.servers();
        if limits.is_empty() {
            return;
        }
        let listed = self.book.borrow().listed(&limits.into_iter().collect());
        listed
            .iter()
            .for_each(|backend| self.update_ownership(backend));
    }

    /// Applies limits that another host sent.
    pub fn apply_limits(&self, marks: &[LimitUpdate], source: FindingSource) {
        let now = self.now();
        let mut changed = BTreeMap::new();
        let mut has_updates = false;
        let (contentions, limits): (Vec<&LimitUpdate>, Vec<&LimitUpdate>) =
            marks.iter().partition(|mark| !mark.contended.is_zero());
        for mark in contentions {
            self.apply_contention(mark.server, mark.contended, source);
        }
        for mark in limits {
            let saying = ReportedLimit::from_age(mark.limit, mark.age, now);
            let taken = self
                .book
                .borrow_mut()
                .limits
                .update(mark.server, saying, now);
            if let Some(before) = taken {
                changed.insert(mark.server, (saying, before));
            }
            let mut updates = self.limits.updates.borrow_mut();
            has_updates |= updates.record(mark.server, saying, source, now);
        }
        self.log_limit_changes(&changed);
        if has_updates {
            self.update_all_ownership();
        }
        if !has_updates {
            return;
        }
        if source == FindingSource::Reported {
            self.findings_changed.notify_one();
        }
        self.state_changed.notify_waiters();
    }

    // Logs changed limits, one line each up to a maximum.
    fn log_limit_changes(
        &self,
        changed: &BTreeMap<EngineKey, (ReportedLimit, Option<ServerLimit>)>,
    ) {
        let listed = match changed.is_empty() {
            true => return,
            false => self
                .book
                .borrow()
                .listed(&changed.keys().copied().collect()),
        };
        for backend in listed.iter().take(LOGGED_LIMITS_MAX) {
            let (saying, before) = changed[&backend.key()];
            self.log_limit(backend, saying, before, "news");
        }
        let more = listed.len().saturating_sub(LOGGED_LIMITS_MAX);
        if more > 0 {
            log::info!("limits of {more} more servers changed in the same update");
        }
    }

    /// Applies the limits that the host at an address sent in an update.
    pub fn apply_limit_updates(&self, news: &CacheUpdates<LimitUpdate>, from: SocketAddr) {
        self.apply_limits(&news.findings, FindingSource::Distributed);
        if news.position.cache_id != 0 {
            self.limits
                .received
                .borrow_mut()
                .insert(from, news.position);
        }
    }

    /// Returns the limits for all hosts that a peer lacks.
    pub fn limit_updates(&self, known: CachePosition) -> CacheUpdates<LimitUpdate> {
        self.limits.updates.borrow().since(known, self.now())
    }

    /// Returns the limits to report to another host that changed after a revision, and the revision that they reach.
    pub fn limits_to_report(&self, since: Option<u64>) -> (Vec<LimitUpdate>, u64) {
        self.limits
            .updates
            .borrow()
            .reported_since(since, self.now())
    }

    /// Returns a page for operators with one line for each rate-limited server.
    pub fn limits_page(&self) -> String {
        let servers = self.book.borrow().limits.servers();
        let listed = self.book.borrow().listed(&servers.into_iter().collect());
        let lines = listed.iter().map(|backend| self.limit_line(backend));
        lines.collect()
    }

    fn limit_line(&self, backend: &BackendInfo) -> String {
        let now = self.now();
        let (server, book) = (backend.key(), self.book.borrow());
        let limit = ShownLimit(book.limits.limit(server));
        let age = book.limits.age(server, now).as_millis();
        let held = book.limits.held(server, now);
        let cold = book.limits.cold(server, now);
        let cold_ms = cold.map_or(0, |cold| cold.left(now).as_millis());
        let cold = ShownLimit(cold.map(|cold| cold.rate));
        let owner = self.permit_owner(&backend.zone, server);
        let owner = owner.map_or_else(FastStr::default, |owner| owner.name);
        format!(
            "backend={} service={} zone={} limit={limit} age_ms={age} cold={cold} cold_ms={cold_ms} owner={owner:?} permits_held={held}\n",
            backend.id, backend.service, backend.zone
        )
    }

    /// Removes limits that no response has confirmed for a long time, and permits that are no longer requested.
    pub fn evict_limits(&self) {
        self.report_warmed();
        let cluster = self.cluster.borrow();
        let is_listed = |name: &FastStr| cluster.hosts().any(|entry| entry.name == *name);
        self.permits.forget_old(is_listed, self.now());
        let gone = self.book.borrow_mut().limits.remove_expired(self.now());
        self.limits.updates.borrow_mut().remove_expired(self.now());
        if !gone.is_empty() {
            log::info!(
                "removed {} server limits that no response has confirmed for a long time",
                gone.len()
            );
        }
    }
}

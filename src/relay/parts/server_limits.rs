//! Rate-limited backend servers: hearing the limits that they name, and telling others of them.

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

/// Lines that are logged of limits that were told at once.
const SHOWN_MOST: usize = 16;

/// Which answer names or does not name a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerKind {
    /// That of a request that ran well: one that names no limit says that there is none.
    GoodRun,
    /// Any other, also to a call of our own: it only tells a limit that it names.
    Other,
}

impl AnswerKind {
    /// The kind of an answer to a request, by its status and whether it says that the request did not run.
    pub fn of(status: StatusCode, not_run: bool) -> Self {
        match status.is_success() && !not_run {
            true => Self::GoodRun,
            false => Self::Other,
        }
    }
}

/// What hosts tell each other of rate-limited servers.
#[derive(Debug)]
pub struct LimitExchange {
    news: RefCell<LimitUpdates>,
    // Up to where others told this host.
    told: RefCell<HashMap<SocketAddr, CachePosition>>,
}

impl LimitExchange {
    /// Nothing is known; `id` is drawn at random.
    pub(super) fn new(id: u64) -> Self {
        Self {
            news: RefCell::new(LimitUpdates::new(id)),
            told: RefCell::default(),
        }
    }

    /// Up to where this host was told the book of the host at an address.
    pub fn place_at(&self, address: SocketAddr) -> CachePosition {
        let told = self.told.borrow();
        told.get(&address).copied().unwrap_or_default()
    }

    // Forgets what hosts told that are listed no longer.
    pub(super) fn keep_told(&self, is_listed: impl Fn(&SocketAddr) -> bool) {
        let mut told = self.told.borrow_mut();
        told.retain(|address, _| is_listed(address));
    }
}

// How a limit is shown to operators.
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
    /// Takes what an answer of a backend server says of its limit; the request was sent at `sent`.
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
        let was_limited = self.take_limit(backend, saying, "answer");
        if was_limited && limit.is_none() {
            self.tell_end(backend, saying);
        }
    }

    // Counted for all, logged for those who look: a server could fill the log with it.
    fn note_unreadable_limit(&self, backend: &BackendInfo) {
        self.metrics.unreadable_limits.inc();
        log::debug!("{} names a limit that is none", backend.id);
    }

    // Gives whether the server was believed to be rate-limited.
    pub(super) fn take_limit(
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
        let shown = book.limits.update(backend.key(), saying, now);
        drop(book);
        self.note_for_others(backend, saying);
        if !was_limited {
            self.mark_own(backend);
        }
        if let Some(before) = shown {
            self.show_limit(backend, saying, before, from);
        }
        was_limited
    }

    fn note_for_others(&self, backend: &BackendInfo, saying: ReportedLimit) {
        let mut news = self.limits.news.borrow_mut();
        if news.record(backend.key(), saying, FindingSource::Reported, self.now()) {
            self.reported.notify_one();
            self.news.notify_waiters();
        }
    }

    fn show_limit(
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

    // Whoever allocates the permits there hears it from this host only if it asks, which it has no reason to do any more.
    fn tell_end(&self, backend: &BackendInfo, saying: ReportedLimit) {
        let Some(call) = self.permits.call() else {
            return;
        };
        let telling = call(
            backend.zone.clone(),
            PermitRequest {
                server: backend.key(),
                reported: saying,
                wanted: 0,
                rank: u8::MAX,
            },
        );
        tokio::task::spawn_local(async move {
            telling.await;
        });
    }

    // Whether this host allocates the permits at a server is asked for each request: it is worked out when that may change.
    fn mark_own(&self, backend: &BackendInfo) {
        let owner = self.owner(&backend.zone, backend.key());
        let is_own = owner.is_some_and(|owner| owner.name == self.settings.name);
        let mut book = self.book.borrow_mut();
        book.limits.set_own(backend.key(), is_own);
    }

    /// The backend servers or the hosts are others than before.
    pub fn mark_all_own(&self) {
        let limits = self.book.borrow().limits.servers();
        if limits.is_empty() {
            return;
        }
        let listed = self.book.borrow().listed(&limits.into_iter().collect());
        listed.iter().for_each(|backend| self.mark_own(backend));
    }

    /// Takes what another host told of rate-limited servers.
    pub fn take_limits(&self, marks: &[LimitUpdate], source: FindingSource) {
        let now = self.now();
        let mut shown = BTreeMap::new();
        let mut has_news = false;
        for mark in marks {
            let saying = ReportedLimit::from_age(mark.limit, mark.age, now);
            let taken = self
                .book
                .borrow_mut()
                .limits
                .update(mark.server, saying, now);
            if let Some(before) = taken {
                shown.insert(mark.server, (saying, before));
            }
            let mut news = self.limits.news.borrow_mut();
            has_news |= news.record(mark.server, saying, source, now);
        }
        self.show_told(&shown);
        if has_news {
            self.mark_all_own();
        }
        if !has_news {
            return;
        }
        if source == FindingSource::Reported {
            self.reported.notify_one();
        }
        self.news.notify_waiters();
    }

    // One line each, but for many at once.
    fn show_told(&self, shown: &BTreeMap<EngineKey, (ReportedLimit, Option<ServerLimit>)>) {
        let listed = match shown.is_empty() {
            true => return,
            false => self.book.borrow().listed(&shown.keys().copied().collect()),
        };
        for backend in listed.iter().take(SHOWN_MOST) {
            let (saying, before) = shown[&backend.key()];
            self.show_limit(backend, saying, before, "news");
        }
        let more = listed.len().saturating_sub(SHOWN_MOST);
        if more > 0 {
            log::info!("limits of {more} more servers were told at once");
        }
    }

    /// Takes what the host at an address told of rate-limited servers with its news.
    pub fn take_limit_updates(&self, news: &CacheUpdates<LimitUpdate>, from: SocketAddr) {
        self.take_limits(&news.findings, FindingSource::Distributed);
        if news.position.cache_id != 0 {
            self.limits.told.borrow_mut().insert(from, news.position);
        }
    }

    /// What an asker lacks that all hosts are to know of rate-limited servers.
    pub fn limit_updates(&self, known: CachePosition) -> CacheUpdates<LimitUpdate> {
        self.limits.news.borrow().since(known, self.now())
    }

    /// What another host is to hear of this one of rate-limited servers, after a revision; and the revision to which that goes.
    pub fn limits_to_report(&self, since: Option<u64>) -> (Vec<LimitUpdate>, u64) {
        self.limits.news.borrow().reported_since(since, self.now())
    }

    /// The rate-limited servers as a page for operators: one line each.
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
        let owner = self.owner(&backend.zone, server);
        let owner = owner.map_or_else(FastStr::default, |owner| owner.name);
        format!(
            "backend={} service={} zone={} limit={limit} age_ms={age} owner={owner:?} permits_held={held}\n",
            backend.id, backend.service, backend.zone
        )
    }

    /// Forgets limits that nobody has heard renewed for long, and permits that nobody asks for.
    pub fn forget_limits(&self) {
        let cluster = self.cluster.borrow();
        let is_listed = |name: &FastStr| cluster.hosts().any(|entry| entry.name == *name);
        self.permits.forget_old(is_listed, self.now());
        let gone = self.book.borrow_mut().limits.remove_expired(self.now());
        self.limits.news.borrow_mut().remove_expired(self.now());
        if !gone.is_empty() {
            log::info!("{} limits of servers were not heard for long", gone.len());
        }
    }
}

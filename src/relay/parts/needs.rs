//! Backend servers in need: hearing the limits that they name, and telling others of them.

use {
    super::shared::RelayParts,
    crate::{
        event,
        relay::{
            backend::BackendInfo,
            policy::{
                loads::EngineKey,
                need_book::LimitSaying,
                need_news::{NeedMark, NeedNews},
                server_limit::{LimitMark, ServerLimit},
                told_book::{BookNews, BookPlace, MarkSource},
                turn_desk::TurnAsk,
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

/// What hosts tell each other of servers in need.
#[derive(Debug)]
pub struct NeedDesk {
    news: RefCell<NeedNews>,
    // Up to where others told this host.
    told: RefCell<HashMap<SocketAddr, BookPlace>>,
}

impl NeedDesk {
    /// Nothing is known; `id` is drawn at random.
    pub(super) fn new(id: u64) -> Self {
        Self {
            news: RefCell::new(NeedNews::new(id)),
            told: RefCell::default(),
        }
    }

    /// Up to where this host was told the book of the host at an address.
    pub fn place_at(&self, address: SocketAddr) -> BookPlace {
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
        mark: LimitMark,
        kind: AnswerKind,
        sent: Duration,
    ) {
        let limit = match (mark, kind) {
            (LimitMark::Named(limit), _) => Some(limit),
            (LimitMark::Unreadable, _) => return self.note_unreadable_limit(backend),
            (LimitMark::Unsaid, AnswerKind::GoodRun) => None,
            (LimitMark::Unsaid, AnswerKind::Other) => return,
        };
        let age = self.now().saturating_sub(sent);
        let saying = LimitSaying::told(limit, age, self.now());
        let was_in_need = self.take_limit(backend, saying, "answer");
        if was_in_need && limit.is_none() {
            self.tell_end(backend, saying);
        }
    }

    // Counted for all, logged for those who look: a server could fill the log with it.
    fn note_unreadable_limit(&self, backend: &BackendInfo) {
        self.metrics.unreadable_limits.inc();
        log::debug!("{} names a limit that is none", backend.id);
    }

    // Gives whether the server was believed to be in need.
    pub(super) fn take_limit(
        &self,
        backend: &BackendInfo,
        saying: LimitSaying,
        from: &str,
    ) -> bool {
        let now = self.now();
        let mut book = self.book.borrow_mut();
        if !book.is_current(backend) {
            return false;
        }
        let was_in_need = book.needs.limit(backend.key()).is_some();
        if !was_in_need && saying.limit.is_none() {
            return false;
        }
        let shown = book.needs.take(backend.key(), saying, now);
        drop(book);
        self.note_for_others(backend, saying);
        if !was_in_need {
            self.mark_own(backend);
        }
        if let Some(before) = shown {
            self.show_limit(backend, saying, before, from);
        }
        was_in_need
    }

    fn note_for_others(&self, backend: &BackendInfo, saying: LimitSaying) {
        let mut news = self.needs.news.borrow_mut();
        if news.note(backend.key(), saying, MarkSource::Reported, self.now()) {
            self.reported.notify_one();
            self.news.notify_waiters();
        }
    }

    fn show_limit(
        &self,
        backend: &BackendInfo,
        saying: LimitSaying,
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

    // Whoever deals out the turns there hears it from this host only if it asks, which it has no reason to do any more.
    fn tell_end(&self, backend: &BackendInfo, saying: LimitSaying) {
        let Some(call) = self.turns.call() else {
            return;
        };
        let telling = call(
            backend.zone.clone(),
            TurnAsk {
                server: backend.key(),
                saying,
                wanted: 0,
                rank: u8::MAX,
            },
        );
        tokio::task::spawn_local(async move {
            telling.await;
        });
    }

    // Whether this host deals out the turns at a server is asked for each request: it is worked out when that may change.
    fn mark_own(&self, backend: &BackendInfo) {
        let keeper = self.keeper(&backend.zone, backend.key());
        let is_own = keeper.is_some_and(|keeper| keeper.name == self.settings.name);
        let mut book = self.book.borrow_mut();
        book.needs.set_own(backend.key(), is_own);
    }

    /// The backend servers or the hosts are others than before.
    pub fn mark_all_own(&self) {
        let needs = self.book.borrow().needs.servers();
        if needs.is_empty() {
            return;
        }
        let listed = self.book.borrow().listed(&needs.into_iter().collect());
        listed.iter().for_each(|backend| self.mark_own(backend));
    }

    /// Takes what another host told of servers in need.
    pub fn take_needs(&self, marks: &[NeedMark], source: MarkSource) {
        let now = self.now();
        let mut shown = BTreeMap::new();
        let mut has_news = false;
        for mark in marks {
            let saying = LimitSaying::told(mark.limit, mark.age, now);
            let taken = self.book.borrow_mut().needs.take(mark.server, saying, now);
            if let Some(before) = taken {
                shown.insert(mark.server, (saying, before));
            }
            let mut news = self.needs.news.borrow_mut();
            has_news |= news.note(mark.server, saying, source, now);
        }
        self.show_told(&shown);
        if has_news {
            self.mark_all_own();
        }
        if !has_news {
            return;
        }
        if source == MarkSource::Reported {
            self.reported.notify_one();
        }
        self.news.notify_waiters();
    }

    // One line each, but for many at once.
    fn show_told(&self, shown: &BTreeMap<EngineKey, (LimitSaying, Option<ServerLimit>)>) {
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

    /// Takes what the host at an address told of servers in need with its news.
    pub fn take_need_news(&self, news: &BookNews<NeedMark>, from: SocketAddr) {
        self.take_needs(&news.marks, MarkSource::Told);
        if news.place.book != 0 {
            self.needs.told.borrow_mut().insert(from, news.place);
        }
    }

    /// What an asker lacks that all hosts are to know of servers in need.
    pub fn need_news(&self, known: BookPlace) -> BookNews<NeedMark> {
        self.needs.news.borrow().since(known, self.now())
    }

    /// What another host is to hear of this one of servers in need, after a revision; and the revision to which that goes.
    pub fn needs_to_report(&self, since: Option<u64>) -> (Vec<NeedMark>, u64) {
        self.needs.news.borrow().reported_since(since, self.now())
    }

    /// The servers in need as a page for operators: one line each.
    pub fn needs_page(&self) -> String {
        let servers = self.book.borrow().needs.servers();
        let listed = self.book.borrow().listed(&servers.into_iter().collect());
        let lines = listed.iter().map(|backend| self.need_line(backend));
        lines.collect()
    }

    fn need_line(&self, backend: &BackendInfo) -> String {
        let now = self.now();
        let (server, book) = (backend.key(), self.book.borrow());
        let limit = ShownLimit(book.needs.limit(server));
        let age = book.needs.age(server, now).as_millis();
        let held = book.needs.held(server, now);
        let keeper = self.keeper(&backend.zone, server);
        let keeper = keeper.map_or_else(FastStr::default, |keeper| keeper.name);
        format!(
            "backend={} service={} zone={} limit={limit} age_ms={age} keeper={keeper:?} turns_held={held}\n",
            backend.id, backend.service, backend.zone
        )
    }

    /// Forgets limits that nobody has heard renewed for long, and turns that nobody asks for.
    pub fn forget_limits(&self) {
        let cluster = self.cluster.borrow();
        let is_listed = |name: &FastStr| cluster.hosts().any(|entry| entry.name == *name);
        self.turns.forget_old(is_listed, self.now());
        let gone = self.book.borrow_mut().needs.forget_old(self.now());
        self.needs.news.borrow_mut().forget_old(self.now());
        if !gone.is_empty() {
            log::info!("{} limits of servers were not heard for long", gone.len());
        }
    }
}

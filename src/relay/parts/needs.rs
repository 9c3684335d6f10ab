//! Backend servers in need: hearing the limits that they name, and turns for requests to them.

use {
    super::shared::RelayParts,
    crate::{
        event,
        operation::{Refusal, RefusalCode, RunVerdict},
        relay::{
            backend::BackendInfo,
            link::HostEntry,
            policy::{
                loads::EngineKey,
                need_book::{LimitSaying, TurnState, TurnWait},
                need_news::{NeedMark, NeedNews},
                server_limit::{LimitMark, ServerLimit},
                told_book::{BookNews, BookPlace, MarkSource},
                turn_desk::{TurnAsk, TurnDesk, TurnGrant},
                turn_keepers::TurnKeepers,
            },
        },
    },
    faststr::FastStr,
    futures::future::LocalBoxFuture,
    http::StatusCode,
    std::{
        cell::{Cell, RefCell},
        collections::{BTreeMap, HashMap},
        fmt,
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
};

/// Hosts that a host takes itself for one of before it knows any.
const HOSTS_UNKNOWN: usize = 64;

/// How long ago another host was heard of at the most by one that is in touch: hosts report twice a second.
const TOUCH_TIME: Duration = Duration::from_millis(2_000);

/// Part of a caller's wait that is added by draw: two are not sent back into the same turn.
const WAIT_SPREAD: f64 = 0.2;

/// Lines that are logged of limits that were told at once.
const SHOWN_MOST: usize = 16;

/// Asks the host that deals out the turns at a server of a zone.
pub type TurnCall = dyn Fn(FastStr, TurnAsk) -> LocalBoxFuture<'static, TurnGrant>;

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

/// The turns that this host deals out, for all hosts or for itself alone, and the way to the others that do.
pub struct TurnGate {
    desk: RefCell<TurnDesk>,
    // While it reaches nobody who deals them out for all.
    alone: RefCell<TurnDesk>,
    call: RefCell<Option<Rc<TurnCall>>>,
    // When another host last answered or asked.
    peer_heard: Cell<Option<Duration>>,
    /// Whom this host hears of those that deal them out.
    pub keepers: RefCell<TurnKeepers>,
    // What others are told, and up to where they told this host.
    news: RefCell<NeedNews>,
    told: RefCell<HashMap<SocketAddr, BookPlace>>,
}

impl fmt::Debug for TurnGate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("TurnGate")
    }
}

impl TurnGate {
    /// Nothing is known; `id` is drawn at random.
    pub(super) fn new(id: u64) -> Self {
        Self {
            desk: RefCell::default(),
            alone: RefCell::default(),
            call: RefCell::default(),
            peer_heard: Cell::default(),
            keepers: RefCell::default(),
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

    /// Takes the way to the hosts that deal out turns.
    pub fn set_call(&self, call: Rc<TurnCall>) {
        *self.call.borrow_mut() = Some(call);
    }
}

/// Leave to send one request to a backend server; given back when dropped unused.
#[must_use]
pub struct ServerTurn {
    parts: Rc<RelayParts>,
    // None where the server is in no need.
    server: Option<EngineKey>,
}

impl ServerTurn {
    /// The request is sent.
    pub fn use_up(mut self) {
        self.server = None;
    }
}

impl Drop for ServerTurn {
    fn drop(&mut self) {
        if let Some(server) = self.server.take() {
            let now = self.parts.now();
            self.parts.book.borrow_mut().needs.give_back(server, now);
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
    fn take_limit(&self, backend: &BackendInfo, saying: LimitSaying, from: &str) -> bool {
        let now = self.now();
        let mut book = self.book.borrow_mut();
        if !book.is_current(backend) {
            return false;
        }
        let was_in_need = book.needs.limit(backend.key()).is_some();
        let shown = book.needs.take(backend.key(), saying, now);
        drop(book);
        if was_in_need || saying.limit.is_some() {
            self.note_for_others(backend, saying);
        }
        if !was_in_need {
            self.mark_own(backend);
        }
        if let Some(before) = shown {
            self.show_limit(backend, saying, before, from);
        }
        was_in_need
    }

    fn note_for_others(&self, backend: &BackendInfo, saying: LimitSaying) {
        let mut news = self.turns.news.borrow_mut();
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
        let Some(call) = self.turns.call.borrow().clone() else {
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

    /// Leave to send a request of a rank to a backend server; otherwise when a turn there is likely.
    pub async fn take_turn(
        self: &Rc<Self>,
        backend: &BackendInfo,
        rank: u8,
    ) -> Result<ServerTurn, TurnWait> {
        let server = backend.key();
        // Asked for once: what is dealt out may go to another request of this host meanwhile.
        for has_asked in [false, true] {
            let now = self.now();
            let state = self.book.borrow().needs.turn(server, rank, now);
            match state {
                TurnState::Free => return Ok(self.turn_at(None)),
                TurnState::Held => {
                    let is_used = self.book.borrow_mut().needs.use_turn(server, now);
                    assert!(is_used, "a request to a server in need has a turn there");
                    return Ok(self.turn_at(Some(server)));
                }
                TurnState::Empty(time) => return Err(TurnWait { server, time }),
                TurnState::Ask if has_asked => break,
                TurnState::Ask => self.ask_turn(backend, rank).await,
            }
        }
        let time = Duration::ZERO;
        Err(TurnWait { server, time })
    }

    fn turn_at(self: &Rc<Self>, server: Option<EngineKey>) -> ServerTurn {
        ServerTurn {
            parts: self.clone(),
            server,
        }
    }

    async fn ask_turn(&self, backend: &BackendInfo, rank: u8) {
        let server = backend.key();
        let ask = self.book.borrow().needs.ask(server, rank, self.now());
        let Some(ask) = ask else { return };
        let call = self.turns.call.borrow().clone();
        let grant = match call {
            Some(call) => call(backend.zone.clone(), ask).await,
            // Hosts of the own interface: nobody deals them out for all.
            None => self.deal_alone(&ask),
        };
        self.take_limit(backend, grant.saying, "host");
        let now = self.now();
        let mut book = self.book.borrow_mut();
        book.needs.take_grant(server, rank, &grant, now);
    }

    /// Deals out turns to all hosts. What their answers said this host then knows as well.
    pub fn deal_turns(&self, ask: &TurnAsk) -> TurnGrant {
        let now = self.now();
        let grant = self.turns.desk.borrow_mut().deal(ask, now);
        let mut book = self.book.borrow_mut();
        if book.needs.limit(ask.server).is_some() {
            book.needs.take(ask.server, grant.saying, now);
        }
        grant
    }

    /// Deals out turns to this host alone, which reaches nobody who deals them out for all.
    pub fn deal_alone(&self, ask: &TurnAsk) -> TurnGrant {
        let hosts = match self.cluster.borrow().hosts_revision() {
            0 => HOSTS_UNKNOWN,
            _ => self.others_left() + 1,
        };
        let mut desk = self.turns.alone.borrow_mut();
        desk.deal_alone(ask, hosts, rand::random(), self.now())
    }

    /// Another host answered or asked.
    pub fn note_peer(&self) {
        self.turns.peer_heard.set(Some(self.now()));
    }

    /// Whether this host hears of others, or is the only one.
    pub fn is_in_touch(&self) -> bool {
        let now = self.now();
        let heard = self.turns.peer_heard.get();
        let is_heard = heard.is_some_and(|at| now.saturating_sub(at) < TOUCH_TIME);
        let knows_hosts = self.cluster.borrow().hosts_revision() > 0;
        is_heard || (knows_hosts && self.others_left() == 0)
    }

    // Other hosts that are listed, less those that are gone for sure.
    fn others_left(&self) -> usize {
        let others = self.cluster.borrow().host_count() - 1;
        others.saturating_sub(self.turns.keepers.borrow().gone())
    }

    /// The refusal of a request for which servers in need have no turn before a time is over.
    pub fn no_turn(&self, service: &FastStr, verdict: RunVerdict, wait: TurnWait) -> Refusal {
        self.metrics.held_back(service);
        self.book.borrow_mut().needs.note_sent_away(wait.server);
        let spread = rand::random_range(1.0..=1.0 + WAIT_SPREAD);
        let text = format!(
            "the servers of {service} that could take it name how much they take, and no turn is left"
        );
        Refusal::new(verdict, RefusalCode::Overloaded, text).after(wait.time.mul_f64(spread))
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

    /// The host that deals out the turns at a server of a zone, as this one sees it; none where it hears none.
    pub fn keeper(&self, zone: &str, server: EngineKey) -> Option<HostEntry> {
        let cluster = self.cluster.borrow();
        let keepers = self.turns.keepers.borrow();
        let keeper = keepers.keeper(cluster.hosts(), zone, server, self.now());
        keeper.cloned()
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
            let mut news = self.turns.news.borrow_mut();
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
            self.turns.told.borrow_mut().insert(from, news.place);
        }
    }

    /// What an asker lacks that all hosts are to know of servers in need.
    pub fn need_news(&self, known: BookPlace) -> BookNews<NeedMark> {
        self.turns.news.borrow().since(known, self.now())
    }

    /// What another host is to hear of this one of servers in need, after a revision; and the revision to which that goes.
    pub fn needs_to_report(&self, since: Option<u64>) -> (Vec<NeedMark>, u64) {
        self.turns.news.borrow().reported_since(since, self.now())
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
        for desk in [&self.turns.desk, &self.turns.alone] {
            desk.borrow_mut().forget_old(self.now());
        }
        let cluster = self.cluster.borrow();
        let is_listed = |name: &FastStr| cluster.hosts().any(|entry| entry.name == *name);
        self.turns.keepers.borrow_mut().keep_listed(is_listed);
        let gone = self.book.borrow_mut().needs.forget_old(self.now());
        self.turns.news.borrow_mut().forget_old(self.now());
        if !gone.is_empty() {
            log::info!("{} limits of servers were not heard for long", gone.len());
        }
    }
}

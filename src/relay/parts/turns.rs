//! Turns for requests to backend servers in need: taking them, and dealing them out.

use {
    super::shared::RelayParts,
    crate::{
        operation::{Refusal, RefusalCode, RunVerdict},
        relay::{
            backend::BackendInfo,
            link::HostEntry,
            policy::{
                loads::EngineKey,
                need_book::{TurnState, TurnWait},
                turn_desk::{TurnAsk, TurnDesk, TurnGrant},
                turn_keepers::TurnKeepers,
            },
        },
    },
    faststr::FastStr,
    futures::future::LocalBoxFuture,
    std::{
        cell::{Cell, RefCell},
        fmt,
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

/// Asks the host that deals out the turns at a server of a zone.
pub type TurnCall = dyn Fn(FastStr, TurnAsk) -> LocalBoxFuture<'static, TurnGrant>;

/// The turns that this host deals out, for all hosts or for itself alone, and the way to the others that do.
#[derive(Default)]
pub struct TurnGate {
    desk: RefCell<TurnDesk>,
    // While it reaches nobody who deals them out for all.
    alone: RefCell<TurnDesk>,
    call: RefCell<Option<Rc<TurnCall>>>,
    // When another host last answered or asked.
    peer_heard: Cell<Option<Duration>>,
    /// Whom this host hears of those that deal them out.
    pub keepers: RefCell<TurnKeepers>,
}

impl fmt::Debug for TurnGate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("TurnGate")
    }
}

impl TurnGate {
    /// Takes the way to the hosts that deal out turns.
    pub fn set_call(&self, call: Rc<TurnCall>) {
        *self.call.borrow_mut() = Some(call);
    }

    /// The way there; none where nobody deals them out for all.
    pub(super) fn call(&self) -> Option<Rc<TurnCall>> {
        self.call.borrow().clone()
    }

    /// Forgets turns that nobody asks for, and hosts that are listed no longer.
    pub(super) fn forget_old(&self, is_listed: impl Fn(&FastStr) -> bool, now: Duration) {
        for desk in [&self.desk, &self.alone] {
            desk.borrow_mut().forget_old(now);
        }
        self.keepers.borrow_mut().keep_listed(is_listed);
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
        let grant = match self.turns.call() {
            Some(call) => call(backend.zone.clone(), ask).await,
            None => self.deal_share(&ask),
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
        let mut desk = self.turns.alone.borrow_mut();
        desk.deal_alone(ask, self.sharing_hosts(), rand::random(), self.now())
    }

    // The same where no host deals them out for all, as on the own interface.
    fn deal_share(&self, ask: &TurnAsk) -> TurnGrant {
        let mut desk = self.turns.alone.borrow_mut();
        desk.deal_share(ask, self.sharing_hosts(), rand::random(), self.now())
    }

    fn sharing_hosts(&self) -> usize {
        match self.cluster.borrow().hosts_revision() {
            0 => HOSTS_UNKNOWN,
            _ => self.others_left() + 1,
        }
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

    /// The host that deals out the turns at a server of a zone, as this one sees it; none where it hears none.
    pub fn keeper(&self, zone: &str, server: EngineKey) -> Option<HostEntry> {
        let cluster = self.cluster.borrow();
        let keepers = self.turns.keepers.borrow();
        let keeper = keepers.keeper(cluster.hosts(), zone, server, self.now());
        keeper.cloned()
    }
}

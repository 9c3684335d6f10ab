//! Places of contended plain servers: finds out which servers are contended, acquires places for this host's requests,
//! and leases places to other hosts.

use {
    super::shared::RelayParts,
    crate::relay::{
        admission::places::{
            contended_servers::{CONTENDED_TTL, ContendedServers, PlaceChoice},
            isolated_places::IsolatedPlaces,
            place_allocator::{PlaceAllocator, PlaceOutcome},
            place_request::{MAX_PLACE_WAIT, PlaceAnswer, PlaceEnd, PlaceRequest, PlaceReturn},
        },
        backend::BackendInfo,
        config::RelayRoute,
        policy::loads::EngineKey,
    },
    faststr::FastStr,
    futures::future::LocalBoxFuture,
    std::{
        cell::{Cell, RefCell},
        collections::{BTreeSet, HashMap},
        fmt,
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
    tokio::sync::{Notify, oneshot},
};

/// Shortest time until waiting requests are decided again.
const MIN_DECISION_INTERVAL: Duration = Duration::from_millis(1);

/// Requests a place at a server of an availability zone from the host that leases them.
pub type PlaceCall = dyn Fn(FastStr, PlaceRequest) -> LocalBoxFuture<'static, LeasedPlace>;

/// The host that leased a place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlaceLessor {
    /// This host, for all hosts.
    Own,
    /// The host at this address.
    Host(SocketAddr),
    /// This host, for itself while it reaches no other.
    Isolated,
}

/// The answer to a request for a place.
#[derive(Debug, Clone, Copy)]
pub struct LeasedPlace {
    /// The answer.
    pub answer: PlaceAnswer,
    /// The host that gave it.
    pub lessor: PlaceLessor,
}

/// The contended servers, the places that this host leases to all hosts, and those that it has to give back.
pub struct PlaceGate {
    pub(super) contended: RefCell<ContendedServers>,
    pub(super) allocator: RefCell<PlaceAllocator>,
    pub(super) isolated: RefCell<IsolatedPlaces>,
    // Answers to requests that wait here, by their numbers.
    waiting: RefCell<HashMap<u64, oneshot::Sender<PlaceAnswer>>>,
    returns: RefCell<HashMap<SocketAddr, Vec<PlaceReturn>>>,
    /// Notified when there are places to give back to other hosts.
    pub returns_added: Notify,
    call: RefCell<Option<Rc<PlaceCall>>>,
}

impl fmt::Debug for PlaceGate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("PlaceGate")
    }
}

impl PlaceGate {
    /// No contended servers. `first_lease` is a random number.
    pub(super) fn new(first_lease: u64) -> Self {
        Self {
            contended: RefCell::default(),
            allocator: RefCell::new(PlaceAllocator::new(first_lease)),
            isolated: RefCell::default(),
            waiting: RefCell::default(),
            returns: RefCell::default(),
            returns_added: Notify::new(),
            call: RefCell::default(),
        }
    }

    /// Sets the function that requests places.
    pub fn set_call(&self, call: Rc<PlaceCall>) {
        *self.call.borrow_mut() = Some(call);
    }

    /// Whether hosts lease places to each other.
    pub(super) fn has_call(&self) -> bool {
        self.call.borrow().is_some()
    }

    /// Whether no server is contended, so that requests need no places.
    pub fn is_idle(&self) -> bool {
        self.contended.borrow().is_empty()
    }

    /// Whether requests to a server need a place.
    pub fn is_contended(&self, server: EngineKey, now: Duration) -> bool {
        self.contended.borrow().is_contended(server, now)
    }

    /// Chooses among servers in order of preference.
    pub fn choose(&self, ranked: &[BackendInfo], now: Duration) -> Option<PlaceChoice> {
        let keys: Vec<EngineKey> = ranked.iter().map(BackendInfo::key).collect();
        self.contended.borrow().choose(&keys, now)
    }

    /// Takes the places to be given back to a host.
    pub fn take_returns(&self, lessor: SocketAddr) -> Vec<PlaceReturn> {
        let returns = self.returns.borrow_mut().remove(&lessor);
        returns.unwrap_or_default()
    }

    /// Adds places to be given back to a host.
    pub fn add_returns(&self, lessor: SocketAddr, added: Vec<PlaceReturn>) {
        if added.is_empty() {
            return;
        }
        let mut returns = self.returns.borrow_mut();
        returns.entry(lessor).or_default().extend(added);
        self.returns_added.notify_one();
    }

    /// The hosts to which places have to be given back.
    pub fn lessors(&self) -> Vec<SocketAddr> {
        self.returns.borrow().keys().copied().collect()
    }
}

/// A place at a contended server. Given back when it is dropped.
pub struct HeldPlace {
    parts: Rc<RelayParts>,
    server: EngineKey,
    lease: u64,
    lessor: PlaceLessor,
    taken_at: Duration,
    end: Cell<PlaceEnd>,
}

impl HeldPlace {
    /// Records how the request ended.
    pub fn set_end(&self, end: PlaceEnd) {
        self.end.set(end);
    }
}

impl Drop for HeldPlace {
    fn drop(&mut self) {
        let mut contended = self.parts.places.contended.borrow_mut();
        contended.note_released(self.server, self.taken_at);
        drop(contended);
        let end = match self.end.get() {
            // The place was in use until the end of the response, which may be a stream.
            PlaceEnd::Answered(_) => {
                PlaceEnd::Answered(self.parts.now().saturating_sub(self.taken_at))
            }
            end => end,
        };
        let returned = PlaceReturn {
            server: self.server,
            lease: self.lease,
            end,
        };
        match self.lessor {
            PlaceLessor::Own => self.parts.take_back_places(&[returned]),
            PlaceLessor::Host(address) => {
                self.parts.places.add_returns(address, vec![returned]);
            }
            PlaceLessor::Isolated => {}
        }
    }
}

// Withdraws a request that waits for a place if its host no longer waits for the answer.
struct WaitingPlace {
    parts: Rc<RelayParts>,
    server: EngineKey,
    ticket: u64,
    answer: oneshot::Receiver<PlaceAnswer>,
}

impl Drop for WaitingPlace {
    fn drop(&mut self) {
        let places = &self.parts.places;
        places.waiting.borrow_mut().remove(&self.ticket);
        let mut allocator = places.allocator.borrow_mut();
        allocator.withdraw(self.server, self.ticket);
        drop(allocator);
        if let Ok(PlaceAnswer {
            lease: Some(lease), ..
        }) = self.answer.try_recv()
        {
            self.parts.take_back_places(&[PlaceReturn {
                server: self.server,
                lease,
                end: PlaceEnd::Unused,
            }]);
        }
    }
}

/// What a request needs of a place.
#[derive(Debug, Clone, Copy)]
pub struct PlaceNeed<'a> {
    /// The route of the request.
    pub route: &'a RelayRoute,
    /// Its priority.
    pub priority: u8,
    /// Time since it was received.
    pub age: Duration,
    /// Time until its deadline.
    pub time_left: Duration,
    /// Whether it may wait.
    pub may_wait: bool,
}

impl RelayParts {
    /// Acquires a place at a contended server. The error says when the caller may come back.
    pub async fn acquire_place(
        self: &Rc<Self>,
        backend: &BackendInfo,
        need: PlaceNeed<'_>,
    ) -> Result<HeldPlace, Duration> {
        let server = backend.key();
        let started = self.now();
        let service_time = {
            let contended = self.places.contended.borrow();
            contended.service_time(server, &need.route.name)
        };
        let request = PlaceRequest {
            server,
            slots: backend.slots,
            priority: need.priority,
            in_time: need.route.latency_target.saturating_sub(need.age),
            time_left: need.time_left,
            service_time,
            may_wait: need.may_wait,
        };
        self.metrics.places.asked.inc();
        let place = self.request_place(backend, request).await;
        let wait = self.now().saturating_sub(started);
        self.metrics
            .places
            .waited_ms
            .inc_by(wait.as_millis() as u64);
        match &place {
            Ok(_) => self.metrics.places.granted.inc(),
            Err(_) => self.metrics.places.refused.inc(),
        };
        place
    }

    // Runs as a task of its own, so that a place that is granted after the caller has left is given back.
    async fn request_place(
        self: &Rc<Self>,
        backend: &BackendInfo,
        request: PlaceRequest,
    ) -> Result<HeldPlace, Duration> {
        let call = self.places.call.borrow().clone();
        let (sender, receiver) = oneshot::channel();
        let (parts, backend) = (self.clone(), backend.clone());
        tokio::task::spawn_local(async move {
            let leased = match call {
                Some(call) => call(backend.zone.clone(), request).await,
                None => parts.use_isolated_place(&request),
            };
            let place = parts.take_leased(&request, leased);
            if sender.send(place).is_err() {
                log::debug!(
                    "the caller left while a place at {} was requested",
                    backend.id
                );
            }
        });
        receiver.await.unwrap_or(Err(Duration::ZERO))
    }

    fn take_leased(
        self: &Rc<Self>,
        request: &PlaceRequest,
        leased: LeasedPlace,
    ) -> Result<HeldPlace, Duration> {
        let LeasedPlace { answer, lessor } = leased;
        let mut contended = self.places.contended.borrow_mut();
        let now = self.now();
        contended.note_answer(request.server, answer.contended, answer.wait, now);
        let lease = answer.lease.ok_or(answer.wait)?;
        contended.note_taken(request.server, now);
        drop(contended);
        Ok(HeldPlace {
            parts: self.clone(),
            server: request.server,
            lease,
            lessor,
            taken_at: now,
            end: Cell::default(),
        })
    }

    /// Leases a place to any host, once there is one for it in order.
    pub async fn lease_place(self: Rc<Self>, request: PlaceRequest) -> PlaceAnswer {
        let server = request.server;
        let outcome = {
            let mut allocator = self.places.allocator.borrow_mut();
            allocator.request(&request, self.now())
        };
        match outcome {
            PlaceOutcome::Answered(answer) => {
                self.decide_places(server);
                answer
            }
            PlaceOutcome::Waiting(ticket) => self.await_place(server, ticket).await,
        }
    }

    async fn await_place(self: Rc<Self>, server: EngineKey, ticket: u64) -> PlaceAnswer {
        let (sender, answer) = oneshot::channel();
        self.places.waiting.borrow_mut().insert(ticket, sender);
        let mut waiting = WaitingPlace {
            parts: self.clone(),
            server,
            ticket,
            answer,
        };
        let started = self.now();
        loop {
            let waited = self.now().saturating_sub(started);
            self.decide_places(server);
            assert!(
                waited <= MAX_PLACE_WAIT || !self.places.waiting.borrow().contains_key(&ticket),
                "a request for a place is decided within the bound"
            );
            let next = self
                .places
                .allocator
                .borrow()
                .next_change(server, self.now());
            let pause = next.map_or(MIN_DECISION_INTERVAL, |next| {
                next.saturating_sub(self.now())
            });
            tokio::select! {
                answer = &mut waiting.answer => return answer.unwrap_or_default(),
                () = tokio::time::sleep(pause.max(MIN_DECISION_INTERVAL)) => {}
            }
        }
    }

    // Answers requests that wait for places of a server and are decided now.
    fn decide_places(&self, server: EngineKey) {
        let decided = {
            let mut allocator = self.places.allocator.borrow_mut();
            allocator.advance(server, self.now())
        };
        for (ticket, answer) in decided {
            let sender = self.places.waiting.borrow_mut().remove(&ticket);
            // A request that was dropped meanwhile takes its answer back itself.
            let unsent = sender.is_none_or(|sender| sender.send(answer).is_err());
            if let Some(lease) = answer.lease
                && unsent
            {
                let returned = PlaceReturn {
                    server,
                    lease,
                    end: PlaceEnd::Unused,
                };
                let mut allocator = self.places.allocator.borrow_mut();
                allocator.give_back(&returned, self.now());
            }
        }
    }

    /// Takes back places that this host leased; those of other hosts are ignored.
    pub fn take_back_places(&self, returns: &[PlaceReturn]) {
        let mut allocator = self.places.allocator.borrow_mut();
        for returned in returns {
            allocator.give_back(returned, self.now());
        }
        drop(allocator);
        let servers: BTreeSet<EngineKey> = returns.iter().map(|it| it.server).collect();
        servers
            .into_iter()
            .for_each(|server| self.decide_places(server));
    }

    /// Uses a place of this host's small share, while it reaches no host that leases places.
    pub fn use_isolated_place(&self, request: &PlaceRequest) -> LeasedPlace {
        let taken = {
            let mut isolated = self.places.isolated.borrow_mut();
            isolated.take(request, self.share_count(), rand::random(), self.now())
        };
        LeasedPlace {
            answer: PlaceAnswer {
                lease: taken.is_ok().then_some(0),
                wait: taken.err().unwrap_or_default(),
                contended: CONTENDED_TTL,
            },
            lessor: PlaceLessor::Isolated,
        }
    }
}

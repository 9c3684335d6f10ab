//! Requests places at a contended plain server from the host that leases them, the owner, and gives them back. A host that
//! reaches no owner uses a part of its own share.

use {
    super::rpc::NewsClient,
    crate::relay::{
        admission::places::place_request::{
            MAX_PLACE_WAIT, PlaceAnswer, PlaceMessage, PlaceRequest, PlaceReturn,
        },
        critical_task,
        link::HostEntry,
        parts::{
            places::{LeasedPlace, PlaceLessor},
            shared::RelayParts,
        },
        policy::loads::EngineKey,
    },
    capnp::ErrorKind,
    faststr::FastStr,
    futures::FutureExt,
    std::{cell::RefCell, collections::HashMap, net::SocketAddr, rc::Rc, time::Duration},
};

/// Longest time from a request to its answer, or to the use of an own share. Callers must not stall for longer.
const MAX_STALL: Duration = Duration::from_millis(300);

/// Time in which an owner answers in addition to the wait for a place: hosts are a millisecond apart, but some run slowly
/// for a while.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(80);

/// Timeout of a forwarded request that does not wait, shorter because the original requester is waiting for it.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(35);

/// Shortest time in which it makes sense to ask a further owner.
const MIN_ANSWER_TIME: Duration = Duration::from_millis(20);

/// How long places are collected before they are given back in one message.
const RETURN_DELAY: Duration = Duration::from_millis(3);

/// Timeout of a message that gives places back. The owner takes them back at their expiry if it is lost.
const RETURN_TIMEOUT: Duration = Duration::from_millis(250);

/// How often giving places back is tried before they are left to expire.
const RETURN_ATTEMPTS: u32 = 3;

/// How often other hosts are told which servers are still contended, if they need to know.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(500);

/// How long the owner of a server's places is remembered, since finding it takes a look at all hosts. A host that is asked
/// though it is not the owner any more forwards the request.
const OWNER_TTL: Duration = Duration::from_millis(500);

// The owner of a server's places; `None` if no owner answered.
#[derive(Debug, Clone)]
struct KnownOwner {
    owner: Option<HostEntry>,
    until: Duration,
}

// A lease that was granted by the owner at an address, until its request's deadline.
#[derive(Debug, Clone, Copy)]
struct ForwardedLease {
    owner: SocketAddr,
    expiry: Duration,
}

/// Client and server side of the messages about places.
pub struct PlaceService {
    parts: Rc<RelayParts>,
    client: Rc<NewsClient>,
    owners: RefCell<HashMap<EngineKey, KnownOwner>>,
    // Leases that another owner granted to a host that asked this one, by their numbers.
    forwarded: RefCell<HashMap<u64, ForwardedLease>>,
}

impl PlaceService {
    /// Starts its tasks and lets the host's requests ask for places through it.
    pub fn start(parts: Rc<RelayParts>, client: Rc<NewsClient>) -> Rc<Self> {
        let places = Rc::new(Self {
            parts: parts.clone(),
            client,
            owners: RefCell::default(),
            forwarded: RefCell::default(),
        });
        critical_task::spawn_critical("place returns", places.clone().run_returns());
        critical_task::spawn_critical("contended servers", places.clone().run_renewal());
        let requester = places.clone();
        let call = move |zone, request| requester.clone().request(zone, request).boxed_local();
        parts.places.set_call(Rc::new(call));
        places
    }

    /// Answers a host that considers this one the owner. If this host knows another owner, it forwards the message there,
    /// so that a single host leases the places although the requester cannot reach it.
    pub async fn answer(self: Rc<Self>, message: PlaceMessage, is_forwarded: bool) -> PlaceAnswer {
        self.take_back(message.returns);
        let Some(request) = message.request else {
            return PlaceAnswer::default();
        };
        let owner = self.owner(&self.parts.settings.zone, request.server);
        let other = owner.filter(|owner| owner.name != self.parts.settings.name);
        if let Some(owner) = other
            && !is_forwarded
        {
            let message = PlaceMessage {
                request: Some(request),
                returns: Vec::new(),
            };
            let timeout = FORWARD_TIMEOUT + wait_time(&request);
            if let Some(answer) = self.send(&owner, message, true, timeout).await {
                self.remember_lease(&request, &answer, owner.peers);
                return answer;
            }
        }
        self.parts.clone().lease_place(request).await
    }

    // Takes places back, and passes those on that another owner leased.
    fn take_back(&self, returns: Vec<PlaceReturn>) {
        let mut own = Vec::new();
        for returned in returns {
            match self.forwarded.borrow_mut().remove(&returned.lease) {
                Some(lease) => self.parts.places.add_returns(lease.owner, vec![returned]),
                None => own.push(returned),
            }
        }
        self.parts.take_back_places(&own);
    }

    fn remember_lease(&self, request: &PlaceRequest, answer: &PlaceAnswer, owner: SocketAddr) {
        let Some(lease) = answer.lease else {
            return;
        };
        let expiry = self.parts.now() + request.time_left;
        let forwarded = ForwardedLease { owner, expiry };
        self.forwarded.borrow_mut().insert(lease, forwarded);
    }

    async fn request(self: Rc<Self>, zone: FastStr, request: PlaceRequest) -> LeasedPlace {
        let started = self.parts.now();
        let mut request = request;
        loop {
            let stall = self.parts.now().saturating_sub(started);
            let time_left = MAX_STALL.min(request.time_left).saturating_sub(stall);
            request.may_wait &= time_left >= ANSWER_TIMEOUT + MAX_PLACE_WAIT;
            let owner = self.owner(&zone, request.server);
            let Some(owner) = owner else {
                return self.parts.use_isolated_place(&request);
            };
            if time_left < MIN_ANSWER_TIME {
                self.remember_owner(request.server, None);
                return self.parts.use_isolated_place(&request);
            }
            if owner.name == self.parts.settings.name {
                return self.request_own(request).await;
            }
            let timeout = (ANSWER_TIMEOUT + wait_time(&request)).min(time_left);
            let returns = self.parts.places.take_returns(owner.peers);
            let message = PlaceMessage {
                request: Some(request),
                returns: returns.clone(),
            };
            if let Some(answer) = self.send(&owner, message, false, timeout).await {
                return LeasedPlace {
                    answer,
                    lessor: PlaceLessor::Host(owner.peers),
                };
            }
            // A place that is given back twice counts once.
            self.parts.places.add_returns(owner.peers, returns);
        }
    }

    fn owner(&self, zone: &str, server: EngineKey) -> Option<HostEntry> {
        let now = self.parts.now();
        let owners = self.owners.borrow();
        let known = owners.get(&server).filter(|known| now < known.until);
        if let Some(known) = known {
            return known.owner.clone();
        }
        drop(owners);
        let owner = self.parts.permit_owner(zone, server);
        self.remember_owner(server, owner.clone());
        owner
    }

    fn remember_owner(&self, server: EngineKey, owner: Option<HostEntry>) {
        let until = self.parts.now() + OWNER_TTL;
        let known = KnownOwner { owner, until };
        self.owners.borrow_mut().insert(server, known);
    }

    fn forget_owner(&self, name: &FastStr) {
        self.owners.borrow_mut().retain(|_, known| {
            let owner = known.owner.as_ref();
            owner.is_none_or(|owner| owner.name != *name)
        });
    }

    // Uses own shares for a while at the servers whose places a host does not lease.
    fn disown(&self, name: &FastStr) {
        let until = self.parts.now() + OWNER_TTL;
        for known in self.owners.borrow_mut().values_mut() {
            if known
                .owner
                .as_ref()
                .is_some_and(|owner| owner.name == *name)
            {
                *known = KnownOwner { owner: None, until };
            }
        }
    }

    // A host that is isolated from all others does not know which places they use.
    async fn request_own(&self, request: PlaceRequest) -> LeasedPlace {
        match self.parts.has_peer_contact() {
            true => LeasedPlace {
                answer: self.parts.clone().lease_place(request).await,
                lessor: PlaceLessor::Own,
            },
            false => self.parts.use_isolated_place(&request),
        }
    }

    async fn send(
        &self,
        owner: &HostEntry,
        message: PlaceMessage,
        is_forwarded: bool,
        timeout: Duration,
    ) -> Option<PlaceAnswer> {
        self.parts.metrics.places.messages.inc();
        let call = self
            .client
            .lease(owner.peers, &message, is_forwarded, timeout);
        let answer = call.await;
        let mut owners = self.parts.permits.owners.borrow_mut();
        match answer {
            Ok(answer) => {
                owners.record_response(&owner.name);
                Some(answer)
            }
            Err(error) => {
                log::debug!("cannot request a place from host {}: {error}", owner.name);
                // A host of an earlier version leases no places, but allocates permits.
                if error.kind == ErrorKind::Unimplemented {
                    drop(owners);
                    self.disown(&owner.name);
                    return None;
                }
                let is_gone = error.kind == ErrorKind::Disconnected;
                owners.record_no_response(&owner.name, is_gone, self.parts.now());
                self.forget_owner(&owner.name);
                None
            }
        }
    }

    // Gives places back that no request for another place has taken along.
    async fn run_returns(self: Rc<Self>) {
        loop {
            self.parts.places.returns_added.notified().await;
            tokio::time::sleep(RETURN_DELAY).await;
            for lessor in self.parts.places.lessors() {
                tokio::task::spawn_local(self.clone().give_back(lessor));
            }
        }
    }

    async fn run_renewal(self: Rc<Self>) {
        loop {
            tokio::time::sleep(RENEWAL_INTERVAL).await;
            self.parts.renew_contention();
            let now = self.parts.now();
            self.owners
                .borrow_mut()
                .retain(|_, known| now < known.until);
            self.forwarded
                .borrow_mut()
                .retain(|_, lease| now < lease.expiry);
        }
    }

    async fn give_back(self: Rc<Self>, lessor: SocketAddr) {
        let message = PlaceMessage {
            request: None,
            returns: self.parts.places.take_returns(lessor),
        };
        if message.returns.is_empty() {
            return;
        }
        for _ in 0..RETURN_ATTEMPTS {
            self.parts.metrics.places.messages.inc();
            let call = self.client.lease(lessor, &message, true, RETURN_TIMEOUT);
            match call.await {
                Ok(_) => return,
                Err(error) => {
                    log::debug!("cannot give places back to the host at {lessor}: {error}");
                }
            }
        }
    }
}

// How long the owner may hold a request until it answers.
fn wait_time(request: &PlaceRequest) -> Duration {
    match request.may_wait {
        true => MAX_PLACE_WAIT.min(request.in_time),
        false => Duration::ZERO,
    }
}

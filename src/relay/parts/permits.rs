//! Permits for requests to rate-limited backend servers: taking them, and allocating them.

use {
    super::shared::RelayParts,
    crate::{
        operation::{Refusal, RefusalCode, RunVerdict},
        relay::{
            backend::BackendInfo,
            link::HostEntry,
            policy::{
                limit_tracker::{PermitState, PermitWait},
                loads::EngineKey,
                permit_allocator::{PermitAllocator, PermitGrant, PermitRequest},
                permit_owners::PermitOwners,
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

/// Part of a caller's wait that is added by draw: two are not sent back for the same permit.
const WAIT_SPREAD: f64 = 0.2;

/// Asks the host that allocates the permits at a server of a zone.
pub type PermitCall = dyn Fn(FastStr, PermitRequest) -> LocalBoxFuture<'static, PermitGrant>;

/// The permits that this host allocates, for all hosts or for itself alone, and the way to the others that do.
#[derive(Default)]
pub struct PermitGate {
    allocator: RefCell<PermitAllocator>,
    // While it reaches nobody who allocates them for all.
    alone: RefCell<PermitAllocator>,
    call: RefCell<Option<Rc<PermitCall>>>,
    // When another host last answered or asked.
    peer_heard: Cell<Option<Duration>>,
    /// Whom this host hears of those that allocate them.
    pub owners: RefCell<PermitOwners>,
}

impl fmt::Debug for PermitGate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("PermitGate")
    }
}

impl PermitGate {
    /// Takes the way to the hosts that allocate permits.
    pub fn set_call(&self, call: Rc<PermitCall>) {
        *self.call.borrow_mut() = Some(call);
    }

    /// The way there; none where nobody allocates them for all.
    pub(super) fn call(&self) -> Option<Rc<PermitCall>> {
        self.call.borrow().clone()
    }

    /// Forgets permits that nobody asks for, and hosts that are listed no longer.
    pub(super) fn forget_old(&self, is_listed: impl Fn(&FastStr) -> bool, now: Duration) {
        for allocator in [&self.allocator, &self.alone] {
            allocator.borrow_mut().remove_expired(now);
        }
        self.owners.borrow_mut().retain_listed(is_listed);
    }
}

/// Leave to send one request to a backend server; given back when dropped unused.
#[must_use]
pub struct ServerPermit {
    parts: Rc<RelayParts>,
    // None where the server is not rate-limited.
    server: Option<EngineKey>,
}

impl ServerPermit {
    /// The request is sent.
    pub fn use_up(mut self) {
        self.server = None;
    }
}

impl Drop for ServerPermit {
    fn drop(&mut self) {
        if let Some(server) = self.server.take() {
            let now = self.parts.now();
            self.parts
                .book
                .borrow_mut()
                .limits
                .return_permit(server, now);
        }
    }
}

impl RelayParts {
    /// Leave to send a request of a rank to a backend server; otherwise when a permit there is likely.
    pub async fn take_permit(
        self: &Rc<Self>,
        backend: &BackendInfo,
        rank: u8,
    ) -> Result<ServerPermit, PermitWait> {
        let server = backend.key();
        // Asked for once: what is allocated may go to another request of this host meanwhile.
        for has_asked in [false, true] {
            let now = self.now();
            let state = self.book.borrow().limits.permit(server, rank, now);
            match state {
                PermitState::Unlimited => return Ok(self.permit_at(None)),
                PermitState::Held => {
                    let is_used = self.book.borrow_mut().limits.use_permit(server, now);
                    assert!(
                        is_used,
                        "a request to a rate-limited server has a permit there"
                    );
                    return Ok(self.permit_at(Some(server)));
                }
                PermitState::Denied(time) => return Err(PermitWait { server, time }),
                PermitState::MustRequest if has_asked => break,
                PermitState::MustRequest => self.request_permit(backend, rank).await,
            }
        }
        let time = Duration::ZERO;
        Err(PermitWait { server, time })
    }

    fn permit_at(self: &Rc<Self>, server: Option<EngineKey>) -> ServerPermit {
        ServerPermit {
            parts: self.clone(),
            server,
        }
    }

    async fn request_permit(&self, backend: &BackendInfo, rank: u8) {
        let server = backend.key();
        let ask = self
            .book
            .borrow()
            .limits
            .permit_request(server, rank, self.now());
        let Some(ask) = ask else { return };
        let grant = match self.permits.call() {
            Some(call) => call(backend.zone.clone(), ask).await,
            None => self.allocate_share(&ask),
        };
        self.take_limit(backend, grant.reported, "host");
        let now = self.now();
        let mut book = self.book.borrow_mut();
        book.limits.apply_grant(server, rank, &grant, now);
    }

    /// Allocates permits to all hosts. What their answers said this host then knows as well.
    pub fn allocate_permits(&self, ask: &PermitRequest) -> PermitGrant {
        let now = self.now();
        let grant = self.permits.allocator.borrow_mut().allocate(ask, now);
        let mut book = self.book.borrow_mut();
        if book.limits.limit(ask.server).is_some() {
            book.limits.update(ask.server, grant.reported, now);
        }
        grant
    }

    /// Allocates permits to this host alone, which reaches nobody who allocates them for all.
    pub fn allocate_alone(&self, ask: &PermitRequest) -> PermitGrant {
        let mut allocator = self.permits.alone.borrow_mut();
        allocator.allocate_isolated(ask, self.sharing_hosts(), rand::random(), self.now())
    }

    // The same where no host allocates them for all, as on the own interface.
    fn allocate_share(&self, ask: &PermitRequest) -> PermitGrant {
        let mut allocator = self.permits.alone.borrow_mut();
        allocator.allocate_share(ask, self.sharing_hosts(), rand::random(), self.now())
    }

    fn sharing_hosts(&self) -> usize {
        match self.cluster.borrow().hosts_position().is_known() {
            false => HOSTS_UNKNOWN,
            true => self.others_left() + 1,
        }
    }

    /// Another host answered or asked.
    pub fn note_peer(&self) {
        self.permits.peer_heard.set(Some(self.now()));
    }

    /// Whether this host hears of others, or is the only one.
    pub fn is_in_touch(&self) -> bool {
        let now = self.now();
        let heard = self.permits.peer_heard.get();
        let is_heard = heard.is_some_and(|at| now.saturating_sub(at) < TOUCH_TIME);
        let knows_hosts = self.cluster.borrow().hosts_position().is_known();
        is_heard || (knows_hosts && self.others_left() == 0)
    }

    // Other hosts that are listed, less those that are gone for sure.
    fn others_left(&self) -> usize {
        let others = self.cluster.borrow().host_count() - 1;
        others.saturating_sub(self.permits.owners.borrow().down_count())
    }

    /// The refusal of a request for which rate-limited servers have no permit before a time is over.
    pub fn permit_denied(
        &self,
        service: &FastStr,
        verdict: RunVerdict,
        wait: PermitWait,
    ) -> Refusal {
        self.metrics.held_back(service);
        self.book.borrow_mut().limits.record_rejection(wait.server);
        let spread = rand::random_range(1.0..=1.0 + WAIT_SPREAD);
        let text = format!(
            "the servers of {service} that could take it name how much they take, and no permit is left"
        );
        Refusal::new(verdict, RefusalCode::Overloaded, text).after(wait.time.mul_f64(spread))
    }

    /// The host that allocates the permits at a server of a zone, as this one sees it; none where it hears none.
    pub fn owner(&self, zone: &str, server: EngineKey) -> Option<HostEntry> {
        let cluster = self.cluster.borrow();
        let owners = self.permits.owners.borrow();
        let owner = owners.owner(cluster.hosts(), zone, server, self.now());
        owner.cloned()
    }
}

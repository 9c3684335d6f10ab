//! Acquires and allocates permits for requests to rate-limited backend servers.

use {
    super::shared::RelayParts,
    crate::{
        operation::{Refusal, RefusalCode, RunVerdict},
        relay::{
            backend::BackendInfo,
            link::HostEntry,
            policy::{
                cold_limit::ColdLimit,
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

/// Number of hosts that a host assumes to exist while it has no list of hosts.
const UNKNOWN_FLEET_HOSTS: usize = 64;

/// A host that has heard from no other host for this long counts as isolated. Hosts report twice a second.
const CONTACT_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Random addition to a caller's retry delay, as a fraction of the delay, so that callers don't return together for the
/// same permit.
const RETRY_JITTER: f64 = 0.2;

/// Requests permits from the host that allocates them for a server of an availability zone.
pub type PermitCall = dyn Fn(FastStr, PermitRequest) -> LocalBoxFuture<'static, PermitGrant>;

/// The permits that this host allocates, for all hosts or for itself alone, and how to request them from other hosts.
#[derive(Default)]
pub struct PermitGate {
    allocator: RefCell<PermitAllocator>,
    // Used while no host that allocates permits for the fleet is reachable.
    alone: RefCell<PermitAllocator>,
    call: RefCell<Option<Rc<PermitCall>>>,
    // When another host last sent a response or a request.
    last_contact: Cell<Option<Duration>>,
    /// Selects the host that allocates the permits for a server, among those that respond.
    pub owners: RefCell<PermitOwners>,
}

impl fmt::Debug for PermitGate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("PermitGate")
    }
}

impl PermitGate {
    /// Sets the function that requests permits from other hosts.
    pub fn set_call(&self, call: Rc<PermitCall>) {
        *self.call.borrow_mut() = Some(call);
    }

    /// The function that requests permits; `None` if no host allocates them for the fleet.
    pub(super) fn call(&self) -> Option<Rc<PermitCall>> {
        self.call.borrow().clone()
    }

    /// Removes permits that are no longer requested, and hosts that are no longer listed.
    pub(super) fn forget_old(&self, is_listed: impl Fn(&FastStr) -> bool, now: Duration) {
        for allocator in [&self.allocator, &self.alone] {
            allocator.borrow_mut().remove_expired(now);
        }
        self.owners.borrow_mut().retain_listed(is_listed);
    }
}

/// Permission to send one request to a backend server; returned if dropped unused.
#[must_use]
pub struct ServerPermit {
    parts: Rc<RelayParts>,
    // `None` if the server is not rate-limited or the permit is used.
    server: Option<EngineKey>,
    asked_at: Duration,
}

impl ServerPermit {
    /// Whether the server needed no permit when this one was issued.
    pub fn is_unlimited(&self) -> bool {
        self.server.is_none()
    }

    /// Marks the permit as used: its request is sent. Returns when it was asked for.
    pub fn consume(mut self) -> Duration {
        self.server = None;
        self.asked_at
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
    /// Acquires a permit to send a request to a backend server. The error says when a permit is likely to be available.
    /// `rank` is the urgency of the request, 0 the highest.
    pub async fn acquire_permit(
        self: &Rc<Self>,
        backend: &BackendInfo,
        rank: u8,
    ) -> Result<ServerPermit, PermitWait> {
        let (server, asked_at) = (backend.key(), self.now());
        // Requests permits only once: another request of this host may use up what is granted.
        for has_requested in [false, true] {
            let now = self.now();
            let state = self.book.borrow().limits.permit(server, rank, now);
            match state {
                PermitState::Unlimited => return Ok(self.issue_permit(None, asked_at)),
                PermitState::Held => {
                    let is_used = self.book.borrow_mut().limits.use_permit(server, now);
                    assert!(
                        is_used,
                        "a request to a rate-limited server has a permit there"
                    );
                    return Ok(self.issue_permit(Some(server), asked_at));
                }
                PermitState::Denied(time) => return Err(PermitWait { server, time }),
                PermitState::MustRequest if has_requested => break,
                PermitState::MustRequest => self.request_permit(backend, rank).await,
            }
        }
        let time = Duration::ZERO;
        Err(PermitWait { server, time })
    }

    fn issue_permit(
        self: &Rc<Self>,
        server: Option<EngineKey>,
        asked_at: Duration,
    ) -> ServerPermit {
        ServerPermit {
            parts: self.clone(),
            server,
            asked_at,
        }
    }

    async fn request_permit(&self, backend: &BackendInfo, rank: u8) {
        let server = backend.key();
        let request = self
            .book
            .borrow()
            .limits
            .permit_request(server, rank, self.now());
        let Some(request) = request else { return };
        let grant = match self.permits.call() {
            Some(call) => call(backend.zone.clone(), request).await,
            None => self.allocate_share(&request),
        };
        self.apply_limit(backend, grant.reported, "host");
        self.learn_cold(server, grant.cold);
        let now = self.now();
        let mut book = self.book.borrow_mut();
        book.limits.apply_grant(server, rank, &grant, now);
    }

    /// Allocates permits to any host. Applies the limit that the request reports, and that the server is cold if this
    /// host's list is older.
    pub fn allocate_permits(&self, ask: &PermitRequest) -> PermitGrant {
        let now = self.now();
        self.learn_cold(ask.server, ask.cold);
        let known = self.book.borrow().limits.cold(ask.server, now);
        let ask = PermitRequest {
            cold: ColdLimit::later(known, ask.cold),
            ..*ask
        };
        let grant = self.permits.allocator.borrow_mut().allocate(&ask, now);
        let mut book = self.book.borrow_mut();
        if book.limits.limit(ask.server).is_some() {
            book.limits.update(ask.server, grant.reported, now);
        }
        grant
    }

    /// Allocates permits to this host only, which reaches no host that allocates them for the fleet.
    pub fn allocate_alone(&self, ask: &PermitRequest) -> PermitGrant {
        let mut allocator = self.permits.alone.borrow_mut();
        allocator.allocate_isolated(ask, self.share_count(), rand::random(), self.now())
    }

    // Allocates permits to this host where no host allocates them for the fleet, as on the product's own interface.
    fn allocate_share(&self, ask: &PermitRequest) -> PermitGrant {
        let mut allocator = self.permits.alone.borrow_mut();
        allocator.allocate_share(ask, self.share_count(), rand::random(), self.now())
    }

    pub(super) fn share_count(&self) -> usize {
        match self.cluster.borrow().hosts_position().is_known() {
            false => UNKNOWN_FLEET_HOSTS,
            true => self.live_other_hosts() + 1,
        }
    }

    /// Records that another host sent a response or a request.
    pub fn record_peer_contact(&self) {
        let now = self.now();
        let before = self.permits.last_contact.replace(Some(now));
        let was_lost = before.is_none_or(|at| now.saturating_sub(at) >= CONTACT_TIMEOUT);
        if was_lost {
            self.permits.allocator.borrow_mut().contact_restored(now);
        }
    }

    /// Returns whether this host has heard from another one recently or is the only host.
    pub fn has_peer_contact(&self) -> bool {
        let now = self.now();
        let last_contact = self.permits.last_contact.get();
        let has_contact = last_contact.is_some_and(|at| now.saturating_sub(at) < CONTACT_TIMEOUT);
        let knows_hosts = self.cluster.borrow().hosts_position().is_known();
        has_contact || (knows_hosts && self.live_other_hosts() == 0)
    }

    // Number of other listed hosts, without those known to be gone.
    fn live_other_hosts(&self) -> usize {
        let others = self.cluster.borrow().host_count() - 1;
        others.saturating_sub(self.permits.owners.borrow().down_count())
    }

    /// Returns the refusal of a request that gets no permit at the rate-limited servers of its service before `wait` is over.
    pub fn permit_denied(
        &self,
        service: &FastStr,
        verdict: RunVerdict,
        wait: PermitWait,
    ) -> Refusal {
        self.metrics.services.held_back(service);
        self.book.borrow_mut().limits.record_rejection(wait.server);
        let spread = rand::random_range(1.0..=1.0 + RETRY_JITTER);
        let text = format!(
            "the servers of {service} that could take it name how much they take, and no permit is left"
        );
        Refusal::new(verdict, RefusalCode::Overloaded, text).after(wait.time.mul_f64(spread))
    }

    /// Returns the host that allocates the permits for a server of a zone, as far as this host knows.
    pub fn permit_owner(&self, zone: &str, server: EngineKey) -> Option<HostEntry> {
        let cluster = self.cluster.borrow();
        let owners = self.permits.owners.borrow();
        let owner = owners.owner(cluster.hosts(), zone, server, self.now());
        owner.cloned()
    }
}

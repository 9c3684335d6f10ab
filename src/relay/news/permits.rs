//! Requests permits for a rate-limited server from the host that allocates them, the owner. A host that reaches no
//! owner uses only a part of its own share.

use {
    super::rpc::NewsClient,
    crate::relay::{
        critical_task,
        link::HostEntry,
        parts::shared::RelayParts,
        policy::permit_allocator::{PermitGrant, PermitRequest},
    },
    capnp::ErrorKind,
    faststr::FastStr,
    futures::FutureExt,
    std::{rc::Rc, time::Duration},
};

/// Number of owners that are tried in turn for a request, since entries of lost hosts remain in the list.
const MAX_OWNERS_TRIED: usize = 2;

/// Timeout of a request for permits: hosts are a millisecond apart, but some run slowly for a while.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(80);

/// Timeout of a forwarded request, shorter because the original requester is waiting for it.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(35);

/// Retry delay for callers of a host that sends no request because it was denied too often lately.
const NOT_REQUESTED_WAIT: Duration = Duration::from_millis(500);

/// How often limits are removed that have not been renewed for a long time.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(5);

/// Client and server side of the permit requests between hosts.
pub struct PermitService {
    parts: Rc<RelayParts>,
    client: Rc<NewsClient>,
}

impl PermitService {
    /// Starts the expiry of limits and lets the host's tasks request permits through it.
    pub fn start(parts: Rc<RelayParts>, client: Rc<NewsClient>) -> Rc<Self> {
        let permits = Rc::new(Self {
            parts: parts.clone(),
            client,
        });
        critical_task::spawn_critical("server limit expiry", permits.clone().run_expiry());
        let requester = permits.clone();
        let call = move |zone, request| requester.clone().request(zone, request).boxed_local();
        parts.permits.set_call(Rc::new(call));
        permits
    }

    /// Answers a host that considers this one the owner. If this host knows another owner, it forwards the request
    /// there, so that a single host allocates the permits although the requester cannot reach it.
    pub async fn answer(self: Rc<Self>, request: PermitRequest, is_forwarded: bool) -> PermitGrant {
        let zone = self.parts.settings.zone.clone();
        let owner = self.parts.permit_owner(&zone, request.server);
        let other = owner.filter(|owner| owner.name != self.parts.settings.name);
        match other {
            Some(owner) if !is_forwarded => {
                let grant = self
                    .request_from(&owner, &request, true, FORWARD_TIMEOUT)
                    .await;
                grant.unwrap_or_else(|| self.parts.allocate_permits(&request))
            }
            _ => self.parts.allocate_permits(&request),
        }
    }

    async fn request(self: Rc<Self>, zone: FastStr, request: PermitRequest) -> PermitGrant {
        for _ in 0..MAX_OWNERS_TRIED {
            let Some(owner) = self.parts.permit_owner(&zone, request.server) else {
                break;
            };
            if owner.name == self.parts.settings.name {
                // A host that is isolated from all others does not know which permits they use.
                return match self.parts.has_peer_contact() {
                    true => self.parts.allocate_permits(&request),
                    false => self.parts.allocate_alone(&request),
                };
            }
            if !self.may_request() {
                return not_requested(&request);
            }
            let response = self.request_from(&owner, &request, false, REQUEST_TIMEOUT);
            if let Some(grant) = response.await {
                return grant;
            }
        }
        self.parts.allocate_alone(&request)
    }

    fn may_request(&self) -> bool {
        let now = self.parts.now();
        self.parts.permits.owners.borrow_mut().may_request(now)
    }

    async fn request_from(
        &self,
        owner: &HostEntry,
        request: &PermitRequest,
        is_forwarded: bool,
        timeout: Duration,
    ) -> Option<PermitGrant> {
        let call = self
            .client
            .deal(owner.peers, request, is_forwarded, timeout);
        let answer = call.await;
        let mut owners = self.parts.permits.owners.borrow_mut();
        match answer {
            Ok(grant) => {
                owners.record_response(&owner.name);
                if grant.permits == 0 && request.wanted > 0 {
                    owners.record_denial();
                }
                Some(grant)
            }
            Err(error) => {
                log::debug!("cannot request permits from host {}: {error}", owner.name);
                let is_gone = error.kind == ErrorKind::Disconnected;
                owners.record_no_response(&owner.name, is_gone, self.parts.now());
                None
            }
        }
    }

    async fn run_expiry(self: Rc<Self>) {
        loop {
            tokio::time::sleep(EXPIRY_INTERVAL).await;
            self.parts.evict_limits();
        }
    }
}

// The response when this host sends no request: no permit, and a retry delay.
fn not_requested(request: &PermitRequest) -> PermitGrant {
    PermitGrant {
        permits: 0,
        wait: NOT_REQUESTED_WAIT,
        reported: request.reported,
        cold: request.cold,
    }
}

//! Asking the host that allocates the permits at a rate-limited server. A host that reaches none keeps to a part of its own share.

use {
    super::link::NewsLinks,
    crate::relay::{
        link::HostEntry,
        parts::shared::RelayParts,
        policy::permit_allocator::{PermitGrant, PermitRequest},
        vital,
    },
    capnp::ErrorKind,
    faststr::FastStr,
    futures::FutureExt,
    std::{rc::Rc, time::Duration},
};

/// Hosts that are asked one after the other for a request: entries of lost hosts stay.
const OWNERS_ASKED: usize = 2;

/// Longest wait for the answer; hosts are a millisecond apart, some run slowly for a while.
const DEAL_PATIENCE: Duration = Duration::from_millis(80);

/// The same where the question is passed on: its asker waits behind it.
const PASS_ON_PATIENCE: Duration = Duration::from_millis(35);

/// When a caller is to come back to a host that was denied too often lately.
const UNASKED_WAIT: Duration = Duration::from_millis(500);

/// How often limits are looked for that nobody has heard renewed for long.
const FORGET_PERIOD: Duration = Duration::from_secs(5);

/// The way to the hosts that allocate permits.
pub struct PermitLink {
    parts: Rc<RelayParts>,
    links: Rc<NewsLinks>,
}

impl PermitLink {
    /// Hands the way to the host's tasks.
    pub fn start(parts: Rc<RelayParts>, links: Rc<NewsLinks>) -> Rc<Self> {
        let link = Rc::new(Self {
            parts: parts.clone(),
            links,
        });
        vital::spawn_vital("limits of servers", link.clone().forget_old());
        let asking = link.clone();
        let call = move |zone, ask| asking.clone().ask(zone, ask).boxed_local();
        parts.permits.set_call(Rc::new(call));
        link
    }

    /// Answers a host that takes this one for the owner. Where this one knows another the question is passed on, so that one
    /// alone allocates permits although the asker cannot reach it.
    pub async fn answer(self: Rc<Self>, ask: PermitRequest, is_passed_on: bool) -> PermitGrant {
        let zone = self.parts.settings.zone.clone();
        let owner = self.parts.owner(&zone, ask.server);
        let other = owner.filter(|owner| owner.name != self.parts.settings.name);
        match other {
            Some(owner) if !is_passed_on => {
                let grant = self.ask_owner(&owner, &ask, true, PASS_ON_PATIENCE).await;
                grant.unwrap_or_else(|| self.parts.allocate_permits(&ask))
            }
            _ => self.parts.allocate_permits(&ask),
        }
    }

    async fn ask(self: Rc<Self>, zone: FastStr, ask: PermitRequest) -> PermitGrant {
        for _ in 0..OWNERS_ASKED {
            let Some(owner) = self.parts.owner(&zone, ask.server) else {
                break;
            };
            if owner.name == self.parts.settings.name {
                // Cut off from all others it does not know what they do.
                return match self.parts.is_in_touch() {
                    true => self.parts.allocate_permits(&ask),
                    false => self.parts.allocate_alone(&ask),
                };
            }
            if !self.may_ask() {
                return unasked(&ask);
            }
            let asked = self.ask_owner(&owner, &ask, false, DEAL_PATIENCE);
            if let Some(grant) = asked.await {
                return grant;
            }
        }
        self.parts.allocate_alone(&ask)
    }

    fn may_ask(&self) -> bool {
        let now = self.parts.now();
        self.parts.permits.owners.borrow_mut().may_request(now)
    }

    async fn ask_owner(
        &self,
        owner: &HostEntry,
        ask: &PermitRequest,
        is_passed_on: bool,
        patience: Duration,
    ) -> Option<PermitGrant> {
        let asking = self.links.deal(owner.peers, ask, is_passed_on, patience);
        let answer = asking.await;
        let mut owners = self.parts.permits.owners.borrow_mut();
        match answer {
            Ok(grant) => {
                owners.record_response(&owner.name);
                if grant.permits == 0 && ask.wanted > 0 {
                    owners.record_denial();
                }
                Some(grant)
            }
            Err(error) => {
                log::debug!("host {} allocated no permit: {error}", owner.name);
                let is_gone = error.kind == ErrorKind::Disconnected;
                owners.record_no_response(&owner.name, is_gone, self.parts.now());
                None
            }
        }
    }

    async fn forget_old(self: Rc<Self>) {
        loop {
            tokio::time::sleep(FORGET_PERIOD).await;
            self.parts.forget_limits();
        }
    }
}

// No permit, as far as this host goes.
fn unasked(ask: &PermitRequest) -> PermitGrant {
    PermitGrant {
        permits: 0,
        wait: UNASKED_WAIT,
        reported: ask.reported,
    }
}

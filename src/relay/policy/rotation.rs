//! Which backend servers get new requests of this host: those in rotation, neither leaving nor waiting for a backoff to end.

use {
    super::{
        availability::{ServerAvailability, ServerRun},
        registry::BackendRegistry,
        view::BackendView,
    },
    crate::{engine::EngineRole, relay::backend::BackendInfo},
    std::time::Duration,
};

/// When a server gets new requests again, where all of a service get none now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RotationWait {
    /// The first backoff is over after this time.
    Until(Duration),
    /// All are leaving: when others are listed.
    NoneReturns,
}

impl BackendRegistry {
    /// Whether a server is leaving, by the list or by its answers.
    pub fn is_leaving(&self, view: &BackendView, now: Duration) -> bool {
        view.info.leaving || self.availability.is_leaving(&view.run, now)
    }

    /// Whether a server gets new requests of this host. Each choice of a server asks here.
    pub fn in_rotation(&self, view: &BackendView, now: Duration) -> bool {
        let availability = self.availability.availability(&view.run, now);
        !view.info.leaving && availability == ServerAvailability::Available
    }

    /// Whether a request may be sent to a server at the last moment before it; `admitted` is when memory was reserved there
    /// for it, if that was so.
    pub fn may_send(
        &self,
        backend: &BackendInfo,
        admitted: Option<Duration>,
        now: Duration,
    ) -> bool {
        self.availability.is_empty() || self.availability.may_send(&backend.run(), admitted, now)
    }

    /// When a server of a service, or an engine of a role, gets new requests again; nothing where one gets them now, or
    /// none is listed.
    pub fn rotation_wait(
        &self,
        service: &str,
        role: Option<EngineRole>,
        now: Duration,
    ) -> Option<RotationWait> {
        let of_service = |view: &&BackendView| view.info.service == service;
        let of_role = |view: &&BackendView| role.is_none() || view.info.role == role;
        let views = self.views.values().filter(of_service).filter(of_role);
        let mut wait = None;
        for view in views {
            if self.in_rotation(view, now) {
                return None;
            }
            let here = match self.availability.availability(&view.run, now) {
                ServerAvailability::BackingOff(time) if !view.info.leaving => {
                    RotationWait::Until(time)
                }
                _ => RotationWait::NoneReturns,
            };
            wait = Some(wait.map_or(here, |least: RotationWait| least.min(here)));
        }
        wait
    }

    /// Evicts expired entries of servers' availability; gives the runs whose backoff is over.
    pub fn evict_availability(&mut self, now: Duration) -> Vec<ServerRun> {
        let views = &self.views;
        let is_listed = |run: &ServerRun| {
            let view = views.get(&run.id);
            view.is_some_and(|view| view.info.run() == *run)
        };
        self.availability.evict_expired(is_listed, now)
    }
}

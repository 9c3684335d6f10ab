//! Determines which backend servers are in rotation, that is, get new requests from this host because they are neither
//! leaving nor backing off, nor in an evacuated zone.

use {
    super::{
        availability::{ServerAvailability, ServerRun},
        regions::RequestOrigin,
        registry::BackendRegistry,
        server_index::ServerPool,
        view::BackendView,
    },
    crate::{engine::EngineRole, relay::backend::BackendInfo},
    faststr::FastStr,
    std::{collections::BTreeSet, time::Duration},
};

/// When a service gets a server in rotation again, if it has none.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RotationWait {
    /// The first backoff ends after this time.
    Until(Duration),
    /// All servers are leaving, so only once others are listed.
    NoneReturns,
    /// All servers are in evacuated zones, so only once operators take an evacuation back.
    Evacuated,
}

/// Differences of the evacuated zones from the previous ones.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct EvacuationChange {
    /// Zones that were evacuated.
    pub evacuated: Vec<FastStr>,
    /// Zones whose evacuation was taken back.
    pub returned: Vec<FastStr>,
}

impl EvacuationChange {
    /// Whether the same zones are evacuated as before.
    pub fn is_empty(&self) -> bool {
        self.evacuated.is_empty() && self.returned.is_empty()
    }
}

impl BackendRegistry {
    /// Whether a server is leaving, according to the list of servers or its responses.
    pub fn is_leaving(&self, view: &BackendView, now: Duration) -> bool {
        view.info.leaving || self.availability.is_leaving(&view.run, now)
    }

    /// Sets the evacuated zones, and returns the differences.
    pub fn set_evacuated(&mut self, zones: BTreeSet<FastStr>) -> EvacuationChange {
        let change = EvacuationChange {
            evacuated: zones.difference(&self.evacuated).cloned().collect(),
            returned: self.evacuated.difference(&zones).cloned().collect(),
        };
        self.evacuated = zones;
        change
    }

    /// The evacuated zones.
    pub fn evacuated(&self) -> impl Iterator<Item = &FastStr> {
        self.evacuated.iter()
    }

    /// Whether a server is in an evacuated zone.
    pub fn is_evacuated(&self, backend: &BackendInfo) -> bool {
        self.evacuated.contains(&backend.zone)
    }

    /// Whether a server gets new requests from this host. Every selection of a server checks this.
    pub fn in_rotation(&self, view: &BackendView, now: Duration) -> bool {
        let availability = self.availability.availability(&view.run, now);
        !view.info.leaving
            && availability == ServerAvailability::Available
            && !self.is_evacuated(&view.info)
    }

    /// Whether the list offers this run of a server: it is listed and not leaving.
    pub fn is_offered(&self, backend: &BackendInfo) -> bool {
        let view = self.view(&backend.id);
        view.is_some_and(|view| view.info.born == backend.born && !view.info.leaving)
    }

    /// The check right before a request is sent to a server, which may have been chosen long before; `admitted` is when
    /// memory was reserved there for it, if it was. A server that the list no longer offers, and an evacuated zone, get no
    /// request, whatever was reserved there.
    pub fn may_send(
        &self,
        backend: &BackendInfo,
        admitted: Option<Duration>,
        now: Duration,
    ) -> bool {
        let accepts = self.availability.is_empty()
            || self.availability.may_send(&backend.run(), admitted, now);
        accepts && self.is_offered(backend) && !self.is_evacuated(backend)
    }

    /// When a server of a service that a request may reach, optionally only of an engine role, is in rotation again;
    /// `None` if one is now, or if none is listed.
    pub fn rotation_wait<'a>(
        &self,
        service: &str,
        role: Option<EngineRole>,
        origin: impl Into<RequestOrigin<'a>>,
        now: Duration,
    ) -> Option<RotationWait> {
        let origin = origin.into();
        let of_role = |pool: &&ServerPool| role.is_none() || pool.role == role;
        let pools = self.index.pools(service).filter(of_role);
        let views = self.pool_views(pools.filter(|pool| origin.allows(&pool.zone, &pool.software)));
        let mut wait = None;
        for view in views {
            if self.in_rotation(view, now) {
                return None;
            }
            let own_wait = self.server_wait(view, now);
            wait = Some(wait.map_or(own_wait, |shortest: RotationWait| shortest.min(own_wait)));
        }
        wait
    }

    /// Whether a service lists a server that a request may reach, optionally only of an engine role.
    pub fn has_server(
        &self,
        service: &str,
        role: Option<EngineRole>,
        origin: RequestOrigin<'_>,
    ) -> bool {
        let of_role = |pool: &&ServerPool| role.is_none() || pool.role == role;
        let mut pools = self.index.pools(service).filter(of_role);
        pools.any(|pool| origin.allows(&pool.zone, &pool.software))
    }

    /// Whether a service lists a server that a request may reach and that is not leaving, optionally only of an engine role.
    pub fn has_staying_server(
        &self,
        service: &str,
        role: Option<EngineRole>,
        origin: RequestOrigin<'_>,
        now: Duration,
    ) -> bool {
        let of_role = |pool: &&ServerPool| role.is_none() || pool.role == role;
        let pools = self.index.pools(service).filter(of_role);
        let pools = pools.filter(|pool| origin.allows(&pool.zone, &pool.software));
        let mut views = self.pool_views(pools);
        views.any(|view| !self.is_leaving(view, now))
    }

    // When a server that is not in rotation returns to it.
    fn server_wait(&self, view: &BackendView, now: Duration) -> RotationWait {
        if self.is_evacuated(&view.info) {
            return RotationWait::Evacuated;
        }
        match self.availability.availability(&view.run, now) {
            ServerAvailability::BackingOff(time) if !view.info.leaving => RotationWait::Until(time),
            _ => RotationWait::NoneReturns,
        }
    }

    /// Evicts expired availability entries; returns the runs whose backoff has ended since the last call.
    pub fn evict_availability(&mut self, now: Duration) -> Vec<ServerRun> {
        let views = &self.views;
        let is_listed = |run: &ServerRun| {
            let view = views.get(&run.id);
            view.is_some_and(|view| view.info.run() == *run)
        };
        self.availability.evict_expired(is_listed, now)
    }
}

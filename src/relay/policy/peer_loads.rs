//! The load of backend servers as hosts report it to each other.

use {
    super::{loads::EngineLoad, registry::BackendRegistry, view::BackendView},
    faststr::FastStr,
    std::{mem, time::Duration},
};

/// Lifetime of the loads that other hosts report; older ones are ignored.
pub(crate) const PEER_LOAD_TTL: Duration = Duration::from_millis(1_500);

impl BackendRegistry {
    /// The load of this host's own requests per engine, and the backend servers that it has ejected.
    pub fn loads(&mut self, now: Duration) -> Vec<EngineLoad> {
        let views = &self.views;
        self.reportable.retain(|id| {
            let view = views.get(id);
            view.is_some_and(|view| view.is_reportable(now))
        });
        let reported = self.reportable.iter().filter_map(|id| views.get(id));
        reported
            .inspect(|_| self.visit())
            .map(|view| EngineLoad {
                engine: view.key,
                memory_tokens: view.memory_tokens,
                ejected_by: u32::from(view.is_ejected(now)),
            })
            .collect()
    }

    pub(super) fn mark_reportable(&mut self, id: &str) {
        if let Some((id, _)) = self.views.get_key_value(id) {
            self.reportable.insert(id.clone());
        }
    }

    /// Sets the loads of all other hosts; a server that is not listed counts as idle.
    pub fn set_peer_loads(&mut self, loads: &[EngineLoad], now: Duration) {
        for id in mem::take(&mut self.peer_reported) {
            self.set_peer_load(&id, 0, 0);
        }
        for load in loads {
            let Some(id) = self.index.by_key(load.engine).cloned() else {
                continue;
            };
            self.set_peer_load(&id, load.memory_tokens, load.ejected_by);
            self.peer_reported.push(id);
        }
        self.peer_loads_at = Some(now);
    }

    fn set_peer_load(&mut self, id: &FastStr, tokens: u64, ejections: u32) {
        self.visit();
        if let Some(view) = self.views.get_mut(id) {
            view.peer_tokens = tokens;
            view.peer_ejections = ejections;
        }
    }

    pub(super) fn has_peer_loads(&self, now: Duration) -> bool {
        let received = self.peer_loads_at;
        received.is_some_and(|at| now.saturating_sub(at) < PEER_LOAD_TTL)
    }

    /// Memory in use at an engine, in tokens, by requests of this host and, if reported recently, of others.
    pub(super) fn known_load(&self, view: &BackendView, now: Duration) -> u64 {
        let others = if self.has_peer_loads(now) {
            view.peer_tokens
        } else {
            0
        };
        view.memory_tokens + view.asked_tokens + others
    }
}

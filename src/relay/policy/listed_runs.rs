//! Looks runs of backend servers up by the keys by which hosts name them to each other.

use {
    super::{
        loads::EngineKey,
        registry::{BackendRegistry, PEER_EJECTIONS_TO_AVOID},
        view::BackendView,
    },
    crate::relay::backend::BackendInfo,
    faststr::FastStr,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

impl BackendRegistry {
    /// Whether a run of a server is listed.
    pub fn is_listed(&self, run: EngineKey) -> bool {
        self.index.by_key(run).is_some()
    }

    /// A listed run of a server.
    pub fn listed_run(&self, run: EngineKey) -> Option<BackendInfo> {
        let view = self.views.get(self.index.by_key(run)?)?;
        Some(view.info.clone())
    }

    /// Number of these runs that enough other hosts have ejected.
    pub fn passed_over(&self, runs: impl Iterator<Item = EngineKey>, now: Duration) -> usize {
        if !self.has_peer_loads(now) {
            return 0;
        }
        let views = runs
            .filter_map(|run| self.index.by_key(run))
            .filter_map(|id| self.views.get(id));
        views
            .filter(|view| view.peer_ejections >= PEER_EJECTIONS_TO_AVOID)
            .count()
    }

    /// The listed servers among these runs.
    pub fn listed(&self, runs: &BTreeSet<EngineKey>) -> Vec<BackendInfo> {
        let ids = runs.iter().filter_map(|run| self.index.by_key(*run));
        let listed: BTreeMap<&FastStr, &BackendView> =
            ids.filter_map(|id| self.views.get_key_value(id)).collect();
        listed.into_values().map(|view| view.info.clone()).collect()
    }
}

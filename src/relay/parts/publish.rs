//! Applies updates of the cluster state: activates configurations and publishes changes of the backend servers.

use {
    super::{cold_servers::ColdRates, shared::RelayParts},
    crate::{
        event,
        relay::{
            cluster::state::ClusterState,
            config::RelayConfig,
            pieces::PieceError,
            policy::{changes::BackendChanges, subset},
        },
    },
    faststr::FastStr,
    std::{cell::RefMut, time::Duration},
};

/// Maximum number of names in a log line.
const LOGGED_NAMES_MAX: usize = 8;

impl RelayParts {
    /// The cluster state, to apply updates of the backend servers to it: it knows by then whether this process stood still.
    pub fn cluster_to_update(&self) -> RefMut<'_, ClusterState> {
        let mut cluster = self.cluster.borrow_mut();
        if let Some(stall) = self.stalls.last_stall() {
            cluster.record_stall(stall.ended);
        }
        cluster
    }

    /// Activates a configuration from the store or another host if it is newer than the current one.
    pub fn offer_config(&self, config: RelayConfig, from: &str) {
        let cold_rates = self.cold_rates();
        let is_newer = self.cluster.borrow_mut().update_config(config);
        if is_newer {
            self.publish_config(&cold_rates, from);
        }
    }

    /// Activates the configuration whose pieces have all been fetched from other hosts. Fails if they do not fit.
    pub fn activate_fetched_config(&self) -> Result<(), PieceError> {
        let cold_rates = self.cold_rates();
        let completed = self.cluster.borrow_mut().config.complete()?;
        if completed.is_some() {
            self.publish_config(&cold_rates, "pieces");
        }
        Ok(())
    }

    // Lets the newly activated configuration take effect; `cold_rates` are those of the earlier one.
    fn publish_config(&self, cold_rates: &ColdRates, from: &str) {
        self.apply_cold_rates(cold_rates);
        let routes = self.routes().expect("it was just activated");
        let config = routes.config();
        event::emit(
            &event::CONFIG_IN_FORCE,
            &[
                ("version", &config.version),
                ("routes", &config.routes.len()),
                ("from", &from),
            ],
        );
        self.caller_waits.borrow_mut().clear();
        self.state_changed.notify_waiters();
    }

    /// How long a newer configuration than the one in force has been known; none if there is no newer one.
    pub fn config_lag(&self) -> Option<Duration> {
        let since = self.cluster.borrow().config.behind_since()?;
        Some(self.now().saturating_sub(since))
    }

    /// Applies the current list of backend servers to routing and wakes the tasks that wait for changes.
    pub fn publish_backends(&self) {
        let touched = self.cluster.borrow_mut().take_touched_backends();
        let changes = self.book.borrow_mut().update_backends(touched.into_iter());
        self.apply_cold_entries(&changes.cold);
        self.record_software(&changes);
        for earlier in &changes.restarted {
            self.prompt_caches.borrow_mut().forget(&earlier.id);
            self.pool.forget(earlier.address);
        }
        if !changes.removed.is_empty() || !changes.restarted.is_empty() {
            self.forget_unlisted_links();
        }
        for removed in &changes.removed {
            self.prompt_caches.borrow_mut().forget(removed);
        }
        let zone = &self.settings.zone;
        if changes
            .affected
            .iter()
            .any(|info| info.zone == *zone && info.role.is_some())
        {
            self.mark_preferred_engines_outdated();
        }
        if !changes.affected.is_empty() {
            self.update_all_ownership();
        }
        if !changes.is_empty() {
            self.log_changes(&changes);
        }
        self.capacity_freed.notify_waiters();
        self.state_changed.notify_waiters();
    }

    /// Records that the engines of the zone or its hosts have changed. During a release they change several times a
    /// second, so the preferred engines are planned again only when they are used.
    pub fn mark_preferred_engines_outdated(&self) {
        self.is_preference_outdated.set(true);
    }

    /// Plans again which engines of its availability zone this host prefers, if the lists have changed.
    pub fn update_preferred_engines(&self) {
        if !self.is_preference_outdated.take() {
            return;
        }
        self.priorities.forget_orders();
        let own = &self.settings.name;
        let zone = &self.settings.zone;
        let cluster = self.cluster.borrow();
        let near = cluster.hosts().filter(|entry| entry.zone == *zone);
        let hosts: Vec<FastStr> = near.map(|entry| entry.name.clone()).collect();
        let mut book = self.book.borrow_mut();
        let pools = book.zone_engines(zone, self.now());
        let subsets = pools
            .iter()
            .map(|engines| subset::subset_of(own, &hosts, engines));
        let preferred = subsets.flatten().collect();
        book.set_preferred(preferred);
    }

    fn log_changes(&self, changes: &BackendChanges) {
        let cluster = self.cluster.borrow();
        let age = cluster.age(self.now());
        let count = self.book.borrow().count();
        event::emit(
            &event::BACKENDS_CHANGED,
            &[
                ("position", &cluster.backends_position()),
                ("age_ms", &age.map_or(-1, |age| age.as_millis() as i64)),
                ("backends", &count),
                ("added", &changes.added),
                ("started", &changes.restarted.len()),
                ("leaving", &short_list(&changes.leaving)),
                ("other_role", &short_list(&changes.role_changed)),
                ("gone", &short_list(&changes.removed)),
            ],
        );
    }

    /// The name of this host.
    pub fn name(&self) -> FastStr {
        self.settings.name.clone()
    }
}

// Joins the first names of a list and adds how many more there are: the loss of a zone would otherwise produce a very long
// line.
fn short_list(names: &[FastStr]) -> String {
    let shown: Vec<&str> = names
        .iter()
        .take(LOGGED_NAMES_MAX)
        .map(|name| &**name)
        .collect();
    let shown = shown.join(",");
    match names.len().saturating_sub(LOGGED_NAMES_MAX) {
        0 => shown,
        more => format!("{shown},+{more}"),
    }
}

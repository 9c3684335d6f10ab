//! What becomes of news: a configuration is in force, requests go to other backend servers.

use {
    super::shared::RelayParts,
    crate::{
        engine::EngineRole,
        event,
        relay::{
            config::RelayConfig,
            policy::{changes::BackendChanges, subset},
        },
    },
    faststr::FastStr,
    std::collections::HashMap,
};

/// Names that a line of the log shows at most.
const NAMES_SHOWN: usize = 8;

impl RelayParts {
    /// Takes a configuration from the store or another host, if it is newer.
    pub fn offer_config(&self, config: RelayConfig, from: &str) {
        let version = config.version;
        let taken = self.cluster.borrow_mut().update_config(config);
        if taken {
            event::emit(
                &event::CONFIG_IN_FORCE,
                &[("version", &version), ("from", &from)],
            );
            self.waits.borrow_mut().clear();
            self.news.notify_waiters();
        }
    }

    /// Tells the book which backend servers there are, and other hosts that there is news.
    pub fn publish_backends(&self) {
        let usable = self.cluster.borrow().usable();
        let count = usable.len();
        let changes = self.book.borrow_mut().set_backends(usable);
        for earlier in &changes.started {
            self.kept.borrow_mut().forget(&earlier.id);
            self.pool.forget(earlier.address);
        }
        self.prefer_engines();
        self.mark_all_own();
        if !changes.is_empty() {
            self.log_changes(&changes, count);
        }
        let book = self.book.borrow();
        let mut kept = self.kept.borrow_mut();
        kept.retain(|engine| book.view(engine).is_some());
        drop((book, kept));
        self.freed.notify_waiters();
        self.news.notify_waiters();
    }

    /// Works out anew which engines of its zone this host works with first.
    pub fn prefer_engines(&self) {
        let own = &self.settings.name;
        let zone = &self.settings.zone;
        let cluster = self.cluster.borrow();
        let near = cluster.hosts().filter(|entry| entry.zone == *zone);
        let hosts: Vec<FastStr> = near.map(|entry| entry.name.clone()).collect();
        let now = self.now();
        let mut book = self.book.borrow_mut();
        let mut pools: HashMap<(&FastStr, EngineRole), Vec<FastStr>> = HashMap::new();
        for backend in cluster.backends() {
            let Some(role) = backend.role else { continue };
            let is_leaving = backend.leaving || book.availability.is_leaving(&backend.run(), now);
            if backend.zone == *zone && !is_leaving {
                let pool = pools.entry((&backend.service, role)).or_default();
                pool.push(backend.id.clone());
            }
        }
        let subsets = pools
            .values()
            .map(|engines| subset::subset_of(own, &hosts, engines));
        let preferred = subsets.flatten().collect();
        book.set_preferred(&preferred);
    }

    fn log_changes(&self, changes: &BackendChanges, count: usize) {
        let cluster = self.cluster.borrow();
        let age = cluster.age(self.now());
        event::emit(
            &event::BACKENDS_CHANGED,
            &[
                ("position", &cluster.backends_position()),
                ("age_ms", &age.map_or(-1, |age| age.as_millis() as i64)),
                ("backends", &count),
                ("added", &changes.added),
                ("started", &changes.started.len()),
                ("leaving", &short_list(&changes.leaving)),
                ("other_role", &short_list(&changes.other_role)),
                ("gone", &short_list(&changes.gone)),
            ],
        );
    }

    /// The name of this host, for logs.
    pub fn name(&self) -> FastStr {
        self.settings.name.clone()
    }
}

// The first names of a list, and how many more there are: a zone's loss would make a line of its own length.
fn short_list(names: &[FastStr]) -> String {
    let shown: Vec<&str> = names.iter().take(NAMES_SHOWN).map(|name| &**name).collect();
    let shown = shown.join(",");
    match names.len().saturating_sub(NAMES_SHOWN) {
        0 => shown,
        more => format!("{shown},+{more}"),
    }
}

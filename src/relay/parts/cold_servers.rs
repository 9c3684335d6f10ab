//! Cold backend servers: takes from the list and from the configuration which servers are cold and how much they accept,
//! and passes on how much longer they are.

use {
    super::shared::RelayParts,
    crate::{
        event,
        relay::{
            backend::BackendInfo,
            cluster::history::KindNews,
            link::{StoreChange, StoreValue},
            policy::{cold_limit::ColdLimit, loads::EngineKey, server_limit::ServerLimit},
        },
    },
    faststr::FastStr,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Maximum number of log lines for servers that turned cold or warm at once.
const LOGGED_SERVERS_MAX: usize = 16;

/// The rates of cold servers by service.
pub(super) type ColdRates = BTreeMap<FastStr, ServerLimit>;

impl RelayParts {
    /// Applies entries that state another coldness than before.
    pub(super) fn apply_cold_entries(&self, entries: &[BackendInfo]) {
        if entries.is_empty() {
            return;
        }
        let rates = self.cold_rates();
        let is_limited = |entry: &&BackendInfo| rates.contains_key(&entry.service);
        let entries = entries.iter().filter(is_limited);
        let turned = entries.filter(|entry| self.apply_cold_entry(entry, rates[&entry.service]));
        let turned: Vec<&BackendInfo> = turned.collect();
        self.log_cold(&turned, "list");
    }

    // Returns whether the server turned cold.
    fn apply_cold_entry(&self, entry: &BackendInfo, rate: ServerLimit) -> bool {
        let now = self.now();
        let cold = ColdLimit::from_left(rate, entry.cold_left, now);
        let mut book = self.book.borrow_mut();
        let has_turned = book.limits.set_cold(entry.key(), cold, now);
        drop(book);
        if has_turned {
            self.update_ownership(entry);
        }
        has_turned
    }

    /// The rates of cold servers in the configuration in force.
    pub(super) fn cold_rates(&self) -> ColdRates {
        let Some(routes) = self.cluster.borrow().routes() else {
            return ColdRates::new();
        };
        let services = routes.config().services.iter();
        let rates = services.filter_map(|service| Some((service.name.clone(), service.cold_rate?)));
        rates.collect()
    }

    /// Applies the rates of a configuration that has come into force; `before` are those of the earlier one.
    pub(super) fn apply_cold_rates(&self, before: &ColdRates) {
        let rates = self.cold_rates();
        if rates == *before {
            return;
        }
        let book = self.book.borrow();
        let views = book.views().filter(|view| !view.info.cold_left.is_zero());
        let cold: Vec<BackendInfo> = views.map(|view| view.info.clone()).collect();
        drop(book);
        let (known, new): (Vec<_>, Vec<_>) = cold
            .into_iter()
            .partition(|entry| before.contains_key(&entry.service));
        for entry in known {
            let rate = rates.get(&entry.service).copied();
            let mut book = self.book.borrow_mut();
            book.limits.set_cold_rate(entry.key(), rate, self.now());
        }
        self.apply_cold_entries(&new);
    }

    /// Applies what another host knows of a cold server.
    pub(super) fn learn_cold(&self, server: EngineKey, cold: Option<ColdLimit>) {
        let Some(cold) = cold else { return };
        let listed = self.book.borrow().listed(&BTreeSet::from([server]));
        let Some(backend) = listed.first() else {
            return;
        };
        let mut book = self.book.borrow_mut();
        let has_turned = book.limits.learn_cold(server, cold, self.now());
        drop(book);
        if has_turned {
            self.update_ownership(backend);
            self.log_cold(&[backend], "host");
        }
    }

    /// Sets in entries for another host how much longer servers are cold now. The list states it as of the time when
    /// the entry was written.
    pub fn update_cold_left(&self, news: &mut KindNews) {
        let rates = self.cold_rates();
        if rates.is_empty() {
            return;
        }
        let changed = news.changes.iter_mut().filter_map(backend_of);
        let listed = news.part.iter_mut().flat_map(|part| &mut part.entries);
        let cold = changed
            .chain(listed)
            .filter(|info| !info.cold_left.is_zero());
        let cold = cold.filter(|info| rates.contains_key(&info.service));
        let (book, now) = (self.book.borrow(), self.now());
        for info in cold {
            let limit = book.limits.cold(info.key(), now);
            info.cold_left = limit.map_or(Duration::ZERO, |limit| limit.left(now));
        }
    }

    /// Reports the servers that have become warm.
    pub fn report_warmed(&self) {
        let warmed = self.book.borrow_mut().limits.take_warmed(self.now());
        if warmed.is_empty() {
            return;
        }
        let warmed = self.book.borrow().listed(&warmed.into_iter().collect());
        for backend in warmed.iter().take(LOGGED_SERVERS_MAX) {
            event::emit(
                &event::SERVER_WARM,
                &[
                    ("backend", &backend.id),
                    ("service", &backend.service),
                    ("zone", &backend.zone),
                ],
            );
        }
        log_unnamed(warmed.len(), "warm");
    }

    fn log_cold(&self, turned: &[&BackendInfo], from: &str) {
        let (book, now) = (self.book.borrow(), self.now());
        for backend in turned.iter().take(LOGGED_SERVERS_MAX) {
            let Some(cold) = book.limits.cold(backend.key(), now) else {
                continue;
            };
            event::emit(
                &event::SERVER_COLD,
                &[
                    ("backend", &backend.id),
                    ("service", &backend.service),
                    ("zone", &backend.zone),
                    ("limit", &cold.rate),
                    ("left_ms", &cold.left(now).as_millis()),
                    ("from", &from),
                ],
            );
        }
        log_unnamed(turned.len(), "cold");
    }
}

fn log_unnamed(count: usize, state: &str) {
    let more = count.saturating_sub(LOGGED_SERVERS_MAX);
    if more > 0 {
        log::info!("{more} more servers turned {state} at the same time");
    }
}

fn backend_of(change: &mut StoreChange) -> Option<&mut BackendInfo> {
    match change {
        StoreChange::Set(item) => match &mut item.value {
            StoreValue::Backend(info) => Some(info),
            _ => None,
        },
        StoreChange::Removed(_) => None,
    }
}

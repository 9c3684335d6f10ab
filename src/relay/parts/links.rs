//! What the outcomes of this host's requests show of its own links to backend servers, and what follows from it for
//! sends, reports and failures.

use {
    super::shared::{self, RelayParts},
    crate::{
        event,
        relay::{
            backend::BackendInfo,
            policy::{
                link_tracker::{LinkGroup, OpenOrder},
                loads::EngineLoad,
                view::BackendFailure,
            },
        },
        web::{KeptUse, PoolUse, PooledAnswer, SendFailure},
    },
    bytes::Bytes,
    faststr::FastStr,
    http::Request,
    http_body_util::Full,
    std::{collections::BTreeMap, time::Duration},
};

impl RelayParts {
    /// Sends a request to a server over a kept or a new connection, which another host may carry, and records which way
    /// worked. `check` is called once a connection is there and nothing is written yet.
    pub(super) async fn send_over_link(
        &self,
        backend: &BackendInfo,
        purpose: PoolUse,
        request: Request<Full<Bytes>>,
        check: impl Fn() -> Result<(), SendFailure>,
    ) -> Result<PooledAnswer, SendFailure> {
        let target = self.pool_target(backend, purpose);
        if purpose == PoolUse::Order {
            let open = || self.open_direct(backend);
            return self.pool.send_if(target, request, check, open).await;
        }
        let open = || self.open_link(backend);
        let sent = self.pool.send_if(target, request, check, open).await;
        match &sent {
            Ok(answer) if answer.carrier.is_some() => self.record_carried_answer(backend),
            Ok(_) => self.record_link_answer(backend),
            Err(failure) if failure.is_carried => self.record_carried_failure(backend),
            Err(_) => {}
        }
        sent
    }

    /// The same without a check.
    pub(super) async fn send_unchecked(
        &self,
        backend: &BackendInfo,
        purpose: PoolUse,
        request: Request<Full<Bytes>>,
    ) -> Result<PooledAnswer, SendFailure> {
        self.send_over_link(backend, purpose, request, || Ok(()))
            .await
    }

    /// Which open connections to a server may be used.
    pub(super) fn kept_use(&self, backend: &BackendInfo, purpose: PoolUse) -> KeptUse {
        if purpose == PoolUse::Order {
            return KeptUse::Direct;
        }
        let group = LinkGroup::of(backend);
        match self.links.borrow().open_order(backend.key(), &group) {
            OpenOrder::CarriedFirst => KeptUse::Carried,
            OpenOrder::DirectFirst(_) => KeptUse::Direct,
        }
    }

    /// Records a failure of a request to a server. Returns whether it counts against the server: on the way through
    /// another host the connection may as well have broken at that host.
    pub(super) fn is_servers_failure(
        &self,
        backend: &BackendInfo,
        failure: BackendFailure,
    ) -> bool {
        if !self.links.borrow().is_lost(backend.key()) {
            self.record_link_failure(backend);
            return true;
        }
        self.record_carried_failure(backend);
        failure == BackendFailure::Silent
    }

    /// Records that a server left a direct request of this host without an answer.
    pub(crate) fn record_link_failure(&self, backend: &BackendInfo) {
        let group = LinkGroup::of(backend);
        let now = self.now();
        self.links
            .borrow_mut()
            .record_failure(backend.key(), &group, now);
        self.log_suspicion();
    }

    /// Records that no other host reached a server, or that it gave no answer through one.
    pub(crate) fn record_carried_failure(&self, backend: &BackendInfo) {
        let group = LinkGroup::of(backend);
        let now = self.now();
        self.links
            .borrow_mut()
            .record_carried_failure(backend.key(), &group, now);
    }

    fn record_link_answer(&self, backend: &BackendInfo) {
        let group = LinkGroup::of(backend);
        let now = self.now();
        self.links
            .borrow_mut()
            .record_answer(backend.key(), &group, now);
        self.log_suspicion();
        if !self.logged_losses.borrow().is_empty() {
            self.update_lost_links();
        }
    }

    fn record_carried_answer(&self, backend: &BackendInfo) {
        self.metrics.links.answers.inc();
        let group = LinkGroup::of(backend);
        let now = self.now();
        let is_new = self
            .links
            .borrow_mut()
            .record_carried_answer(backend.key(), &group, now);
        if is_new {
            self.update_lost_links();
        }
    }

    /// Logs that a request was answered over a carried connection, if it was.
    pub(crate) fn log_carried(&self, request: &str, backend: &BackendInfo, answer: &PooledAnswer) {
        let Some(link) = &answer.carrier else {
            return;
        };
        event::emit(
            &event::REQUEST_CARRIED,
            &[
                ("request", &request),
                ("backend", &backend.id),
                ("host", &link.carrier.name),
                ("connection", &link.local),
            ],
        );
    }

    /// Forgets servers that are not listed any more.
    pub(super) fn forget_unlisted_links(&self) {
        let book = self.book.borrow();
        let is_listed = |server| book.is_listed(server);
        self.links.borrow_mut().retain(is_listed);
        drop(book);
        self.log_suspicion();
        self.update_lost_links();
    }

    /// Whether this host reaches some servers through other hosts only.
    pub(crate) fn has_lost_links(&self) -> bool {
        self.links.borrow().lost().next().is_some()
    }

    /// Whether this host reaches some engines through other hosts only.
    pub(crate) fn has_lost_engines(&self) -> bool {
        let links = self.links.borrow();
        let book = self.book.borrow();
        let mut lost = links
            .lost()
            .filter_map(|(server, _)| book.listed_run(server));
        lost.any(|backend| backend.role.is_some())
    }

    /// Reports no ejections that may be due to this host's own links.
    pub(super) fn withhold_distrusted(&self, loads: &mut [EngineLoad]) {
        let links = self.links.borrow();
        for load in loads {
            if links.is_distrusted(load.engine) {
                load.ejected_by = 0;
            }
        }
    }

    /// Updates the gauge of lost links, and logs the services whose links are lost or back since the last call.
    pub(crate) fn update_lost_links(&self) {
        let lost = self.lost_by_service();
        let count: usize = lost.values().map(|(count, _)| *count).sum();
        self.metrics.links.lost.set(count as i64);
        let mut logged = self.logged_losses.borrow_mut();
        let now = self.now();
        for (service, (servers, since)) in &lost {
            if logged.insert(service.clone(), *since).is_none() {
                event::emit(
                    &event::LINKS_LOST,
                    &[
                        ("service", service),
                        ("servers", servers),
                        ("since_ms", &shared::millis_since(Some(*since), now)),
                    ],
                );
            }
        }
        logged.retain(|service, since| {
            let is_lost = lost.contains_key(service);
            if !is_lost {
                let lost_ms = shared::millis_since(Some(*since), now);
                event::emit(
                    &event::LINKS_BACK,
                    &[("service", service), ("lost_ms", &lost_ms)],
                );
            }
            is_lost
        });
    }

    // Number of servers whose links are lost, and since when, by service.
    fn lost_by_service(&self) -> BTreeMap<FastStr, (usize, Duration)> {
        let links = self.links.borrow();
        let book = self.book.borrow();
        let mut services = BTreeMap::new();
        for (server, since) in links.lost() {
            let Some(backend) = book.listed_run(server) else {
                continue;
            };
            let (count, first) = services.entry(backend.service).or_insert((0, since));
            *count += 1;
            *first = since.min(*first);
        }
        services
    }

    // Logs when this host begins to suspect its own links, and when it no longer does.
    fn log_suspicion(&self) {
        let links = self.links.borrow();
        let suspicious = links.suspicious();
        let is_suspected = !suspicious.is_empty();
        if self.is_suspicion_logged.replace(is_suspected) == is_suspected {
            return;
        }
        if !is_suspected {
            event::emit(&event::LINKS_CLEARED, &[]);
            return;
        }
        let now = self.now();
        let book = self.book.borrow();
        let servers = suspicious.iter().map(|(server, _)| *server);
        let since = suspicious.iter().map(|(_, since)| *since).min();
        event::emit(
            &event::LINKS_SUSPECTED,
            &[
                ("servers", &suspicious.len()),
                ("listed", &book.count()),
                ("since_ms", &shared::millis_since(since, now)),
                (
                    "last_answer_ms",
                    &shared::millis_since(links.answered_at(), now),
                ),
                ("passed_over_by_others", &book.passed_over(servers, now)),
            ],
        );
    }
}

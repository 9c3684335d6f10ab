//! What the outcomes of this host's requests show of its own links to backend servers, and what follows from it for
//! sends, reports and failures.

use {
    super::shared::RelayParts,
    crate::{
        relay::{
            backend::BackendInfo,
            policy::{
                link_tracker::{LinkGroup, OpenOrder},
                loads::EngineLoad,
                view::BackendFailure,
            },
        },
        web::{KeptUse, PoolTarget, PoolUse, PooledAnswer, SendFailure},
    },
    bytes::Bytes,
    http::Request,
    http_body_util::Full,
};

impl RelayParts {
    /// Sends a request to a server over a kept or a new connection, which another host may carry, and records which way
    /// worked. `check` is called once a connection is there and nothing is written yet.
    pub(super) async fn send_over_link(
        &self,
        backend: &BackendInfo,
        target: PoolTarget,
        request: Request<Full<Bytes>>,
        check: impl AsyncFn() -> Result<(), SendFailure>,
    ) -> Result<PooledAnswer, SendFailure> {
        if target.purpose == PoolUse::Order {
            let open = || self.open_direct(backend);
            let sent = self.pool.send_if(target, request, check, open).await;
            let is_carried = sent.as_ref().is_ok_and(|answer| answer.carrier.is_some());
            debug_assert!(!is_carried, "an order must come from the host itself");
            return sent;
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
        let target = self.pool_target(backend, purpose, None);
        self.send_over_link(backend, target, request, async || Ok(()))
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
        if failure == BackendFailure::Endless {
            return true;
        }
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
}

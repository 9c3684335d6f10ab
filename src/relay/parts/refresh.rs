//! Whether this host's view is current enough to decide by it: after a stall of the process, with a list that may lag, and
//! for requests that need the list of servers as of their own time.

use {
    super::shared::RelayParts,
    crate::{clock::ProcessStall, event, relay::link::StoreKind},
    std::{cell::Cell, time::Duration},
    tokio::sync::Notify,
};

/// Longest time after a stall, or a list that may lag, for which requests are held back. A host that reaches neither the
/// store nor another host goes on with what it knows.
const REFRESH_TIMEOUT: Duration = Duration::from_millis(700);

/// Longest wait for the store to confirm the list of servers; it answers within some milliseconds.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(250);

/// When the exchanges began that last brought each kind up to date.
#[derive(Debug, Default)]
pub struct ViewRefresh {
    // Whether this host exchanges updates, so that it can be refreshed.
    is_exchanging: Cell<bool>,
    config: Cell<Duration>,
    backends: Cell<Duration>,
    evacuations: Cell<Duration>,
    // When the call began with which the store itself last confirmed the list of servers.
    confirmed: Cell<Duration>,
    advanced: Notify,
    confirmation_wanted: Notify,
}

impl ViewRefresh {
    /// Records that this host exchanges updates with the store or other hosts from now on.
    pub fn begin_exchange(&self) {
        self.is_exchanging.set(true);
    }

    /// Waits until a request needs the store to confirm the list of servers.
    pub async fn confirmation_wanted(&self) {
        self.confirmation_wanted.notified().await;
    }

    fn time(&self, kind: StoreKind) -> Option<&Cell<Duration>> {
        match kind {
            StoreKind::Config => Some(&self.config),
            StoreKind::Backends => Some(&self.backends),
            StoreKind::Evacuations => Some(&self.evacuations),
            StoreKind::Hosts | StoreKind::Leases | StoreKind::Streams => None,
        }
    }
}

impl RelayParts {
    /// Whether a kind is among those that requests are decided by.
    pub fn is_refreshed_kind(&self, kind: StoreKind) -> bool {
        match kind {
            StoreKind::Evacuations => self.has_evacuations(),
            kind => self.refresh.time(kind).is_some(),
        }
    }

    /// Records that an exchange with `source` which began at `began` has brought a kind up to date.
    pub fn record_refresh(&self, kind: StoreKind, began: Duration, source: &str) {
        let Some(time) = self.refresh.time(kind) else {
            return;
        };
        if began <= time.get() {
            return;
        }
        let stall = self.stalls.last_stall();
        let awaited = stall.filter(|stall| time.get() < stall.ended && began >= stall.ended);
        time.set(began);
        self.refresh.advanced.notify_waiters();
        if let Some(stall) = awaited {
            self.log_refresh(kind, source, stall);
        }
    }

    fn log_refresh(&self, kind: StoreKind, source: &str, stall: ProcessStall) {
        let position = self.cluster.borrow().backends_position();
        let after = self.now().saturating_sub(stall.ended);
        event::emit(
            &event::HOST_REFRESHED,
            &[
                ("kind", &format!("{kind:?}")),
                ("source", &source),
                ("after_ms", &after.as_millis()),
                ("position", &position),
            ],
        );
    }

    /// Whether this process has stalled and has not heard since what changed meanwhile, or has only read a list of servers
    /// that may lag.
    pub fn is_outdated(&self) -> bool {
        self.refresh_time_left().is_some()
    }

    /// Whether requests are held back until an exchange brings this kind up to date.
    pub fn needs_refresh(&self, kind: StoreKind) -> bool {
        let stall = self.stalls.last_stall();
        let is_older = |time: &Cell<Duration>| stall.is_some_and(|stall| time.get() < stall.ended);
        let unconfirmed = self.cluster.borrow().backends_unconfirmed_since();
        let is_unconfirmed = kind == StoreKind::Backends && unconfirmed.is_some();
        self.is_outdated() && (is_unconfirmed || self.refresh.time(kind).is_some_and(is_older))
    }

    /// Waits until this host knows what has changed, or cannot.
    pub async fn refreshed(&self) {
        while self.is_outdated() {
            let advanced = self.refresh.advanced.notified();
            tokio::pin!(advanced);
            advanced.as_mut().enable();
            let Some(left) = self.refresh_time_left() else {
                return;
            };
            tokio::select! {
                () = advanced => {}
                () = tokio::time::sleep(left) => {}
            }
        }
    }

    // How long requests are still held back at most; none if they are not.
    fn refresh_time_left(&self) -> Option<Duration> {
        let stall = self.stalls.last_stall();
        let stalled = stall
            .filter(|stall| self.refresh.is_exchanging.get() && !self.has_refreshed_since(*stall));
        let unconfirmed = self.cluster.borrow().backends_unconfirmed_since();
        let since = stalled.map(|stall| stall.ended).max(unconfirmed)?;
        (since + REFRESH_TIMEOUT).checked_sub(self.now())
    }

    fn has_refreshed_since(&self, stall: ProcessStall) -> bool {
        let kinds = [
            StoreKind::Config,
            StoreKind::Backends,
            StoreKind::Evacuations,
        ];
        let mut times = kinds
            .into_iter()
            .filter(|kind| self.is_refreshed_kind(*kind))
            .filter_map(|kind| self.refresh.time(kind));
        times.all(|time| time.get() >= stall.ended)
    }

    /// Records that the store has confirmed the list of servers in answer to a call that began at `began`.
    pub fn record_confirmation(&self, began: Duration) {
        let confirmed = &self.refresh.confirmed;
        confirmed.set(confirmed.get().max(began));
        self.refresh.advanced.notify_waiters();
    }

    /// Has the store confirm the list of servers as of `since` or later. Returns whether it did in time.
    pub async fn confirm_backends(&self, since: Duration) -> bool {
        if self.cluster.borrow().is_store_lost() {
            return self.refresh.confirmed.get() >= since;
        }
        let confirming = async {
            loop {
                let advanced = self.refresh.advanced.notified();
                tokio::pin!(advanced);
                advanced.as_mut().enable();
                if self.refresh.confirmed.get() >= since {
                    return;
                }
                self.refresh.confirmation_wanted.notify_one();
                advanced.await;
            }
        };
        let confirmed = tokio::time::timeout(CONFIRM_TIMEOUT, confirming).await;
        confirmed.is_ok()
    }
}

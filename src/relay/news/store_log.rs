//! Log events about reading the store.

use {
    super::feed::StoreReader,
    crate::{
        event,
        relay::link::StoreKind,
        store::{StoreFailure, StorePosition},
    },
    std::{cell::RefCell, collections::HashMap, time::Duration},
};

/// Why changes cannot be read from the position that this host has reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum StallReason {
    HistoryGone,
    StaleList,
}

/// The position at which each reason was last logged, by kind, so that a repeated failure is logged once.
#[derive(Debug, Default)]
pub(super) struct LoggedPositions {
    positions: RefCell<HashMap<(StallReason, StoreKind), StorePosition>>,
}

impl LoggedPositions {
    fn is_first(&self, reason: StallReason, kind: StoreKind, held: StorePosition) -> bool {
        let before = self.positions.borrow_mut().insert((reason, kind), held);
        before != Some(held)
    }
}

impl StoreReader {
    pub(super) fn log_failed_call(
        &self,
        kind: StoreKind,
        failure: &StoreFailure,
        started_at: Duration,
        retry_delay: Duration,
    ) {
        let elapsed = self.parts.now().saturating_sub(started_at);
        event::emit(
            &event::STORE_UNANSWERED,
            &[
                ("kind", &format!("{kind:?}")),
                ("waited_ms", &elapsed.as_millis()),
                ("pause_ms", &retry_delay.as_millis()),
                ("cause", failure),
            ],
        );
    }

    pub(super) fn log_history_gone(&self, kind: StoreKind) {
        let held = self.known_position(kind);
        if self
            .logged_positions
            .is_first(StallReason::HistoryGone, kind, held)
        {
            event::emit(
                &event::STORE_HISTORY_GONE,
                &[("kind", &format!("{kind:?}")), ("held", &held)],
            );
        }
    }

    pub(super) fn log_stale_list(&self, kind: StoreKind, listed: StorePosition) {
        self.parts.metrics.older_lists.inc();
        let held = self.known_position(kind);
        if self
            .logged_positions
            .is_first(StallReason::StaleList, kind, held)
        {
            event::emit(
                &event::STORE_LIST_OLDER,
                &[
                    ("kind", &format!("{kind:?}")),
                    ("held", &held),
                    ("told", &listed),
                ],
            );
        }
    }
}

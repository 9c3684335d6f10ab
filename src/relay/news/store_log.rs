//! What the log says of reading the store.

use {
    super::feed::StoreFeed,
    crate::{
        event,
        relay::link::StoreKind,
        store::{StoreFailure, StorePosition},
    },
    std::{cell::RefCell, collections::HashMap, time::Duration},
};

/// Why the changes after a held position cannot be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum StuckReason {
    HistoryGone,
    ListOlder,
}

/// The held position for which each reason was last logged, by kind.
#[derive(Debug, Default)]
pub(super) struct LoggedPlaces {
    places: RefCell<HashMap<(StuckReason, StoreKind), StorePosition>>,
}

impl LoggedPlaces {
    fn is_first(&self, reason: StuckReason, kind: StoreKind, held: StorePosition) -> bool {
        let before = self.places.borrow_mut().insert((reason, kind), held);
        before != Some(held)
    }
}

impl StoreFeed {
    pub(super) fn log_unanswered(
        &self,
        kind: StoreKind,
        failure: &StoreFailure,
        asked: Duration,
        pause: Duration,
    ) {
        let waited = self.parts.now().saturating_sub(asked);
        event::emit(
            &event::STORE_UNANSWERED,
            &[
                ("kind", &format!("{kind:?}")),
                ("waited_ms", &waited.as_millis()),
                ("pause_ms", &pause.as_millis()),
                ("cause", failure),
            ],
        );
    }

    pub(super) fn log_history_gone(&self, kind: StoreKind) {
        let held = self.held_position(kind);
        if self.logged.is_first(StuckReason::HistoryGone, kind, held) {
            event::emit(
                &event::STORE_HISTORY_GONE,
                &[("kind", &format!("{kind:?}")), ("held", &held)],
            );
        }
    }

    pub(super) fn log_older_list(&self, kind: StoreKind, told: StorePosition) {
        self.parts.metrics.older_lists.inc();
        let held = self.held_position(kind);
        if self.logged.is_first(StuckReason::ListOlder, kind, held) {
            event::emit(
                &event::STORE_LIST_OLDER,
                &[
                    ("kind", &format!("{kind:?}")),
                    ("held", &held),
                    ("told", &told),
                ],
            );
        }
    }
}

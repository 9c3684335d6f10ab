//! What this host's requests show of its own links to backend servers.

use {
    super::shared::{self, RelayParts},
    crate::{
        event,
        relay::{backend::BackendInfo, policy::link_tracker::LinkGroup},
    },
};

impl RelayParts {
    /// Records that a server answered this host directly.
    pub(super) fn record_link_answer(&self, backend: &BackendInfo) {
        let group = LinkGroup::of(backend);
        let now = self.now();
        self.links
            .borrow_mut()
            .record_answer(backend.key(), &group, now);
        self.log_suspicion();
    }

    /// Records that a server left a direct request of this host without an answer.
    pub(super) fn record_link_failure(&self, backend: &BackendInfo) {
        let group = LinkGroup::of(backend);
        let now = self.now();
        self.links
            .borrow_mut()
            .record_failure(backend.key(), &group, now);
        self.log_suspicion();
    }

    /// Forgets servers that are not listed any more.
    pub(super) fn forget_unlisted_links(&self) {
        let book = self.book.borrow();
        let is_listed = |server| book.is_listed(server);
        self.links.borrow_mut().retain(is_listed);
        drop(book);
        self.log_suspicion();
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

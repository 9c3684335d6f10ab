//! Backend servers in need: hearing the limits that they name.

use {
    super::shared::RelayParts,
    crate::{
        event,
        relay::{
            backend::BackendInfo,
            policy::{
                need_book::LimitSaying,
                server_limit::{LimitMark, ServerLimit},
            },
        },
    },
    http::StatusCode,
    std::{fmt, time::Duration},
};

/// Which answer names or does not name a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerKind {
    /// That of a request that ran well: one that names no limit says that there is none.
    GoodRun,
    /// Any other, also to a call of our own: it only tells a limit that it names.
    Other,
}

impl AnswerKind {
    /// The kind of an answer to a request, by its status and whether it says that the request did not run.
    pub fn of(status: StatusCode, not_run: bool) -> Self {
        match status.is_success() && !not_run {
            true => Self::GoodRun,
            false => Self::Other,
        }
    }
}

// How a limit is shown to operators.
struct ShownLimit(Option<ServerLimit>);

impl fmt::Display for ShownLimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(limit) => limit.fmt(f),
            None => f.write_str("none"),
        }
    }
}

impl RelayParts {
    /// Takes what an answer of a backend server says of its limit; the request was sent at `sent`.
    pub fn note_limit(
        &self,
        backend: &BackendInfo,
        mark: LimitMark,
        kind: AnswerKind,
        sent: Duration,
    ) {
        let limit = match (mark, kind) {
            (LimitMark::Named(limit), _) => Some(limit),
            (LimitMark::Unreadable, _) => return self.note_unreadable_limit(backend),
            (LimitMark::Unsaid, AnswerKind::GoodRun) => None,
            (LimitMark::Unsaid, AnswerKind::Other) => return,
        };
        self.take_limit(backend, LimitSaying { limit, said: sent }, "answer");
    }

    // Counted for all, logged for those who look: a server could fill the log with it.
    fn note_unreadable_limit(&self, backend: &BackendInfo) {
        self.metrics.unreadable_limits.inc();
        log::debug!("{} names a limit that is none", backend.id);
    }

    fn take_limit(&self, backend: &BackendInfo, saying: LimitSaying, from: &str) {
        let mut book = self.book.borrow_mut();
        let Some(changed) = book.take_limit(backend, saying) else {
            return;
        };
        drop(book);
        let age = self.now().saturating_sub(saying.said);
        event::emit(
            &event::SERVER_LIMIT,
            &[
                ("backend", &backend.id),
                ("service", &backend.service),
                ("zone", &backend.zone),
                ("limit", &ShownLimit(saying.limit)),
                ("was", &ShownLimit(changed)),
                ("from", &from),
                ("age_ms", &age.as_millis()),
            ],
        );
    }
}

//! Servers that say in their answers that they are leaving, or that this host is to back off.

use {
    super::{needs::AnswerKind, shared::RelayParts},
    crate::{
        event,
        relay::{
            backend::BackendInfo,
            policy::{
                availability::ServerAvailability,
                server_marks::{BackoffMark, LeavingMark, ServerMarks},
            },
        },
    },
    std::{collections::BTreeMap, time::Duration},
};

impl RelayParts {
    /// Takes what an answer says of its server; the request was sent at `sent`.
    pub fn note_marks(
        &self,
        backend: &BackendInfo,
        marks: &ServerMarks,
        kind: AnswerKind,
        sent: Duration,
    ) {
        self.note_limit(backend, marks.limit, kind, sent);
        self.note_availability(backend, marks);
    }

    fn note_availability(&self, backend: &BackendInfo, marks: &ServerMarks) {
        let is_unreadable =
            marks.leaving == LeavingMark::Unreadable || marks.backoff == BackoffMark::Unreadable;
        if is_unreadable {
            // Counted for all, logged for those who look: a server could fill the log with it.
            self.metrics.unreadable_marks.inc();
            log::debug!("{} says something unreadable of itself", backend.id);
        }
        let now = self.now();
        let mut book = self.book.borrow_mut();
        let change = book.availability.note(&backend.run(), marks, now);
        drop(book);
        if change.is_leaving {
            self.metrics.left_service(&backend.service);
            self.log_leaving(backend);
        }
        if let Some(time) = change.backoff {
            self.metrics.backed_off(&backend.service);
            self.log_backoff(backend, time);
        }
    }

    fn log_leaving(&self, backend: &BackendInfo) {
        event::emit(
            &event::SERVER_LEAVING,
            &[
                ("backend", &backend.id),
                ("service", &backend.service),
                ("zone", &backend.zone),
                ("from", &"answer"),
                ("listed_leaving", &backend.leaving),
            ],
        );
    }

    fn log_backoff(&self, backend: &BackendInfo, time: Duration) {
        event::emit(
            &event::SERVER_BACKOFF,
            &[
                ("backend", &backend.id),
                ("service", &backend.service),
                ("zone", &backend.zone),
                ("from", &"answer"),
                ("backoff_ms", &time.as_millis()),
            ],
        );
    }

    /// Logs the backoffs that are over, and evicts what is no longer of use of servers' availability.
    pub fn evict_availability(&self) {
        let now = self.now();
        let ended = self.book.borrow_mut().evict_availability(now);
        for run in ended {
            event::emit(&event::SERVER_BACKOFF_ENDED, &[("backend", &run.id)]);
        }
    }

    /// The servers that take no new requests of this host by what their answers said, as a page for operators: one line each.
    pub fn availability_page(&self) -> String {
        let now = self.now();
        let book = self.book.borrow();
        let known: BTreeMap<_, _> = book
            .availability
            .unavailable(now)
            .map(|(run, availability)| (&run.id, availability))
            .collect();
        let lines = known.iter().map(|(id, availability)| {
            let service = book.view(id).map(|view| view.info.service.as_str());
            let service = service.unwrap_or("unlisted");
            match availability {
                ServerAvailability::BackingOff(left) => {
                    format!(
                        "backend={id} service={service} state=backing-off left_ms={}\n",
                        left.as_millis()
                    )
                }
                _ => format!("backend={id} service={service} state=leaving\n"),
            }
        });
        lines.collect()
    }
}

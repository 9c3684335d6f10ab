//! Servers that say in their answers that they are leaving, or that this host is to back off.

use {
    super::{server_limits::AnswerKind, shared::RelayParts},
    crate::{
        event,
        operation::{Refusal, RefusalCode, RunVerdict},
        relay::{
            backend::BackendInfo,
            policy::{
                availability::ServerAvailability,
                rotation::RotationWait,
                server_signals::{BackoffSignal, LeavingSignal, ServerSignals},
            },
        },
        web::{PoolUse, PooledAnswer, SendFailure},
    },
    bytes::Bytes,
    faststr::FastStr,
    http::Request,
    http_body_util::Full,
    std::{collections::BTreeMap, ops::RangeInclusive, time::Duration},
};

/// When callers are to come back where all servers are leaving: others are started within seconds, and those who were
/// refused together are not to come back together.
const COME_BACK_LEAVING: RangeInclusive<Duration> =
    Duration::from_millis(700)..=Duration::from_millis(1_300);

/// Time over which callers come back after a backoff, so that they do not return together.
const BACKOFF_SPREAD: Duration = Duration::from_millis(600);

/// How much later than the next more urgent ones callers are told to come back after a backoff.
const RANK_DELAY: Duration = Duration::from_millis(100);

/// Ranks from which on callers come back no later.
const RANKS_DELAYED: u8 = 4;

impl RelayParts {
    /// Takes what an answer says of its server; the request was sent at `sent`.
    pub fn note_marks(
        &self,
        backend: &BackendInfo,
        marks: &ServerSignals,
        kind: AnswerKind,
        sent: Duration,
    ) {
        self.note_limit(backend, marks.limit, kind, sent);
        self.note_availability(backend, marks);
    }

    /// Whether a request may be sent to a server now; `admitted` is when memory was reserved there for it, if that was so.
    pub fn may_send(&self, backend: &BackendInfo, admitted: Option<Duration>) -> bool {
        let book = self.book.borrow();
        book.may_send(backend, admitted, self.now())
    }

    /// Sends a request to a server that still takes it when a connection is there.
    pub async fn send_to(
        &self,
        backend: &BackendInfo,
        purpose: PoolUse,
        request: Request<Full<Bytes>>,
        admitted: Option<Duration>,
    ) -> Result<PooledAnswer, SendFailure> {
        let target = self.pool_target(backend, purpose);
        let check = || match self.may_send(backend, admitted) {
            true => Ok(()),
            false => Err(SendFailure::withheld(format!(
                "{} takes no new requests",
                backend.id
            ))),
        };
        self.pool.send_if(target, request, check).await
    }

    fn note_availability(&self, backend: &BackendInfo, marks: &ServerSignals) {
        let is_unreadable =
            marks.leaving == LeavingSignal::Invalid || marks.backoff == BackoffSignal::Invalid;
        if is_unreadable {
            // Counted for all, logged for those who look: a server could fill the log with it.
            self.metrics.unreadable_marks.inc();
            log::debug!("{} says something unreadable of itself", backend.id);
        }
        let now = self.now();
        let mut book = self.book.borrow_mut();
        let change = book.availability.record(&backend.run(), marks, now);
        drop(book);
        if change.is_leaving {
            self.pool.forget(backend.address);
            self.prefer_engines();
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

    /// Logs backoffs that are over, and evicts expired entries of servers' availability.
    pub fn evict_availability(&self) {
        let now = self.now();
        let ended = self.book.borrow_mut().evict_availability(now);
        self.close_idle();
        for run in ended {
            event::emit(&event::SERVER_BACKOFF_ENDED, &[("backend", &run.id)]);
        }
    }

    // Connections to leaving servers on which requests were in progress when they said so.
    fn close_idle(&self) {
        let book = self.book.borrow();
        let unavailable = book.availability.unavailable(self.now());
        let leaving = unavailable.filter(|known| known.1 == ServerAvailability::Leaving);
        for (run, _) in leaving {
            // Another run may have the address of one that is listed no longer.
            let view = book.view(&run.id);
            if view.is_some_and(|view| view.info.run() == *run) {
                self.pool.forget(run.address);
            }
        }
    }

    /// The refusal of a request for a service whose servers take no new requests.
    pub fn out_of_rotation(
        &self,
        service: &FastStr,
        verdict: RunVerdict,
        wait: RotationWait,
        rank: u8,
    ) -> Refusal {
        self.metrics.held_off(service);
        let wait = match wait {
            RotationWait::Until(time) => {
                let after_others = RANK_DELAY * u32::from(rank.min(RANKS_DELAYED));
                time + after_others + rand::random_range(Duration::ZERO..=BACKOFF_SPREAD)
            }
            RotationWait::NoneReturns => rand::random_range(COME_BACK_LEAVING),
        };
        let text = format!("all servers of {service} take no new requests for now");
        Refusal::new(verdict, RefusalCode::NoBackend, text).after(wait)
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

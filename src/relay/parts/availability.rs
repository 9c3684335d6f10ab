//! Availability that backend servers report in their responses: that they are leaving, or that this host must back off.

use {
    super::{server_limits::AnswerKind, shared::RelayParts},
    crate::{
        event,
        operation::{Refusal, RefusalCode, RunVerdict},
        relay::{
            backend::BackendInfo,
            policy::{
                availability::ServerAvailability,
                limit_tracker::PermitState,
                rotation::RotationWait,
                server_signals::{BackoffSignal, LeavingSignal, ServerSignals},
            },
        },
        web::{AnswerId, PoolUse, PooledAnswer, SendFailure},
    },
    bytes::Bytes,
    faststr::FastStr,
    http::Request,
    http_body_util::Full,
    std::{collections::BTreeMap, iter, ops::RangeInclusive, time::Duration},
};

/// Retry delay for callers when all servers are leaving: replacements start within seconds. Random, so that callers
/// refused together don't return together.
const LEAVING_RETRY_DELAY: RangeInclusive<Duration> =
    Duration::from_millis(700)..=Duration::from_millis(1_300);

/// Retry delay for callers when all servers are in evacuated zones: an evacuation lasts longer than most callers wait,
/// and those who return learn within seconds that it was taken back.
const EVACUATED_RETRY_DELAY: RangeInclusive<Duration> =
    Duration::from_secs(2)..=Duration::from_secs(5);

/// Maximum random addition to the retry delay after a backoff, so that callers don't return together.
const BACKOFF_JITTER: Duration = Duration::from_millis(600);

/// Additional retry delay after a backoff per rank: more urgent callers return first.
const RANK_DELAY: Duration = Duration::from_millis(100);

/// Highest rank that adds to the retry delay; less urgent callers get the same delay.
const DELAYED_RANKS_MAX: u8 = 4;

/// What a send rests on that may lapse before a connection is available.
#[derive(Debug, Clone, Copy, Default)]
pub struct SendBasis {
    /// When memory was reserved at the server for the request, if it was.
    pub reserved_at: Option<Duration>,
    /// When the request got its permit or place at the server, or needed none; none for calls that need neither.
    pub admitted_at: Option<Duration>,
}

impl RelayParts {
    /// Applies the server state that a response reports. `sent` is when the request was sent.
    pub fn apply_server_marks(
        &self,
        backend: &BackendInfo,
        marks: &ServerSignals,
        kind: AnswerKind,
        sent: Duration,
    ) {
        self.note_limit(backend, marks.limit, kind, sent);
        self.note_availability(backend, marks);
    }

    /// Returns whether a request may be sent to a server now. `admitted` is when memory was reserved there for it, if any.
    pub fn may_send(&self, backend: &BackendInfo, admitted: Option<Duration>) -> bool {
        let book = self.book.borrow();
        book.may_send(backend, admitted, self.now())
    }

    /// Sends a request to a server, unless the server stops accepting new requests before a connection is available, or the
    /// basis of the send lapses. Its answer names it by `answer_id`, if there is one.
    pub async fn send_to(
        &self,
        backend: &BackendInfo,
        purpose: PoolUse,
        answer_id: Option<AnswerId>,
        request: Request<Full<Bytes>>,
        basis: SendBasis,
    ) -> Result<PooledAnswer, SendFailure> {
        let check = async || {
            self.refreshed().await;
            let detail = match self.may_send(backend, basis.reserved_at) {
                true if !self.has_lapsed(backend, basis) => return Ok(()),
                true => format!("what {} grants has lapsed", backend.id),
                false => format!("{} takes no new requests", backend.id),
            };
            self.metrics.withheld_sends.inc();
            Err(SendFailure::withheld(detail))
        };
        let target = self.pool_target(backend, purpose, answer_id);
        self.send_over_link(backend, target, request, check).await
    }

    // Whether the server grants permits or places, and this process has stood still since the request got its own: those who
    // allocate them have passed it on.
    fn has_lapsed(&self, backend: &BackendInfo, basis: SendBasis) -> bool {
        let (server, now) = (backend.key(), self.now());
        let has_stalled = |at| self.stalls.has_stalled_since(at);
        let is_limited = || {
            let state = self.book.borrow().limits.permit(server, 0, now);
            state != PermitState::Unlimited || self.places.is_contended(server, now)
        };
        basis.admitted_at.is_some_and(has_stalled) && is_limited()
    }

    fn note_availability(&self, backend: &BackendInfo, marks: &ServerSignals) {
        let is_unreadable =
            marks.leaving == LeavingSignal::Invalid || marks.backoff == BackoffSignal::Invalid;
        if is_unreadable {
            // Counted in a metric, but logged at debug level only: a faulty server could fill the log.
            self.metrics.unreadable_marks.inc();
            log::debug!("{}: unreadable leaving or backoff header", backend.id);
        }
        let now = self.now();
        let mut book = self.book.borrow_mut();
        let change = book.availability.record(&backend.run(), marks, now);
        drop(book);
        if change.is_leaving {
            self.pool.forget(backend.address);
            self.mark_preferred_engines_outdated();
            self.metrics.services.servers_leaving(&backend.service);
            self.log_leaving(backend);
        }
        if let Some(time) = change.backoff {
            self.metrics.services.server_backoffs(&backend.service);
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

    /// Logs backoffs that have ended, and evicts expired availability entries.
    pub fn evict_availability(&self) {
        let now = self.now();
        let ended = self.book.borrow_mut().evict_availability(now);
        self.close_idle();
        for run in ended {
            event::emit(&event::SERVER_BACKOFF_ENDED, &[("backend", &run.id)]);
        }
    }

    // Closes connections to leaving servers that were in use when the server announced that it leaves.
    fn close_idle(&self) {
        let book = self.book.borrow();
        let unavailable = book.availability.unavailable(self.now());
        let leaving = unavailable.filter(|known| known.1 == ServerAvailability::Leaving);
        for (run, _) in leaving {
            // A new server may use the address of a run that is no longer listed.
            let view = book.view(&run.id);
            if view.is_some_and(|view| view.info.run() == *run) {
                self.pool.forget(run.address);
            }
        }
    }

    /// Returns the refusal of a request for a service none of whose servers accepts new requests.
    pub fn out_of_rotation(
        &self,
        service: &FastStr,
        verdict: RunVerdict,
        wait: RotationWait,
        rank: u8,
    ) -> Refusal {
        self.metrics.services.held_off(service);
        let text = match wait {
            RotationWait::Evacuated => {
                let zones: Vec<_> = self.book.borrow().evacuated().cloned().collect();
                let zones = zones.join(", ");
                format!("all servers of {service} are in evacuated availability zones ({zones})")
            }
            _ => format!("all servers of {service} take no new requests for now"),
        };
        let wait = match wait {
            RotationWait::Until(time) => {
                let rank_delay = RANK_DELAY * u32::from(rank.min(DELAYED_RANKS_MAX));
                time + rank_delay + rand::random_range(Duration::ZERO..=BACKOFF_JITTER)
            }
            RotationWait::NoneReturns => rand::random_range(LEAVING_RETRY_DELAY),
            RotationWait::Evacuated => rand::random_range(EVACUATED_RETRY_DELAY),
        };
        Refusal::new(verdict, RefusalCode::NoBackend, text).after(wait)
    }

    /// Returns a page for operators with one line for each evacuated zone, and one for each server whose responses said
    /// that it accepts no new requests from this host.
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
        iter::once(self.evacuation_lines()).chain(lines).collect()
    }
}

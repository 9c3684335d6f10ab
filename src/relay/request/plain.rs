//! Requests to plain services: sent once, again only where nothing can run twice.

use {
    super::{
        answer::{self, RelayAnswer},
        call::RelayCall,
        chunks::{self, ChunkStep},
        guard::CallGuard,
        judge,
        send::{self, PlainAnswer, PlainBody, SendOutcome},
    },
    crate::{
        event,
        operation::{Refusal, RefusalCode, RunVerdict},
        relay::{
            backend::BackendInfo,
            parts::{permits::ServerPermit, shared::RelayParts},
            policy::{
                book::{PlainChoice, SendWish},
                limit_tracker::PermitWait,
                view::BackendFailure,
            },
        },
        web,
    },
    faststr::FastStr,
    futures::{StreamExt, future::LocalBoxFuture, stream::FuturesUnordered},
    std::{ops::RangeInclusive, rc::Rc, time::Duration},
    tokio::time::Instant,
};

/// Part of the latency target after whose silence a repeatable request is also sent to a second server:
/// the second answer can then still be in time.
const HEDGE_SHARE: f64 = 0.6;

/// Servers that decline one after the other before the caller is told to come back.
const DECLINES_MAX: usize = 3;

/// Rate-limited servers that are asked for a permit one after the other: each takes a moment of the caller's time.
const PERMIT_REQUESTS: usize = 4;

/// When a caller is to come back after a refusal of a plain request.
const COME_BACK: Duration = Duration::from_millis(100);

/// When callers are to come back where no server can be reached: cuts and restarts take seconds, and those who
/// were refused together are not to come back together. The platform's callers wait up to a third of their time.
const COME_BACK_UNREACHABLE: RangeInclusive<Duration> =
    Duration::from_millis(700)..=Duration::from_millis(1_300);

type Sending = LocalBoxFuture<'static, (BackendInfo, SendOutcome)>;

/// A plain request on its way: what was tried and what came of it.
struct PlainRelay {
    parts: Rc<RelayParts>,
    call: Rc<RelayCall>,
    service: FastStr,
    tried: Vec<FastStr>,
    // Servers that have not answered yet.
    open: Vec<BackendInfo>,
    // Sends that ran or may have run; declined ones do not count.
    sends: u32,
    declines: usize,
    // Whether any send has reached its server, or may have: the next one is then a repeat.
    arrived: bool,
    // Whether all servers that are left fail.
    is_unreachable: bool,
    // Where rate-limited servers had no permit for it: when one is likely.
    permit_wait: Option<PermitWait>,
    // Why it may not be sent any more.
    refused: Option<Refusal>,
    verdict: RunVerdict,
    detail: String,
    // Each server tried and what it answered, for the log.
    trail: String,
    fallback: Option<PlainAnswer>,
    // Whether the end was logged.
    ended: bool,
}

impl Drop for PlainRelay {
    // The caller left: its connection drops whatever is being done for it.
    fn drop(&mut self) {
        if !self.ended {
            self.log_end("caller-gone");
        }
    }
}

/// Answers a plain request.
pub async fn relay_plain(
    parts: Rc<RelayParts>,
    call: Rc<RelayCall>,
    service: FastStr,
) -> Result<RelayAnswer, Refusal> {
    let mut relay = PlainRelay {
        parts,
        call,
        service,
        tried: Vec::new(),
        open: Vec::new(),
        sends: 0,
        declines: 0,
        arrived: false,
        is_unreachable: false,
        permit_wait: None,
        refused: None,
        verdict: RunVerdict::NotRun,
        detail: "no backend server can take it".into(),
        trail: String::new(),
        fallback: None,
        ended: false,
    };
    let answer = match relay.run().await {
        Ok(answer) => answer,
        Err(refusal) => {
            relay.log_end("refused");
            return Err(refusal);
        }
    };
    if matches!(answer.body, PlainBody::Whole(_)) {
        relay.log_end(answer.status.as_str());
    }
    let body = match answer.body {
        PlainBody::Whole(body) => answer::whole_body(body),
        PlainBody::Running(body, guard) => {
            let call = relay.call.clone();
            let note = |kept: &mut (PlainRelay, CallGuard), step: ChunkStep| match step {
                ChunkStep::Passed => {}
                ChunkStep::Ended(end) => {
                    kept.1.note_chunk_end(&kept.0.call, end);
                    kept.0.log_end(end.as_str());
                }
            };
            answer::streamed_body(chunks::pass_on(body, call, (relay, guard), note))
        }
    };
    Ok(answer::relayed(answer.status, answer.headers, body))
}

impl PlainRelay {
    async fn run(&mut self) -> Result<PlainAnswer, Refusal> {
        let mut running: FuturesUnordered<Sending> = FuturesUnordered::new();
        if !self.launch(&mut running, false).await {
            return Err(self.refusal(RefusalCode::NoBackend));
        }
        let mut hedge_at = self.hedge_time();
        loop {
            tokio::select! {
                Some((backend, outcome)) = running.next() => {
                    if let Some(answer) = self.take(&backend, outcome) {
                        return Ok(answer);
                    }
                    if self.may_send_again() {
                        self.launch(&mut running, false).await;
                    }
                    if running.is_empty() {
                        return self.fallback.take().ok_or_else(|| self.refusal(RefusalCode::BackendLost));
                    }
                }
                () = tokio::time::sleep_until(hedge_at) => {
                    // Two servers at a time would end under it.
                    if self.may_send_again() && !self.call.is_suspected {
                        self.launch(&mut running, true).await;
                    }
                    hedge_at = self.hedge_time();
                }
                () = tokio::time::sleep(self.call.time_left()) => {
                    // A process that was paused wakes up late: what is there already still counts.
                    if let Ok(Some((backend, outcome))) = web::within(Duration::ZERO, running.next()).await
                        && let Some(answer) = self.take(&backend, outcome)
                    {
                        return Ok(answer);
                    }
                    self.give_up_open();
                    return self.fallback.take().ok_or_else(|| self.refusal(RefusalCode::DeadlinePassed));
                }
            }
        }
    }

    fn hedge_time(&self) -> Instant {
        Instant::now() + self.call.route.latency_target.mul_f64(HEDGE_SHARE)
    }

    // The time limit is reached: what was sent and not answered may have run.
    fn give_up_open(&mut self) {
        for backend in std::mem::take(&mut self.open) {
            self.note_step(&backend, "silent");
            let detail = "no answer within the time limit";
            self.parts
                .note_failure(&backend, BackendFailure::Silent, detail);
            self.verdict = self.verdict.max(RunVerdict::MayHaveRun);
            self.detail = format!("{}: {detail}", backend.id);
        }
    }

    // Sends to the best server not tried yet. It costs a repeat if a send before it has reached its server or
    // is under way; when a zone is cut off, many requests find a server that cannot be reached first.
    async fn launch(&mut self, running: &mut FuturesUnordered<Sending>, is_hedge: bool) -> bool {
        let Some((backend, permit)) = self.next_server(is_hedge).await else {
            return false;
        };
        let is_repeat = self.arrived || !self.open.is_empty();
        if is_repeat && !self.parts.spend_repeat(&self.service) {
            return false;
        }
        permit.use_up();
        self.tried.push(backend.id.clone());
        self.open.push(backend.clone());
        self.sends += 1;
        running.push(Box::pin(send::send_plain(
            self.parts.clone(),
            self.call.clone(),
            backend,
        )));
        true
    }

    // The best server not tried yet that has a permit for the request, if it is rate-limited. Those that deny one do not
    // stand before one that is not rate-limited.
    async fn next_server(&mut self, is_hedge: bool) -> Option<(BackendInfo, ServerPermit)> {
        let rank = self.call.priority();
        for asked in 0..=PERMIT_REQUESTS {
            let checked = judge::check_send(&self.parts, &self.call, &self.service, self.verdict);
            if let Err(refusal) = checked {
                self.refused = Some(refusal);
                return None;
            }
            let needs_no_permit = is_hedge || asked == PERMIT_REQUESTS;
            let backend = self.choose(SendWish {
                rank,
                needs_no_permit,
            })?;
            match self.parts.take_permit(&backend, rank).await {
                Ok(permit) if self.parts.may_send(&backend, None) => {
                    return Some((backend, permit));
                }
                // It said meanwhile that it takes no new requests, and is not chosen again.
                Ok(_) => {}
                Err(wait) => self.permit_wait = Some(wait),
            }
        }
        None
    }

    fn choose(&mut self, wish: SendWish) -> Option<BackendInfo> {
        let now = self.parts.now();
        let zone = &self.parts.settings.zone;
        let book = self.parts.book.borrow();
        let choice = book.choose_plain(&self.service, zone, &self.tried, wish, now);
        drop(book);
        match choice {
            PlainChoice::Send(backend) => return Some(backend),
            PlainChoice::Unreachable => self.is_unreachable = true,
            PlainChoice::NoPermit(wait) => self.permit_wait = Some(wait),
            PlainChoice::NoneLeft => {}
        }
        None
    }

    fn may_send_again(&self) -> bool {
        let allowed = self
            .verdict
            .allows_retry(self.call.route.kind.is_repeatable());
        let attempts = self.call.route.attempts.max(1);
        allowed && self.sends < attempts && self.declines < DECLINES_MAX
    }

    fn log_end(&mut self, end: &str) {
        self.ended = true;
        let call = &self.call;
        event::emit(
            &event::REQUEST_ENDED,
            &[
                ("request", &call.marks.id),
                ("route", &call.route.name),
                ("account", &call.account_name()),
                ("config", &call.config_version),
                ("end", &end),
                ("tried", &self.trail),
                ("ended_ms", &call.age().as_millis()),
            ],
        );
    }

    fn note_step(&mut self, backend: &BackendInfo, step: &str) {
        let at = self.call.age().as_millis();
        let between = if self.trail.is_empty() { "" } else { "," };
        let step = format!("{between}{}:{step}@{at}", backend.id);
        self.trail.push_str(&step);
    }

    // Takes what became of a send; gives the answer if that is the caller's.
    fn take(&mut self, backend: &BackendInfo, outcome: SendOutcome) -> Option<PlainAnswer> {
        self.open.retain(|open| open.id != backend.id);
        self.arrived |= !matches!(outcome, SendOutcome::Unsent(_));
        match outcome {
            SendOutcome::Answered(answer) => {
                self.note_step(backend, answer.status.as_str());
                let is_good = !answer.status.is_server_error();
                self.parts.book.borrow_mut().answered(&backend.id, is_good);
                if is_good && matches!(answer.body, PlainBody::Whole(_)) {
                    self.parts.note_good_run(|| self.call.digest());
                }
                if is_good || !self.call.route.kind.is_repeatable() {
                    return Some(*answer);
                }
                self.verdict = RunVerdict::Ran;
                self.detail = format!("{} answered {}", backend.id, answer.status);
                self.fallback = Some(*answer);
            }
            SendOutcome::Declined(detail) => self.take_decline(backend, "declined", &detail),
            SendOutcome::Unsent(detail) => self.take_decline(backend, "unsent", &detail),
            SendOutcome::Lost(detail) => {
                self.note_step(backend, "lost");
                self.verdict = self.verdict.max(RunVerdict::MayHaveRun);
                self.detail = format!("{}: {detail}", backend.id);
            }
        }
        None
    }

    // It did not run there.
    fn take_decline(&mut self, backend: &BackendInfo, step: &str, detail: &str) {
        self.note_step(backend, step);
        self.sends -= 1;
        self.declines += 1;
        self.detail = format!("{} {step}: {detail}", backend.id);
    }

    fn refusal(&mut self, code: RefusalCode) -> Refusal {
        if let Some(refusal) = self.refused.take() {
            return refusal;
        }
        // Whom another server declined is told to come back soon: permits at rate-limited servers may be far between.
        if let Some(wait) = self.permit_wait
            && self.tried.is_empty()
        {
            return self.parts.permit_denied(&self.service, self.verdict, wait);
        }
        let now = self.parts.now();
        let wait = self
            .parts
            .book
            .borrow()
            .rotation_wait(&self.service, None, now);
        if let Some(wait) = wait
            && self.verdict == RunVerdict::NotRun
        {
            return self.parts.out_of_rotation(
                &self.service,
                self.verdict,
                wait,
                self.call.priority(),
            );
        }
        let refusal = Refusal::new(self.verdict, code, self.detail.clone());
        match self.is_unreachable {
            true => refusal.after(rand::random_range(COME_BACK_UNREACHABLE)),
            false => refusal.after(COME_BACK),
        }
    }
}

//! State machine of a model request, from arrival to completion.
//!
//! It owns no clock, socket or task: it takes an event and the current time and returns actions. Tests can therefore
//! inject any fault at any step, and the benchmark runs the same decision code as the daemon.

use {
    super::{
        step::{EngineAttempt, RequestAction, RequestEnd, RequestEvent, RequestLimits},
        verdict::{Refusal, RefusalCode, RunVerdict},
    },
    crate::engine::{CallFailure, PrefillReply, RefusalCause, StreamItem},
    faststr::FastStr,
    std::time::Duration,
};

#[derive(Debug, Clone, PartialEq, Eq)]
enum RequestState {
    Placing,
    Prefilling(EngineAttempt),
    Importing(HeldCache),
    PlacingDecode(HeldCache),
    Decoding(EngineAttempt),
    Ended,
}

/// A KV cache that a prefill engine holds until a decode engine has imported it.
#[derive(Debug, Clone, PartialEq, Eq)]
struct HeldCache {
    prefill: EngineAttempt,
    decode: EngineAttempt,
    handle: FastStr,
    expires_at: Duration,
}

/// The state of one model request.
///
/// All times come from the clock whose reading is passed to [`RequestStateMachine::step`].
#[derive(Debug)]
pub struct RequestStateMachine {
    limits: RequestLimits,
    state: RequestState,
    planned_decode: Option<EngineAttempt>,
    delivered: Vec<FastStr>,
    // Attempts that may still hold engine memory.
    open: Vec<EngineAttempt>,
    prefills: u32,
    refusals: u32,
    imports: u32,
    resumes: u32,
    last_failure: String,
    verdict: RunVerdict,
    // Restored if the prefill engine refuses the order.
    verdict_before_prefill: RunVerdict,
    // Number of tokens that the caller received through another host.
    caller_token_count: usize,
}

impl RequestStateMachine {
    /// Creates the state of a newly arrived request.
    pub fn new(limits: RequestLimits) -> Self {
        Self {
            limits,
            state: RequestState::Placing,
            planned_decode: None,
            delivered: Vec::new(),
            open: Vec::new(),
            prefills: 0,
            refusals: 0,
            imports: 0,
            resumes: 0,
            last_failure: String::new(),
            verdict: RunVerdict::NotRun,
            verdict_before_prefill: RunVerdict::NotRun,
            caller_token_count: 0,
        }
    }

    /// Takes over a request that another host started and whose caller reconnected here with `caller_token_count`
    /// tokens.
    ///
    /// The stream of `target` is read from position 0, so that this host has the complete answer.
    pub fn adopt(limits: RequestLimits, target: EngineAttempt, caller_token_count: usize) -> Self {
        Self {
            state: RequestState::Decoding(target.clone()),
            open: vec![target],
            verdict: RunVerdict::Ran,
            caller_token_count,
            ..Self::new(limits)
        }
    }

    /// Returns the initial actions.
    pub fn start(&self) -> Vec<RequestAction> {
        match &self.state {
            RequestState::Decoding(target) => vec![RequestAction::Resume {
                target: target.clone(),
                from: 0,
            }],
            _ => vec![RequestAction::Place { again: false }],
        }
    }

    /// Returns the tokens emitted by this host so far, including any that an adopted caller already has.
    pub fn delivered(&self) -> &[FastStr] {
        &self.delivered
    }

    /// Returns whether the request may have run so far.
    pub fn verdict(&self) -> RunVerdict {
        self.verdict
    }

    /// Returns the attempts that may still hold engine memory.
    pub fn open_attempts(&self) -> &[EngineAttempt] {
        &self.open
    }

    /// Returns the number of prefills started so far, without those that engines refused.
    pub fn prefills(&self) -> u32 {
        self.prefills
    }

    /// Returns whether the request has ended.
    pub fn has_ended(&self) -> bool {
        self.state == RequestState::Ended
    }

    /// Processes an event and returns the resulting actions; events after the end are ignored.
    pub fn step(&mut self, event: RequestEvent, now: Duration) -> Vec<RequestAction> {
        if self.has_ended() {
            return Vec::new();
        }
        let mut actions = Vec::new();
        self.advance(event, now, &mut actions);
        self.assert_invariants(&actions);
        actions
    }

    // Asserted after each step.
    fn assert_invariants(&self, actions: &[RequestAction]) {
        let ends = actions
            .iter()
            .filter(|action| matches!(action, RequestAction::End(_)))
            .count();
        assert!(ends <= 1, "a step ends the request at most once");
        assert_eq!(
            ends == 1,
            self.has_ended(),
            "`End` is emitted exactly when the request ends"
        );
        if self.has_ended() {
            assert!(self.open.is_empty(), "no open attempts after the end");
        }
    }

    fn advance(&mut self, event: RequestEvent, now: Duration, actions: &mut Vec<RequestAction>) {
        match (self.state.clone(), event) {
            (_, RequestEvent::CallerGone) => {
                let refusal =
                    Refusal::new(self.verdict, RefusalCode::Cancelled, "the caller is gone");
                self.refuse(refusal, actions);
            }
            (_, RequestEvent::DeadlinePassed) => {
                let text = format!("time ran out; {}", self.last_failure);
                let refusal = Refusal::new(self.verdict, RefusalCode::DeadlinePassed, text);
                self.refuse(refusal, actions);
            }
            (RequestState::Placing, RequestEvent::Placed { prefill, decode }) => {
                self.start_prefill(prefill, decode, actions);
            }
            (_, RequestEvent::PlaceRefused(refusal)) => self.refuse_placement(refusal, actions),
            (RequestState::Prefilling(attempt), RequestEvent::PrefillDone(reply)) => {
                self.start_import(attempt, reply, now, actions);
            }
            (RequestState::Prefilling(attempt), RequestEvent::PrefillFailed(failure)) => {
                self.handle_prefill_failure(attempt, failure, actions);
            }
            (RequestState::PlacingDecode(held), RequestEvent::DecodePlaced(target)) => {
                self.send_decode(
                    HeldCache {
                        decode: target,
                        ..held
                    },
                    actions,
                );
            }
            (RequestState::Importing(held), RequestEvent::DecodeFailed(failure)) => {
                self.handle_import_failure(held, Some(failure), now, actions);
            }
            (
                RequestState::Importing(held),
                RequestEvent::ImportStalled | RequestEvent::StreamBroken,
            ) => {
                self.handle_import_failure(held, None, now, actions);
            }
            (RequestState::Importing(held), RequestEvent::Item(item)) => {
                self.handle_import_item(held, item, now, actions);
            }
            (RequestState::Decoding(attempt), RequestEvent::Item(item)) => {
                self.handle_decode_item(attempt, item, actions);
            }
            (
                RequestState::Decoding(attempt),
                RequestEvent::StreamBroken
                | RequestEvent::DecodeFailed(_)
                | RequestEvent::ImportStalled,
            ) => self.handle_stream_failure(attempt, actions),
            // A late answer to an attempt that was already abandoned.
            _ => {}
        }
    }

    fn start_prefill(
        &mut self,
        prefill: EngineAttempt,
        decode: EngineAttempt,
        actions: &mut Vec<RequestAction>,
    ) {
        self.prefills += 1;
        self.imports = 0;
        self.resumes = 0;
        self.planned_decode = Some(decode);
        self.open.push(prefill.clone());
        self.verdict_before_prefill = self.verdict;
        self.verdict = self.verdict.max(RunVerdict::MayHaveRun);
        self.state = RequestState::Prefilling(prefill.clone());
        actions.push(RequestAction::Prefill(prefill));
    }

    fn start_import(
        &mut self,
        prefill: EngineAttempt,
        reply: PrefillReply,
        now: Duration,
        actions: &mut Vec<RequestAction>,
    ) {
        self.verdict = RunVerdict::Ran;
        let decode = self
            .planned_decode
            .take()
            .expect("a placement includes a decode engine");
        let held = HeldCache {
            prefill,
            decode,
            handle: reply.handle,
            expires_at: now + self.limits.kv_life,
        };
        self.send_decode(held, actions);
    }

    fn send_decode(&mut self, held: HeldCache, actions: &mut Vec<RequestAction>) {
        self.imports += 1;
        self.open.push(held.decode.clone());
        actions.push(RequestAction::Decode {
            target: held.decode.clone(),
            source: held.prefill.engine.clone(),
            handle: held.handle.clone(),
        });
        self.state = RequestState::Importing(held);
    }

    fn handle_prefill_failure(
        &mut self,
        attempt: EngineAttempt,
        failure: CallFailure,
        actions: &mut Vec<RequestAction>,
    ) {
        self.last_failure = format!("prefill at {}: {failure}", attempt.engine);
        self.close_failed(&attempt, &failure, actions);
        if failure.verdict == RunVerdict::NotRun {
            self.verdict = self.verdict_before_prefill;
            self.prefills -= 1;
            self.refusals += 1;
            let is_retry = failure.cause() != Some(RefusalCause::Full);
            self.place_again(is_retry, actions);
        } else {
            self.place_again(true, actions);
        }
    }

    // The KV cache may still be available, so another decode engine can import it.
    fn handle_import_failure(
        &mut self,
        held: HeldCache,
        failure: Option<CallFailure>,
        now: Duration,
        actions: &mut Vec<RequestAction>,
    ) {
        let cause = failure.as_ref().and_then(CallFailure::cause);
        let detail = match &failure {
            Some(failure) => failure.to_string(),
            None => "the transfer stalled or broke".to_owned(),
        };
        self.last_failure = format!("decode at {}: {detail}", held.decode.engine);
        if cause == Some(RefusalCause::Full) {
            // An order refused for lack of room costs only a call, so it doesn't count while the KV cache lasts.
            self.imports -= 1;
        }
        match &failure {
            Some(failure) => self.close_failed(&held.decode, failure, actions),
            None => {
                self.cancel_attempt(&held.decode, actions);
                actions.push(RequestAction::Exclude(held.decode.engine.clone()));
            }
        }
        let is_cache_usable = now < held.expires_at && cause != Some(RefusalCause::Expired);
        if is_cache_usable && self.imports < self.limits.imports {
            self.state = RequestState::PlacingDecode(held);
            actions.push(RequestAction::PlaceDecode);
        } else {
            self.cancel_attempt(&held.prefill, actions);
            self.place_again(true, actions);
        }
    }

    fn handle_import_item(
        &mut self,
        held: HeldCache,
        item: StreamItem,
        now: Duration,
        actions: &mut Vec<RequestAction>,
    ) {
        match item {
            StreamItem::Imported { .. } => {
                self.remove_open(&held.prefill);
                self.state = RequestState::Decoding(held.decode);
            }
            StreamItem::Aborted { reason } => {
                let failure = CallFailure {
                    verdict: RunVerdict::MayHaveRun,
                    refusal: None,
                    detail: reason.to_string(),
                };
                self.handle_import_failure(held, Some(failure), now, actions);
            }
            // Protocol violation: an engine cannot generate before its import has finished.
            StreamItem::Token { .. } | StreamItem::Finished { .. } => {
                self.handle_import_failure(held, None, now, actions);
            }
        }
    }

    fn handle_decode_item(
        &mut self,
        attempt: EngineAttempt,
        item: StreamItem,
        actions: &mut Vec<RequestAction>,
    ) {
        let delivered_count = self.delivered.len() as u32;
        match item {
            StreamItem::Imported { .. } => {}
            // Replayed by a resumed stream; already delivered.
            StreamItem::Token { position, .. } if position < delivered_count => {}
            StreamItem::Token { position, text } if position == delivered_count => {
                self.delivered.push(text.clone());
                actions.push(RequestAction::Emit { position, text });
            }
            StreamItem::Token { .. } => self.handle_stream_failure(attempt, actions),
            StreamItem::Finished { tokens, reason, .. } if tokens == delivered_count => {
                self.remove_open(&attempt);
                self.end(RequestEnd::Answered { tokens, reason }, actions);
            }
            StreamItem::Finished { .. } => self.handle_stream_failure(attempt, actions),
            StreamItem::Aborted { .. } => {
                self.resumes = self.limits.resumes;
                self.handle_stream_failure(attempt, actions);
            }
        }
    }

    // Resumes the stream up to the limit, then regenerates the remaining tokens on other engines.
    fn handle_stream_failure(&mut self, attempt: EngineAttempt, actions: &mut Vec<RequestAction>) {
        self.last_failure = format!("the stream from {} broke", attempt.engine);
        if self.resumes < self.limits.resumes {
            self.resumes += 1;
            let from = self.delivered.len() as u32;
            actions.push(RequestAction::Resume {
                target: attempt,
                from,
            });
            return;
        }
        self.cancel_attempt(&attempt, actions);
        actions.push(RequestAction::Exclude(attempt.engine));
        self.place_again(true, actions);
    }

    // `is_retry` is false if the engine had no room: no work was done, so the retry budget is not charged.
    fn place_again(&mut self, is_retry: bool, actions: &mut Vec<RequestAction>) {
        if self.delivered.len() < self.caller_token_count {
            // A regenerated answer may differ, so it must not be appended to the part that the caller has.
            let text = format!(
                "what the caller has is not known any more; {}",
                self.last_failure
            );
            let refusal = Refusal::new(self.verdict, RefusalCode::OperationLost, text);
            self.refuse(refusal, actions);
            return;
        }
        let is_exhausted = self.prefills >= self.limits.prefills;
        if is_exhausted || self.refusals >= self.limits.refusals {
            let refusal = Refusal::new(
                self.verdict,
                RefusalCode::BackendLost,
                format!(
                    "gave up after {} prefills and {} refusals; {}",
                    self.prefills, self.refusals, self.last_failure
                ),
            );
            self.refuse(refusal, actions);
            return;
        }
        self.state = RequestState::Placing;
        actions.push(RequestAction::Place { again: is_retry });
    }

    // An attempt that never ran needs no cancel; any other is cancelled until the engine acknowledges it.
    fn close_failed(
        &mut self,
        attempt: &EngineAttempt,
        failure: &CallFailure,
        actions: &mut Vec<RequestAction>,
    ) {
        match failure.verdict {
            RunVerdict::NotRun => self.remove_open(attempt),
            RunVerdict::MayHaveRun | RunVerdict::Ran => self.cancel_attempt(attempt, actions),
        }
        // A full engine is not excluded: it may soon have room again, and the placement desk keeps track of that.
        if failure.cause() != Some(RefusalCause::Full) {
            actions.push(RequestAction::Exclude(attempt.engine.clone()));
        }
    }

    fn remove_open(&mut self, attempt: &EngineAttempt) {
        self.open.retain(|open| open != attempt);
    }

    fn cancel_attempt(&mut self, attempt: &EngineAttempt, actions: &mut Vec<RequestAction>) {
        self.remove_open(attempt);
        actions.push(RequestAction::Cancel(attempt.clone()));
    }

    // Adds what is known from earlier attempts: whether they may have run, and the last failure.
    fn refuse_placement(&mut self, refusal: Refusal, actions: &mut Vec<RequestAction>) {
        let verdict = refusal.verdict.max(self.verdict);
        let message = match self.last_failure.is_empty() {
            true => refusal.message.clone(),
            false => format!("{}; {}", refusal.message, self.last_failure),
        };
        let refusal = Refusal {
            verdict,
            message,
            ..refusal
        };
        self.refuse(refusal, actions);
    }

    fn refuse(&mut self, refusal: Refusal, actions: &mut Vec<RequestAction>) {
        for open in std::mem::take(&mut self.open) {
            actions.push(RequestAction::Cancel(open));
        }
        self.end(RequestEnd::Refused(refusal), actions);
    }

    fn end(&mut self, end: RequestEnd, actions: &mut Vec<RequestAction>) {
        self.state = RequestState::Ended;
        actions.push(RequestAction::End(end));
    }
}

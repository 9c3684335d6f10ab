//! The life of a model request, from its arrival to its end, as a state machine.
//!
//! It holds no clock, socket or task: an event and the time go in, actions come out. So every fault
//! at every step can be driven through it, and the bench runs the same decisions as the daemon.

use {
    super::verdict::{Refusal, RefusalCode, RunVerdict},
    crate::engine::{CallFailure, PrefillReply, RefusalCause, StreamItem},
    faststr::FastStr,
    std::time::Duration,
};

/// Limits on what one request may cost.
#[derive(Debug, Clone, Copy)]
pub struct LifeLimits {
    /// Prefills that engines took, at most.
    pub prefills: u32,
    /// Prefill orders that engines did not take, at most.
    pub refusals: u32,
    /// Decode orders sent at most for one KV cache.
    pub imports: u32,
    /// Reconnects to a decode engine whose stream broke.
    pub resumes: u32,
    /// How long a KV cache may be counted on after its prefill.
    pub kv_life: Duration,
}

impl Default for LifeLimits {
    fn default() -> Self {
        Self {
            prefills: 4,
            refusals: 100,
            imports: 5,
            resumes: 2,
            kv_life: Duration::from_millis(700),
        }
    }
}

/// An attempt at an engine.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct EngineAttempt {
    /// The engine's name.
    pub engine: FastStr,
    /// The attempt's name.
    pub attempt: FastStr,
}

/// What happened to a request.
#[derive(Debug, Clone)]
pub enum LifeEvent {
    /// Engines were chosen and the attempts named.
    Placed {
        /// Where to compute the prompt.
        prefill: EngineAttempt,
        /// Where to generate.
        decode: EngineAttempt,
    },
    /// Another decode engine was chosen for the same KV cache.
    DecodePlaced(EngineAttempt),
    /// No engine was found, or the request was dropped before it was handed over.
    PlaceRefused(Refusal),
    /// The KV cache is computed.
    PrefillDone(PrefillReply),
    /// The prefill gave nothing.
    PrefillFailed(CallFailure),
    /// The decode order was not taken, or its answer was lost.
    DecodeFailed(CallFailure),
    /// The import did not end in time.
    ImportStalled,
    /// The decode engine said something.
    Item(StreamItem),
    /// The decode engine's stream ended too early, or could not be read again.
    StreamBroken,
    /// The caller is gone or cancelled.
    CallerGone,
    /// Time ran out.
    DeadlinePassed,
}

/// What to do next; at most one action of a step waits for an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LifeAction {
    /// Choose engines; answered by `Placed` or `PlaceRefused`.
    Place {
        /// Work is being done again, which the retry budget has to allow.
        again: bool,
    },
    /// Choose another decode engine; answered by `DecodePlaced` or `PlaceRefused`.
    PlaceDecode,
    /// Start the prefill; answered by `PrefillDone` or `PrefillFailed`.
    Prefill(EngineAttempt),
    /// Start import and generation; answered by `Item`s, `DecodeFailed` or `ImportStalled`.
    Decode {
        /// The attempt to start.
        target: EngineAttempt,
        /// Engine that holds the KV cache.
        source: FastStr,
        /// The KV cache's name there.
        handle: FastStr,
    },
    /// Read the stream again; answered like `Decode`.
    Resume {
        /// The attempt to read.
        target: EngineAttempt,
        /// First token wanted.
        from: u32,
    },
    /// Do not choose this engine for this request again.
    Exclude(FastStr),
    /// End an attempt, until the engine acknowledges.
    Cancel(EngineAttempt),
    /// Give the caller the next token.
    Emit {
        /// Its place in the answer.
        position: u32,
        /// Its text.
        text: FastStr,
    },
    /// The request ended.
    End(LifeEnd),
}

/// How a request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LifeEnd {
    /// The caller has its whole answer.
    Answered {
        /// Tokens in the answer.
        tokens: u32,
        /// Why generation ended, as callers know it.
        reason: FastStr,
    },
    /// The caller is told why there is no whole answer.
    Refused(Refusal),
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum LifeState {
    Placing,
    Prefilling(EngineAttempt),
    Importing(HeldCache),
    PlacingDecode(HeldCache),
    Decoding(EngineAttempt),
    Ended,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct HeldCache {
    prefill: EngineAttempt,
    decode: EngineAttempt,
    handle: FastStr,
    until: Duration,
}

/// One model request; times are since the request's arrival.
#[derive(Debug)]
pub struct RequestLife {
    limits: LifeLimits,
    state: LifeState,
    planned_decode: Option<EngineAttempt>,
    delivered: Vec<FastStr>,
    open: Vec<EngineAttempt>,
    prefills: u32,
    refusals: u32,
    imports: u32,
    resumes: u32,
    last_failure: String,
    ran: RunVerdict,
    ran_before: RunVerdict,
    // Tokens that the caller has from before this host knew the request.
    caller_has: usize,
}

impl RequestLife {
    /// A request that has just arrived.
    pub fn new(limits: LifeLimits) -> Self {
        Self {
            limits,
            state: LifeState::Placing,
            planned_decode: None,
            delivered: Vec::new(),
            open: Vec::new(),
            prefills: 0,
            refusals: 0,
            imports: 0,
            resumes: 0,
            last_failure: String::new(),
            ran: RunVerdict::NotRun,
            ran_before: RunVerdict::NotRun,
            caller_has: 0,
        }
    }

    /// A request that another host began, whose caller came here with `caller_has` tokens.
    ///
    /// The attempt's stream is read from its start, so that this host knows the whole answer.
    pub fn adopt(limits: LifeLimits, target: EngineAttempt, caller_has: usize) -> Self {
        Self {
            state: LifeState::Decoding(target.clone()),
            open: vec![target],
            ran: RunVerdict::Ran,
            caller_has,
            ..Self::new(limits)
        }
    }

    /// The first action.
    pub fn start(&self) -> Vec<LifeAction> {
        match &self.state {
            LifeState::Decoding(target) => vec![LifeAction::Resume {
                target: target.clone(),
                from: 0,
            }],
            _ => vec![LifeAction::Place { again: false }],
        }
    }

    /// Tokens that the caller has.
    pub fn delivered(&self) -> &[FastStr] {
        &self.delivered
    }

    /// Attempts that may hold engine memory.
    pub fn open_attempts(&self) -> &[EngineAttempt] {
        &self.open
    }

    /// Prefills started so far.
    pub fn prefills(&self) -> u32 {
        self.prefills
    }

    /// Whether the request has ended.
    pub fn has_ended(&self) -> bool {
        self.state == LifeState::Ended
    }

    /// Takes an event at a time and gives what to do; an event that comes too late changes nothing.
    pub fn step(&mut self, event: LifeEvent, now: Duration) -> Vec<LifeAction> {
        if self.has_ended() {
            return Vec::new();
        }
        let mut actions = Vec::new();
        self.advance(event, now, &mut actions);
        self.check(&actions);
        actions
    }

    // The promises that this machine makes, asserted after each step.
    fn check(&self, actions: &[LifeAction]) {
        let ends = actions
            .iter()
            .filter(|action| matches!(action, LifeAction::End(_)))
            .count();
        assert!(ends <= 1, "a request ends once");
        assert_eq!(ends == 1, self.has_ended(), "the end is told when it comes");
        if self.has_ended() {
            assert!(self.open.is_empty(), "no engine memory held after the end");
        }
    }

    fn advance(&mut self, event: LifeEvent, now: Duration, actions: &mut Vec<LifeAction>) {
        match (self.state.clone(), event) {
            (_, LifeEvent::CallerGone) => {
                let refusal = Refusal::new(self.ran, RefusalCode::Cancelled, "the caller is gone");
                self.refuse(refusal, actions);
            }
            (_, LifeEvent::DeadlinePassed) => {
                let text = format!("time ran out; {}", self.last_failure);
                let refusal = Refusal::new(self.ran, RefusalCode::DeadlinePassed, text);
                self.refuse(refusal, actions);
            }
            (LifeState::Placing, LifeEvent::Placed { prefill, decode }) => {
                self.begin_prefill(prefill, decode, actions);
            }
            (_, LifeEvent::PlaceRefused(refusal)) => self.refuse_place(refusal, actions),
            (LifeState::Prefilling(at), LifeEvent::PrefillDone(reply)) => {
                self.begin_import(at, reply, now, actions);
            }
            (LifeState::Prefilling(at), LifeEvent::PrefillFailed(failure)) => {
                self.lose_prefill(at, failure, actions);
            }
            (LifeState::PlacingDecode(held), LifeEvent::DecodePlaced(target)) => {
                self.send_decode(
                    HeldCache {
                        decode: target,
                        ..held
                    },
                    actions,
                );
            }
            (LifeState::Importing(held), LifeEvent::DecodeFailed(failure)) => {
                self.lose_import(held, Some(failure), now, actions);
            }
            (LifeState::Importing(held), LifeEvent::ImportStalled | LifeEvent::StreamBroken) => {
                self.lose_import(held, None, now, actions);
            }
            (LifeState::Importing(held), LifeEvent::Item(item)) => {
                self.import_item(held, item, now, actions);
            }
            (LifeState::Decoding(at), LifeEvent::Item(item)) => {
                self.decode_item(at, item, actions);
            }
            (
                LifeState::Decoding(at),
                LifeEvent::StreamBroken | LifeEvent::DecodeFailed(_) | LifeEvent::ImportStalled,
            ) => self.lose_stream(at, actions),
            // A late answer to something already given up.
            _ => {}
        }
    }

    fn begin_prefill(
        &mut self,
        prefill: EngineAttempt,
        decode: EngineAttempt,
        actions: &mut Vec<LifeAction>,
    ) {
        self.prefills += 1;
        self.imports = 0;
        self.resumes = 0;
        self.planned_decode = Some(decode);
        self.open.push(prefill.clone());
        self.ran_before = self.ran;
        self.ran = self.ran.max(RunVerdict::MayHaveRun);
        self.state = LifeState::Prefilling(prefill.clone());
        actions.push(LifeAction::Prefill(prefill));
    }

    fn begin_import(
        &mut self,
        prefill: EngineAttempt,
        reply: PrefillReply,
        now: Duration,
        actions: &mut Vec<LifeAction>,
    ) {
        self.ran = RunVerdict::Ran;
        let decode = self
            .planned_decode
            .take()
            .expect("a plan names both engines");
        let held = HeldCache {
            prefill,
            decode,
            handle: reply.handle,
            until: now + self.limits.kv_life,
        };
        self.send_decode(held, actions);
    }

    fn send_decode(&mut self, held: HeldCache, actions: &mut Vec<LifeAction>) {
        self.imports += 1;
        self.open.push(held.decode.clone());
        actions.push(LifeAction::Decode {
            target: held.decode.clone(),
            source: held.prefill.engine.clone(),
            handle: held.handle.clone(),
        });
        self.state = LifeState::Importing(held);
    }

    fn lose_prefill(
        &mut self,
        at: EngineAttempt,
        failure: CallFailure,
        actions: &mut Vec<LifeAction>,
    ) {
        self.last_failure = format!("prefill at {}: {failure}", at.engine);
        self.settle(&at, &failure, actions);
        if failure.verdict == RunVerdict::NotRun {
            self.ran = self.ran_before;
            self.prefills -= 1;
            self.refusals += 1;
            let again = failure.cause() != Some(RefusalCause::Full);
            self.place_again(again, actions);
        } else {
            self.place_again(true, actions);
        }
    }

    // An import failed or stalled: the KV cache may still live for another decode engine.
    fn lose_import(
        &mut self,
        held: HeldCache,
        failure: Option<CallFailure>,
        now: Duration,
        actions: &mut Vec<LifeAction>,
    ) {
        let cause = failure.as_ref().and_then(CallFailure::cause);
        let detail = match &failure {
            Some(failure) => failure.to_string(),
            None => "the transfer stalled or broke".to_owned(),
        };
        self.last_failure = format!("decode at {}: {detail}", held.decode.engine);
        if cause == Some(RefusalCause::Full) {
            // Another look costs nothing but a call, for as long as the KV cache lives.
            self.imports -= 1;
        }
        match &failure {
            Some(failure) => self.settle(&held.decode, failure, actions),
            None => {
                self.close(&held.decode, actions);
                actions.push(LifeAction::Exclude(held.decode.engine.clone()));
            }
        }
        let lives = now < held.until && cause != Some(RefusalCause::Expired);
        if lives && self.imports < self.limits.imports {
            self.state = LifeState::PlacingDecode(held);
            actions.push(LifeAction::PlaceDecode);
        } else {
            self.close(&held.prefill, actions);
            self.place_again(true, actions);
        }
    }

    fn import_item(
        &mut self,
        held: HeldCache,
        item: StreamItem,
        now: Duration,
        actions: &mut Vec<LifeAction>,
    ) {
        match item {
            StreamItem::Imported { .. } => {
                self.forget(&held.prefill);
                self.state = LifeState::Decoding(held.decode);
            }
            StreamItem::Aborted { reason } => {
                let failure = CallFailure {
                    verdict: RunVerdict::MayHaveRun,
                    refusal: None,
                    detail: reason.to_string(),
                };
                self.lose_import(held, Some(failure), now, actions);
            }
            // Generation before the import is no engine's order of things.
            StreamItem::Token { .. } | StreamItem::Finished { .. } => {
                self.lose_import(held, None, now, actions);
            }
        }
    }

    fn decode_item(&mut self, at: EngineAttempt, item: StreamItem, actions: &mut Vec<LifeAction>) {
        let have = self.delivered.len() as u32;
        match item {
            StreamItem::Imported { .. } => {}
            // A token that the caller already has, read again.
            StreamItem::Token { position, .. } if position < have => {}
            StreamItem::Token { position, text } if position == have => {
                self.delivered.push(text.clone());
                actions.push(LifeAction::Emit { position, text });
            }
            StreamItem::Token { .. } => self.lose_stream(at, actions),
            StreamItem::Finished { tokens, reason, .. } if tokens == have => {
                self.forget(&at);
                self.end(LifeEnd::Answered { tokens, reason }, actions);
            }
            StreamItem::Finished { .. } => self.lose_stream(at, actions),
            StreamItem::Aborted { .. } => {
                self.resumes = self.limits.resumes;
                self.lose_stream(at, actions);
            }
        }
    }

    // The stream is read again while the engine may have it; then the rest is generated anew.
    fn lose_stream(&mut self, at: EngineAttempt, actions: &mut Vec<LifeAction>) {
        self.last_failure = format!("the stream from {} broke", at.engine);
        if self.resumes < self.limits.resumes {
            self.resumes += 1;
            let from = self.delivered.len() as u32;
            actions.push(LifeAction::Resume { target: at, from });
            return;
        }
        self.close(&at, actions);
        actions.push(LifeAction::Exclude(at.engine));
        self.place_again(true, actions);
    }

    // What an engine had no room for was not done, so that doing it costs no retry.
    fn place_again(&mut self, again: bool, actions: &mut Vec<LifeAction>) {
        if self.delivered.len() < self.caller_has {
            // Another answer must not be spliced onto the part that the caller has.
            let text = format!(
                "what the caller has is not known any more; {}",
                self.last_failure
            );
            let refusal = Refusal::new(self.ran, RefusalCode::OperationLost, text);
            self.refuse(refusal, actions);
            return;
        }
        let spent = self.prefills >= self.limits.prefills;
        if spent || self.refusals >= self.limits.refusals {
            let refusal = Refusal::new(
                self.ran,
                RefusalCode::BackendLost,
                format!(
                    "gave up after {} prefills and {} refusals; {}",
                    self.prefills, self.refusals, self.last_failure
                ),
            );
            self.refuse(refusal, actions);
            return;
        }
        self.state = LifeState::Placing;
        actions.push(LifeAction::Place { again });
    }

    // What never ran needs no cancel; anything else is cancelled until acknowledged.
    fn settle(&mut self, at: &EngineAttempt, failure: &CallFailure, actions: &mut Vec<LifeAction>) {
        match failure.verdict {
            RunVerdict::NotRun => self.forget(at),
            RunVerdict::MayHaveRun | RunVerdict::Ran => self.close(at, actions),
        }
        // A full engine may have room again soon; the desk remembers.
        if failure.cause() != Some(RefusalCause::Full) {
            actions.push(LifeAction::Exclude(at.engine.clone()));
        }
    }

    fn forget(&mut self, at: &EngineAttempt) {
        self.open.retain(|open| open != at);
    }

    fn close(&mut self, at: &EngineAttempt, actions: &mut Vec<LifeAction>) {
        self.forget(at);
        actions.push(LifeAction::Cancel(at.clone()));
    }

    // A refusal to place says what it knows; what ran before is added.
    fn refuse_place(&mut self, refusal: Refusal, actions: &mut Vec<LifeAction>) {
        let verdict = refusal.verdict.max(self.ran);
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

    fn refuse(&mut self, refusal: Refusal, actions: &mut Vec<LifeAction>) {
        for open in std::mem::take(&mut self.open) {
            actions.push(LifeAction::Cancel(open));
        }
        self.end(LifeEnd::Refused(refusal), actions);
    }

    fn end(&mut self, end: LifeEnd, actions: &mut Vec<LifeAction>) {
        self.state = LifeState::Ended;
        actions.push(LifeAction::End(end));
    }
}

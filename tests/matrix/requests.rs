//! A model request: small fake engines answer the life's actions, one fault at one step.

use {
    super::{
        FaultCell,
        request_faults::{CELLS, Fault, Step, fault_name, step_name},
    },
    bayplank::{
        engine::{
            CallFailure, EngineRefusal, EngineRole, LoadReport, PrefillReply, RefusalCause,
            StreamItem,
        },
        operation::{
            EngineAttempt, Refusal, RefusalCode, RequestAction, RequestEnd, RequestEvent,
            RequestLimits, RequestStateMachine,
        },
    },
    faststr::FastStr,
    std::{collections::VecDeque, time::Duration},
};

const ANSWER_TOKENS: u32 = 6;
const LIFE: &str = "A model request";

pub fn cells() -> Vec<FaultCell> {
    CELLS
        .iter()
        .map(|(step, fault, expected)| FaultCell {
            life: LIFE,
            step: step_name(*step),
            fault: fault_name(*fault),
            expected,
            found: FakeEngines::new(*step, *fault).run(),
        })
        .collect()
}

struct FakeEngines {
    life: RequestStateMachine,
    step: Step,
    fault: Option<Fault>,
    events: VecDeque<RequestEvent>,
    attempts: u32,
    cancels: usize,
    emitted: Vec<u32>,
    engine_is_dead: bool,
    budget_is_spent: bool,
    ends_servers: bool,
}

impl FakeEngines {
    fn new(step: Step, fault: Fault) -> Self {
        Self {
            life: RequestStateMachine::new(RequestLimits::default()),
            step,
            fault: Some(fault),
            events: VecDeque::new(),
            attempts: 0,
            cancels: 0,
            emitted: Vec::new(),
            engine_is_dead: false,
            budget_is_spent: false,
            ends_servers: false,
        }
    }

    fn run(mut self) -> String {
        let mut actions: VecDeque<RequestAction> = self.life.start().into();
        loop {
            while let Some(action) = actions.pop_front() {
                if let RequestAction::End(end) = action {
                    return self.describe(&end);
                }
                self.perform(action);
            }
            let event = self
                .events
                .pop_front()
                .expect("a life goes on until it ends");
            actions.extend(self.life.step(event, Duration::from_millis(100)));
        }
    }

    fn describe(&self, end: &RequestEnd) -> String {
        assert!(self.life.open_attempts().is_empty());
        let in_order: Vec<u32> = (0..self.emitted.len() as u32).collect();
        assert_eq!(self.emitted, in_order, "no token twice, none missing");
        let cost = format!(
            "{} prefills, {} cancels",
            self.life.prefills(),
            self.cancels
        );
        match end {
            RequestEnd::Answered { tokens, .. } => {
                assert_eq!(*tokens, ANSWER_TOKENS);
                assert_eq!(self.emitted.len() as u32, ANSWER_TOKENS, "the whole answer");
                format!("answered; {cost}")
            }
            RequestEnd::Refused(refusal) => {
                let (code, verdict) = (refusal.code.as_str(), refusal.verdict);
                format!("refused {code}, {verdict}; {cost}")
            }
        }
    }

    // The fault, if this is its step; it comes once.
    fn fault_at(&mut self, step: Step) -> Option<Fault> {
        match self.step == step {
            true => self.fault.take(),
            false => None,
        }
    }

    fn attempt(&mut self, engine: &'static str) -> EngineAttempt {
        self.attempts += 1;
        EngineAttempt {
            engine: FastStr::from_static_str(engine),
            attempt: FastStr::from_string(format!("run.{}", self.attempts)),
        }
    }

    fn perform(&mut self, action: RequestAction) {
        match action {
            RequestAction::Place { again } => self.place(again),
            RequestAction::PlaceDecode => self.place_decode(),
            RequestAction::Prefill(_) => self.prefill(),
            RequestAction::Decode { .. } => self.decode(),
            RequestAction::Resume { from, .. } => self.resume(from),
            RequestAction::Cancel(_) => self.cancels += 1,
            RequestAction::Emit { position, .. } => self.emitted.push(position),
            RequestAction::Exclude(_) | RequestAction::End(_) => {}
        }
    }

    fn place(&mut self, again: bool) {
        if again && self.budget_is_spent {
            self.refuse_place();
            return;
        }
        if self.ends_servers {
            let refusal = Refusal::not_run(RefusalCode::EndsServers, "three ended");
            self.events.push_back(RequestEvent::PlaceRefused(refusal));
            return;
        }
        self.engine_is_dead = false;
        match self.fault_at(Step::Placing) {
            Some(Fault::NoEngine) => return self.refuse_place(),
            Some(fault) => self.interrupt(fault),
            None => {}
        }
        let (prefill, decode) = (self.attempt("prefill"), self.attempt("decode"));
        self.events
            .push_back(RequestEvent::Placed { prefill, decode });
    }

    fn place_decode(&mut self) {
        let decode = self.attempt("other-decode");
        self.events.push_back(RequestEvent::DecodePlaced(decode));
    }

    fn refuse_place(&mut self) {
        let refusal = Refusal::not_run(RefusalCode::Overloaded, "none is free");
        self.events.push_back(RequestEvent::PlaceRefused(refusal));
    }

    // Faults that come from outside, whatever is waited for.
    fn interrupt(&mut self, fault: Fault) {
        match fault {
            Fault::CallerGone => self.events.push_back(RequestEvent::CallerGone),
            Fault::Deadline => self.events.push_back(RequestEvent::DeadlinePassed),
            Fault::OldAnswer => self.old_answers(),
            other => panic!("{other:?} does not come from outside"),
        }
    }

    // Answers that belong to no state this life is in.
    fn old_answers(&mut self) {
        match self.step {
            Step::Placing => self.events.push_back(RequestEvent::PrefillDone(reply())),
            Step::Prefilling => self.events.push_back(RequestEvent::StreamBroken),
            Step::Importing => self.events.push_back(RequestEvent::PrefillDone(reply())),
            Step::Imported => self
                .events
                .push_back(RequestEvent::PrefillFailed(unanswered())),
            Step::Decoding => self.events.push_back(RequestEvent::PrefillDone(reply())),
        }
    }

    fn prefill(&mut self) {
        let failure = match self.fault_at(Step::Prefilling) {
            Some(Fault::Full) => Some(refused(RefusalCause::Full)),
            Some(Fault::Unreachable) => Some(CallFailure::unreachable("dead")),
            Some(Fault::Unanswered) => Some(unanswered()),
            Some(Fault::NoBudget) => {
                self.budget_is_spent = true;
                Some(unanswered())
            }
            Some(Fault::EndsServers) => {
                self.ends_servers = true;
                Some(unanswered())
            }
            Some(fault) => {
                self.interrupt(fault);
                None
            }
            None => None,
        };
        self.events.push_back(match failure {
            Some(failure) => RequestEvent::PrefillFailed(failure),
            None => RequestEvent::PrefillDone(reply()),
        });
    }

    fn decode(&mut self) {
        let event = match self.fault_at(Step::Importing) {
            Some(Fault::NoEngine) => {
                self.events
                    .push_back(RequestEvent::DecodeFailed(refused(RefusalCause::Full)));
                return self.refuse_place();
            }
            Some(Fault::Full) => RequestEvent::DecodeFailed(refused(RefusalCause::Full)),
            Some(Fault::Unreachable) => {
                RequestEvent::DecodeFailed(CallFailure::unreachable("dead"))
            }
            Some(Fault::Unanswered) => RequestEvent::DecodeFailed(unanswered()),
            Some(Fault::Stalled) => RequestEvent::ImportStalled,
            Some(Fault::Expired) => RequestEvent::DecodeFailed(refused(RefusalCause::Expired)),
            Some(Fault::EngineDead) => RequestEvent::StreamBroken,
            Some(Fault::Aborted) => RequestEvent::Item(aborted()),
            Some(fault) => {
                self.interrupt(fault);
                return self.stream(0, true);
            }
            None => return self.stream(0, true),
        };
        self.events.push_back(event);
    }

    fn resume(&mut self, from: u32) {
        match self.engine_is_dead {
            true => self.events.push_back(RequestEvent::StreamBroken),
            false => self.stream(from, false),
        }
    }

    // The rest of a stream; a new prefill covers what was delivered.
    fn stream(&mut self, from: u32, imports: bool) {
        let from = from.max(self.emitted.len() as u32);
        if imports {
            self.item(StreamItem::Imported { load: None });
        }
        if let Some(fault) = self.fault_at(Step::Imported) {
            return self.break_stream(fault, from);
        }
        for position in from..ANSWER_TOKENS {
            if position == 3
                && let Some(fault) = self.fault_at(Step::Decoding)
            {
                return self.break_stream(fault, position);
            }
            self.item(token(position));
        }
        self.item(finished(ANSWER_TOKENS));
    }

    fn break_stream(&mut self, fault: Fault, position: u32) {
        match fault {
            Fault::BrokenOnce => self.events.push_back(RequestEvent::StreamBroken),
            Fault::EngineDead | Fault::NoBudget | Fault::EndsServers => {
                self.engine_is_dead = true;
                self.ends_servers = fault == Fault::EndsServers;
                self.budget_is_spent = fault == Fault::NoBudget;
                self.events.push_back(RequestEvent::StreamBroken);
            }
            Fault::Aborted => self.item(aborted()),
            Fault::TokenAgain => {
                self.item(token(position - 1));
                self.finish_from(position);
            }
            Fault::TokenLost => self.item(token(position + 1)),
            Fault::CutShort => self.item(finished(ANSWER_TOKENS)),
            other => {
                self.interrupt(other);
                self.finish_from(position);
            }
        }
    }

    fn finish_from(&mut self, from: u32) {
        for position in from..ANSWER_TOKENS {
            self.item(token(position));
        }
        self.item(finished(ANSWER_TOKENS));
    }

    fn item(&mut self, item: StreamItem) {
        self.events.push_back(RequestEvent::Item(item));
    }
}

fn token(position: u32) -> StreamItem {
    let text = FastStr::from_string(format!("t{position}"));
    StreamItem::Token { position, text }
}

fn finished(tokens: u32) -> StreamItem {
    StreamItem::Finished {
        tokens,
        reason: FastStr::from_static_str("stop"),
        load: None,
    }
}

fn aborted() -> StreamItem {
    let reason = FastStr::from_static_str("aborted");
    StreamItem::Aborted { reason }
}

fn unanswered() -> CallFailure {
    CallFailure::unanswered("no answer")
}

fn refused(cause: RefusalCause) -> CallFailure {
    CallFailure::refused(EngineRefusal { cause, load: None })
}

fn reply() -> PrefillReply {
    PrefillReply {
        handle: FastStr::from_static_str("kv1"),
        computed_tokens: 100,
        cached_tokens: 0,
        compute_ms: 5.0,
        kv_bytes: 1,
        load: LoadReport {
            role: EngineRole::Prefill,
            models: Vec::new(),
            slots_total: 20,
            slots_used: 0,
            queued_tokens: 0,
            attempts: 0,
            leaving: false,
        },
    }
}

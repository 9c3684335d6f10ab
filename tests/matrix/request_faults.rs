//! The faults of a model request, step by step, and what has to become of it.

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    Placing,
    Prefilling,
    Importing,
    Imported,
    Decoding,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    CallerGone,
    Deadline,
    NoEngine,
    Full,
    Unreachable,
    Unanswered,
    Stalled,
    Expired,
    Aborted,
    BrokenOnce,
    EngineDead,
    TokenAgain,
    TokenLost,
    CutShort,
    NoBudget,
    EndsServers,
    OldAnswer,
}

/// The step, the fault, and what has to become of the request.
pub const CELLS: &[(Step, Fault, &str)] = &[
    (
        Step::Placing,
        Fault::CallerGone,
        "refused cancelled, not-run; 0 prefills, 0 cancels",
    ),
    (
        Step::Placing,
        Fault::Deadline,
        "refused deadline-passed, not-run; 0 prefills, 0 cancels",
    ),
    (
        Step::Placing,
        Fault::NoEngine,
        "refused overloaded, not-run; 0 prefills, 0 cancels",
    ),
    (
        Step::Placing,
        Fault::OldAnswer,
        "answered; 1 prefills, 0 cancels",
    ),
    (
        Step::Prefilling,
        Fault::CallerGone,
        "refused cancelled, may-have-run; 1 prefills, 1 cancels",
    ),
    (
        Step::Prefilling,
        Fault::Deadline,
        "refused deadline-passed, may-have-run; 1 prefills, 1 cancels",
    ),
    (
        Step::Prefilling,
        Fault::Full,
        "answered; 1 prefills, 0 cancels",
    ),
    (
        Step::Prefilling,
        Fault::Unreachable,
        "answered; 1 prefills, 0 cancels",
    ),
    (
        Step::Prefilling,
        Fault::Unanswered,
        "answered; 2 prefills, 1 cancels",
    ),
    (
        Step::Prefilling,
        Fault::EndsServers,
        "refused ends-servers, may-have-run; 1 prefills, 1 cancels",
    ),
    (
        Step::Prefilling,
        Fault::NoBudget,
        "refused overloaded, may-have-run; 1 prefills, 1 cancels",
    ),
    (
        Step::Prefilling,
        Fault::OldAnswer,
        "answered; 1 prefills, 0 cancels",
    ),
    (
        Step::Importing,
        Fault::CallerGone,
        "refused cancelled, ran; 1 prefills, 2 cancels",
    ),
    (
        Step::Importing,
        Fault::Deadline,
        "refused deadline-passed, ran; 1 prefills, 2 cancels",
    ),
    (
        Step::Importing,
        Fault::NoEngine,
        "refused overloaded, ran; 1 prefills, 1 cancels",
    ),
    (
        Step::Importing,
        Fault::Full,
        "answered; 1 prefills, 0 cancels",
    ),
    (
        Step::Importing,
        Fault::Unreachable,
        "answered; 1 prefills, 0 cancels",
    ),
    (
        Step::Importing,
        Fault::Unanswered,
        "answered; 1 prefills, 1 cancels",
    ),
    (
        Step::Importing,
        Fault::Stalled,
        "answered; 1 prefills, 1 cancels",
    ),
    (
        Step::Importing,
        Fault::Expired,
        "answered; 2 prefills, 1 cancels",
    ),
    (
        Step::Importing,
        Fault::Aborted,
        "answered; 1 prefills, 1 cancels",
    ),
    (
        Step::Importing,
        Fault::EngineDead,
        "answered; 1 prefills, 1 cancels",
    ),
    (
        Step::Importing,
        Fault::OldAnswer,
        "answered; 1 prefills, 0 cancels",
    ),
    (
        Step::Imported,
        Fault::CallerGone,
        "refused cancelled, ran; 1 prefills, 1 cancels",
    ),
    (
        Step::Imported,
        Fault::BrokenOnce,
        "answered; 1 prefills, 0 cancels",
    ),
    (
        Step::Imported,
        Fault::EngineDead,
        "answered; 2 prefills, 1 cancels",
    ),
    (
        Step::Imported,
        Fault::Aborted,
        "answered; 2 prefills, 1 cancels",
    ),
    (
        Step::Imported,
        Fault::OldAnswer,
        "answered; 1 prefills, 0 cancels",
    ),
    (
        Step::Decoding,
        Fault::CallerGone,
        "refused cancelled, ran; 1 prefills, 1 cancels",
    ),
    (
        Step::Decoding,
        Fault::Deadline,
        "refused deadline-passed, ran; 1 prefills, 1 cancels",
    ),
    (
        Step::Decoding,
        Fault::BrokenOnce,
        "answered; 1 prefills, 0 cancels",
    ),
    (
        Step::Decoding,
        Fault::EngineDead,
        "answered; 2 prefills, 1 cancels",
    ),
    (
        Step::Decoding,
        Fault::Aborted,
        "answered; 2 prefills, 1 cancels",
    ),
    (
        Step::Decoding,
        Fault::TokenAgain,
        "answered; 1 prefills, 0 cancels",
    ),
    (
        Step::Decoding,
        Fault::TokenLost,
        "answered; 1 prefills, 0 cancels",
    ),
    (
        Step::Decoding,
        Fault::CutShort,
        "answered; 1 prefills, 0 cancels",
    ),
    (
        Step::Decoding,
        Fault::EndsServers,
        "refused ends-servers, ran; 1 prefills, 1 cancels",
    ),
    (
        Step::Decoding,
        Fault::NoBudget,
        "refused overloaded, ran; 1 prefills, 1 cancels",
    ),
    (
        Step::Decoding,
        Fault::OldAnswer,
        "answered; 1 prefills, 0 cancels",
    ),
];

pub fn step_name(step: Step) -> &'static str {
    match step {
        Step::Placing => "waits for engines",
        Step::Prefilling => "prompt is computed",
        Step::Importing => "KV cache is on its way",
        Step::Imported => "KV cache arrived, no token yet",
        Step::Decoding => "some tokens are delivered",
    }
}

pub fn fault_name(fault: Fault) -> &'static str {
    match fault {
        Fault::CallerGone => "caller gone or cancelled",
        Fault::Deadline => "time ran out",
        Fault::NoEngine => "no engine will be free in time",
        Fault::Full => "engine refuses: full",
        Fault::Unreachable => "engine dead before the order",
        Fault::Unanswered => "engine dead after the order, or its answer lost",
        Fault::Stalled => "transfer stalls",
        Fault::Expired => "KV cache expired",
        Fault::Aborted => "engine aborts",
        Fault::BrokenOnce => "stream breaks, engine alive",
        Fault::EngineDead => "engine dies",
        Fault::TokenAgain => "a token comes twice",
        Fault::TokenLost => "a token is missing",
        Fault::CutShort => "the end comes too early",
        Fault::NoBudget => "engine dies, no work may be done again",
        Fault::EndsServers => "engine dies, the third one under the request",
        Fault::OldAnswer => "an answer to something given up comes late",
    }
}

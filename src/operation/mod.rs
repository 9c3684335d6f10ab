//! Model requests and keyed operations: the request state machine and its runner, run verdicts, operation keys and
//! tickets, retry budget, and cleanup at engines.

mod awaited;
mod bookkeeping;
mod budget;
mod crashes;
mod position;
mod replay;
mod request;
mod runner;
mod signal;
mod state_machine;
mod step;
mod table;
mod ticket;
mod verdict;

pub use self::{
    budget::*, crashes::*, position::*, replay::*, request::*, runner::*, signal::*,
    state_machine::*, step::*, table::*, ticket::*, verdict::*,
};

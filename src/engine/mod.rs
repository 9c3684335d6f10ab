//! Model engines as the router sees them: messages, calls, names of attempts.

mod attempt;
mod canceller;
mod http;
mod ledger;
mod link;
mod prefix;
mod wire;

pub use self::{attempt::*, canceller::*, http::*, ledger::*, link::*, prefix::*, wire::*};

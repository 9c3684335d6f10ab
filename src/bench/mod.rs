//! `bayplank bench`: the product's decisions against the stand-in engines, on a paused clock.
//!
//! There is no model of networks, hosts or the platform here: requests go through the same desk, life
//! and runner as in the daemon, to the same engine code as behind the sockets, joined in process.

mod command;
mod fleet;
mod plan;
mod report;
mod run;
mod workload;

pub use self::{command::*, plan::*, report::*, run::*, workload::*};

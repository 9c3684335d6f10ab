//! Client accounts: which account a request belongs to, by the API key it presents, and how much of its rate
//! limit the account has left.
//!
//! Plain state machines and functions that take the time as an argument and use no clock, socket or task.
//! Both the filter chain and the relay call them.

mod account_usage;
mod admission;
mod bucket;
mod client_account;
mod directory;
mod key;
mod key_status;
mod ledger;
mod ledger_sums;
mod peer_ledger;
mod tolerance;
mod use_report;

pub use self::{
    admission::*, bucket::*, client_account::*, directory::*, key::*, key_status::*, ledger::*,
    tolerance::*, use_report::*,
};

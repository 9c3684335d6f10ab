//! Client accounts: which account a request belongs to, by the API key it presents, and how much of its rate
//! limit the account has left.
//!
//! Plain state machines and functions that take the time as an argument and use no clock, socket or task.
//! Both the filter chain and the relay call them.

mod account_book;
mod bucket;
mod client_account;
mod desk;
mod directory;
mod key;
mod ledger;
mod ledger_sums;
mod seen_ledger;
mod standing;
mod tolerance;
mod use_report;

pub use self::{
    bucket::*, client_account::*, desk::*, directory::*, key::*, ledger::*, standing::*,
    tolerance::*, use_report::*,
};

//! Client accounts: who a request is for, by the key that its caller shows, and what the account may still use.
//!
//! Plain state machines and functions on a given time, without clock, socket or task: the chain of filters and the
//! relay both call them.

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

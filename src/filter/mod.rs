//! The filter chain that every request runs through.

mod call;
mod chain;
mod completion;
mod dispatch;
mod identify;
mod limit;
mod operation;
mod plain;
mod receive;
mod route;

pub use self::{
    call::*,
    chain::*,
    completion::*,
    limit::{LimitPermit, OverLimit, TenantLedger},
};

//! The memory and the connections that all callers of a host may take together.

mod body_read;
mod budget_limits;
mod budget_metrics;
mod byte_quota;
mod caller_budget;
mod connection_table;
mod held_bytes;
mod pace;
mod usage_mark;

pub(super) use self::pace::BytePace;
pub use self::{
    body_read::*, budget_limits::*, budget_metrics::*, byte_quota::*, caller_budget::*,
    connection_table::*, held_bytes::*,
};

//! Decisions: plain state machines and functions, what happened and the time go in, a choice comes out.
//! Nothing here knows a clock, a socket, a task or an HTTP type, so that each decision is tested by itself.

pub(crate) mod admission;
pub(crate) mod availability;
pub(crate) mod book;
pub(crate) mod budget;
pub(crate) mod changes;
pub(crate) mod crash_record;
pub(crate) mod crash_report;
pub(crate) mod crash_tracker;
mod decimal;
pub(crate) mod digest;
mod engines;
pub(crate) mod findings_cache;
pub(crate) mod kept;
pub(crate) mod limit_tracker;
pub(crate) mod limit_updates;
pub(crate) mod line;
pub(crate) mod loads;
pub(crate) mod past_time;
pub(crate) mod pauses;
pub(crate) mod permit_allocator;
pub(crate) mod permit_owners;
pub(crate) mod room;
pub(crate) mod rotation;
pub(crate) mod route;
pub(crate) mod server_limit;
pub(crate) mod server_signals;
pub(crate) mod shared_findings;
pub(crate) mod source;
pub(crate) mod split;
pub(crate) mod subset;
pub(crate) mod view;
pub(crate) mod waited;

pub use self::{
    admission::*, availability::*, book::*, budget::*, changes::*, crash_record::*,
    crash_report::*, crash_tracker::*, digest::*, findings_cache::*, kept::*, limit_tracker::*,
    limit_updates::*, line::*, loads::*, past_time::*, pauses::*, permit_allocator::*,
    permit_owners::*, room::*, rotation::*, route::*, server_limit::*, server_signals::*,
    shared_findings::*, source::*, split::*, subset::*, view::*, waited::*,
};

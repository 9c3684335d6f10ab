//! Routing decisions as pure state machines and functions: observations and the current time are inputs, a choice is
//! the output. Nothing in this module uses a clock, socket, task or HTTP type, so each decision can be unit tested.

pub(crate) mod attempt_budget;
pub(crate) mod availability;
mod backend_updates;
pub(crate) mod budget;
pub(crate) mod caller_timeouts;
pub(crate) mod carrier_table;
pub(crate) mod changes;
pub(crate) mod cold_limit;
mod cold_tracker;
pub(crate) mod crash_record;
pub(crate) mod crash_report;
pub(crate) mod crash_suspect;
pub(crate) mod crash_tracker;
mod decimal;
pub(crate) mod decode_exclusions;
pub(crate) mod digest;
pub(crate) mod ended_runs;
mod engines;
pub(crate) mod event_scanner;
pub(crate) mod findings_cache;
pub(crate) mod limit_tracker;
pub(crate) mod limit_updates;
pub(crate) mod link_tracker;
mod listed_runs;
pub(crate) mod loads;
mod memory_loads;
pub(crate) mod origin_hosts;
pub(crate) mod past_time;
pub(crate) mod peer_loads;
pub(crate) mod permit_allocator;
pub(crate) mod permit_owners;
pub(crate) mod priority_loads;
pub(crate) mod prompt_cache;
pub(crate) mod regions;
pub(crate) mod registry;
pub(crate) mod report_budget;
pub(crate) mod response_end;
pub(crate) mod response_progress;
pub(crate) mod rotation;
pub(crate) mod route;
mod server_index;
pub(crate) mod server_limit;
pub(crate) mod server_signals;
pub(crate) mod shared_findings;
pub(crate) mod software_history;
pub(crate) mod source;
pub(crate) mod split;
pub(crate) mod store_backoff;
pub(crate) mod stream_origins;
pub(crate) mod subset;
pub(crate) mod view;

pub use self::{
    attempt_budget::*, availability::*, budget::*, caller_timeouts::*, carrier_table::*,
    changes::*, cold_limit::*, crash_record::*, crash_report::*, crash_suspect::*,
    crash_tracker::*, decode_exclusions::*, digest::*, ended_runs::*, event_scanner::*,
    findings_cache::*, limit_tracker::*, limit_updates::*, link_tracker::*, loads::*,
    origin_hosts::*, past_time::*, permit_allocator::*, permit_owners::*, priority_loads::*,
    prompt_cache::*, regions::*, registry::*, report_budget::*, response_end::*,
    response_progress::*, rotation::*, route::*, server_limit::*, server_signals::*,
    shared_findings::*, software_history::*, source::*, split::*, store_backoff::*,
    stream_origins::*, subset::*, view::*,
};

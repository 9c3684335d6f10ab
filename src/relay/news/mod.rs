//! Exchange of state between hosts.
//!
//! A few hosts read the configuration, the backend servers and the hosts from the store; all others follow a host that
//! passes on the changes. Hosts also exchange the load of their requests, the use of client accounts, permits at
//! rate-limited servers, how streams began, and findings such as requests that crash their servers.

pub(crate) mod answer;
pub(crate) mod config_fetch;
mod crash_message;
pub(crate) mod entry;
pub(crate) mod feed;
pub(crate) mod findings;
pub(crate) mod follow;
mod kind_message;
mod limit_message;
mod list_table;
pub(crate) mod message;
pub(crate) mod origin_message;
pub(crate) mod origins;
pub(crate) mod permits;
mod piece_message;
pub(crate) mod piece_service;
pub(crate) mod place_message;
pub(crate) mod places;
mod priority_message;
mod reachability;
pub(crate) mod rpc;
pub(crate) mod settle;
pub(crate) mod share;
mod start;
mod store_log;
mod store_updates;
pub(crate) mod stream_keeper;
mod take;
mod targets;
mod watch_time;

pub use self::{
    answer::*, feed::*, follow::*, message::*, origin_message::*, place_message::*, rpc::*,
    share::*,
};

//! What hosts tell each other: news of the configuration, the backend servers and the hosts, which few
//! hosts of a zone read from the store for the others; and what each one's requests take at engines.

mod crash_message;
pub(crate) mod entry;
pub(crate) mod feed;
pub(crate) mod findings;
pub(crate) mod follow;
mod limit_message;
pub(crate) mod link;
pub(crate) mod message;
pub(crate) mod permits;
mod reachability;
pub(crate) mod settle;
pub(crate) mod share;
mod start;
mod store_log;
mod store_updates;
mod take;
mod targets;
pub(crate) mod tell;

pub use self::{feed::*, follow::*, link::*, message::*, share::*, tell::*};

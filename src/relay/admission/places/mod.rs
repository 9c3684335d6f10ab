//! Places of plain servers that have too few of them, dealt out over all hosts.
//!
//! Each host finds out which servers are short ([`contended_servers`]). For each of these one host, the owner, leases
//! places to all hosts ([`place_allocator`]). A host that reaches no owner uses a small share ([`isolated_places`]).

pub(crate) mod contended_servers;
pub(crate) mod isolated_places;
pub(crate) mod place_allocator;
pub(crate) mod place_request;
mod retry_schedule;
mod server_places;
mod service_times;

pub use self::{contended_servers::*, isolated_places::*, place_allocator::*, place_request::*};

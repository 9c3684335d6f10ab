//! What a host believes of the configuration, the backend servers and the other hosts, and the changes that
//! others lack. Plain state: who hears it from whom is a matter of `news`.

mod backend_list;
pub(crate) mod cluster;
pub(crate) mod history;
mod host_list;

pub use self::{backend_list::*, cluster::*, history::*, host_list::*};

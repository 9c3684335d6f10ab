//! What a host knows of the configuration, the backend servers and the other hosts, and the changes that other
//! hosts lack. Plain state: how hosts exchange it is implemented in `news`.

mod backend_list;
pub(crate) mod cluster;
pub(crate) mod history;
mod host_list;

pub use self::{backend_list::*, cluster::*, history::*, host_list::*};

//! What a host believes of the configuration, the backend servers and the other hosts, and the changes that
//! others lack. Plain state: who hears it from whom is a matter of `news`.

pub(crate) mod cluster;
pub(crate) mod history;

pub use self::{cluster::*, history::*};

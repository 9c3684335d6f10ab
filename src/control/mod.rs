//! Control state: what one thread keeps and publishes to traffic.

mod config;
mod loops;
mod snapshot;

pub use self::{config::*, loops::*, snapshot::*};

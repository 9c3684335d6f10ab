//! Control state: what one thread keeps and publishes to traffic.

mod config;
mod gossip;
mod lease;
mod observe;
mod parts;
mod patch;
mod publish;
mod roles;
mod servers;
mod snapshot;
mod sweep;
#[cfg(test)]
mod tests;
mod watch;

pub use self::{
    config::*, lease::*, observe::*, parts::*, patch::*, roles::*, servers::*, snapshot::*,
    sweep::*,
};

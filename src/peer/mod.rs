//! Entry hosts among each other: who is live, which run of it, what it has in force.

mod counting;
mod membership;
mod rank;
mod rpc;
#[cfg(test)]
mod tests;
mod wire;

pub use self::{counting::*, membership::*, rank::*, rpc::*, wire::*};

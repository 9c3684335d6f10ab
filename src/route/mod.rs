//! Routing decisions: which engines serve a request, when, and why.

mod choose;
mod explain;
mod observe;
mod placement;
mod policy;
mod rank;
mod scheduler;
mod server_states;
mod servers;
mod shared;
#[cfg(test)]
mod tests;
mod view;

pub use self::{
    choose::*, explain::*, placement::*, policy::*, scheduler::*, server_states::*, servers::*,
    shared::*, view::*,
};

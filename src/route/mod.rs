//! Routing decisions: which engines serve a request, when, and why.

mod choose;
mod desk;
mod explain;
mod observe;
mod place;
mod policy;
mod rank;
mod server_states;
mod servers;
mod shared;
#[cfg(test)]
mod tests;
mod view;

pub use self::{
    choose::*, desk::*, explain::*, place::*, policy::*, server_states::*, servers::*, shared::*,
    view::*,
};

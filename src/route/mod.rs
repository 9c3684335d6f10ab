//! Decisions: which engines serve a request, when, and why.

mod choose;
mod desk;
mod explain;
mod needs;
mod observe;
mod place;
mod policy;
mod rank;
mod servers;
mod shared;
#[cfg(test)]
mod tests;
mod view;

pub use self::{
    choose::*, desk::*, explain::*, needs::*, place::*, policy::*, servers::*, shared::*, view::*,
};

//! Decisions: which engines serve a request, when, and why.

mod choose;
mod desk;
mod explain;
mod policy;
mod servers;
mod shared;
mod view;

pub use self::{choose::*, desk::*, explain::*, policy::*, servers::*, shared::*, view::*};

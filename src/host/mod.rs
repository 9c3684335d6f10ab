//! An entry host: its parts put together, started and stopped.

mod entry;
mod gate;
mod operators;
mod passing;
mod traffic;

pub use self::{entry::*, gate::*, traffic::*};

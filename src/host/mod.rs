//! Assembles, starts and stops an entry host.

mod entry;
mod gate;
mod operators;
mod passing;
mod traffic;

pub use self::{entry::*, gate::*, traffic::*};

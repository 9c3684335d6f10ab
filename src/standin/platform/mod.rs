//! A stand-in platform: objects with versions, conditional writes, watches, and faults on demand.

mod core;
mod server;

pub use self::{core::*, server::*};

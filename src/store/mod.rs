//! The platform's object API: objects with versions, conditional writes, watches.

mod client;
mod write;

pub use self::{client::*, write::*};

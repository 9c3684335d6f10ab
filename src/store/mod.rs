//! The platform's object API: objects with versions, conditional writes, watches; and where a store stands.

mod client;
mod era;
mod position;
mod write;

pub use self::{client::*, era::*, position::*, write::*};

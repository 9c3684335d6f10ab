//! Numbered events: what the log says, each with its meaning and what it asks of an operator.

mod catalogue;
mod emit;
mod writer;

pub use self::{catalogue::*, emit::*, writer::*};

//! What operators create: labelled objects, selectors over them, and the whole set's checks.

mod fault;
mod kinds;
mod selector;
mod set;

pub use self::{fault::*, kinds::*, selector::*, set::*};

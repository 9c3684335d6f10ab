//! Settings: an INI file whose every key is typed, bounded and named when it is wrong.

mod fault;
mod keys;
mod settings;
mod value;

pub use self::{fault::*, keys::*, settings::*, value::*};

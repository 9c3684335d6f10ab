//! The clock that ages are counted on.

mod host_clock;

pub use self::host_clock::*;

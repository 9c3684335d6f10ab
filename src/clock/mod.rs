//! The clock that ages are counted on.

mod host_clock;
mod stall_detector;

pub use self::{host_clock::*, stall_detector::*};

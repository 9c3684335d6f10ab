//! What each mechanism of a host costs in a fleet of a given size, measured on the decision code itself without a
//! network. Counts (entries looked at, bytes, messages) are the same each time; processor times are not.

mod fleet_model;
mod growth_report;
mod mechanism_cost;
mod mechanisms;

pub use self::{fleet_model::*, growth_report::*, mechanism_cost::*, mechanisms::*};

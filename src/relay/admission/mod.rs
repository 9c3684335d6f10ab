//! Admission of requests that compete for too little room at backend servers: places of plain servers and memory of
//! engines. Pure functions and state machines, without clock, socket or task.
//!
//! [`room`] says how much a server can hold and when more of it becomes free, [`decision`] whether a request is
//! admitted, waits or is refused, [`wait_queue`] in which order requests wait. Where requests of a service have several
//! priorities, [`priority_work`] counts this host's and [`service_work`] sums up those of all hosts; [`urgent_room`] says
//! what the less urgent leave free, and [`hold_back`] how they wait for others and come back.

pub(crate) mod decision;
pub(crate) mod hold_back;
pub(crate) mod memory;
pub(crate) mod places;
pub(crate) mod priority_work;
pub(crate) mod room;
pub(crate) mod service_work;
pub(crate) mod urgent_room;
pub(crate) mod wait_queue;

pub use self::{
    decision::*, hold_back::*, memory::*, places::*, priority_work::*, room::*, service_work::*,
    urgent_room::*, wait_queue::*,
};

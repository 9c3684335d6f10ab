//! Requests as operations: verdicts, keys, the life of a request, cleanup.

mod budget;
mod life;
mod position;
mod replay;
mod runner;
mod signal;
mod table;
mod ticket;
mod verdict;

pub use self::{
    budget::*, life::*, position::*, replay::*, runner::*, signal::*, table::*, ticket::*,
    verdict::*,
};

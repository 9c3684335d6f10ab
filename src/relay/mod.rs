//! Relaying requests unmodified to the backend servers of services: the choice of server, admission, and the handling
//! of failures.

pub(crate) mod admission;
mod backend;
mod carry;
mod cluster;
mod config;
mod critical_task;
mod dialect;
mod figures;
mod heap;
mod host;
mod link;
mod news;
mod objects;
mod parts;
mod pieces;
mod policy;
mod request;
mod roles;
mod settings;
mod software_version;

pub use self::{
    admission::*, backend::*, cluster::*, config::*, critical_task::*, dialect::*, host::*,
    link::*, news::*, objects::*, parts::*, pieces::*, policy::*, request::*, roles::*,
    settings::*, software_version::*,
};

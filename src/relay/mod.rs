//! Relaying requests unmodified to the backend servers of services: the choice of server, admission, and the handling
//! of failures.

mod backend;
mod belief;
mod config;
mod dialect;
mod figures;
mod host;
mod link;
mod news;
mod objects;
mod parts;
mod policy;
mod request;
mod roles;
mod settings;
mod vital;

pub use self::{
    backend::*, belief::*, config::*, dialect::*, host::*, link::*, news::*, objects::*, parts::*,
    policy::*, request::*, roles::*, settings::*, vital::*,
};

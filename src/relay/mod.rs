//! Passing requests through unaltered to the backend servers of services: which, when, and what
//! becomes of them when something fails.

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

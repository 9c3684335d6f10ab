//! Passing requests through unaltered to the backend servers of services: which, when, and what
//! becomes of them when something fails.

mod admission;
mod answer;
mod backend;
mod beliefs;
mod book;
mod budget;
mod call;
mod changes;
mod chunks;
mod cluster;
mod config;
mod decode;
mod dialect;
mod events;
mod feed;
mod guard;
mod handler;
mod host;
mod kept;
mod line;
mod link;
mod metrics;
mod news;
mod objects;
mod pace;
mod parts;
mod plain;
mod prefill;
mod reserve;
mod resume;
mod roles;
mod room;
mod route;
mod seek;
mod send;
mod settings;
mod shares;
mod split;
mod stream;
mod view;
mod vital;
mod waited;

pub use self::{
    admission::*, answer::*, backend::*, book::*, budget::*, call::*, changes::*, cluster::*,
    config::*, dialect::*, events::*, feed::*, handler::*, host::*, kept::*, line::*, link::*,
    metrics::*, news::*, objects::*, parts::*, prefill::*, reserve::*, roles::*, room::*, route::*,
    settings::*, split::*, view::*, vital::*, waited::*,
};

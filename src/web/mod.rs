//! HTTP plumbing that all parts share: one way to call, one way to serve, one way to read a body.

mod body;
mod client;
mod reply;
mod server;

pub use self::{body::*, client::*, reply::*, server::*};

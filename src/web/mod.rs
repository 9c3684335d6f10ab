//! HTTP plumbing that all parts share: ways to call, ways to serve, one way to read a body.

mod body;
mod body_framing;
mod budget;
mod caller_stream;
mod carrier;
mod client;
mod connection_state;
mod headers;
mod ingress;
mod open_count;
mod patience;
mod pool;
mod pool_target;
mod pooled_body;
mod probe;
mod recent_ids;
mod reply;
mod send_failure;
mod server;
mod stream_opener;

pub use self::{
    body::*, body_framing::*, budget::*, carrier::*, client::*, headers::*, ingress::*,
    patience::*, pool::*, pool_target::*, pooled_body::*, probe::*, recent_ids::*, reply::*,
    send_failure::*, server::*, stream_opener::*,
};

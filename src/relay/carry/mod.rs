//! Connections to backend servers that one host carries for another, which has lost its own link to the server.
//!
//! The host that read the request decides everything about it, as if it were connected directly; the host that carries
//! the connection joins bytes. Spoken between them: HTTP/1.1 `CONNECT` with the server's address and id, and then what
//! the two ends say to each other.
//!
//! - Opening a connection to a server, whichever way: `dialer`.
//! - Asking another host for one: `connect`.
//! - Answering such a host: `service`, and `splice` for the bytes.
//! - Testing whether lost links are back, and whether the hosts that help still do: `recheck`.

mod connect;
pub(crate) mod dialer;
pub(crate) mod recheck;
pub(crate) mod service;
mod splice;

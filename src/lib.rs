//! A router in front of separate prefill and decode pools, and of plain services.
//!
//! `docs/architecture.md` has the map; a request passes the folders in this order: [`web`],
//! [`filter`], [`operation`], [`route`], [`engine`]. [`control`] keeps what they read.

pub mod account;
pub mod bench;
pub mod capacity;
pub mod cli;
pub mod clock;
pub mod conf;
pub mod control;
pub mod engine;
pub mod event;
pub mod filter;
pub mod host;
pub mod metric;
#[path = "relay/news/news_capnp.rs"]
#[rustfmt::skip]
#[allow(missing_docs, clippy::all, clippy::pedantic)]
pub mod news_capnp;
pub mod object;
pub mod operation;
pub mod peer;
#[path = "peer/peer_capnp.rs"]
#[rustfmt::skip]
#[allow(missing_docs, clippy::all, clippy::pedantic)]
pub mod peer_capnp;
pub mod relay;
pub mod route;
pub mod standin;
pub mod store;
pub mod web;

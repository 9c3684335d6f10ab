//! A stand-in model engine: continuous batching, prefix cache, expiring KV caches, slow links.

mod answer;
mod attempt;
mod core;
mod decode;
mod params;
mod prefill;
mod server;
mod state;

pub use self::{answer::*, attempt::*, core::*, params::*, server::*, state::EngineCounts};

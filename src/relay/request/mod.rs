//! What is done with a caller's request, from its first byte to its one answer: calls to backend servers and
//! what becomes of them. Which server, when and whether at all is asked of `policy`.

pub(crate) mod answer;
pub(crate) mod call;
pub(crate) mod chunks;
pub(crate) mod decode;
pub(crate) mod events;
pub(crate) mod guard;
pub(crate) mod handler;
pub(crate) mod judge;
pub(crate) mod pace;
pub(crate) mod plain;
pub(crate) mod prefill;
pub(crate) mod reserve;
pub(crate) mod resume;
pub(crate) mod seek;
pub(crate) mod send;
pub(crate) mod stream;
mod stream_log;

pub use self::{answer::*, call::*, events::*, handler::*, prefill::*, reserve::*};

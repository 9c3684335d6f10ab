//! Handles client requests from the first byte to the response: sends them to backend servers and deals with failures.
//! Decisions, such as which server to choose and whether to retry, are made in `policy`.

pub(crate) mod client_request;
pub(crate) mod decode;
pub(crate) mod event_gaps;
pub(crate) mod event_splitter;
pub(crate) mod forward;
pub(crate) mod guard;
pub(crate) mod handler;
pub(crate) mod plain;
pub(crate) mod prefill;
mod priority_wait;
mod queue_place;
mod request_body;
pub(crate) mod reserve;
pub(crate) mod response;
mod response_body;
pub(crate) mod resume;
pub(crate) mod seek;
pub(crate) mod send;
pub(crate) mod send_check;
mod server_choice;
pub(crate) mod stream;
mod stream_log;
mod take_up;

pub use self::{
    client_request::*, event_splitter::*, handler::*, prefill::*, reserve::*, response::*,
};

//! The programs' command lines.

mod capacity;
mod check;
mod command;
mod daemon;
mod demo;
mod exit;
mod load;
mod operate;
mod peers;
mod standin;
mod trace;

pub use self::{
    command::run_command, daemon::run_daemon, demo::demo_objects, exit::*, trace::request_story,
};

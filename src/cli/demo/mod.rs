//! `bayplank demo`: a small fleet in one process, real callers, a fault and its repair.

mod fleet;
mod story;

use {
    super::exit::{self, CommandResult},
    pico_args::Arguments,
};

pub use self::fleet::{demo_objects, demo_plan};

/// Runs the command.
pub fn run(arguments: Arguments) -> CommandResult {
    exit::finish(arguments)?;
    story::tell().map_err(Into::into)
}

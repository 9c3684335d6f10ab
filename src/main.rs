//! `bayplank`: the operators' command.

use std::process::ExitCode;

fn main() -> ExitCode {
    bayplank::cli::run_command()
}

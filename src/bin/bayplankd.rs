//! `bayplankd`: the daemon on an entry host.

use std::process::ExitCode;

fn main() -> ExitCode {
    bayplank::cli::run_daemon()
}

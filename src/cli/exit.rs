//! How the programs end.

use {
    pico_args::Arguments,
    std::{fmt::Display, process::ExitCode},
};

/// Why a command did not do what it was asked.
#[derive(Debug)]
pub enum CommandFailure {
    /// It was called wrongly.
    Usage(String),
    /// It failed.
    Failed(eyre::Report),
}

impl From<eyre::Report> for CommandFailure {
    fn from(report: eyre::Report) -> Self {
        Self::Failed(report)
    }
}

impl From<pico_args::Error> for CommandFailure {
    fn from(error: pico_args::Error) -> Self {
        Self::Usage(error.to_string())
    }
}

/// The result of a command.
pub type CommandResult = Result<(), CommandFailure>;

/// A wrong use, for people.
pub fn usage(text: impl Display) -> CommandFailure {
    CommandFailure::Usage(text.to_string())
}

/// Exit code of a result: 0 done, 1 failed, 2 wrong use.
pub fn exit_code(program: &str, result: CommandResult) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(CommandFailure::Failed(report)) => {
            eprintln!("{program}: {report:#}");
            ExitCode::from(1)
        }
        Err(CommandFailure::Usage(text)) => {
            eprintln!("{program}: {text}; see {program} --help");
            ExitCode::from(2)
        }
    }
}

/// Refuses what is left over on the command line.
pub fn finish(arguments: Arguments) -> Result<(), CommandFailure> {
    let rest = arguments.finish();
    match rest.first() {
        None => Ok(()),
        Some(first) => Err(usage(format!("unexpected argument {first:?}"))),
    }
}

/// Name and version, with the commit that was built when the build knew it.
pub fn version_line(program: &str) -> String {
    let commit = option_env!("BAYPLANK_COMMIT").unwrap_or("unknown");
    format!("{program} {} (commit {commit})", env!("CARGO_PKG_VERSION"))
}

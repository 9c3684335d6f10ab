//! `bayplank`: finds the command that is meant.

use {
    super::{
        capacity, check, demo,
        exit::{self, CommandResult},
        load, operate, peers, standin, trace,
    },
    crate::bench,
    pico_args::Arguments,
    std::process::ExitCode,
};

const HELP: &str = "\
bayplank: the operators' command

Usage: bayplank COMMAND [ARGUMENTS]

  demo                run a small fleet in this process and show what it does
  bench               measure policies against stand-in engines
  standin             run a stand-in platform, engines and service to try a daemon with
  load HOST           send requests to a host and measure it
  peers               measure what hosts spend on each other
  capacity            measure how a host's costs grow with the fleet
  check FILE...       check settings (.ini) and objects (.json)
  apply FILE          write objects to the platform, after checking the whole set
  get [KIND [NAME]]   read objects from the platform
  delete KIND NAME    delete an object from the platform
  status HOST...      tell what each host has in force
  explain ID HOST...  tell why a request went where it went
  trace ID            tell a request's story from the log lines of any number of hosts
                      on standard input
  drain SERVER        let a backend server finish and give it no new work
  undrain SERVER      give it new work again

HOST is an operators' address, IP:port.

  --platform ADDRESS  the platform's address (default 127.0.0.1:7070)
  --json              print JSON where a command has a table
  --version           print the version
  --help              print this

Exit codes: 0 done, 1 failed, 2 wrong use.
";

/// Runs the command with the process's arguments.
pub fn run_command() -> ExitCode {
    exit::exit_code("bayplank", run(Arguments::from_env()))
}

fn run(mut arguments: Arguments) -> CommandResult {
    if arguments.contains("--version") {
        println!("{}", exit::version_line("bayplank"));
        return Ok(());
    }
    let wants_help = arguments.contains("--help");
    let command = arguments.subcommand()?;
    if wants_help || command.is_none() {
        print!("{HELP}");
        return match wants_help {
            true => Ok(()),
            false => Err(exit::usage("no command was named")),
        };
    }
    match command.as_deref().unwrap_or_default() {
        "demo" => demo::run(arguments),
        "bench" => bench::command(arguments),
        "load" => load::run(arguments),
        "peers" => peers::run(arguments),
        "capacity" => capacity::run(arguments),
        "standin" => standin::run(arguments),
        "check" => check::run(arguments),
        "apply" => operate::apply(arguments),
        "get" => operate::get(arguments),
        "delete" => operate::delete(arguments),
        "status" => operate::status(arguments),
        "explain" => operate::explain(arguments),
        "trace" => trace::run(arguments),
        "drain" => operate::drain(arguments, true),
        "undrain" => operate::drain(arguments, false),
        other => Err(exit::usage(format!("unknown command {other:?}"))),
    }
}

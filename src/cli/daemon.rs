//! `bayplankd`.

use {
    super::exit::{self, CommandResult},
    crate::{
        conf::{DEFAULT_SETTINGS, HostSettings, SettingsFault},
        host::{self, EntryHost},
    },
    eyre::{WrapErr, eyre},
    pico_args::Arguments,
    std::process::ExitCode,
};

const HELP: &str = "\
bayplankd: routes model requests and plain calls on an entry host

Usage: bayplankd [FILE]
       bayplankd --print-default

FILE is an INI file of settings; without it the defaults hold.

  --print-default  print the commented default settings
  --version        print the version
  --help           print this

Logs go to standard error; RUST_LOG sets their level (default: info).
SIGTERM, SIGINT or SIGHUP stop it as planned: nothing in flight is cut off.
Exit codes: 0 stopped as planned, 1 failed, 2 wrong use.
";

/// Runs the daemon with the process's arguments.
pub fn run_daemon() -> ExitCode {
    exit::exit_code("bayplankd", run(Arguments::from_env()))
}

fn run(mut arguments: Arguments) -> CommandResult {
    if arguments.contains("--help") {
        print!("{HELP}");
        return Ok(());
    }
    if arguments.contains("--version") {
        println!("{}", exit::version_line("bayplankd"));
        return Ok(());
    }
    if arguments.contains("--print-default") {
        print!("{DEFAULT_SETTINGS}");
        return Ok(());
    }
    let file: Option<String> = arguments.opt_free_from_str()?;
    exit::finish(arguments)?;
    init_log();
    let settings = match &file {
        Some(file) => HostSettings::load(file).map_err(|faults| report_faults(&faults))?,
        None => HostSettings::default(),
    };
    let name = file.unwrap_or_else(|| "default settings".to_owned());
    serve(settings, &name)
}

/// Starts logging to standard error.
pub fn init_log() {
    let environment = env_logger::Env::default().default_filter_or("info");
    // A second start, in tests, changes nothing.
    let _ = env_logger::Builder::from_env(environment).try_init();
}

/// All faults of a settings file in one report.
pub fn report_faults(faults: &[SettingsFault]) -> eyre::Report {
    let lines: Vec<String> = faults.iter().map(SettingsFault::to_string).collect();
    eyre!(lines.join("\n"))
}

fn serve(settings: HostSettings, file: &str) -> CommandResult {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .thread_name("traffic")
        .build()
        .wrap_err("a runtime for traffic")?;
    runtime.block_on(async {
        let host = EntryHost::open(settings, file)
            .await
            .map_err(|fault| report_faults(&[fault]))?;
        let running = host.start();
        host::stop_signal().await;
        running.drain().await;
        running.close_connections().await;
        Ok(())
    })
}

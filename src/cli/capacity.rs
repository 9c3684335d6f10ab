//! `bayplank capacity`: measures what a host's mechanisms cost in a fleet of a given size.

use {
    super::exit::{self, CommandResult},
    crate::capacity::{FleetSize, GrowthReport},
    eyre::WrapErr,
    pico_args::Arguments,
};

const HELP: &str = "\
bayplank capacity: measures what each mechanism of a host costs, and how that grows with the fleet

Usage: bayplank capacity [OPTIONS]

  --hosts N      hosts in all zones (default 1000)
  --zones N      availability zones (default 5)
  --servers N    backend servers in all zones (default 10000)
  --accounts N   client accounts (default 970)
  --routes N     routes of the configuration (default 10000)
  --seed N       seed of the names that are drawn (default 1)
  --format NAME  text or json (default text)

The decision code runs without a network for half this size, this size and twice this size. Entries
and bytes are the same each time; times are those of a full core.
";

/// Runs the command.
pub fn run(mut arguments: Arguments) -> CommandResult {
    if arguments.contains("--help") {
        print!("{HELP}");
        return Ok(());
    }
    let size = FleetSize {
        hosts: arguments.opt_value_from_str("--hosts")?.unwrap_or(1_000),
        zones: arguments.opt_value_from_str("--zones")?.unwrap_or(5),
        servers: arguments.opt_value_from_str("--servers")?.unwrap_or(10_000),
        accounts: arguments.opt_value_from_str("--accounts")?.unwrap_or(970),
        routes: arguments.opt_value_from_str("--routes")?.unwrap_or(10_000),
    };
    let seed = arguments.opt_value_from_str("--seed")?.unwrap_or(1);
    let format: Option<String> = arguments.opt_value_from_str("--format")?;
    exit::finish(arguments)?;
    if size.zones == 0 || size.hosts < size.zones || size.servers < 100 * size.zones {
        return Err(exit::usage(
            "a fleet has a zone at least, a host in each and 100 servers in each",
        ));
    }
    let report = GrowthReport::measure(size, seed);
    match format.as_deref().unwrap_or("text") {
        "text" => print!("{report}"),
        "json" => {
            let text = serde_json::to_string_pretty(&report).wrap_err("the report as JSON")?;
            println!("{text}");
        }
        other => return Err(exit::usage(format!("unknown format {other:?}"))),
    }
    Ok(())
}

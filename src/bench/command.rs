//! `bayplank bench`.

use {
    super::{
        plan::{BenchDeployment, BenchScenario, DEPLOYMENTS, QUICK, SCENARIOS},
        report,
        run::{self, RunPlan, RunResult},
    },
    crate::{
        cli::{self, CommandFailure, CommandResult},
        route::{RoutePolicy, RouteTuning},
    },
    eyre::WrapErr,
    pico_args::Arguments,
    std::{
        path::{Path, PathBuf},
        sync::Mutex,
        sync::atomic::{AtomicUsize, Ordering},
        time::Duration,
    },
};

const HELP: &str = "\
bayplank bench: policies against stand-in engines, on a paused clock

Usage: bayplank bench [OPTIONS]

  --deployment NAME  coastal-lens or lintas (default: both)
  --scenario NAME    one row (default: the quick set; `all` for all rows)
  --policy NAME      joint, thin, least-loaded, round-robin or random (default: all)
  --hosts N          entry hosts in each zone (default: the deployment's)
  --seeds N          seeds of each row (default 3)
  --set NAME=VALUE   change a tuning number: backlog-ms, margin-ms, reserve
  --out DIR          write bench.csv and a plot of each deployment there
  --help             print this
";

/// Runs the command.
pub fn command(mut arguments: Arguments) -> CommandResult {
    if arguments.contains("--help") {
        print!("{HELP}");
        return Ok(());
    }
    let deployment: Option<String> = arguments.opt_value_from_str("--deployment")?;
    let scenario: Option<String> = arguments.opt_value_from_str("--scenario")?;
    let policy: Option<RoutePolicy> = arguments.opt_value_from_str("--policy")?;
    let hosts: Option<usize> = arguments.opt_value_from_str("--hosts")?;
    let seeds: u64 = arguments.opt_value_from_str("--seeds")?.unwrap_or(3);
    let out: Option<PathBuf> = arguments.opt_value_from_str("--out")?;
    let mut changes: Vec<String> = Vec::new();
    while let Some(change) = arguments.opt_value_from_str("--set")? {
        changes.push(change);
    }
    cli::finish(arguments)?;
    let deployments: Vec<BenchDeployment> = DEPLOYMENTS
        .into_iter()
        .filter(|known| deployment.as_deref().is_none_or(|name| name == known.name))
        .map(|known| BenchDeployment {
            hosts: hosts.unwrap_or(known.hosts),
            ..known
        })
        .collect();
    let scenarios: Vec<BenchScenario> = SCENARIOS
        .into_iter()
        .filter(|known| match scenario.as_deref() {
            None => QUICK.contains(&known.name),
            Some("all") => true,
            Some(name) => name == known.name,
        })
        .collect();
    if deployments.is_empty() || scenarios.is_empty() || seeds == 0 {
        return Err(cli::usage("bench: no such deployment, scenario or seeds"));
    }
    let policies: Vec<RoutePolicy> = RoutePolicy::ALL
        .into_iter()
        .filter(|known| policy.is_none_or(|policy| policy == *known))
        .collect();
    let mut plans = Vec::new();
    let tunings = policies
        .iter()
        .map(|policy| change_tuning(run::tuning_of(*policy), &changes))
        .collect::<Result<Vec<RouteTuning>, _>>()?;
    for deployment in &deployments {
        for scenario in &scenarios {
            for tuning in &tunings {
                plans.extend((1..=seeds).map(|seed| RunPlan {
                    deployment: *deployment,
                    scenario: *scenario,
                    tuning: tuning.clone(),
                    seed,
                }));
            }
        }
    }
    let results = run_all(&plans);
    print!("{}", report::table(&results));
    print!("{}", report::repairs(&results));
    if let Some(out) = out {
        write_out(&results, &deployments, &out)?;
    }
    Ok(())
}

fn change_tuning(
    mut tuning: RouteTuning,
    changes: &[String],
) -> Result<RouteTuning, CommandFailure> {
    for change in changes {
        let wrong = || cli::usage(format!("--set: expected NAME=VALUE, found {change:?}"));
        let (name, value) = change.split_once('=').ok_or_else(wrong)?;
        let value: f64 = value.parse().map_err(|_| wrong())?;
        let millis = Duration::from_secs_f64(value.max(0.0) / 1_000.0);
        match name {
            "backlog-ms" => tuning.prefill_backlog = millis,
            "margin-ms" => tuning.margin = millis,
            "reserve" => tuning.decode_reserve = value,
            _ => return Err(wrong()),
        }
    }
    Ok(tuning)
}

// Each run has a clock of its own, so runs go on side by side without touching each other.
fn run_all(plans: &[RunPlan]) -> Vec<RunResult> {
    let next = AtomicUsize::new(0);
    let results: Mutex<Vec<(usize, RunResult)>> = Mutex::default();
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                loop {
                    let index = next.fetch_add(1, Ordering::Relaxed);
                    let Some(plan) = plans.get(index) else {
                        return;
                    };
                    let result = run::run(plan.clone());
                    let mut results = results.lock().expect("results");
                    results.push((index, result));
                    eprint!("\r{} of {} runs", results.len(), plans.len());
                }
            });
        }
    });
    eprintln!();
    let mut results = results.into_inner().expect("results");
    results.sort_by_key(|(index, _)| *index);
    results.into_iter().map(|(_, result)| result).collect()
}

fn write_out(results: &[RunResult], deployments: &[BenchDeployment], out: &Path) -> CommandResult {
    std::fs::create_dir_all(out).wrap_err_with(|| format!("--out {}", out.display()))?;
    let file = out.join("bench.csv");
    std::fs::write(&file, report::csv(results)).wrap_err_with(|| format!("{}", file.display()))?;
    for deployment in deployments {
        let file = out.join(format!("bench-{}.svg", deployment.name));
        report::plot(results, deployment.name, &file)?;
    }
    Ok(())
}

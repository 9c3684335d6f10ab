//! `bayplank standin`: stand-ins in a process of their own, to try a daemon with.

use {
    super::{
        demo,
        exit::{self, CommandResult},
    },
    crate::{
        object::{AnyObject, kind},
        standin::{
            engine::EngineParams,
            fleet::{Fleet, FleetPlan},
        },
    },
    eyre::WrapErr,
    pico_args::Arguments,
    std::{net::SocketAddr, time::Duration},
};

const HELP: &str = "\
bayplank standin: a stand-in platform with engines and a plain service, until it is interrupted

Usage: bayplank standin [OPTIONS]

  --platform ADDRESS  where the platform listens (default 127.0.0.1:7070)
  --zone NAME         their availability zone (default zone-a)
  --fast              engines that take almost no time, to measure the router
  --answer N          tokens in every answer, instead of 20 to 100
  --slots N           requests that a decode engine holds (default 20)
  --step MS           time of a decode step with --fast (default 1)
";

/// Runs the command.
pub fn run(mut arguments: Arguments) -> CommandResult {
    if arguments.contains("--help") {
        print!("{HELP}");
        return Ok(());
    }
    let platform: Option<SocketAddr> = arguments.opt_value_from_str("--platform")?;
    let zone: Option<String> = arguments.opt_value_from_str("--zone")?;
    let fast = arguments.contains("--fast");
    let answer: Option<u32> = arguments.opt_value_from_str("--answer")?;
    let slots: Option<u32> = arguments.opt_value_from_str("--slots")?;
    let step: Option<u64> = arguments.opt_value_from_str("--step")?;
    exit::finish(arguments)?;
    let mut engine = match fast {
        true => fast_engine(Duration::from_millis(step.unwrap_or(1))),
        false => EngineParams::default(),
    };
    engine.slots = slots.unwrap_or(engine.slots);
    engine.answer_tokens = answer.map_or(engine.answer_tokens, |tokens| (tokens, tokens));
    let plan = FleetPlan {
        // The zone's name lives as long as the process.
        zones: vec![zone.map_or("zone-a", |zone| zone.leak())],
        hosts: 0,
        engine,
        platform: platform.unwrap_or(SocketAddr::from(([127, 0, 0, 1], 7070))),
        objects: match fast {
            true => without_limits(demo::demo_objects()),
            false => demo::demo_objects(),
        },
        ..demo::demo_plan()
    };
    let fleet = Fleet::start(plan)?;
    println!("platform {}", fleet.platform_address);
    for (name, engine) in &fleet.engines {
        println!("engine {name} {}", engine.address);
    }
    let runtime = tokio::runtime::Runtime::new().wrap_err("a runtime")?;
    runtime.block_on(crate::host::stop_signal());
    Ok(())
}

// A measurement of the router is not one of the tenants' limits.
fn without_limits(mut objects: Vec<AnyObject>) -> Vec<AnyObject> {
    for object in &mut objects {
        if object.kind == kind::TENANT {
            object.spec["limits"] = serde_json::json!({});
        }
    }
    objects
}

fn fast_engine(step: Duration) -> EngineParams {
    EngineParams {
        prefill_rate: 1e9,
        prefill_base: Duration::ZERO,
        link_rate: 1e15,
        step_base: step,
        step_each: Duration::ZERO,
        ..EngineParams::default()
    }
}

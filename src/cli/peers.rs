//! `bayplank peers`: measures what hosts spend on each other.

use {
    super::{
        demo,
        exit::{self, CommandResult},
    },
    crate::{
        conf::HostSettings,
        host::{EntryHost, RunningHost},
        object::{self, AnyObject, ObjectMeta, kind},
        standin::{
            fleet::{self, FleetPlan},
            platform::{PlatformCore, serve_platform},
        },
        web,
    },
    eyre::{Result, WrapErr, ensure, eyre},
    faststr::FastStr,
    pico_args::Arguments,
    serde_json::json,
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
};

const HELP: &str = "\
bayplank peers: starts hosts in this process, without requests, and measures what they spend

Usage: bayplank peers [OPTIONS]

  --hosts N    entry hosts in each zone (default 8)
  --zones N    availability zones (default 1)
  --tenants N  tenants besides the sample ones (default 0)
  --seconds N  how long is measured, after the hosts know each other (default 10)

Settings are the shipped ones. Bytes are counted on the connections between hosts; processor time
and memory are the process's over its hosts, the stand-in platform's small part included.
";

/// Runs the command.
pub fn run(mut arguments: Arguments) -> CommandResult {
    if arguments.contains("--help") {
        print!("{HELP}");
        return Ok(());
    }
    let hosts: usize = arguments.opt_value_from_str("--hosts")?.unwrap_or(8);
    let zones: usize = arguments.opt_value_from_str("--zones")?.unwrap_or(1);
    let seconds: u64 = arguments.opt_value_from_str("--seconds")?.unwrap_or(10);
    let tenants: usize = arguments.opt_value_from_str("--tenants")?.unwrap_or(0);
    exit::finish(arguments)?;
    let runtime = tokio::runtime::Runtime::new().wrap_err("a runtime")?;
    let size = FleetSize {
        hosts,
        zones,
        tenants,
    };
    runtime.block_on(measure(size, Duration::from_secs(seconds)))?;
    // The runtimes of many hosts take long to come down in order; nothing is lost with them.
    std::process::exit(0)
}

#[derive(Clone, Copy)]
struct FleetSize {
    hosts: usize,
    zones: usize,
    tenants: usize,
}

struct Spent {
    sent: u64,
    received: u64,
    platform: u64,
    processor: f64,
}

fn spent(hosts: &[RunningHost]) -> Result<Spent> {
    let sum = |figure: fn(&RunningHost) -> u64| hosts.iter().map(figure).sum();
    Ok(Spent {
        sent: sum(|host| host.traffic.metrics.peer_sent.get()),
        received: sum(|host| host.traffic.metrics.peer_received.get()),
        platform: sum(|host| host.traffic.metrics.platform_calls.get()),
        processor: processor_seconds()?,
    })
}

// Processor time of this process: fields 14 and 15 of its status line, in hundredths of a second.
fn processor_seconds() -> Result<f64> {
    let line = std::fs::read_to_string("/proc/self/stat").wrap_err("/proc/self/stat")?;
    let rest = line.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = rest.split_whitespace().collect();
    let ticks: u64 = fields[11].parse::<u64>()? + fields[12].parse::<u64>()?;
    Ok(ticks as f64 / 100.0)
}

fn memory_kib() -> Result<u64> {
    let status = std::fs::read_to_string("/proc/self/status").wrap_err("/proc/self/status")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next());
    Ok(number.unwrap_or("0").parse()?)
}

async fn measure(size: FleetSize, time: Duration) -> Result<()> {
    let (count, zones) = (size.hosts, size.zones);
    let mut plan = demo::demo_plan();
    plan.objects.extend((0..size.tenants).map(more_tenant));
    let (core, platform) = start_platform(&plan).await?;
    let base = memory_kib()?;
    let mut hosts: Vec<RunningHost> = Vec::new();
    for index in 0..count * zones {
        let zone = index / count;
        let seeds = [hosts.first(), hosts.get(zone * count)];
        let seeds = seeds.into_iter().flatten().map(|host| host.addresses.peers);
        hosts.push(start_host(platform, index, zone, seeds.collect()).await?);
    }
    let began = Instant::now();
    let everybody = |host: &RunningHost| {
        let snapshot = host.traffic.snapshot.load();
        let zone = &host.traffic.settings.zone;
        let live = snapshot
            .peers
            .iter()
            .filter(|peer| peer.is_live && peer.zone == *zone);
        live.count() == count - 1
    };
    while !hosts.iter().all(everybody) {
        ensure!(
            began.elapsed() < Duration::from_secs(90),
            "the hosts do not find each other"
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let found = began.elapsed();
    let before = spent(&hosts)?;
    tokio::time::sleep(time).await;
    let after = spent(&hosts)?;
    let all = hosts.iter().all(everybody);
    let per = |total: f64| total / hosts.len() as f64 / time.as_secs_f64();
    println!(
        "{} hosts in {zones} zones: found each other in {:.1} s, all live after {} s: {all}; a host \
         and second: {:.0} B sent, {:.0} B received, {:.3}% of a core, {:.3} platform calls; a host: \
         {} KiB",
        hosts.len(),
        found.as_secs_f64(),
        time.as_secs(),
        per((after.sent - before.sent) as f64),
        per((after.received - before.received) as f64),
        per(after.processor - before.processor) * 100.0,
        per((after.platform - before.platform) as f64),
        memory_kib()?.saturating_sub(base) / hosts.len() as u64,
    );
    let before = spent(&hosts)?;
    let spread = change_everywhere(&core, &hosts).await?;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let bytes = (spent(&hosts)?.sent - before.sent) / hosts.len() as u64;
    println!(
        "a change of configuration was in force on all after {:.2} s; {bytes} B sent by a host \
         from then to a second later",
        spread.as_secs_f64()
    );
    std::mem::forget(hosts);
    Ok(())
}

// Time from an operator's write to its being in force on every host.
async fn change_everywhere(core: &PlatformCore, hosts: &[RunningHost]) -> Result<Duration> {
    let object = core.get(kind::INTENT, "specs");
    let mut object = object.ok_or_else(|| eyre!("the sample intent is missing"))?;
    object.spec["priority"] = 7.into();
    ensure!(core.put(object).is_ok(), "the change is refused");
    let began = Instant::now();
    let in_force = |host: &RunningHost| {
        let snapshot = host.traffic.snapshot.load();
        let mut intents = snapshot.objects.intents.iter();
        intents.any(|intent| intent.spec.priority == 7)
    };
    while !hosts.iter().all(in_force) {
        ensure!(
            began.elapsed() < Duration::from_secs(90),
            "the change does not reach all"
        );
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    Ok(began.elapsed())
}

fn more_tenant(index: usize) -> AnyObject {
    let key = object::hash_key(&format!("key-{index}"));
    AnyObject {
        kind: FastStr::from_static_str(kind::TENANT),
        metadata: ObjectMeta {
            name: FastStr::from_string(format!("tenant-{index}")),
            ..ObjectMeta::default()
        },
        spec: json!({"keyHash": key, "limits": {"requestsPerSecond": 50}}),
    }
}

async fn start_platform(plan: &FleetPlan) -> Result<(Arc<PlatformCore>, SocketAddr)> {
    let core = PlatformCore::new();
    for object in &plan.objects {
        let written = core.put(object.clone());
        ensure!(written.is_ok(), "the shipped objects are refused");
    }
    let (listener, address) = web::listen(fleet::loopback()).await?;
    serve_platform(core.clone(), listener);
    Ok((core, address))
}

async fn start_host(
    platform: SocketAddr,
    index: usize,
    zone: usize,
    seeds: Vec<SocketAddr>,
) -> Result<RunningHost> {
    let settings = HostSettings {
        name: FastStr::from_string(format!("host-{index}")),
        zone: FastStr::from_string(format!("zone-{zone}")),
        callers: fleet::loopback(),
        operators: fleet::loopback(),
        peers: fleet::loopback(),
        platform,
        seeds,
        ..HostSettings::default()
    };
    Ok(EntryHost::open(settings, "peers").await?.start())
}

//! `bayplank load`: sends requests to a host over sockets and measures it.

use {
    super::exit::{self, CommandResult},
    crate::{
        engine::{self, DecodeOrder, PrefillOrder, StreamItem},
        standin::caller::{Caller, StreamedEvent},
        store::StoreClient,
        web::WebClient,
    },
    eyre::{Result, WrapErr, eyre},
    faststr::FastStr,
    futures::StreamExt,
    hdrhistogram::Histogram,
    pico_args::Arguments,
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{task::JoinSet, time::Instant},
};

const HELP: &str = "\
bayplank load: sends requests to a host and measures it

Usage: bayplank load HOST [OPTIONS]

HOST is its callers' address, IP:port.

  --rate N            requests a second (default 200)
  --seconds N         how long (default 10)
  --streams N         instead: N streams at once, and the tokens they bring
  --platform ADDRESS  also call the engines that this platform lists directly, in the same run
  --key KEY           the tenant's key (default: the demo's)
  --model NAME        the model (default lensmodel)
";

const DEFAULT_KEY: &str = "demo-key-coastal-lens";

struct LoadPlan {
    host: SocketAddr,
    rate: u64,
    time: Duration,
    key: String,
    model: FastStr,
    engines: Option<(SocketAddr, SocketAddr)>,
}

/// Runs the command.
pub fn run(mut arguments: Arguments) -> CommandResult {
    if arguments.contains("--help") {
        print!("{HELP}");
        return Ok(());
    }
    let rate: u64 = arguments.opt_value_from_str("--rate")?.unwrap_or(200);
    let seconds: u64 = arguments.opt_value_from_str("--seconds")?.unwrap_or(10);
    let streams: Option<usize> = arguments.opt_value_from_str("--streams")?;
    let platform: Option<SocketAddr> = arguments.opt_value_from_str("--platform")?;
    let key: Option<String> = arguments.opt_value_from_str("--key")?;
    let model: Option<String> = arguments.opt_value_from_str("--model")?;
    let host: SocketAddr = arguments.free_from_str()?;
    exit::finish(arguments)?;
    if rate == 0 || seconds == 0 {
        return Err(exit::usage("load: --rate and --seconds have to be above 0"));
    }
    let runtime = tokio::runtime::Runtime::new().wrap_err("a runtime")?;
    runtime.block_on(async {
        let engines = match platform {
            Some(platform) => Some(find_engines(platform).await?),
            None => None,
        };
        let plan = LoadPlan {
            host,
            rate,
            time: Duration::from_secs(seconds),
            key: key.unwrap_or_else(|| DEFAULT_KEY.to_owned()),
            model: FastStr::from_string(model.unwrap_or_else(|| "lensmodel".to_owned())),
            engines,
        };
        match streams {
            Some(count) => hold_streams(&plan, count).await,
            None => measure_latency(&plan).await,
        }
    })?;
    Ok(())
}

// A prefill and a decode engine, to be called without the router.
async fn find_engines(platform: SocketAddr) -> Result<(SocketAddr, SocketAddr)> {
    let client = StoreClient::new(platform, Duration::from_secs(5));
    let list = client.list().await.wrap_err("platform")?;
    let find = |role: &str| {
        let mut items = list.items.iter();
        let found = items.find(|item| {
            let label = item.metadata.labels.get("role");
            label.is_some_and(|label| label == role)
        });
        let server = found.and_then(|item| item.typed::<crate::object::ServerSpec>().ok());
        server
            .map(|server| server.spec.address)
            .ok_or_else(|| eyre!("no {role} engine is listed"))
    };
    Ok((find("prefill")?, find("decode")?))
}

type Latencies = Arc<std::sync::Mutex<Histogram<u64>>>;

fn histogram() -> Latencies {
    let histogram = Histogram::new_with_bounds(1, 120_000_000, 3).expect("bounds");
    Arc::new(std::sync::Mutex::new(histogram))
}

fn show(name: &str, latencies: &Latencies) -> (f64, f64) {
    let histogram = latencies.lock().expect("histogram");
    let at = |percent| histogram.value_at_percentile(percent) as f64 / 1_000.0;
    let (p50, p99) = (at(50.0), at(99.0));
    let count = histogram.len();
    println!("{name}: {count} first tokens, p50 {p50:.3} ms, p99 {p99:.3} ms");
    (p50, p99)
}

// Requests at a fixed rate; every second one goes to the engines directly if they are known.
async fn measure_latency(plan: &LoadPlan) -> Result<()> {
    let (routed, direct) = (histogram(), histogram());
    let failures = Arc::new(AtomicU64::new(0));
    let caller = Caller::new(&plan.key);
    let client = WebClient::new(Duration::from_secs(2));
    let start = Instant::now();
    let count = plan.rate * plan.time.as_secs();
    let mut calls = JoinSet::new();
    for index in 0..count {
        let at = start + Duration::from_secs(1).mul_f64(index as f64 / plan.rate as f64);
        tokio::time::sleep_until(at).await;
        let prompt = format!("request number {index} of a load of short prompts");
        let failures = failures.clone();
        let model = plan.model.clone();
        match plan.engines {
            Some(engines) if index % 2 == 1 => {
                let (client, direct) = (client.clone(), direct.clone());
                calls.spawn(async move {
                    let done = call_engines(&client, engines, model, prompt, &direct).await;
                    failures.fetch_add(u64::from(done.is_err()), Ordering::Relaxed);
                });
            }
            _ => {
                let (caller, routed, host) = (caller.clone(), routed.clone(), plan.host);
                calls.spawn(async move {
                    let done = call_host(&caller, host, &model, &prompt, &routed).await;
                    failures.fetch_add(u64::from(done.is_err()), Ordering::Relaxed);
                });
            }
        }
    }
    calls.join_all().await;
    let through = show("through the host", &routed);
    if plan.engines.is_some() {
        let without = show("engines called directly", &direct);
        let (p50, p99) = (through.0 - without.0, through.1 - without.1);
        println!("added by the host: p50 {p50:.3} ms, p99 {p99:.3} ms");
    }
    println!("failed: {}", failures.load(Ordering::Relaxed));
    Ok(())
}

fn record(latencies: &Latencies, began: Instant) {
    let micros = began.elapsed().as_micros() as u64;
    let mut histogram = latencies.lock().expect("histogram");
    histogram.saturating_record(micros.max(1));
}

async fn call_host(
    caller: &Caller,
    host: SocketAddr,
    model: &str,
    prompt: &str,
    latencies: &Latencies,
) -> Result<()> {
    let began = Instant::now();
    let stream = caller.stream(host, model, prompt, None, None).await;
    let mut stream = stream.map_err(|failure| eyre!("{failure:?}"))?;
    match stream.next().await {
        StreamedEvent::Token { .. } => record(latencies, began),
        other => return Err(eyre!("{other:?}")),
    }
    match stream.finish().await.2 {
        StreamedEvent::Done => Ok(()),
        other => Err(eyre!("{other:?}")),
    }
}

async fn call_engines(
    client: &WebClient,
    engines: (SocketAddr, SocketAddr),
    model: FastStr,
    prompt: String,
    latencies: &Latencies,
) -> Result<()> {
    let failed = |failure: engine::CallFailure| eyre!("{failure}");
    let salt: u64 = rand::random();
    let prefill = engine::http_link(client, engines.0);
    let decode = engine::http_link(client, engines.1);
    let began = Instant::now();
    let order = PrefillOrder {
        attempt: FastStr::from_string(format!("load.{salt:x}.p")),
        model: model.clone(),
        prompt: FastStr::from_string(prompt),
        delivered: Vec::new(),
        priority: 5,
        tenant: FastStr::from_static_str("load"),
    };
    let reply = (prefill.prefill)(order).await.map_err(failed)?;
    let order = DecodeOrder {
        attempt: FastStr::from_string(format!("load.{salt:x}.d")),
        model,
        handle: reply.handle,
        source: FastStr::from_string(engines.0.to_string()),
        max_tokens: u32::MAX,
        priority: 5,
        tenant: FastStr::from_static_str("load"),
    };
    let mut items = (decode.decode)(order).await.map_err(failed)?;
    let mut is_first = true;
    while let Some(item) = items.next().await {
        match item.map_err(failed)? {
            StreamItem::Token { .. } if std::mem::take(&mut is_first) => record(latencies, began),
            StreamItem::Finished { .. } => return Ok(()),
            _ => {}
        }
    }
    Err(eyre!("the stream ended early"))
}

// Holds streams open and counts what they bring.
async fn hold_streams(plan: &LoadPlan, count: usize) -> Result<()> {
    let caller = Caller::new(&plan.key);
    let tokens = Arc::new(AtomicU64::new(0));
    let open = Arc::new(AtomicU64::new(0));
    let mut streams = JoinSet::new();
    for index in 0..count {
        let (caller, tokens, open) = (caller.clone(), tokens.clone(), open.clone());
        let (host, model) = (plan.host, plan.model.clone());
        streams.spawn(async move {
            let prompt = format!("stream number {index}");
            let Ok(mut stream) = caller.stream(host, &model, &prompt, None, None).await else {
                return;
            };
            open.fetch_add(1, Ordering::Relaxed);
            while let StreamedEvent::Token { .. } = stream.next().await {
                tokens.fetch_add(1, Ordering::Relaxed);
            }
            open.fetch_sub(1, Ordering::Relaxed);
        });
        if index % 10 == 9 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
    let mut before = tokens.load(Ordering::Relaxed);
    for _ in 0..plan.time.as_secs() {
        tokio::time::sleep(Duration::from_secs(1)).await;
        let now = tokens.load(Ordering::Relaxed);
        let live = open.load(Ordering::Relaxed);
        println!(
            "{live} streams live, {} tokens in this second",
            now - before
        );
        before = now;
    }
    streams.shutdown().await;
    Ok(())
}

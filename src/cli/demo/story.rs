//! What the demo does, step by step, and what it checks.

use {
    super::fleet,
    crate::{
        cli::operate,
        standin::{
            caller::{Caller, StreamFailure, StreamedEvent},
            engine::{self, EngineParams},
            fleet::Fleet,
        },
    },
    eyre::{Result, bail, ensure, eyre},
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
    tokio::{runtime::Runtime, task::JoinSet},
};

const PRESCRIPTION: &str = include_str!("../../../samples/prescription.txt");
const RIDER_REPORT: &str = include_str!("../../../samples/rider-report.txt");
const KEY: &str = "demo-key-coastal-lens";
const MODEL: &str = "lensmodel";
const CROWD: usize = 24;

#[derive(Default)]
struct Summary {
    answered: usize,
    refused: BTreeMap<String, usize>,
    wrong: usize,
}

/// Tells the whole story; an error is a promise that was not kept.
pub fn tell() -> Result<()> {
    println!("Starting a platform, 8 engines, 2 plain services and 4 entry hosts in two zones.");
    let mut fleet = Fleet::start(fleet::demo_plan())?;
    let runtime = Runtime::new()?;
    let mut summary = Summary::default();
    runtime.block_on(show_stream(&fleet, &mut summary))?;
    runtime.block_on(show_plain(&fleet, &mut summary))?;
    show_repair(&mut fleet, &runtime, &mut summary)?;
    runtime.block_on(show_crowd(&fleet, &mut summary))?;
    close(&fleet, &summary)
}

fn host(fleet: &Fleet, index: usize) -> SocketAddr {
    let hosts: Vec<SocketAddr> = fleet
        .hosts
        .values()
        .map(|host| host.running.addresses.callers)
        .collect();
    hosts[index % hosts.len()]
}

fn expected(prompt: &str) -> String {
    engine::whole_answer(prompt, EngineParams::default().answer_tokens, u32::MAX)
}

async fn show_stream(fleet: &Fleet, summary: &mut Summary) -> Result<()> {
    println!("\n1. A lens specification, streamed as it is generated:");
    let caller = Caller::new(KEY);
    let mut stream = caller
        .stream(host(fleet, 0), MODEL, PRESCRIPTION, None, None)
        .await
        .map_err(|failure| eyre!("refused: {failure:?}"))?;
    let mut text = String::new();
    let end = loop {
        match stream.next().await {
            StreamedEvent::Token { text: token, .. } => {
                print!("{token}");
                std::io::Write::flush(&mut std::io::stdout())?;
                text.push_str(&token);
            }
            end => break end,
        }
    };
    println!();
    ensure!(end == StreamedEvent::Done, "the stream ended with {end:?}");
    ensure!(
        text == expected(PRESCRIPTION),
        "the answer is not the prompt's"
    );
    summary.answered += 1;
    Ok(())
}

async fn show_plain(fleet: &Fleet, summary: &mut Summary) -> Result<()> {
    println!("\n2. A grinding order, which may run once only, sent twice through two hosts:");
    let caller = Caller::new(KEY);
    let order = "{\"job\": 40-2217}";
    let asked = caller
        .plain(
            host(fleet, 0),
            "/orderdesk/grind",
            Some("my-own-key"),
            order,
        )
        .await?;
    println!(
        "   own key: status {}, {}",
        asked.status, asked.body["error"]["message"]
    );
    ensure!(
        asked.status == 428,
        "a made-up key is not enough for this call"
    );
    *summary
        .refused
        .entry(asked.verdict().to_owned())
        .or_default() += 1;
    let ticket = asked.ticket().to_owned();
    println!("   ticket: {ticket}");
    for index in [1, 2] {
        let reply = caller
            .plain(host(fleet, index), "/orderdesk/grind", Some(&ticket), order)
            .await?;
        println!(
            "   host {}: status {}, run {}",
            index + 1,
            reply.status,
            reply.body["run"]
        );
        ensure!(reply.status == 200, "the order was refused: {}", reply.body);
    }
    let runs: u64 = fleet
        .services
        .values()
        .flat_map(|service| service.runs().into_values())
        .sum();
    ensure!(runs == 1, "the order ran {runs} times");
    println!("   the service ran it once; the second caller got the first one's answer");
    summary.answered += 2;
    Ok(())
}

fn show_repair(fleet: &mut Fleet, runtime: &Runtime, summary: &mut Summary) -> Result<()> {
    println!("\n3. The decode engine is killed in the middle of an answer:");
    let address = host(fleet, 0);
    let caller = Caller::new(KEY);
    let mut stream = runtime
        .block_on(caller.stream(address, MODEL, RIDER_REPORT, None, None))
        .map_err(|failure| eyre!("refused: {failure:?}"))?;
    let mut text = String::new();
    let mut victim = String::new();
    for _ in 0..8 {
        match runtime.block_on(stream.next()) {
            StreamedEvent::Token { id, text: token } => {
                text.push_str(&token);
                victim = id.split('~').next().unwrap_or_default().to_owned();
            }
            end => bail!("the stream ended early with {end:?}"),
        }
    }
    println!("   8 tokens came from {victim}; it is killed now");
    fleet.kill_engine(&victim);
    let (rest, last, end) = runtime.block_on(stream.finish());
    let repaired = last.split('~').next().unwrap_or_default();
    println!("   the rest came from {repaired}");
    text.push_str(&rest);
    ensure!(end == StreamedEvent::Done, "the stream ended with {end:?}");
    ensure!(
        text == expected(RIDER_REPORT),
        "tokens are missing or doubled"
    );
    println!("   no token missing, none doubled; why it went there:");
    explain_last(fleet, address);
    summary.answered += 1;
    Ok(())
}

// The decisions of the newest request that the host explains.
fn explain_last(fleet: &Fleet, address: SocketAddr) {
    let host = fleet
        .hosts
        .values()
        .find(|host| host.running.addresses.callers == address);
    if let Some(host) = host {
        let records = host.running.traffic.desk.read(|desk| desk.latest());
        records.iter().for_each(operate::print_decision);
    }
}

async fn show_crowd(fleet: &Fleet, summary: &mut Summary) -> Result<()> {
    println!("\n4. {CROWD} callers at once, through all hosts, half of them streaming:");
    let mut calls = JoinSet::new();
    for index in 0..CROWD {
        let address = host(fleet, index);
        let base = if index % 3 == 0 {
            RIDER_REPORT
        } else {
            PRESCRIPTION
        };
        let prompt = format!("{base}\nCaller number {index}.");
        calls.spawn(async move { (prompt.clone(), ask(address, &prompt, index % 2 == 0).await) });
    }
    while let Some(joined) = calls.join_next().await {
        let (prompt, outcome) = joined?;
        match outcome {
            Ok(text) if text == expected(&prompt) => summary.answered += 1,
            Ok(_) => summary.wrong += 1,
            Err(verdict) => *summary.refused.entry(verdict).or_default() += 1,
        }
    }
    Ok(())
}

// The answer's text, or the verdict of a refusal.
async fn ask(address: SocketAddr, prompt: &str, streams: bool) -> Result<String, String> {
    let caller = Caller::new(KEY);
    if !streams {
        let reply = caller
            .complete(address, MODEL, prompt, None)
            .await
            .map_err(|failure| failure.to_string())?;
        return match reply.status {
            200 => Ok(reply.text().to_owned()),
            _ => Err(reply.verdict().to_owned()),
        };
    }
    match caller.stream(address, MODEL, prompt, None, None).await {
        Ok(mut stream) => match stream.finish().await {
            (text, _, StreamedEvent::Done) => Ok(text),
            (_, _, end) => Err(format!("{end:?}")),
        },
        Err(StreamFailure::Refused(reply)) => Err(reply.verdict().to_owned()),
        Err(StreamFailure::Web(failure)) => Err(failure.to_string()),
    }
}

fn close(fleet: &Fleet, summary: &Summary) -> Result<()> {
    let patience = Duration::from_secs(5);
    fleet.wait(patience, "all engine memory to be free", || {
        fleet.held() == 0
    })?;
    let computed: u64 = fleet
        .engines
        .values()
        .map(|engine| engine.core.counts().computed_tokens)
        .sum();
    println!("\nSummary:");
    println!("   answered, each once and correctly: {}", summary.answered);
    for (verdict, count) in &summary.refused {
        println!("   refused, {verdict}: {count}");
    }
    println!("   wrong answers: {}", summary.wrong);
    println!(
        "   prompt tokens computed: {computed}; engine memory still held: {}",
        fleet.held()
    );
    ensure!(summary.wrong == 0, "{} answers were wrong", summary.wrong);
    let refusals: usize = summary.refused.values().sum();
    ensure!(
        refusals == 1,
        "only the made-up key should have been refused"
    );
    println!("Every request ended once, with its whole answer or an honest refusal.");
    Ok(())
}

//! The commands that speak with the platform and with entry hosts.

use {
    super::{
        check,
        exit::{self, CommandFailure, CommandResult},
    },
    crate::{
        object::{AnyObject, ObjectSet, kind},
        route::DecisionRecord,
        store::{self, ObjectList, StoreClient, StoreFailure},
        web::{WebClient, WebFailure},
    },
    eyre::{WrapErr, eyre},
    faststr::FastStr,
    http::Method,
    pico_args::Arguments,
    serde_json::Value,
    std::{future::Future, net::SocketAddr, time::Duration},
};

const DEFAULT_PLATFORM: &str = "127.0.0.1:7070";
const TIMEOUT: Duration = Duration::from_secs(5);

fn block_on<T>(future: impl Future<Output = T>) -> Result<T, CommandFailure> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .wrap_err("a runtime")?;
    Ok(runtime.block_on(future))
}

fn client(arguments: &mut Arguments) -> Result<StoreClient, CommandFailure> {
    let address: Option<String> = arguments.opt_value_from_str("--platform")?;
    let address = address.unwrap_or_else(|| DEFAULT_PLATFORM.to_owned());
    let address = address
        .parse()
        .map_err(|_| exit::usage(format!("--platform: expected IP:port, found {address:?}")))?;
    Ok(StoreClient::new(address, TIMEOUT))
}

fn failed(failure: StoreFailure) -> CommandFailure {
    eyre!("platform: {failure}").into()
}

fn writer_mark() -> FastStr {
    FastStr::from_string(format!("operator-{:016x}", rand::random::<u64>()))
}

/// `bayplank apply`: checks the whole set as it would be, then writes what differs.
pub fn apply(mut arguments: Arguments) -> CommandResult {
    let client = client(&mut arguments)?;
    let file: String = arguments.free_from_str()?;
    exit::finish(arguments)?;
    let wanted = check::read_objects(&file)?;
    block_on(apply_objects(&client, wanted))?
}

async fn apply_objects(client: &StoreClient, wanted: Vec<AnyObject>) -> CommandResult {
    let list = client.list().await.map_err(failed)?;
    for object in &wanted {
        if !object.is_operators() {
            let text = format!("{}: operators do not write this kind", object.kind);
            return Err(eyre!(text).into());
        }
    }
    let merged = merge(&list, &wanted);
    ObjectSet::read(&merged).map_err(|faults| check::report_objects(&faults))?;
    for mut object in wanted {
        let name = format!("{}/{}", object.kind, object.metadata.name);
        let there = find(&list, &object.kind, &object.metadata.name);
        // A version in the file is the one that the operator read; else it is the one read now.
        if object.metadata.resource_version == 0 {
            object.metadata.resource_version =
                there.map_or(0, |there| there.metadata.resource_version);
        }
        if there.is_some_and(|there| same(there, &object)) {
            println!("{name}: unchanged");
            continue;
        }
        let written = store::write_marked(client, object, writer_mark())
            .await
            .map_err(|failure| eyre!("{name}: {failure}"))?;
        println!("{name}: version {}", written.metadata.resource_version);
    }
    Ok(())
}

fn find<'a>(list: &'a ObjectList, kind: &str, name: &str) -> Option<&'a AnyObject> {
    list.items
        .iter()
        .find(|object| object.kind == kind && object.metadata.name == name)
}

fn same(there: &AnyObject, wanted: &AnyObject) -> bool {
    there.spec == wanted.spec
        && there.metadata.labels == wanted.metadata.labels
        && there.metadata.resource_version == wanted.metadata.resource_version
}

// The operators' objects as they would be afterwards.
fn merge(list: &ObjectList, wanted: &[AnyObject]) -> Vec<AnyObject> {
    let replaced = |object: &&AnyObject| {
        let name = &object.metadata.name;
        !wanted
            .iter()
            .any(|new| new.kind == object.kind && new.metadata.name == *name)
    };
    let mut merged: Vec<AnyObject> = list
        .items
        .iter()
        .filter(|object| object.is_operators())
        .filter(replaced)
        .cloned()
        .collect();
    merged.extend(wanted.iter().cloned());
    merged
}

/// `bayplank get`.
pub fn get(mut arguments: Arguments) -> CommandResult {
    let client = client(&mut arguments)?;
    let json = arguments.contains("--json");
    let kind: Option<String> = arguments.opt_free_from_str()?;
    let name: Option<String> = arguments.opt_free_from_str()?;
    exit::finish(arguments)?;
    let list = block_on(client.list())?.map_err(failed)?;
    let picked: Vec<&AnyObject> = list
        .items
        .iter()
        .filter(|object| kind.as_deref().is_none_or(|kind| kind == object.kind))
        .filter(|object| {
            name.as_deref()
                .is_none_or(|name| name == object.metadata.name)
        })
        .collect();
    if name.is_some() && picked.is_empty() {
        return Err(eyre!("there is no such object").into());
    }
    if json || name.is_some() {
        let text = serde_json::to_string_pretty(&picked).wrap_err("objects")?;
        println!("{text}");
        return Ok(());
    }
    println!("{:<16} {:<28} VERSION", "KIND", "NAME");
    for object in picked {
        let version = object.metadata.resource_version;
        println!("{:<16} {:<28} {version}", object.kind, object.metadata.name);
    }
    Ok(())
}

/// `bayplank delete`.
pub fn delete(mut arguments: Arguments) -> CommandResult {
    let client = client(&mut arguments)?;
    let kind: String = arguments.free_from_str()?;
    let name: String = arguments.free_from_str()?;
    exit::finish(arguments)?;
    block_on(async {
        let list = client.list().await.map_err(failed)?;
        let object = find(&list, &kind, &name).ok_or_else(|| eyre!("{kind}/{name}: not found"))?;
        let rest: Vec<AnyObject> = list
            .items
            .iter()
            .filter(|other| other.is_operators() && *other != object)
            .cloned()
            .collect();
        ObjectSet::read(&rest).map_err(|faults| check::report_objects(&faults))?;
        let version = object.metadata.resource_version;
        client.delete(&kind, &name, version).await.map_err(failed)?;
        println!("{kind}/{name}: deleted");
        Ok(())
    })?
}

/// `bayplank drain` and `undrain`.
pub fn drain(mut arguments: Arguments, leaving: bool) -> CommandResult {
    let client = client(&mut arguments)?;
    let name: String = arguments.free_from_str()?;
    exit::finish(arguments)?;
    block_on(async {
        let mut object = client.get(kind::SERVER, &name).await.map_err(failed)?;
        object.spec["leaving"] = Value::Bool(leaving);
        store::write_marked(&client, object, writer_mark())
            .await
            .map_err(failed)?;
        println!("{name}: leaving is {leaving}");
        Ok(())
    })?
}

fn hosts(arguments: &mut Arguments) -> Result<Vec<SocketAddr>, CommandFailure> {
    let mut hosts = Vec::new();
    while let Some(text) = arguments.opt_free_from_str::<String>()? {
        let host = text
            .parse()
            .map_err(|_| exit::usage(format!("expected IP:port, found {text:?}")))?;
        hosts.push(host);
    }
    match hosts.is_empty() {
        true => Err(exit::usage("name at least one host")),
        false => Ok(hosts),
    }
}

async fn ask(client: &WebClient, host: SocketAddr, path: &str) -> Result<Value, WebFailure> {
    client
        .json::<(), Value>(Method::GET, host, path, None, TIMEOUT)
        .await
}

/// `bayplank status`: what each host has in force.
pub fn status(mut arguments: Arguments) -> CommandResult {
    let json = arguments.contains("--json");
    let hosts = hosts(&mut arguments)?;
    exit::finish(arguments)?;
    let client = WebClient::new(TIMEOUT);
    let answers = block_on(async {
        let asked = hosts.iter().map(|host| ask(&client, *host, "/status"));
        futures::future::join_all(asked).await
    })?;
    if !json {
        let heads = ("HOST", "ZONE", "GENERATION", "IN FLIGHT", "STATE");
        let (host, zone, generation, in_flight, state) = heads;
        println!("{host:<24} {zone:<14} {generation:>10} {in_flight:>9} {state}");
    }
    let mut silent = 0;
    for (host, answer) in hosts.iter().zip(answers) {
        match answer {
            Ok(value) if json => println!("{value}"),
            Ok(value) => print_status(&value),
            Err(failure) => {
                silent += 1;
                eprintln!("{host}: {failure}");
            }
        }
    }
    match silent {
        0 => Ok(()),
        _ => Err(eyre!("{silent} of {} hosts did not answer", hosts.len()).into()),
    }
}

fn print_status(value: &Value) {
    let text = |key: &str| value[key].as_str().unwrap_or("?").to_owned();
    let state = match value["stopping"].as_bool() {
        Some(true) => "stopping",
        _ => "serving",
    };
    println!(
        "{:<24} {:<14} {:>10} {:>9} {state}",
        text("host"),
        text("zone"),
        value["generation"],
        value["inFlight"],
    );
}

/// `bayplank explain`: why a request went where it went.
pub fn explain(mut arguments: Arguments) -> CommandResult {
    let json = arguments.contains("--json");
    let request: String = arguments.free_from_str()?;
    let hosts = hosts(&mut arguments)?;
    exit::finish(arguments)?;
    let client = WebClient::new(TIMEOUT);
    for host in hosts {
        let path = format!("/explain/{request}");
        let Ok(value) = block_on(ask(&client, host, &path))? else {
            continue;
        };
        if json {
            println!("{value}");
            return Ok(());
        }
        let records: Vec<DecisionRecord> = serde_json::from_value(value).wrap_err("explanation")?;
        records.iter().for_each(print_decision);
        return Ok(());
    }
    Err(eyre!("no host remembers request {request}").into())
}

/// Prints one decision.
pub fn print_decision(record: &DecisionRecord) {
    println!("{:>8.1} ms  {}", record.at_ms, record.decision);
    for (role, engines) in [("prefill", &record.prefills), ("decode", &record.decodes)] {
        for (index, weighed) in engines.iter().enumerate() {
            let mark = if index == 0 { "->" } else { "  " };
            println!(
                "             {mark} {role:<8} {:<24} {}",
                weighed.engine, weighed.known
            );
        }
    }
}

//! Relayed requests over the product's own protocol: objects, settings, servers.

mod common;

use {
    bayplank::{
        cli,
        object::{AnyObject, ObjectMeta, ObjectSet},
        standin::fleet::{self, Fleet},
    },
    common::{PATIENCE, plan, runs, wait},
    serde_json::{Value, json},
    std::{
        io::{Read, Write},
        net::{SocketAddr, TcpStream},
        time::Duration,
    },
};

/// Sends a request and returns the response as text, head and body.
fn ask(address: SocketAddr, method: &str, path: &str, body: &str) -> String {
    let mut stream = TcpStream::connect(address).expect("a connection");
    stream
        .set_read_timeout(Some(PATIENCE))
        .expect("a time limit");
    let length = body.len();
    let head = format!("{method} {path} HTTP/1.1\r\nhost: desk.example\r\nconnection: close\r\n");
    let text = format!("{head}x-request-id: rq-1\r\ncontent-length: {length}\r\n\r\n{body}");
    stream.write_all(text.as_bytes()).expect("sent");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("an answer");
    answer
}

fn status(answer: &str) -> u16 {
    let word = answer.split(' ').nth(1).expect("a status");
    word.parse().expect("a number")
}

fn start() -> (Fleet, SocketAddr) {
    let mut plan = plan(1);
    plan.settings.relay = Some(fleet::loopback());
    let fleet = Fleet::start(plan).expect("the fleet starts");
    let host = fleet.hosts.values().next().expect("a host");
    let relay = host.running.addresses.relay.expect("an address");
    (fleet, relay)
}

fn route(name: &str, spec: Value) -> AnyObject {
    AnyObject {
        kind: "PassRoute".into(),
        metadata: ObjectMeta {
            name: name.to_owned().into(),
            ..ObjectMeta::default()
        },
        spec,
    }
}

fn desk_route(prefix: &str, kind: &str) -> Value {
    json!({
        "host": "desk.example", "pathPrefix": prefix, "kind": kind, "timeoutMs": 400,
        "targets": [{"selector": {"matchLabels": {"service": "orderdesk"}}}],
    })
}

// Waits until requests for a path get this status.
fn until_status(fleet: &Fleet, relay: SocketAddr, path: &str, wanted: u16) {
    wait(fleet, "the change to be in force", || {
        status(&ask(relay, "GET", path, "")) == wanted
    });
}

#[test]
fn a_request_is_relayed_unmodified() {
    let (fleet, relay) = start();
    until_status(&fleet, relay, "/stock/ready", 200);
    let answer = ask(relay, "POST", "/stock/52-18?blue", "three");
    assert_eq!(status(&answer), 200, "{answer}");
    let body = answer.split("\r\n\r\n").nth(1).expect("a body");
    let body: Value = serde_json::from_str(body).expect("JSON");
    assert_eq!(body["path"], "/stock/52-18");
    assert_eq!(body["received"], "three");
    assert_eq!(status(&ask(relay, "GET", "/stocks/1", "")), 404);
}

#[test]
fn a_change_of_the_routes_stays_in_force_despite_a_later_invalid_one() {
    let (fleet, relay) = start();
    until_status(&fleet, relay, "/stock/1", 200);
    assert_eq!(status(&ask(relay, "GET", "/jobs/1", "")), 404);
    fleet
        .apply(route("jobs", desk_route("/jobs/", "once")))
        .unwrap();
    until_status(&fleet, relay, "/jobs/1", 200);
    let invalid =
        json!({"host": "desk.example", "pathPrefix": "jobs", "kind": "once", "targets": []});
    fleet.apply(route("jobs", invalid)).unwrap();
    fleet
        .apply(route("more", desk_route("/more/", "once")))
        .unwrap();
    // The set of objects is invalid now, so the last valid one stays in force whatever else changed.
    assert_eq!(status(&ask(relay, "GET", "/jobs/1", "")), 200);
    assert_eq!(status(&ask(relay, "GET", "/more/1", "")), 404);
    fleet
        .apply(route("jobs", desk_route("/tasks/", "once")))
        .unwrap();
    until_status(&fleet, relay, "/more/1", 200);
    assert_eq!(status(&ask(relay, "GET", "/tasks/1", "")), 200);
    assert_eq!(status(&ask(relay, "GET", "/jobs/1", "")), 404);
}

#[test]
fn a_request_that_may_have_run_is_neither_sent_again_nor_reported_as_not_run() {
    let (fleet, relay) = start();
    fleet
        .apply(route("jobs", desk_route("/jobs/", "once")))
        .unwrap();
    until_status(&fleet, relay, "/jobs/1", 200);
    let service = fleet.services.values().next().expect("a service").clone();
    let before = runs(&fleet);
    service.set_lose_answers(true);
    let answer = ask(relay, "POST", "/jobs/unlock", "7731");
    assert_eq!(status(&answer), 504, "{answer}");
    assert!(
        answer.contains("bayplank-verdict: may-have-run"),
        "{answer}"
    );
    assert_eq!(runs(&fleet), before + 1);
}

#[test]
fn a_leaving_server_gets_no_new_requests() {
    let (fleet, relay) = start();
    until_status(&fleet, relay, "/stock/1", 200);
    let name = fleet.services.keys().next().expect("a service").clone();
    let labels = [("service", "orderdesk"), ("zone", "zone-a")];
    let nowhere = fleet::loopback();
    fleet
        .list_server(&name, "zone-a", nowhere, &labels, true)
        .unwrap();
    until_status(&fleet, relay, "/stock/1", 503);
    let before = runs(&fleet);
    let answer = ask(relay, "GET", "/stock/1", "");
    assert!(answer.contains("bayplank-verdict: not-run"), "{answer}");
    assert_eq!(runs(&fleet), before);
}

#[test]
fn a_graceful_stop_lets_a_request_finish() {
    let (mut fleet, relay) = start();
    until_status(&fleet, relay, "/stock/1", 200);
    let service = fleet.services.values().next().expect("a service").clone();
    let before = runs(&fleet);
    service.set_delay(Duration::from_millis(300));
    let asking = std::thread::spawn(move || ask(relay, "POST", "/stock/2", "x"));
    wait(&fleet, "the request to run", || runs(&fleet) == before + 1);
    let name = fleet.hosts.keys().next().expect("a host").clone();
    let host = fleet.hosts.get(&name).expect("a host");
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(host.running.drain());
    let answer = asking.join().expect("an answer");
    assert_eq!(status(&answer), 200, "{answer}");
    fleet.kill_host(&name);
}

#[test]
fn metrics_of_operations_and_of_relayed_requests_are_one_page() {
    let (fleet, relay) = start();
    until_status(&fleet, relay, "/stock/1", 200);
    let host = fleet.hosts.values().next().expect("a host");
    let operators = host.running.addresses.operators;
    wait(&fleet, "the page to name the route", || {
        let page = ask(operators, "GET", "/metrics", "");
        page.contains("bayplank_relay") && page.matches("# EOF").count() == 1
    });
}

#[test]
fn invalid_routes_are_reported_by_object_and_field() {
    let sample = cli::demo_objects();
    let cases = [
        (json!({"pathPrefix": "jobs/"}), "spec.pathPrefix"),
        (json!({"host": "desk.example:80"}), "spec.host"),
        (json!({"attempts": 0}), "spec: timeoutMs"),
        (json!({"priority": 10}), "spec.priority"),
        (json!({"targets": []}), "spec.targets"),
        (
            json!({"targets": [{"selector": {"matchLabels": {"service": "nobody"}}}]}),
            "selects 0 services",
        ),
        (
            json!({"pathPrefix": "/stock/"}),
            "is also the prefix of PassRoute/frame-stock",
        ),
        (json!({"kind": "sometimes"}), "unknown variant `sometimes`"),
        (json!({"hosts": "x"}), "unknown field `hosts`"),
    ];
    for (change, expected) in cases {
        let mut spec = desk_route("/jobs/", "once");
        for (field, value) in change.as_object().expect("fields") {
            spec[field] = value.clone();
        }
        let mut objects = sample.clone();
        objects.push(route("jobs", spec));
        let faults = ObjectSet::read(&objects).expect_err(expected);
        let text: Vec<String> = faults.iter().map(ToString::to_string).collect();
        let text = text.join("\n");
        assert!(
            text.contains("PassRoute/jobs") && text.contains(expected),
            "{text}"
        );
    }
}

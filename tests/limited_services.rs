//! Servers of plain services that name how much they take, on the product's own interface, over real sockets.

mod common;

use {
    bayplank::standin::{caller::Caller, fleet::Fleet},
    common::{KEY, host, wait},
    http::Method,
    std::time::{Duration, Instant},
    tokio::runtime::Runtime,
};

/// What a server allows in four seconds.
fn allowed(limit: f64) -> u64 {
    (1.5 * limit * 4.0 + 5.0) as u64
}

struct Counted {
    good: u64,
    refused: u64,
}

// Calls for a time, one after the other at each host in turn.
fn call_for(fleet: &Fleet, runtime: &Runtime, time: Duration) -> Counted {
    let caller = Caller::new(KEY);
    let mut counted = Counted {
        good: 0,
        refused: 0,
    };
    let began = Instant::now();
    for number in 0.. {
        if began.elapsed() >= time {
            break;
        }
        let calling = caller.plain(
            host(fleet, number % fleet.hosts.len()),
            "/orderdesk/look",
            None,
            "{}",
        );
        let reply = runtime.block_on(calling).expect("a reply");
        match reply.status {
            200 => counted.good += 1,
            503 => counted.refused += 1,
            other => panic!("status {other}"),
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    counted
}

#[test]
fn a_server_that_names_a_limit_gets_no_more_until_it_names_none() {
    let fleet = Fleet::start(common::plan(3)).expect("the fleet starts");
    fleet.wait_ready().expect("all are known");
    let runtime = Runtime::new().expect("a runtime");
    let servers: Vec<_> = fleet.services.values().cloned().collect();
    for server in &servers {
        server.set_limit("6");
    }
    // Each host has its first answer, and its share from then on.
    call_for(&fleet, &runtime, Duration::from_secs(3));
    let counted = call_for(&fleet, &runtime, Duration::from_secs(4));
    let most = allowed(6.0) * servers.len() as u64;
    assert!(
        counted.good <= most,
        "{} in four seconds, not {most}",
        counted.good
    );
    assert!(counted.good > 0 && counted.refused > 0);
    for server in &servers {
        server.set_limit("");
    }
    wait(&fleet, "full work again", || {
        call_for(&fleet, &runtime, Duration::from_millis(300)).refused == 0
    });
}

// What callers would see: a call that may have run at one server, whose answer was lost, is refused as not run since the next
// server is rate-limited and has no permit for it; they send it again, and it runs twice.
#[test]
fn a_call_that_may_have_run_is_not_refused_as_one_that_waits_for_a_turn() {
    let mut fleet = Fleet::start(common::plan(1)).expect("the fleet starts");
    fleet
        .start_service("orderdesk-more", "zone-a")
        .expect("one more server");
    fleet.wait_ready().expect("all are known");
    let runtime = Runtime::new().expect("a runtime");
    let caller = Caller::new(KEY);
    let servers: Vec<_> = fleet.services.values().cloned().collect();
    assert!(
        servers.len() >= 2,
        "one to lose answers, one to be rate-limited"
    );
    let look = |number: u32| {
        let path = format!("/orderdesk/look/{number}");
        let calling = caller.call(host(&fleet, 0), Method::GET, &path, &[], "");
        runtime.block_on(calling).expect("a reply")
    };
    // The second is known to be rate-limited, and its permits are used up.
    servers[1].set_limit("0");
    for number in 0..20 {
        look(number);
    }
    servers[0].set_lose_answers(true);
    for number in 20..22 {
        let reply = look(number);
        let is_promise = matches!(reply.status, 408 | 421 | 429 | 503);
        assert!(
            !is_promise || reply.verdict() == "not-run",
            "{} {}",
            reply.status,
            reply.verdict()
        );
    }
}

fn two_servers() -> (Fleet, Runtime) {
    let mut fleet = Fleet::start(common::plan(1)).expect("the fleet starts");
    fleet
        .start_service("orderdesk-more", "zone-a")
        .expect("one more server");
    fleet.wait_ready().expect("all are known");
    (fleet, Runtime::new().expect("a runtime"))
}

#[test]
fn a_service_server_whose_answers_say_leaving_gets_no_more_calls() {
    let (fleet, runtime) = two_servers();
    let servers: Vec<_> = fleet.services.values().cloned().collect();
    servers[0].set_leaving(true);
    call_for(&fleet, &runtime, Duration::from_millis(500));
    let before = servers[0].arrivals();
    let counted = call_for(&fleet, &runtime, Duration::from_millis(1_500));
    assert_eq!(servers[0].arrivals(), before);
    assert_eq!(counted.refused, 0, "the other one serves");
}

#[test]
fn a_service_server_that_asks_for_a_backoff_gets_it_and_work_again_after_it() {
    let (fleet, runtime) = two_servers();
    let servers: Vec<_> = fleet.services.values().cloned().collect();
    servers[0].set_backoff("1.5");
    let counted = call_for(&fleet, &runtime, Duration::from_millis(1_000));
    let arrived = servers[0].arrivals();
    assert!(arrived <= 2, "{arrived} calls during the backoff");
    assert_eq!(counted.refused, 0, "the other one serves");
    servers[0].set_backoff("");
    servers[1].set_leaving(true);
    wait(&fleet, "work again", || {
        call_for(&fleet, &runtime, Duration::from_millis(50));
        servers[0].arrivals() > arrived
    });
}

#[test]
fn a_service_whose_servers_all_ask_for_a_backoff_tells_callers_when_it_is_over() {
    let (fleet, runtime) = two_servers();
    for server in fleet.services.values() {
        server.set_backoff("3");
    }
    call_for(&fleet, &runtime, Duration::from_millis(200));
    let caller = Caller::new(KEY);
    let calling = caller.plain(host(&fleet, 0), "/orderdesk/look", None, "{}");
    let reply = runtime.block_on(calling).expect("a reply");
    assert_eq!((reply.status, reply.verdict()), (503, "not-run"));
    let wait: f64 = reply.header("retry-after").parse().expect("seconds");
    assert!((2.0..=4.0).contains(&wait), "{wait}");
}

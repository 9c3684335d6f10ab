//! Servers of plain services that name how much they take, on the product's own interface, over real sockets.

mod common;

use {
    bayplank::standin::{caller::Caller, fleet::Fleet},
    common::{KEY, host, wait},
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
        let calling = caller.plain(host(fleet, number % 3), "/orderdesk/look", None, "{}");
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

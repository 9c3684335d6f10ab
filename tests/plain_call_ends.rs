//! Plain calls on the product's own interface whose server ends its response with its connection.

mod common;

use {
    bayplank::standin::{caller::Caller, fleet::Fleet},
    common::{KEY, PATIENCE, host},
    serde_json::Value,
    std::{
        io::{Read, Write},
        net::{SocketAddr, TcpListener},
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        thread,
        time::Instant,
    },
    tokio::runtime::Runtime,
};

const HEAD: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n";
const WHOLE: &str = "id: 1\ndata: x\n\n";

/// Calls of each test; half of them go to each of two servers.
const CALLS: usize = 12;

// A server that answers each call with these bytes and closes the connection; counts the calls.
fn start_server(body: &'static str) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("its address");
    let calls = Arc::new(AtomicUsize::new(0));
    let counted = calls.clone();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("a connection");
            let mut request = [0; 4096];
            if stream.read(&mut request).is_ok_and(|read| read > 0) {
                counted.fetch_add(1, Ordering::Relaxed);
                // The host may be gone at the end of the test.
                let _ = stream.write_all(format!("{HEAD}{body}").as_bytes());
            }
        }
    });
    (address, calls)
}

// The bodies of successful calls to a fleet with one more server, which answers with these bytes.
fn successful_bodies(body: &'static str) -> Vec<Value> {
    let fleet = Fleet::start(common::plan(1)).expect("the fleet starts");
    let (address, calls) = start_server(body);
    let labels = [("service", "orderdesk"), ("zone", "zone-a")];
    fleet
        .list_server("orderdesk-closing", "zone-a", address, &labels, false)
        .expect("it is listed");
    fleet.wait_ready().expect("all are known");
    let (caller, runtime) = (Caller::new(KEY), Runtime::new().expect("a runtime"));
    let mut bodies = Vec::new();
    let mut call = || {
        let calling = caller.plain(host(&fleet, 0), "/orderdesk/look", None, "{}");
        let reply = runtime.block_on(calling).expect("a reply");
        if reply.status == 200 {
            bodies.push(reply.body);
        }
    };
    let began = Instant::now();
    while calls.load(Ordering::Relaxed) == 0 {
        assert!(began.elapsed() < PATIENCE, "no call reaches the server");
        call();
    }
    (0..CALLS).for_each(|_| call());
    bodies
}

#[test]
fn a_plain_call_whose_event_stream_ends_inside_an_event_does_not_succeed() {
    for cut in ["id: 1\nda", "id: 1\ndata: x\n", ""] {
        let bodies = successful_bodies(cut);
        assert!(!bodies.contains(&Value::from(cut)), "{cut:?}: {bodies:?}");
    }
}

#[test]
fn a_plain_call_whose_event_stream_is_whole_succeeds() {
    assert!(successful_bodies(WHOLE).contains(&Value::from(WHOLE)));
}

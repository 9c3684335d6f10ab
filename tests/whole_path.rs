//! The whole path over real sockets: callers, entry hosts, engines, services, the platform.

mod common;

use {
    bayplank::standin::caller::{Caller, StreamFailure, StreamedEvent},
    common::{KEY, MODEL, expected, host, prefills, runs, start, wait},
    http::Method,
};

#[test]
fn a_completion_comes_whole_and_streamed() {
    let (fleet, runtime) = start(1);
    let caller = Caller::new(KEY);
    let reply = runtime
        .block_on(caller.complete(host(&fleet, 0), MODEL, "a short prompt", None))
        .expect("an answer");
    assert_eq!(reply.status, 200);
    assert_eq!(reply.text(), expected("a short prompt"));
    let streamed = runtime.block_on(async {
        let mut stream = caller
            .stream(host(&fleet, 0), MODEL, "another prompt", None, None)
            .await
            .expect("a stream");
        stream.finish().await
    });
    assert_eq!(streamed.0, expected("another prompt"));
    assert_eq!(streamed.2, StreamedEvent::Done);
    wait(&fleet, "memory to be free", || fleet.held() == 0);
}

#[test]
fn a_call_that_may_not_be_repeated_runs_once_through_several_hosts() {
    let (fleet, runtime) = start(3);
    let caller = Caller::new(KEY);
    let path = "/orderdesk/unlock";
    let asked = runtime
        .block_on(caller.plain(host(&fleet, 0), path, Some("made-up"), "7731"))
        .expect("an answer");
    assert_eq!((asked.status, asked.verdict()), (428, "not-run"));
    assert_eq!(runs(&fleet), 0);
    let ticket = asked.ticket().to_owned();
    for index in [0, 1, 2, 0] {
        let reply = runtime
            .block_on(caller.plain(host(&fleet, index), path, Some(&ticket), "7731"))
            .expect("an answer");
        assert_eq!(reply.status, 200, "{}", reply.body);
        assert_eq!(reply.body["received"], "7731");
    }
    assert_eq!(runs(&fleet), 1);
    let other = runtime
        .block_on(caller.plain(host(&fleet, 1), path, Some(&ticket), "9999"))
        .expect("an answer");
    assert_eq!((other.status, other.verdict()), (422, "not-run"));
    assert_eq!(runs(&fleet), 1);
}

#[test]
fn a_ticket_whose_host_is_gone_is_never_run_by_another() {
    let (mut fleet, runtime) = start(2);
    let caller = Caller::new(KEY);
    let path = "/orderdesk/unlock";
    let first = host(&fleet, 0);
    let asked = runtime
        .block_on(caller.plain(first, path, Some("made-up"), "7731"))
        .expect("an answer");
    let ticket = asked.ticket().to_owned();
    let name = fleet.hosts.keys().next().expect("a host").clone();
    fleet.kill_host(&name);
    let reply = runtime
        .block_on(caller.plain(host(&fleet, 0), path, Some(&ticket), "7731"))
        .expect("an answer");
    assert_eq!((reply.status, reply.verdict()), (410, "may-have-run"));
    assert_eq!(runs(&fleet), 0);
}

#[test]
fn memory_is_free_after_callers_leave() {
    let (fleet, runtime) = start(1);
    let caller = Caller::new(KEY);
    runtime.block_on(async {
        let mut stream = caller
            .stream(host(&fleet, 0), MODEL, "left in the middle", None, None)
            .await
            .expect("a stream");
        assert!(matches!(stream.next().await, StreamedEvent::Token { .. }));
    });
    wait(&fleet, "memory to be free", || fleet.held() == 0);
    let answers: u64 = fleet
        .engines
        .values()
        .map(|engine| engine.core.counts().answers)
        .sum();
    assert_eq!(
        answers, 0,
        "the answer was cancelled, not generated to its end"
    );
}

#[test]
fn a_killed_decode_engine_costs_no_token() {
    let (mut fleet, runtime) = start(1);
    let caller = Caller::new(KEY);
    let prompt = "an answer that outlives its engine";
    let mut stream = runtime
        .block_on(caller.stream(host(&fleet, 0), MODEL, prompt, None, None))
        .expect("a stream");
    let StreamedEvent::Token { id, text } = runtime.block_on(stream.next()) else {
        panic!("a token");
    };
    let victim = id.split('~').next().expect("an engine").to_owned();
    fleet.kill_engine(&victim);
    let (rest, last, end) = runtime.block_on(stream.finish());
    assert_eq!(end, StreamedEvent::Done);
    assert_eq!(text + &rest, expected(prompt));
    assert!(!last.starts_with(&victim));
}

#[test]
fn bad_input_is_refused_and_reaches_no_engine() {
    let (fleet, runtime) = start(1);
    let caller = Caller::new(KEY);
    let address = host(&fleet, 0);
    let call = |method: Method, path: &'static str, body: String| {
        let reply = runtime.block_on(caller.call(address, method, path, &[], body));
        let reply = reply.expect("an answer");
        assert!(reply.body["error"]["message"].is_string(), "{}", reply.body);
        (reply.status, reply.verdict().to_owned())
    };
    let completions = "/v1/completions";
    let refused = |status: u16| (status, "not-run".to_owned());
    assert_eq!(call(Method::POST, completions, "{".into()), refused(400));
    let unknown = r#"{"model":"none","prompt":"x"}"#.into();
    assert_eq!(call(Method::POST, completions, unknown), refused(404));
    assert_eq!(call(Method::GET, completions, String::new()), refused(405));
    assert_eq!(call(Method::GET, "/nowhere", String::new()), refused(404));
    let long = format!(
        r#"{{"model":"{MODEL}","prompt":"{}"}}"#,
        "x ".repeat(200_000)
    );
    assert_eq!(call(Method::POST, completions, long), refused(413));
    let huge = "x".repeat(3 << 20);
    assert_eq!(call(Method::POST, completions, huge), refused(413));
    let stranger = Caller::new("no such key");
    let reply = runtime
        .block_on(stranger.complete(address, MODEL, "x", None))
        .expect("an answer");
    assert_eq!(reply.status, 401);
    assert_eq!(prefills(&fleet), 0);
}

#[test]
fn a_planned_stop_cuts_off_nothing() {
    let (fleet, runtime) = start(1);
    let caller = Caller::new(KEY);
    let address = host(&fleet, 0);
    let prompt = "an answer that outlives the stop";
    let mut stream = runtime
        .block_on(caller.stream(address, MODEL, prompt, None, None))
        .expect("a stream");
    let running = &fleet.hosts.values().next().expect("a host").running;
    let (whole, refused) = runtime.block_on(async {
        let read = async {
            let whole = stream.finish().await;
            // The stop goes on: whoever comes now is told that nothing ran.
            let late = caller.stream(address, MODEL, "too late", None, None).await;
            (whole, late)
        };
        let (read, ()) = tokio::join!(read, running.drain());
        read
    });
    assert_eq!(whole.2, StreamedEvent::Done);
    assert_eq!(whole.0, expected(prompt));
    match refused {
        Err(StreamFailure::Refused(reply)) => {
            assert_eq!((reply.status, reply.verdict()), (503, "not-run"));
        }
        _ => panic!("a closed host refuses"),
    }
}

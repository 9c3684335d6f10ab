//! Plain requests to unreachable servers.

mod backends;

use {
    crate::backends::backend,
    bayplank::relay::{BackendFailure, BackendRegistry, PlainChoice, SendConstraints},
    faststr::FastStr,
    std::time::Duration,
};

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

#[test]
fn when_all_servers_fail_one_request_at_a_time_probes_each() {
    let mut book = BackendRegistry::default();
    let (near, far) = (backend("near", "z", None), backend("far", "y", None));
    book.set_backends(vec![near.clone(), far.clone()]);
    for id in ["near", "far"] {
        book.note_failure(id, BackendFailure::Silent, millis(0));
    }
    let choose = |book: &BackendRegistry, at| {
        book.choose_plain("one", "z", &[], SendConstraints::default(), millis(at))
    };
    let PlainChoice::Send(first) = choose(&book, 10) else {
        panic!("one request should probe the first server");
    };
    let call = book.call_started(&first.id, false, millis(10));
    let PlainChoice::Send(second) = choose(&book, 11) else {
        panic!("one request should probe the other server");
    };
    assert_ne!(first.id, second.id);
    book.call_started(&second.id, false, millis(11));
    assert_eq!(choose(&book, 12), PlainChoice::Unreachable);
    let tried = [first.id.clone()];
    let again = book.choose_plain("one", "z", &tried, SendConstraints::default(), millis(12));
    assert_eq!(
        again,
        PlainChoice::Unreachable,
        "a request that failed once must not wait for a probe"
    );
    book.note_response(&first.id, true);
    book.call_ended(&first.id, call);
    assert_eq!(choose(&book, 13), PlainChoice::Send(first));
}

#[test]
fn a_probe_that_outlasts_the_ejection_stays_the_only_one() {
    let mut book = BackendRegistry::default();
    book.set_backends(vec![backend("w-1", "z", None)]);
    book.note_failure("w-1", BackendFailure::Silent, millis(0));
    let choose = |book: &BackendRegistry, at| {
        book.choose_plain("one", "z", &[], SendConstraints::default(), millis(at))
    };
    assert!(matches!(choose(&book, 450), PlainChoice::Send(_)));
    let call = book.call_started("w-1", false, millis(450));
    // The ejection ends 500 ms after the failure.
    assert_eq!(choose(&book, 510), PlainChoice::Unreachable);
    book.call_ended("w-1", call);
    assert!(matches!(choose(&book, 520), PlainChoice::Send(_)));
}

#[test]
fn few_requests_to_unreachable_servers_are_held() {
    // 100 requests a second for two seconds; each one that is sent times out after 0.3 s without a connection.
    let mut book = BackendRegistry::default();
    book.set_backends(vec![backend("w-1", "y", None), backend("w-2", "y", None)]);
    let mut open: Vec<(FastStr, u64, u64)> = Vec::new();
    let mut held = 0;
    for at in (0..2_000).step_by(10) {
        while let Some(index) = open.iter().position(|(_, _, until)| *until <= at) {
            let (id, call, until) = open.remove(index);
            book.call_ended(&id, call);
            book.note_failure(&id, BackendFailure::Silent, millis(until));
        }
        if let PlainChoice::Send(server) =
            book.choose_plain("one", "z", &[], SendConstraints::default(), millis(at))
        {
            held += 1;
            let call = book.call_started(&server.id, false, millis(at));
            open.push((server.id, call, at + 300));
        }
    }
    // Without probing by single requests all 200 were held for 0.3 s, or for 0.6 s at two servers.
    assert!(held <= 60, "{held} of 200 were held");
}

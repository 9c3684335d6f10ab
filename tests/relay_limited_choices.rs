//! Which server a request goes to where some are rate-limited: beside failures, leaving, and engines.

mod backends;

use {
    crate::backends::backend,
    bayplank::{
        engine::EngineRole,
        relay::{
            BackendFailure, BackendInfo, BackendRegistry, LimitSaying, PermitGrant, PlainChoice,
            SendConstraints, ServerLimit,
        },
    },
    std::time::Duration,
};

const NOW: Duration = Duration::from_secs(1);

fn saying() -> LimitSaying {
    LimitSaying::told(ServerLimit::new(2.0), Duration::ZERO, NOW)
}

// It is rate-limited, and no permit is left for so long.
fn empty(book: &mut BackendRegistry, server: &BackendInfo, wait: u64) {
    book.limits.take(server.key(), saying(), NOW);
    let grant = PermitGrant {
        permits: 0,
        wait: Duration::from_millis(wait),
        saying: saying(),
    };
    book.limits.take_grant(server.key(), 0, &grant, NOW);
}

fn book_of(servers: &[BackendInfo]) -> BackendRegistry {
    let mut book = BackendRegistry::default();
    book.set_backends(servers.to_vec());
    book
}

fn choose(book: &BackendRegistry) -> PlainChoice {
    book.choose_plain("one", "z", &[], SendConstraints::default(), NOW)
}

#[test]
fn a_server_without_a_turn_gives_way_and_one_with_a_turn_comes_after_those_in_no_need() {
    let servers = [
        backend("a", "z", None),
        backend("b", "z", None),
        backend("c", "z", None),
    ];
    let mut book = book_of(&servers);
    empty(&mut book, &servers[0], 300);
    book.limits.take(servers[1].key(), saying(), NOW);
    assert_eq!(choose(&book), PlainChoice::Send(servers[2].clone()));
    // The rate-limited one is next.
    let tried = [servers[2].id.clone()];
    let next = book.choose_plain("one", "z", &tried, SendConstraints::default(), NOW);
    assert_eq!(next, PlainChoice::Send(servers[1].clone()));
}

#[test]
fn the_only_one_left_without_a_turn_is_waited_for_by_nobody() {
    let servers = [backend("a", "z", None), backend("b", "z", None)];
    let mut book = book_of(&servers);
    empty(&mut book, &servers[0], 700);
    book.set_leaving("b");
    let PlainChoice::NoPermit(wait) = choose(&book) else {
        panic!("{:?}", choose(&book));
    };
    assert_eq!(
        (wait.server, wait.time),
        (servers[0].key(), Duration::from_millis(700))
    );
}

#[test]
fn a_rate_limited_server_that_leaves_gets_nothing() {
    let servers = [backend("a", "z", None)];
    let mut book = book_of(&servers);
    book.limits.take(servers[0].key(), saying(), NOW);
    book.set_leaving("a");
    assert_eq!(choose(&book), PlainChoice::NoneLeft);
}

#[test]
fn a_rate_limited_server_that_fails_is_passed_over_all_the_same() {
    let servers = [backend("a", "z", None), backend("b", "z", None)];
    let mut book = book_of(&servers);
    book.limits.take(servers[0].key(), saying(), NOW);
    book.note_failure("a", BackendFailure::Silent, NOW);
    assert_eq!(choose(&book), PlainChoice::Send(servers[1].clone()));
}

#[test]
fn a_run_that_begins_anew_under_its_name_has_no_limit() {
    let server = BackendInfo {
        born: 5,
        ..backend("a", "z", None)
    };
    let mut book = book_of(std::slice::from_ref(&server));
    empty(&mut book, &server, 300);
    let next = BackendInfo { born: 6, ..server };
    book.set_backends(vec![next.clone()]);
    assert_eq!(choose(&book), PlainChoice::Send(next));
}

#[test]
fn streams_are_refused_for_want_of_turns_only_where_no_decode_engine_can_take_them() {
    let decodes = ["a", "b"].map(|id| backend(id, "z", Some(EngineRole::Decode)));
    let prefill = backend("p", "z", Some(EngineRole::Prefill));
    let mut book = book_of(&[decodes[0].clone(), decodes[1].clone(), prefill.clone()]);
    empty(&mut book, &decodes[0], 300);
    assert_eq!(book.decode_wait("one", 0, NOW), None);
    empty(&mut book, &decodes[1], 200);
    let wait = book.decode_wait("one", 0, NOW).expect("none has a permit");
    assert_eq!(
        (wait.server, wait.time),
        (decodes[1].key(), Duration::from_millis(200))
    );
    assert_eq!(book.without_permit("one", 0, NOW).len(), 2);
    // A prefill engine without a permit is none that a stream could not do without.
    empty(&mut book, &prefill, 100);
    let best = book.best_prefill("one", "z", &book.without_permit("one", 0, NOW), NOW);
    assert!(best.is_none());
}

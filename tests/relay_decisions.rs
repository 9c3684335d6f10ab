//! Unit tests of the relay's state machines: routes, cluster state, choice of servers, events, queue.

mod backends;

use {
    crate::backends::backend,
    bayplank::{
        engine::EngineRole,
        operation::{Refusal, RefusalCode, RunVerdict},
        relay::{
            self, AllowedServers, BackendFailure, BackendRegistry, CallerLimits, ClusterNews,
            ClusterState, EventScanner, EventSplitter, HostEntry, QueueKey, RelayConfig,
            RelayRoute, RelayService, RequestKind, RouteTable, ServiceShare, StoreChange,
            StoreItem, StoreKind, StoreValue, WaitQueue,
        },
        store::StorePosition,
    },
    bolero::check,
    faststr::FastStr,
    std::{collections::BTreeMap, rc::Rc, time::Duration},
};

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn route(name: &'static str, prefix: &'static str, shares: &[(&'static str, u32)]) -> RelayRoute {
    RelayRoute {
        is_public: false,
        allowed_regions: None,
        name: name.into(),
        host: "shop.example".into(),
        path_prefix: prefix.into(),
        kind: RequestKind::Once,
        time_limit: millis(1_000),
        latency_target: millis(100),
        event_gap_target: None,
        attempts: 1,
        priority: 1,
        shares: shares
            .iter()
            .map(|(service, weight)| ServiceShare {
                service: (*service).into(),
                weight: *weight,
            })
            .collect(),
    }
}

fn config(version: u64) -> RelayConfig {
    RelayConfig {
        accounts: None,
        version,
        routes: [
            route("short", "/a/", &[("one", 1)]),
            route("long", "/a/b/", &[("one", 3), ("two", 1), ("none", 0)]),
        ]
        .map(Rc::new)
        .to_vec(),
        services: ["one", "two"]
            .map(|name| RelayService {
                name: name.into(),
                connection_limit: Some(10),
                cold_rate: None,
                engine: None,
            })
            .to_vec(),
        limits: CallerLimits::default(),
    }
}

#[test]
fn the_longest_prefix_of_the_named_host_is_found() {
    let table = RouteTable::new(config(1));
    let find = |host: &str, path: &str| table.find(host, path).map(|route| route.name.clone());
    assert_eq!(find("shop.example", "/a/b/c").unwrap(), "long");
    assert_eq!(find("SHOP.example:8080", "/a/bc").unwrap(), "short");
    assert_eq!(find("shop.example", "/a"), None);
    assert_eq!(find("other.example", "/a/b/"), None);
}

#[test]
fn a_route_picks_its_services_by_weight() {
    let table = RouteTable::new(config(1));
    let route = table.find("shop.example", "/a/b/").unwrap();
    let draws = (0..4_000).map(|_| table.draw_service(&route).unwrap().name.clone());
    let ones = draws.filter(|name| name == "one").count();
    assert!(
        (2_700..3_300).contains(&ones),
        "{ones} of 4000 with a weight of 3 in 4"
    );
}

#[test]
fn configuration_version_and_list_position_never_decrease() {
    check!()
        .with_type::<Vec<(u8, u8, u8, bool)>>()
        .for_each(|steps| {
            let mut cluster = ClusterState::default();
            let mut now = Duration::ZERO;
            for (version, era, revision, is_list) in steps {
                now += millis(10);
                let position = StorePosition::new(u32::from(era % 4), u64::from(*revision));
                let before = (cluster.config_version(), cluster.backends_position());
                cluster.update_config(config(u64::from(*version)));
                match is_list {
                    true => {
                        cluster.set_backends(Vec::new(), position, now);
                    }
                    false => cluster.change_backends(Vec::new(), position, now),
                }
                let after = (cluster.config_version(), cluster.backends_position());
                assert!(after.0 >= before.0 && after.1 >= before.1);
            }
        });
}

fn at(revision: u64) -> StorePosition {
    StorePosition::new(1, revision)
}

fn listed(id: &str, revision: u64) -> StoreChange {
    StoreChange::Set(StoreItem {
        name: FastStr::new(id),
        position: at(revision),
        value: StoreValue::Backend(backend(id, "z", None)),
    })
}

// A cluster whose only server was listed and confirmed at time zero and is removed by the next read, at `now`.
fn removed_at(now: u64) -> ClusterState {
    let mut cluster = ClusterState::new(millis(1_200));
    cluster.change_backends(vec![listed("w-1", 2)], at(2), millis(0));
    cluster.confirm(StoreKind::Backends, millis(0));
    let gone = vec![StoreChange::Removed("w-1".into())];
    cluster.change_backends(gone, at(3), millis(now));
    cluster
}

#[test]
fn an_entry_removed_while_the_store_is_reachable_is_not_used_again() {
    assert!(removed_at(10).usable().is_empty());
    // The store was unreachable for less time than an entry takes to expire, so the server left by itself. In a
    // randomized test run, a host that had been cut off from its store kept using such a server for 2.005 s.
    assert!(removed_at(1_400).usable().is_empty());
    assert!(removed_at(2_300).usable().is_empty());
}

#[test]
fn an_entry_that_expired_in_a_store_outage_is_used_a_while_longer() {
    let mut cluster = removed_at(2_500);
    assert_eq!(cluster.usable().len(), 1);
    assert!(cluster.expire(millis(4_500)));
    assert!(cluster.usable().is_empty());
}

#[test]
fn an_entry_removed_soon_after_an_outage_may_have_expired_in_it() {
    let mut cluster = ClusterState::new(millis(1_200));
    cluster.change_backends(vec![listed("w-1", 2)], at(2), millis(0));
    cluster.confirm(StoreKind::Backends, millis(0));
    cluster.change_backends(Vec::new(), at(2), millis(4_000));
    cluster.confirm(StoreKind::Backends, millis(4_000));
    let gone = vec![StoreChange::Removed("w-1".into())];
    cluster.change_backends(gone.clone(), at(3), millis(4_600));
    assert_eq!(cluster.usable().len(), 1);
    // A host that learned of the outage from another one behaves the same, until the outage is long ago.
    for (ended, kept) in [(4_000, 1), (1_000, 0)] {
        let mut other = ClusterState::new(millis(1_200));
        other.change_backends(vec![listed("w-1", 2)], at(2), millis(4_300));
        other.confirm(StoreKind::Backends, millis(4_300));
        other.record_outage(millis(ended));
        other.change_backends(gone.clone(), at(3), millis(4_600));
        assert_eq!(other.usable().len(), kept);
    }
}

// How many servers are used after the entry of the only one went while the process stood still until `ended`; the removal is
// read at `now`.
fn used_after_stall(ended: u64, now: u64) -> usize {
    let mut cluster = ClusterState::new(millis(1_200));
    cluster.change_backends(vec![listed("w-1", 2)], at(2), millis(0));
    cluster.confirm(StoreKind::Backends, millis(0));
    cluster.record_stall(millis(ended));
    let gone = vec![StoreChange::Removed("w-1".into())];
    cluster.change_backends(gone, at(3), millis(now));
    cluster.usable().len()
}

#[test]
fn the_time_in_which_a_process_stood_still_is_no_store_outage() {
    assert_eq!(used_after_stall(3_000, 3_020), 0);
    assert_eq!(used_after_stall(3_000, 5_300), 0);
    assert_eq!(used_after_stall(60_000, 60_020), 0);
    // It tried to read the store for two heartbeats after the stall.
    assert_eq!(used_after_stall(3_000, 5_500), 1);
    assert_eq!(used_after_stall(100, 2_600), 1);
}

fn relay_host(name: &str) -> HostEntry {
    HostEntry {
        name: FastStr::new(name),
        zone: "z".into(),
        peers: "127.0.0.1:9".parse().expect("an address"),
        link_mbps: 0,
        carrier_port: 0,
        judged: Vec::new(),
        software: Vec::new(),
    }
}

// How many servers are used after the entry of the only one went while nothing new was read for 3.5 s; another host was heard
// from at these times.
fn used_after_silence(contacts: &[u64]) -> usize {
    let mut cluster = ClusterState::new(millis(1_200));
    let hosts = ["front-1", "front-2"].map(relay_host);
    cluster.set_hosts(hosts.into(), at(1), millis(0));
    cluster.change_backends(vec![listed("w-1", 2)], at(2), millis(0));
    cluster.confirm(StoreKind::Backends, millis(0));
    for contact in contacts {
        cluster.record_contact(millis(*contact));
    }
    let gone = vec![StoreChange::Removed("w-1".into())];
    cluster.change_backends(gone, at(3), millis(3_500));
    cluster.usable().len()
}

#[test]
fn the_time_in_which_a_host_heard_from_no_other_is_no_store_outage() {
    assert_eq!(used_after_silence(&[]), 0);
    assert_eq!(used_after_silence(&[0, 400, 3_300, 3_490]), 0);
    // The others had nothing newer either.
    assert_eq!(used_after_silence(&[0, 700, 1_400, 2_100, 2_800, 3_400]), 1);
}

#[test]
fn an_outage_is_as_long_ago_as_its_teller_knew_however_late_the_answer_is_read() {
    let news = ClusterNews {
        outage: Some(millis(1_000)),
        held: millis(200),
        ..ClusterNews::default()
    };
    assert_eq!(news.outage_ended(millis(8_000)), Some(millis(7_200)));
    assert_eq!(ClusterNews::default().outage_ended(millis(8_000)), None);
}

#[test]
fn an_older_list_does_not_restore_a_removed_server() {
    let mut cluster = ClusterState::default();
    cluster.set_backends(vec![backend("w-1", "z", None)], at(5), millis(1));
    cluster.set_backends(Vec::new(), at(9), millis(2));
    assert!(!cluster.set_backends(vec![backend("w-1", "z", None)], at(5), millis(3)));
    assert!(cluster.usable().is_empty());
}

#[test]
fn a_server_that_fails_twice_is_ejected_for_a_while_and_then_tried_again() {
    let mut book = BackendRegistry::default();
    book.set_backends(vec![backend("w-1", "z", None), backend("w-2", "z", None)]);
    assert!(!book.note_failure("w-1", BackendFailure::Broken, millis(0)));
    assert!(book.note_failure("w-1", BackendFailure::Broken, millis(1)));
    let first = |book: &BackendRegistry, now| book.rank_plain("one", "z", &[], now)[0].id.clone();
    assert_eq!(first(&book, millis(100)), "w-2");
    assert!(!book.view("w-1").unwrap().is_ejected(millis(600)));
}

#[test]
fn after_its_ejection_a_server_is_probed_by_one_request_at_a_time() {
    let mut book = BackendRegistry::default();
    book.set_backends(vec![backend("w-1", "z", None), backend("w-2", "y", None)]);
    let first = |book: &BackendRegistry, now| book.rank_plain("one", "z", &[], now)[0].id.clone();
    let is_probing = |book: &BackendRegistry| book.view("w-1").unwrap().is_probing();
    let old = book.call_started("w-1", false, millis(0));
    book.note_failure("w-1", BackendFailure::Silent, millis(1));
    assert!(!is_probing(&book), "an earlier request is no probe");
    book.call_ended("w-1", old);
    assert_eq!(first(&book, millis(100)), "w-2");
    assert_eq!(first(&book, millis(600)), "w-1");
    let probe = book.call_started("w-1", false, millis(600));
    assert!(is_probing(&book));
    assert_eq!(first(&book, millis(601)), "w-2");
    book.note_response("w-1", true);
    book.call_ended("w-1", probe);
    assert!(!is_probing(&book));
    assert_eq!(first(&book, millis(620)), "w-1");
}

#[test]
fn a_server_is_ejected_after_a_single_timeout() {
    let mut book = BackendRegistry::default();
    book.set_backends(vec![backend("w-1", "z", None)]);
    assert!(book.note_failure("w-1", BackendFailure::Silent, millis(0)));
}

#[test]
fn plain_requests_prefer_the_own_zone_until_it_is_busier() {
    let mut book = BackendRegistry::default();
    book.set_backends(vec![backend("near", "z", None), backend("far", "y", None)]);
    let first = |book: &BackendRegistry| book.rank_plain("one", "z", &[], millis(1))[0].id.clone();
    assert_eq!(first(&book), "near");
    let calls: Vec<u64> = (0..3)
        .map(|_| book.call_started("near", false, millis(1)))
        .collect();
    assert_eq!(first(&book), "far");
    calls
        .into_iter()
        .for_each(|call| book.call_ended("near", call));
    assert_eq!(first(&book), "near");
}

#[test]
fn a_server_with_a_long_unanswered_request_is_avoided() {
    let mut book = BackendRegistry::default();
    book.set_backends(vec![backend("near", "z", None), backend("far", "y", None)]);
    book.call_started("near", false, millis(0));
    let first = |now| book.rank_plain("one", "z", &[], now)[0].id.clone();
    assert_eq!(first(millis(100)), "near");
    assert_eq!(first(millis(300)), "far");
}

#[test]
fn an_engine_without_memory_is_not_asked_for_as_much_right_away() {
    let mut book = BackendRegistry::default();
    book.set_backends(vec![backend("d-1", "z", Some(EngineRole::Decode))]);
    book.note_out_of_memory("d-1", 3_000, millis(0));
    let count = |tokens, now| book.rank_decodes("one", "z", tokens, None, now).len();
    assert_eq!(count(3_000, millis(10)), 0);
    assert_eq!(count(1_000, millis(10)), 1);
    assert_eq!(count(3_000, millis(100)), 1);
}

#[test]
fn memory_counts_return_to_zero() {
    check!().with_type::<Vec<(bool, u16)>>().for_each(|steps| {
        let mut book = BackendRegistry::default();
        book.set_backends(vec![backend("d-1", "z", Some(EngineRole::Decode))]);
        let mut open = Vec::new();
        for (takes, tokens) in steps {
            if *takes {
                book.memory_reserved("d-1", u64::from(*tokens));
                open.push(u64::from(*tokens));
            } else if let Some(tokens) = open.pop() {
                book.memory_released("d-1", tokens);
            }
            let counted = book.view("d-1").unwrap().memory_tokens();
            assert_eq!(counted, open.iter().sum::<u64>());
        }
    });
}

#[test]
fn an_engine_that_declines_is_skipped_for_a_while() {
    let mut book = BackendRegistry::default();
    book.set_backends(vec![backend("p-1", "z", Some(EngineRole::Prefill))]);
    book.note_declined("p-1", millis(0));
    assert!(book.best_prefill("one", "z", &[], millis(1_000)).is_none());
    assert!(book.best_prefill("one", "z", &[], millis(2_000)).is_some());
}

#[test]
fn an_idle_prefill_engine_of_another_zone_is_preferred_to_a_busy_one() {
    let mut book = BackendRegistry::default();
    let role = Some(EngineRole::Prefill);
    book.set_backends(vec![backend("near", "z", role), backend("far", "y", role)]);
    let best = |book: &BackendRegistry, now| book.best_prefill("one", "z", &[], now).unwrap().0.id;
    assert_eq!(best(&book, millis(0)), "near");
    book.prefill_observed("near", 2_000, millis(700), millis(1_000));
    assert_eq!(best(&book, millis(1_010)), "far");
    assert_eq!(best(&book, millis(4_000)), "near");
}

#[test]
fn events_are_emitted_whole_wherever_the_input_is_split() {
    check!().with_type::<Vec<u8>>().for_each(|cuts| {
        let text: String = (1..=9)
            .map(|id| format!("id: {id}\ndata: piece {id}\n\n"))
            .collect();
        let mut scanner = EventScanner::default();
        let (mut splitter, mut given, mut rest) =
            (EventSplitter::default(), Vec::new(), text.as_bytes());
        for cut in cuts {
            let (now, later) = rest.split_at(rest.len().min(usize::from(*cut)));
            rest = later;
            if let Some(events) = splitter.push(now, scanner.push(now)) {
                assert!(events.ends_with(b"\n\n"));
                given.extend_from_slice(&events);
                let last = String::from_utf8_lossy(&given).matches("data:").count();
                assert_eq!(splitter.last_id(), Some(last.to_string().as_str()));
            }
        }
        assert!(text.as_bytes().starts_with(&given));
        let read = text.len() - rest.len();
        let whole = text[..read].rfind("\n\n").map_or(0, |at| at + 2);
        assert_eq!(given.len(), whole);
        assert_eq!(splitter.is_empty(), read == whole);
    });
}

#[test]
fn only_requests_that_did_not_run_get_a_status_that_says_so() {
    let codes = [
        RefusalCode::InvalidRequest,
        RefusalCode::TooLarge,
        RefusalCode::HeadersTooLarge,
        RefusalCode::UnknownRoute,
        RefusalCode::SlowCaller,
        RefusalCode::Overloaded,
        RefusalCode::NoBackend,
        RefusalCode::NotConfigured,
        RefusalCode::Stopping,
        RefusalCode::BackendLost,
        RefusalCode::DeadlinePassed,
    ];
    for code in codes {
        for verdict in RunVerdict::ALL {
            let status = relay::refusal_status(&Refusal::new(verdict, code, "")).as_u16();
            let promises = matches!(status, 408 | 421 | 429 | 503);
            assert!(
                !promises || verdict == RunVerdict::NotRun,
                "{code:?} {verdict}"
            );
        }
    }
}

#[test]
fn the_queue_serves_requests_that_can_be_in_time_first_then_by_priority() {
    let key = |late, priority, due, ticket| QueueKey {
        late,
        priority,
        rank: millis(due),
        ticket,
    };
    let servers = AllowedServers::default();
    let mut queue = WaitQueue::default();
    let (first, second, late) = (
        key(false, 0, 90, 1),
        key(false, 1, 10, 2),
        key(true, 0, 1, 3),
    );
    for one in [late, second, first] {
        queue.insert(&servers, None, one);
    }
    assert_eq!(
        [first, second, late].map(|one| queue.ahead(&servers, &one)),
        [0, 1, 2]
    );
    queue.insert(&servers, Some(first), key(true, 0, 90, 1));
    assert_eq!(queue.ahead(&servers, &second), 0);
    queue.remove(&servers, &second);
    assert_eq!(queue.len(), 2);
}

#[test]
fn queued_requests_ask_for_memory_together_until_one_is_refused() {
    let key = |ticket| QueueKey {
        late: false,
        priority: 0,
        rank: millis(ticket),
        ticket,
    };
    let servers = AllowedServers::default();
    let mut queue = WaitQueue::default();
    (1..=40).for_each(|ticket| queue.insert(&servers, None, key(ticket)));
    let asking = |queue: &WaitQueue, queued: std::ops::RangeInclusive<u64>| {
        let tickets = queued.filter(|ticket| queue.may_ask(&servers, &key(*ticket)));
        tickets.collect::<Vec<u64>>()
    };
    assert_eq!(asking(&queue, 1..=40), (1..=16).collect::<Vec<u64>>());
    queue.note_refused(&servers, &key(3));
    assert_eq!(asking(&queue, 1..=40), [1, 2, 3]);
    // It stays refused under another key.
    queue.insert(&servers, Some(key(3)), key(41));
    (1..=2).for_each(|ticket| queue.remove(&servers, &key(ticket)));
    assert_eq!(asking(&queue, 4..=41), (4..=19).collect::<Vec<u64>>());
    (2..=40).for_each(|ticket| queue.remove(&servers, &key(ticket)));
    queue.insert(&servers, None, key(42));
    assert!(queue.may_ask(&servers, &key(41)));
    assert!(!queue.may_ask(&servers, &key(42)));
}

#[test]
fn memory_that_an_engine_is_asked_for_counts_as_used_there() {
    let mut book = BackendRegistry::default();
    let decode = |id: &str| backend(id, "a", Some(EngineRole::Decode));
    book.set_backends(vec![decode("e-1"), decode("e-2")]);
    let now = Duration::from_secs(1);
    let first = |book: &BackendRegistry| {
        let ranked = book.rank_decodes("one", "a", 1_000, Some(100_000), now);
        ranked[0].id.to_string()
    };
    book.memory_asked("e-1", 20_000);
    assert_eq!(first(&book), "e-2");
    book.memory_answered("e-1", 20_000);
    book.memory_asked("e-2", 20_000);
    assert_eq!(first(&book), "e-1");
}

#[test]
fn a_refusal_for_lack_of_memory_counts_the_engines_by_reason() {
    let mut book = BackendRegistry::default();
    let decode = |id: &str| backend(id, "a", Some(EngineRole::Decode));
    let engines = ["e-1", "e-2", "e-3", "e-4", "e-5", "e-6"].map(decode);
    book.set_backends(engines.to_vec());
    let now = Duration::from_secs(1);
    let marks = relay::ServerSignals {
        backoff: relay::BackoffSignal::Backoff(now),
        ..relay::ServerSignals::default()
    };
    book.availability.record(&engines[5].run(), &marks, now);
    book.note_failure("e-1", BackendFailure::Silent, now);
    book.note_declined("e-2", now);
    book.memory_reserved("e-3", 40_000);
    book.note_out_of_memory("e-4", 3_000, now);
    let room = relay::DecodeExclusions::of(&book, "one", 3_000, Some(30_000), now);
    let expected = relay::DecodeExclusions {
        listed: 6,
        backing_off: 1,
        ejected: 1,
        declining: 1,
        full: 1,
        refused: 1,
    };
    assert_eq!(room, expected);
}

#[test]
fn requests_of_many_idle_hosts_spread_over_the_servers_of_a_zone() {
    // Each of 200 hosts sends one request to a service of 75 servers, which work on six at a time and queue 24 more. A
    // request takes 60 ms and is in time within 300 ms.
    let mut in_time = 0;
    let mut requests: BTreeMap<FastStr, usize> = BTreeMap::new();
    for host in 0..200 {
        let mut book = BackendRegistry::new(&format!("h-{host}"));
        let servers = (0..75).map(|index| backend(&format!("w-{index}"), "z", None));
        book.set_backends(servers.collect());
        let first = book.rank_plain("one", "z", &[], millis(0))[0].id.clone();
        let count = requests.entry(first).or_default();
        *count += 1;
        in_time += usize::from(*count <= 30);
    }
    assert_eq!(in_time, 200);
    let most = requests.values().max().unwrap();
    assert!(*most <= 12, "{most} of 200 requests at one of 75 servers");
}

#[test]
fn callers_are_never_told_to_come_back_before_there_is_room() {
    for micros in (1..3_000_000).step_by(997) {
        let wait = Duration::from_micros(micros);
        let refusal = Refusal::not_run(RefusalCode::Overloaded, "full").after(wait);
        let response = relay::refusal_response(&refusal);
        let told = response.headers()["retry-after"].to_str().unwrap();
        let told = Duration::from_secs_f64(told.parse().unwrap());
        assert!(told >= wait, "{told:?} for {wait:?}");
        assert!(told <= wait + millis(10), "{told:?} for {wait:?}");
    }
}

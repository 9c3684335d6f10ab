//! Requests whose route or account allows only some regions reach no server elsewhere, whatever happens to the servers
//! that are allowed.

mod backends;

use {
    self::backends::backend,
    bayplank::{
        engine::EngineRole,
        relay::{
            AllowedServers, AllowedZones, BackendFailure, BackendInfo, BackendRegistry,
            PlainChoice, QueueKey, RequestOrigin, SendConstraints, WaitQueue,
        },
    },
    faststr::FastStr,
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{collections::BTreeMap, time::Duration},
};

const NOW: Duration = Duration::from_secs(10);

fn names(all: &[&'static str]) -> Vec<FastStr> {
    all.iter().copied().map(FastStr::from_static_str).collect()
}

// Two regions of two zones each, and a zone whose region is not known.
fn within(lists: &[&[&'static str]]) -> AllowedZones {
    let regions = [
        ("n-a", "north"),
        ("n-b", "north"),
        ("s-a", "south"),
        ("s-b", "south"),
    ];
    let regions: BTreeMap<FastStr, FastStr> = regions
        .into_iter()
        .map(|(zone, region)| (zone.into(), region.into()))
        .collect();
    let lists: Vec<Vec<FastStr>> = lists.iter().map(|list| names(list)).collect();
    let lists: Vec<Option<&[FastStr]>> = lists.iter().map(|list| Some(list.as_slice())).collect();
    AllowedZones::within(&regions, &lists)
}

#[test]
fn both_the_route_and_the_account_bind() {
    let allowed = |lists: &[&[&'static str]]| {
        let allowed = within(lists);
        ["n-a", "n-b", "s-a", "s-b", "unknown"].map(|zone| allowed.contains(zone))
    };
    assert_eq!(allowed(&[]), [true; 5]);
    assert_eq!(
        allowed(&[&[]]),
        [false; 5],
        "a list without a region allows none"
    );
    assert_eq!(allowed(&[&["south"]]), [false, false, true, true, false]);
    assert_eq!(allowed(&[&["north"]]), [true, true, false, false, false]);
    assert_eq!(
        allowed(&[&["north", "south"], &["north"]]),
        [true, true, false, false, false]
    );
    assert_eq!(allowed(&[&["south"], &["north"]]), [false; 5]);
    assert_eq!(allowed(&[&["elsewhere"], &[]]), [false; 5]);
}

fn fleet(role: Option<EngineRole>, prefix: &str) -> Vec<BackendInfo> {
    let zones = ["n-a", "n-b", "s-a", "s-b"];
    let servers = zones
        .into_iter()
        .flat_map(|zone| (0..40).map(move |number| (zone, number)));
    let named = servers.map(|(zone, number)| (format!("{prefix}-{zone}-{number}"), zone));
    named.map(|(id, zone)| backend(&id, zone, role)).collect()
}

// Load: any. The host's own zone is not allowed; servers fail, are full and are tried at random.
#[test]
fn no_choice_leaves_the_allowed_zones() {
    let allowed = within(&[&["south"]]);
    for seed in 0..50 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut book = BackendRegistry::new("front-1");
        let plain = fleet(None, "plain");
        let engines = [EngineRole::Prefill, EngineRole::Decode];
        let engines = engines.map(|role| fleet(Some(role), &format!("{role:?}")));
        let mut all: Vec<BackendInfo> = engines.into_iter().flatten().collect();
        all.extend(plain.into_iter().map(|info| BackendInfo {
            service: "desk".into(),
            ..info
        }));
        book.set_backends(all.clone());
        for info in &all {
            if random.random_bool(0.3) {
                book.note_failure(&info.id, BackendFailure::Silent, NOW);
            }
            if random.random_bool(0.3) {
                book.memory_reserved(&info.id, 20_000);
            }
        }
        // As on a host of a large fleet, which prefers a few engines of its zone.
        if seed % 2 == 0 {
            let near = all.iter().filter(|info| info.zone == "n-a");
            book.set_preferred(near.take(60).map(|info| info.id.clone()).collect());
        }
        let origin = RequestOrigin {
            zone: "n-a",
            software: None,
            allowed: Some(&allowed),
        };
        let mut tried = Vec::new();
        while let PlainChoice::Send(chosen) =
            book.choose_plain("desk", origin, &tried, SendConstraints::default(), NOW)
        {
            assert!(allowed.contains(&chosen.zone), "seed {seed}: {}", chosen.id);
            tried.push(chosen.id);
        }
        assert!(
            tried.len() > 40,
            "seed {seed}: the allowed servers are used"
        );
        let decodes = book.rank_decodes("one", origin, 3_000, Some(28_000), NOW);
        let cached = book.decode_engines("one", origin, 24, NOW).concat();
        let prefill = book
            .best_prefill("one", origin, &[], NOW)
            .map(|best| best.0);
        assert!(decodes.len() > 40 && !cached.is_empty() && prefill.is_some());
        for chosen in decodes.iter().chain(&cached).chain(&prefill) {
            assert!(allowed.contains(&chosen.zone), "seed {seed}: {}", chosen.id);
        }
    }
}

#[test]
fn a_request_without_an_allowed_server_is_known_to_be_unservable() {
    let mut book = BackendRegistry::default();
    let decode = Some(EngineRole::Decode);
    book.set_backends(vec![
        backend("north", "n-a", decode),
        backend("south", "s-a", Some(EngineRole::Prefill)),
    ]);
    let (north, south) = (within(&[&["north"]]), within(&[&["south"]]));
    let has_server = |book: &BackendRegistry, role, allowed| {
        let origin = RequestOrigin {
            zone: "n-a",
            software: None,
            allowed: Some(allowed),
        };
        book.has_server("one", role, origin)
    };
    assert!(has_server(&book, None, &south) && has_server(&book, decode, &north));
    assert!(
        !has_server(&book, decode, &south),
        "prefill engines alone serve no stream"
    );
    let origin = RequestOrigin {
        zone: "n-a",
        software: None,
        allowed: Some(&south),
    };
    assert_eq!(book.rotation_wait("one", None, origin, NOW), None);
    book.set_leaving("south");
    assert!(book.rotation_wait("one", None, origin, NOW).is_some());
    assert_eq!(book.rotation_wait("one", None, "n-a", NOW), None);
}

// Load: the engines of one region are full and those of the other idle.
#[test]
fn requests_wait_only_for_those_that_may_reach_the_same_zones() {
    let mut queue = WaitQueue::default();
    let key = |ticket| QueueKey {
        late: false,
        priority: 0,
        rank: NOW,
        ticket,
    };
    let in_zones = |zones| AllowedServers {
        zones,
        software: None,
    };
    let (all, south) = (in_zones(within(&[])), in_zones(within(&[&["south"]])));
    queue.insert(&south, None, key(1));
    queue.insert(&all, None, key(2));
    queue.insert(&south, None, key(3));
    assert_eq!(queue.ahead(&all, &key(2)), 0);
    assert_eq!(queue.ahead(&south, &key(3)), 1);
    queue.insert(&south, Some(key(1)), key(4));
    assert_eq!((queue.ahead(&south, &key(3)), queue.len()), (0, 3));
    for (zones, ticket) in [(&south, 4), (&south, 3), (&all, 2)] {
        queue.remove(zones, &key(ticket));
    }
    assert!(queue.is_empty());
}

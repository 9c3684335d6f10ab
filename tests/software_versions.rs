//! The software versions of servers in the lists that hosts hand on.

mod backends;

use {
    backends::backend,
    bayplank::{
        news_capnp::cluster_news,
        relay::{
            self, BackendInfo, BackendRegistry, ClusterNews, ClusterState, KindNews, RequestOrigin,
            SoftwareVersion, StoreChange,
        },
        store::StorePosition,
    },
    faststr::FastStr,
    std::time::Duration,
};

const NOW: Duration = Duration::from_secs(60);

fn version(name: &str) -> SoftwareVersion {
    SoftwareVersion::of_name(FastStr::new(name))
}

fn server(id: &str, software: SoftwareVersion) -> BackendInfo {
    BackendInfo {
        software,
        ..backend(id, "z-a", None)
    }
}

fn servers() -> Vec<BackendInfo> {
    vec![
        server("a", version("v1")),
        server("b", SoftwareVersion::unnamed()),
        server("c", SoftwareVersion::default()),
    ]
}

// What a receiver reads of a list that is sent as a table, or as entries of their own.
fn transmitted(backends: KindNews, reads_parts: bool) -> KindNews {
    let news = ClusterNews {
        backends,
        ..ClusterNews::default()
    };
    let mut message = capnp::message::Builder::new_default();
    let root = message.init_root::<cluster_news::Builder<'_>>();
    relay::write_news(root, &news, reads_parts).unwrap();
    let root = message.get_root_as_reader::<cluster_news::Reader<'_>>();
    relay::read_news(root.unwrap()).unwrap().backends
}

fn software_of(state: &ClusterState) -> Vec<String> {
    let listed = state.backends();
    listed.map(|info| info.software.to_string()).collect()
}

#[test]
fn lists_and_their_parts_name_the_software_version_of_each_server() {
    let mut sender = ClusterState::default();
    sender.set_backends(servers(), StorePosition::new(1, 4), NOW);
    let held = StorePosition::default();
    for news in [
        transmitted(sender.backend_news(held), false),
        transmitted(sender.backend_news_part(held, None, 400), true),
    ] {
        let mut receiver = ClusterState::default();
        receiver.apply_backend_news(news, NOW);
        assert_eq!(software_of(&receiver), ["v1", "unnamed", "unknown"]);
    }
}

#[test]
fn a_list_from_a_host_that_names_no_versions_is_received_again_from_one_that_does() {
    let unnamed = |id| server(id, SoftwareVersion::default());
    let mut state = ClusterState::default();
    state.set_backends(
        vec![unnamed("a"), unnamed("b")],
        StorePosition::new(1, 4),
        NOW,
    );
    assert!(state.lacks_software());
    let mut informed = ClusterState::default();
    let named = vec![server("a", version("v1")), server("b", version("v2"))];
    informed.set_backends(named, StorePosition::new(1, 4), NOW);
    let update = informed.backend_news(state.backends_position());
    assert!(update.changes.is_empty(), "nothing newer");
    state.forget_incomplete_backends();
    state.apply_backend_news(informed.backend_news(state.backends_position()), NOW);
    assert_eq!(software_of(&state), ["v1", "v2"]);
    assert!(!state.lacks_software());
}

#[test]
fn a_change_without_a_version_keeps_that_of_the_same_run() {
    let mut state = ClusterState::default();
    state.set_backends(
        vec![server("a", version("v1"))],
        StorePosition::new(1, 4),
        NOW,
    );
    let leaving = BackendInfo {
        leaving: true,
        ..server("a", SoftwareVersion::default())
    };
    let change = StoreChange::of_backend(leaving.clone());
    state.change_backends(vec![change], StorePosition::new(1, 5), NOW);
    assert_eq!(software_of(&state), ["v1"]);
    let later_run = BackendInfo { born: 7, ..leaving };
    let change = StoreChange::of_backend(later_run);
    state.change_backends(vec![change], StorePosition::new(1, 6), NOW);
    assert_eq!(
        software_of(&state),
        ["unknown"],
        "another run may have another"
    );
}

#[test]
fn after_a_restore_a_server_has_the_version_of_the_run_that_is_used() {
    let mut state = ClusterState::default();
    let run = |born, name| BackendInfo {
        born,
        ..server("a", version(name))
    };
    state.set_backends(vec![run(9, "v2")], StorePosition::new(1, 9), NOW);
    state.record_era(2, NOW);
    state.set_backends(vec![run(5, "v1")], StorePosition::new(2, 4), NOW);
    let used: Vec<String> = state
        .usable()
        .iter()
        .map(|info| info.software.to_string())
        .collect();
    assert_eq!(used, ["v2"], "the backup has the entry of an earlier run");
}

// Two servers of hundreds, in another zone and outside of what the host prefers.
#[test]
fn a_stream_finds_the_few_servers_of_its_version() {
    let mut all: Vec<BackendInfo> = (0..600)
        .map(|index| {
            let zone = if index % 2 == 0 { "z-a" } else { "z-b" };
            let role = Some(bayplank::engine::EngineRole::Decode);
            BackendInfo {
                software: version("v2"),
                ..backend(&format!("e-{index:03}"), zone, role)
            }
        })
        .collect();
    for index in [201, 477] {
        all[index].software = version("v1");
    }
    let mut book = BackendRegistry::new("host");
    book.set_backends(all.clone());
    book.set_preferred(all.iter().take(20).map(|info| info.id.clone()).collect());
    let old = version("v1");
    let origin = RequestOrigin::from("z-a").of_software(&old);
    let before = book.visited();
    let ranked = book.rank_decodes("one", origin, 3_000, Some(28_000), NOW);
    let mut found: Vec<&str> = ranked.iter().map(|info| info.id.as_str()).collect();
    found.sort_unstable();
    assert_eq!(found, ["e-201", "e-477"]);
    assert!(book.visited() - before < 60, "the others are not looked at");
    for id in ["e-201", "e-477"] {
        book.set_leaving(id);
    }
    let role = Some(bayplank::engine::EngineRole::Decode);
    assert!(!book.has_staying_server("one", role, origin, NOW));
    assert!(book.has_staying_server("one", role, "z-a".into(), NOW));
}

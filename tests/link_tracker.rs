//! Which backend servers do not answer a host, as its own requests show it.

mod backends;

use {
    crate::backends::backend,
    bayplank::{
        engine::EngineRole,
        relay::{BackendInfo, LinkGroup, LinkTracker},
    },
    std::time::Duration,
};

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn fail(links: &mut LinkTracker, server: &BackendInfo, at: u64) {
    links.record_failure(server.key(), &LinkGroup::of(server), millis(at));
}

fn answer(links: &mut LinkTracker, server: &BackendInfo, at: u64) {
    links.record_answer(server.key(), &LinkGroup::of(server), millis(at));
}

fn suspects(links: &LinkTracker, server: &BackendInfo) -> bool {
    links.suspects(&LinkGroup::of(server))
}

#[test]
fn one_silent_server_is_no_reason_to_suspect_the_hosts_own_links() {
    let mut links = LinkTracker::default();
    let [first, second] = ["d-1", "d-2"].map(|id| backend(id, "z-a", Some(EngineRole::Decode)));
    answer(&mut links, &second, 0);
    for at in [100, 200, 300, 400] {
        fail(&mut links, &first, at);
    }
    assert!(!suspects(&links, &first));
    assert!(links.suspicious().is_empty());
    fail(&mut links, &second, 500);
    assert!(suspects(&links, &first) && suspects(&links, &second));
    assert_eq!(links.suspicious().len(), 2);
}

#[test]
fn an_answer_of_a_group_clears_the_group_alone() {
    let mut links = LinkTracker::default();
    let decodes = ["d-1", "d-2"].map(|id| backend(id, "z-a", Some(EngineRole::Decode)));
    let prefills = ["p-1", "p-2"].map(|id| backend(id, "z-a", Some(EngineRole::Prefill)));
    for server in decodes.iter().chain(&prefills) {
        fail(&mut links, server, 100);
    }
    answer(&mut links, &decodes[0], 200);
    assert!(!suspects(&links, &decodes[1]));
    assert!(suspects(&links, &prefills[0]));
    answer(&mut links, &prefills[1], 300);
    assert!(!suspects(&links, &prefills[0]));
    assert!(links.suspicious().is_empty());
}

#[test]
fn while_nothing_answers_all_groups_are_suspected() {
    let mut links = LinkTracker::default();
    let decodes = ["d-1", "d-2"].map(|id| backend(id, "z-a", Some(EngineRole::Decode)));
    let plain = backend("s-1", "z-a", None);
    answer(&mut links, &plain, 50);
    for server in &decodes {
        fail(&mut links, server, 100);
    }
    assert!(suspects(&links, &plain));
    answer(&mut links, &plain, 150);
    assert!(!suspects(&links, &plain));
    assert!(suspects(&links, &decodes[0]));
}

#[test]
fn servers_that_are_no_longer_listed_are_not_suspicious() {
    let mut links = LinkTracker::default();
    let servers = ["d-1", "d-2"].map(|id| backend(id, "z-a", Some(EngineRole::Decode)));
    for server in &servers {
        fail(&mut links, server, 100);
    }
    let kept = servers[0].key();
    links.retain(|server| server == kept);
    assert!(!suspects(&links, &servers[0]));
    assert!(links.suspicious().is_empty());
}

//! Which backend servers do not answer a host, as its own requests show it.

mod backends;

use {
    crate::backends::backend,
    bayplank::{
        engine::EngineRole,
        relay::{BackendInfo, LinkGroup, LinkTracker, OpenOrder},
    },
    bolero::{TypeGenerator, check},
    std::{collections::BTreeSet, time::Duration},
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

fn carry(links: &mut LinkTracker, server: &BackendInfo, at: u64) -> bool {
    links.record_carried_answer(server.key(), &LinkGroup::of(server), millis(at))
}

fn order(links: &LinkTracker, server: &BackendInfo) -> OpenOrder {
    links.open_order(server.key(), &LinkGroup::of(server))
}

#[test]
fn a_link_is_lost_once_a_server_that_failed_twice_answers_through_another_host() {
    let mut links = LinkTracker::default();
    let server = backend("s-1", "z-a", None);
    fail(&mut links, &server, 100);
    assert!(!carry(&mut links, &server, 110));
    assert!(matches!(order(&links, &server), OpenOrder::DirectFirst(_)));
    fail(&mut links, &server, 300);
    assert_eq!(order(&links, &server), OpenOrder::CarriedFirst);
    assert!(links.is_lost(server.key()));
    answer(&mut links, &server, 400);
    assert!(!links.is_lost(server.key()));
    assert!(matches!(order(&links, &server), OpenOrder::DirectFirst(_)));
}

#[test]
fn requests_that_fail_together_count_once() {
    let mut links = LinkTracker::default();
    let server = backend("s-1", "z-a", None);
    for at in [100, 105, 110] {
        fail(&mut links, &server, at);
    }
    assert!(matches!(order(&links, &server), OpenOrder::DirectFirst(_)));
}

#[test]
fn a_server_that_is_silent_through_others_as_well_is_reached_directly_first() {
    let mut links = LinkTracker::default();
    let server = backend("s-1", "z-a", None);
    fail(&mut links, &server, 100);
    fail(&mut links, &server, 300);
    for at in [310, 320] {
        links.record_carried_failure(server.key(), &LinkGroup::of(&server), millis(at));
    }
    assert!(matches!(order(&links, &server), OpenOrder::DirectFirst(_)));
    assert!(!links.is_lost(server.key()));
}

// Probes lost links every 50 ms until `until`, all with the same outcome; returns the times of the probes.
fn probe(links: &mut LinkTracker, from: u64, until: u64, is_open: bool) -> Vec<u64> {
    let mut times = Vec::new();
    for at in (from..until).step_by(50) {
        if let Some(server) = links.next_probe(millis(at)) {
            links.record_probe(server, is_open, millis(at));
            times.push(at);
        }
    }
    times
}

fn lose(links: &mut LinkTracker, servers: &[BackendInfo], at: u64) {
    for server in servers {
        fail(links, server, at);
        fail(links, server, at + 60);
        carry(links, server, at + 70);
    }
}

#[test]
fn lost_links_are_tested_once_a_second_and_are_back_soon_after_the_first_success() {
    let mut links = LinkTracker::default();
    let servers: Vec<_> = (0..15)
        .map(|id| backend(&format!("s-{id}"), "z-a", None))
        .collect();
    lose(&mut links, &servers, 0);
    assert_eq!(links.lost().count(), 15);
    let failed = probe(&mut links, 1_000, 11_000, false);
    assert_eq!(failed.len(), 10, "{failed:?}");
    let back = probe(&mut links, 11_000, 13_000, true);
    assert_eq!(links.lost().count(), 0);
    assert!(back[14] - back[0] < 1_000, "{back:?}");
}

#[test]
fn a_link_that_comes_and_goes_is_used_again_only_after_more_tests() {
    let mut links = LinkTracker::default();
    let server = [backend("s-1", "z-a", None)];
    lose(&mut links, &server, 0);
    assert_eq!(probe(&mut links, 1_000, 2_000, true).len(), 1);
    assert_eq!(links.lost().count(), 0);
    lose(&mut links, &server, 2_000);
    assert_eq!(probe(&mut links, 3_000, 4_000, true).len(), 1);
    assert_eq!(links.lost().count(), 1, "one success more is needed");
    assert_eq!(probe(&mut links, 4_000, 5_000, true).len(), 1);
    assert_eq!(links.lost().count(), 0);
}

#[derive(Debug, Clone, TypeGenerator)]
enum Outcome {
    Answer(u8),
    Failure(u8),
    CarriedAnswer(u8),
    CarriedFailure(u8),
    Probe(bool),
    Unlisted(u8),
    Pause(u8),
}

#[test]
fn no_link_is_lost_while_no_other_host_is_answered_and_each_is_once_others_are() {
    check!().with_type::<Vec<Outcome>>().for_each(|outcomes| {
        let mut links = LinkTracker::default();
        let servers: Vec<_> = (0..6)
            .map(|id| backend(&format!("s-{id}"), ["z-a", "z-b"][id % 2], None))
            .collect();
        let mut carried = BTreeSet::new();
        let mut now = 1_000;
        for outcome in outcomes {
            now += 10;
            let server = |index: &u8| &servers[usize::from(*index) % servers.len()];
            match outcome {
                Outcome::Answer(index) => {
                    answer(&mut links, server(index), now);
                    assert!(!links.is_lost(server(index).key()));
                }
                Outcome::Failure(index) => fail(&mut links, server(index), now),
                Outcome::CarriedAnswer(index) => {
                    carry(&mut links, server(index), now);
                    carried.insert(server(index).key());
                }
                Outcome::CarriedFailure(index) => {
                    let server = server(index);
                    let group = LinkGroup::of(server);
                    links.record_carried_failure(server.key(), &group, millis(now));
                }
                Outcome::Probe(is_open) => {
                    if let Some(server) = links.next_probe(millis(now)) {
                        assert!(links.is_lost(server));
                        links.record_probe(server, *is_open, millis(now));
                    }
                }
                Outcome::Unlisted(index) => {
                    let gone = server(index).key();
                    links.retain(|server| server != gone);
                    carried.remove(&gone);
                }
                Outcome::Pause(time) => now += u64::from(*time) * 20,
            }
            assert!(links.lost().all(|(server, _)| carried.contains(&server)));
        }
        for server in &servers {
            now += 1_000;
            fail(&mut links, server, now);
            fail(&mut links, server, now + 100);
            carry(&mut links, server, now + 110);
            assert!(links.is_lost(server.key()));
        }
    });
}

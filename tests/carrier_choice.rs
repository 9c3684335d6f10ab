//! Plays fleets in which many hosts lose their links at the same moment: whom they ask for help, how soon they find a
//! host that helps, and how evenly the help is spread.
//!
//! Each host runs the production choice. A host that has lost its own links says so when it is asked.

mod backends;

use {
    crate::backends::backend,
    bayplank::{
        relay::{BackendInfo, CarrierFailure, CarrierQuery, CarrierTable, HostEntry, LinkGroup},
        store::StorePosition,
    },
    faststr::FastStr,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// The position of the list of hosts, which stays the same.
const POSITION: StorePosition = StorePosition {
    era: 1,
    revision: 1,
};

const ZONES: [&str; 7] = ["z-a", "z-b", "z-c", "z-d", "z-e", "z-f", "z-g"];

fn entry(index: usize, zones: usize) -> HostEntry {
    HostEntry {
        name: FastStr::from_string(format!("front-{index}")),
        zone: ZONES[index % zones].into(),
        peers: format!("10.0.{}.{}:7300", index / 250, index % 250 + 1)
            .parse()
            .unwrap(),
        carrier_port: 7_380,
        link_mbps: 0,
        judged: Vec::new(),
        software: Vec::new(),
    }
}

fn candidates(
    table: &mut CarrierTable,
    host: &HostEntry,
    fleet: &[HostEntry],
    server: &BackendInfo,
    now: Duration,
) -> Vec<FastStr> {
    let regions = BTreeMap::new();
    let query = CarrierQuery {
        host: &host.name,
        zone: &host.zone,
        regions: &regions,
        backend: server,
    };
    let found = table.candidates(query, fleet.iter(), POSITION, now);
    found.into_iter().map(|carrier| carrier.name).collect()
}

struct Play {
    // Hosts asked until one helped, by host that lost its links.
    asked: Vec<usize>,
    // Connections carried, by host that helped.
    carried: BTreeMap<FastStr, usize>,
}

// Every host whose links are lost opens connections to a server of its zone until one host helps.
fn play(hosts: usize, zones: usize, lost: impl Fn(usize) -> bool) -> Play {
    let fleet: Vec<_> = (0..hosts).map(|index| entry(index, zones)).collect();
    let lost: BTreeSet<FastStr> = (0..hosts)
        .filter(|index| lost(*index))
        .map(|index| fleet[index].name.clone())
        .collect();
    let mut play = Play {
        asked: Vec::new(),
        carried: BTreeMap::new(),
    };
    for host in fleet.iter().filter(|host| lost.contains(&host.name)) {
        let server = backend("s-1", ZONES[0], None);
        let group = LinkGroup::of(&server);
        let mut table = CarrierTable::default();
        let now = Duration::from_secs(5);
        let mut asked = 0;
        let helper = loop {
            let known = candidates(&mut table, host, &fleet, &server, now);
            assert!(!known.is_empty(), "{} finds nobody to ask", host.name);
            let helper = known.into_iter().find(|name| {
                asked += 1;
                let helps = !lost.contains(name);
                if !helps {
                    table.record_failure(name, CarrierFailure::NoLink(group.clone()), now);
                }
                helps
            });
            if let Some(helper) = helper {
                break helper;
            }
        };
        play.asked.push(asked);
        *play.carried.entry(helper).or_default() += 1;
    }
    play
}

#[test]
fn fifty_of_71_hosts_find_help_and_spread_it() {
    let play = play(71, 3, |index| index % 71 < 50);
    let mean = play.asked.iter().sum::<usize>() as f64 / play.asked.len() as f64;
    let most = play.carried.values().max().unwrap();
    println!(
        "hosts asked: mean {mean:.1}, most {:?}; carried by {}, most {most}",
        play.asked.iter().max(),
        play.carried.len()
    );
    // As many as by chance where three of ten help: 3.4 on average.
    assert!(mean < 6.0, "{mean}");
    assert!(play.carried.len() >= 14, "{:?}", play.carried);
    assert!(*most <= 10, "{:?}", play.carried);
}

#[test]
fn all_hosts_of_a_zone_are_helped_by_others() {
    let play = play(71, 3, |index| index % 3 == 0);
    assert_eq!(play.asked.len(), 24);
    assert!(play.carried.len() >= 12, "{:?}", play.carried);
}

#[test]
fn two_thirds_of_1000_hosts_find_help() {
    let play = play(1_000, 7, |index| index % 3 != 0);
    let most = play.carried.values().max().unwrap();
    println!(
        "hosts asked: most {:?}; carried by {}, most {most}",
        play.asked.iter().max(),
        play.carried.len()
    );
    assert!(play.asked.iter().max().unwrap() < &100);
    assert!(*most <= 12, "{most}");
}

#[test]
fn near_hosts_are_asked_first_and_only_those_in_the_servers_region() {
    let fleet: Vec<_> = (0..12).map(|index| entry(index, 3)).collect();
    let server = backend("s-1", "z-b", None);
    let regions: BTreeMap<FastStr, FastStr> = [("z-a", "r-1"), ("z-b", "r-1"), ("z-c", "r-2")]
        .map(|(zone, region)| (zone.into(), region.into()))
        .into();
    let query = CarrierQuery {
        host: &fleet[0].name,
        zone: &fleet[0].zone,
        regions: &regions,
        backend: &server,
    };
    let found = CarrierTable::default().candidates(query, fleet.iter(), POSITION, Duration::ZERO);
    let zone_of = |name: &FastStr| {
        let entry = fleet.iter().find(|entry| entry.name == *name);
        entry
            .map(|entry| entry.zone.to_string())
            .unwrap_or_default()
    };
    let zones: Vec<_> = found.iter().map(|carrier| zone_of(&carrier.name)).collect();
    assert_eq!(zones, ["z-a", "z-a", "z-a", "z-b", "z-b", "z-b", "z-b"]);
}

#[test]
fn a_host_that_could_not_help_is_skipped_for_longer_each_time() {
    let fleet: Vec<_> = (0..2).map(|index| entry(index, 1)).collect();
    let server = backend("s-1", "z-a", None);
    let mut table = CarrierTable::default();
    let mut skips = Vec::new();
    let mut now = Duration::from_secs(1);
    for _ in 0..6 {
        table.record_failure(&fleet[1].name, CarrierFailure::Unavailable, now);
        let failed = now;
        while candidates(&mut table, &fleet[0], &fleet, &server, now).is_empty() {
            now += Duration::from_millis(500);
        }
        skips.push((now - failed).as_secs());
    }
    assert_eq!(skips, [1, 2, 4, 8, 8, 8]);
    table.record_success(&fleet[1].name, &LinkGroup::of(&server));
    assert_eq!(
        candidates(&mut table, &fleet[0], &fleet, &server, now).len(),
        1
    );
}

//! Selection of the hosts that read the store, and of the host that each other host follows.

use {
    bayplank::relay::{self, HostEntry, SourceSelector, SourceSettings, UpdateSource},
    faststr::FastStr,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Age at which a view is out of date if changes have to be in force within two seconds.
const OUTDATED_AGE: Duration = Duration::from_millis(1_400);

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn host(name: &str, zone: &'static str) -> HostEntry {
    HostEntry {
        judged: Vec::new(),
        software: Vec::new(),
        name: FastStr::new(name),
        zone: zone.into(),
        peers: "127.0.0.1:9".parse().unwrap(),
        link_mbps: 0,
        carrier_port: 0,
    }
}

fn zone(count: usize) -> Vec<HostEntry> {
    let names = (0..count).map(|index| format!("h-{index}"));
    names.map(|name| host(&name, "z-a")).collect()
}

/// How long a host in these tests waits for others at its start.
const START_TIMEOUT: Duration = Duration::from_millis(500);

fn choice_of(own: &str, hosts: &[HostEntry]) -> SourceSelector {
    let zone = hosts.iter().find(|entry| entry.name == own);
    let mut choice = SourceSelector::new(SourceSettings {
        own: FastStr::new(own),
        zone: zone.map_or("z-a".into(), |entry| entry.zone.clone()),
        stale_age: OUTDATED_AGE,
        start_wait: START_TIMEOUT,
        seed_wait: 2 * START_TIMEOUT,
    });
    choice.set_hosts(hosts.iter());
    choice
}

fn readers(hosts: &[HostEntry], now: Duration) -> Vec<FastStr> {
    let names = hosts.iter().map(|entry| entry.name.clone());
    names
        .filter(|name| choice_of(name, hosts).is_reader(now))
        .collect()
}

// The host that each host follows, for those that do not read the store themselves.
fn followed(hosts: &[HostEntry], now: Duration) -> BTreeMap<FastStr, FastStr> {
    let mut followed = BTreeMap::new();
    for entry in hosts {
        let mut choice = choice_of(&entry.name, hosts);
        choice.note_response("", now);
        if let UpdateSource::Host(host) = choice.choose(Some(millis(100)), false, now) {
            followed.insert(entry.name.clone(), host.name);
        }
    }
    followed
}

fn zones(count: usize, hosts: usize) -> Vec<HostEntry> {
    let names = ["z-a", "z-b", "z-c", "z-d", "z-e", "z-f", "z-g"];
    let of_zone =
        |zone: &'static str| (0..hosts).map(move |index| host(&format!("{zone}-{index}"), zone));
    names[..count]
        .iter()
        .flat_map(|zone| of_zone(zone))
        .collect()
}

#[test]
fn two_hosts_read_the_store_for_a_fleet_of_any_size() {
    assert_eq!(readers(&zone(4), Duration::ZERO).len(), 1, "one zone");
    for (count, hosts) in [(2, 1), (3, 3), (5, 59), (7, 60)] {
        let fleet = zones(count, hosts);
        let named = readers(&fleet, Duration::ZERO);
        assert_eq!(named.len(), 2, "{count} zones of {hosts}");
        assert_ne!(named[0][..3], named[1][..3], "of different zones");
    }
}

#[test]
fn every_host_is_at_most_three_hops_from_a_reader() {
    for (count, hosts) in [(1, 4), (3, 3), (5, 59), (7, 60)] {
        let fleet = zones(count, hosts);
        let readers = readers(&fleet, Duration::ZERO);
        let followed = followed(&fleet, millis(9_000));
        for entry in &fleet {
            let mut name = &entry.name;
            let mut hops = 0;
            while !readers.contains(name) {
                (name, hops) = (&followed[name], hops + 1);
            }
            assert!(hops <= 3, "{}: {hops}", entry.name);
        }
    }
}

#[test]
fn a_large_zone_follows_its_head_and_a_standby() {
    let large = zone(30);
    let followed = followed(&large, millis(9_000));
    let mut counts: BTreeMap<&FastStr, usize> = BTreeMap::new();
    for name in followed.values() {
        *counts.entry(name).or_default() += 1;
    }
    assert_eq!(counts.len(), 2);
    assert!(counts.values().all(|count| *count <= 22), "{counts:?}");
}

#[test]
fn no_host_serves_more_followers_in_a_larger_zone() {
    for count in [60, 200, 400] {
        let hosts = zone(count);
        let mut counts: BTreeMap<FastStr, usize> = BTreeMap::new();
        for name in followed(&hosts, millis(9_000)).into_values() {
            *counts.entry(name).or_default() += 1;
        }
        let most = counts.values().max().unwrap();
        assert!(*most <= 60, "{most} followers of one of {count} hosts");
    }
}

#[test]
fn hosts_that_start_in_a_large_zone_spread_over_those_that_serve_it() {
    let hosts = zone(400);
    let guides = relay::starting_points(hosts.iter().cloned(), "z-a");
    let mut counts: BTreeMap<FastStr, usize> = BTreeMap::new();
    for entry in hosts.iter().skip(20) {
        let mut choice = choice_of(&entry.name, &[]);
        choice.set_guides(guides.iter());
        if let UpdateSource::Host(host) = choice.choose(None, false, millis(1)) {
            *counts.entry(host.name).or_default() += 1;
        }
    }
    let most = counts.values().max().unwrap();
    assert!(*most <= 60, "{most} starting hosts at one");
}

#[test]
fn the_strongest_hosts_read_for_the_others() {
    let mut hosts = zone(30);
    for (index, entry) in hosts.iter_mut().enumerate() {
        entry.link_mbps = if index % 10 == 3 { 200 } else { 10 };
    }
    let followed = followed(&hosts, millis(9_000));
    for name in readers(&hosts, Duration::ZERO)
        .iter()
        .chain(followed.values())
    {
        assert!(["h-3", "h-13", "h-23"].contains(&name.as_str()), "{name}");
    }
}

#[test]
fn views_are_outdated_early_enough_to_read_the_store() {
    assert_eq!(relay::stale_age(millis(2_000)), OUTDATED_AGE);
    assert_eq!(relay::stale_age(millis(3_000)), millis(1_800));
    assert_eq!(relay::stale_age(Duration::ZERO), millis(1_000));
}

#[test]
fn a_starting_host_polls_others_first_and_reads_the_store_after_a_timeout() {
    let mut alone = choice_of("h-1", &[]);
    assert_eq!(alone.choose(None, false, millis(1)), UpdateSource::Seeds);
    assert_eq!(
        alone.choose(None, false, START_TIMEOUT),
        UpdateSource::Store
    );
    alone.note_seed_response();
    assert_eq!(
        alone.choose(None, false, START_TIMEOUT),
        UpdateSource::Seeds
    );
    assert_eq!(
        alone.choose(None, false, 2 * START_TIMEOUT),
        UpdateSource::Store
    );
    let hosts = zone(4);
    let head = &readers(&hosts, Duration::ZERO)[0];
    let other = hosts.iter().find(|entry| entry.name != *head).unwrap();
    let mut choice = choice_of(&other.name, &hosts);
    for age in [None, Some(millis(20))] {
        let next = choice.choose(age, false, millis(30));
        assert!(matches!(next, UpdateSource::Host(entry) if entry.name == *head));
    }
    assert_eq!(
        choice.choose(None, false, START_TIMEOUT),
        UpdateSource::Store
    );
    assert_eq!(
        choice_of(head, &hosts).choose(None, false, millis(1)),
        UpdateSource::Store
    );
}

#[test]
fn while_the_store_is_unavailable_hosts_keep_following_and_one_at_a_time_probes_it() {
    let hosts = zone(30);
    let head = readers(&hosts, Duration::ZERO)[0].clone();
    let before = followed(&hosts, millis(9_000));
    for age in [2_300, 4_300, 8_300] {
        let mut probing = 0;
        for own in hosts.iter().filter(|entry| entry.name != head) {
            let mut choice = choice_of(&own.name, &hosts);
            choice.note_response(&head, millis(9_000));
            match choice.choose(Some(millis(age)), false, millis(9_100)) {
                UpdateSource::Host(entry) => assert_eq!(entry.name, before[&own.name]),
                _ => probing += 1,
            }
        }
        assert_eq!(probing, 1, "unavailable for {age} ms");
    }
}

#[test]
fn a_host_whose_probe_succeeds_keeps_reading_and_others_take_turns() {
    let hosts = zone(30);
    let head = readers(&hosts, Duration::ZERO)[0].clone();
    let mut probed = BTreeSet::new();
    let mut served = None;
    for age in (3_000..60_000).step_by(1_000) {
        for own in hosts.iter().filter(|entry| entry.name != head) {
            let mut choice = choice_of(&own.name, &hosts);
            choice.note_response(&head, millis(age));
            if choice.choose(Some(millis(age)), false, millis(age)) == UpdateSource::Store {
                probed.insert(own.name.clone());
                served = Some((choice, age));
            }
        }
    }
    assert!(probed.len() > 15, "{} of 29 in 57 turns", probed.len());
    // After a successful probe the host keeps reading, so that it gets the next change at once, until the store answers
    // the head again. It resumes reading at once when the view of the others is out of date.
    let (mut choice, at) = served.unwrap();
    for later in [300, 2_000, 5_000] {
        let next = choice.choose(Some(millis(10)), true, millis(at + later));
        assert_eq!(next, UpdateSource::Store, "after {later} ms");
        assert!(choice.is_served(millis(at + later)));
    }
    choice.note_store_recovered(millis(at + 5_100));
    let next = choice.choose(Some(millis(10)), false, millis(at + 5_110));
    assert!(matches!(next, UpdateSource::Host(_)));
    choice.note_response(&head, millis(at + 7_600));
    let again = choice.choose(Some(millis(2_300)), false, millis(at + 7_600));
    assert_eq!(again, UpdateSource::Store);
    // If the store stops answering this host too, it follows another host after its turn.
    assert!(!choice.is_served(millis(at + 7_600)));
}

#[test]
fn a_host_alone_in_its_zone_is_its_head() {
    let hosts = vec![host("h-1", "z-a"), host("h-2", "z-b"), host("h-3", "z-b")];
    let mut choice = choice_of("h-1", &hosts);
    assert_eq!(
        choice.choose(Some(millis(1)), false, millis(1)),
        UpdateSource::Store
    );
}

#[test]
fn a_host_without_answers_reads_the_store_for_a_while_even_with_a_fresh_view() {
    let hosts = zone(4);
    let head = readers(&hosts, Duration::ZERO).remove(0);
    let other = hosts.iter().find(|entry| entry.name != head).unwrap();
    let mut choice = choice_of(&other.name, &hosts);
    let fresh = Some(millis(300));
    choice.note_response(&head, millis(600));
    assert_ne!(
        choice.choose(fresh, false, millis(1_000)),
        UpdateSource::Store
    );
    assert_eq!(
        choice.choose(fresh, false, millis(2_000)),
        UpdateSource::Store
    );
    assert_eq!(
        choice.choose(fresh, false, millis(3_900)),
        UpdateSource::Store
    );
    assert_ne!(
        choice.choose(fresh, false, millis(4_100)),
        UpdateSource::Store
    );
}

#[test]
fn an_unresponsive_reader_is_replaced_with_exponential_backoff() {
    let hosts = zone(4);
    let reader = readers(&hosts, Duration::ZERO).remove(0);
    let others: Vec<_> = hosts.iter().filter(|entry| entry.name != reader).collect();
    let at = |now| {
        let mut choices: Vec<_> = others
            .iter()
            .map(|entry| choice_of(&entry.name, &hosts))
            .collect();
        for choice in &mut choices {
            choice.note_timeout(&reader, millis(0));
            choice.note_timeout(&reader, millis(2_000));
        }
        choices
            .iter()
            .filter(|choice| choice.is_reader(now))
            .count()
    };
    assert_eq!(at(millis(5_900)), 1, "another host reads in its place");
    assert_eq!(at(millis(6_100)), 0, "the first reader is tried again");
}

#[test]
fn readers_in_a_lost_zone_are_replaced_by_heads_of_other_zones() {
    let fleet = zones(5, 3);
    let named = readers(&fleet, Duration::ZERO);
    let left: Vec<_> = fleet
        .iter()
        .filter(|entry| entry.zone != named[0][..3])
        .collect();
    let lost: Vec<_> = fleet
        .iter()
        .filter(|entry| entry.zone == named[0][..3])
        .collect();
    let now = millis(1_000);
    let reading = left.iter().filter(|entry| {
        let mut choice = choice_of(&entry.name, &fleet);
        for gone in &lost {
            choice.note_timeout(&gone.name, now);
        }
        choice.is_reader(now)
    });
    assert_eq!(reading.count(), 2);
}

#[test]
fn a_starting_host_gets_the_hosts_that_it_would_follow_with_the_full_list() {
    let fleet = zones(5, 59);
    let followed = followed(&fleet, millis(9_000));
    for entry in fleet.iter().step_by(7) {
        let guides = relay::starting_points(fleet.iter().cloned(), &entry.zone);
        assert!(guides.len() <= 6);
        let Some(named) = followed.get(&entry.name) else {
            continue;
        };
        let is_head = guides[0].name == entry.name;
        assert!(
            is_head || guides.iter().any(|guide| guide.name == *named),
            "{}",
            entry.name
        );
    }
}

#[test]
fn a_follower_of_the_standby_notices_a_lost_head_by_failed_reports() {
    let hosts = zone(12);
    let now = millis(1_000);
    let followed = followed(&hosts, now);
    let mut ordered = hosts.clone();
    relay::sort_readers(&mut ordered, "z-a");
    let (head, standby) = (ordered[0].name.clone(), ordered[1].name.clone());
    let follower = followed
        .iter()
        .find(|(_, source)| **source == standby)
        .map(|(name, _)| name.clone())
        .expect("half of them follow the standby");
    let mut choice = choice_of(&follower, &hosts);
    assert_eq!(choice.head(now).unwrap().name, head);
    choice.note_report_failed(&head, now);
    assert_eq!(choice.head(now).unwrap().name, standby);
    // It keeps following the standby, and tries to report to the head again later.
    choice.note_response("", now);
    let source = choice.choose(Some(millis(100)), false, now);
    assert_eq!(source, UpdateSource::Host(ordered[1].clone()));
    assert_eq!(choice.head(now + millis(2_000)).unwrap().name, head);
}

#[test]
fn a_head_without_a_view_is_skipped_briefly_and_longer_once_it_stops_answering() {
    let hosts = zone(4);
    let head = readers(&hosts, Duration::ZERO).remove(0);
    let other = hosts.iter().find(|entry| entry.name != head).unwrap();
    let mut choice = choice_of(&other.name, &hosts);
    let follows_head = |choice: &mut SourceSelector, at: u64| {
        choice.note_response("", millis(at));
        let next = choice.choose(Some(millis(100)), false, millis(at));
        matches!(next, UpdateSource::Host(entry) if entry.name == head)
    };
    assert!(follows_head(&mut choice, 1_000));
    choice.note_without_data(&head, millis(1_000));
    assert!(!follows_head(&mut choice, 1_900));
    assert!(
        follows_head(&mut choice, 2_000),
        "it may have a view by now"
    );
    choice.note_timeout(&head, millis(2_000));
    assert!(!follows_head(&mut choice, 3_900));
    assert!(follows_head(&mut choice, 4_000));
}

#[test]
fn a_view_is_outdated_from_the_age_at_which_others_are_polled() {
    let choice = choice_of("h-1", &zone(4));
    assert!(!choice.is_stale(None));
    assert!(!choice.is_stale(Some(OUTDATED_AGE - millis(1))));
    assert!(choice.is_stale(Some(OUTDATED_AGE)));
}

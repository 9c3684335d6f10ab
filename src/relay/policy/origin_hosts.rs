//! Selects the hosts that are told how a stream began, and that are asked for it.
//!
//! Pure functions of the list of hosts: the host that began a stream and the host that takes it up select the same ones
//! without communication, by rendezvous hashing within each availability zone.

use {
    super::stream_origins::StreamKey,
    crate::{peer, relay::link::HostEntry},
    std::{cmp::Reverse, collections::BTreeMap},
};

/// Number of hosts of each zone that are asked. One of the first two that the teller sees is told: the other one if it is
/// silent. The third covers that the teller itself is among them.
const HOSTS_ASKED: usize = 3;
const HOSTS_TOLD: usize = 2;

/// Number of hosts that are told, in different zones if there are several: a zone that is lost or cut off leaves the other.
const COPIES: usize = 2;

// The first hosts of each zone without `own`, by descending hash; the zones as well, by their first hosts.
fn candidates<'a>(
    hosts: impl Iterator<Item = &'a HostEntry>,
    own: &str,
    key: StreamKey,
    count: usize,
) -> Vec<Vec<&'a HostEntry>> {
    let subject = key.to_string();
    let mut zones: BTreeMap<&str, Vec<(u64, &HostEntry)>> = BTreeMap::new();
    for entry in hosts.filter(|entry| entry.name != own) {
        let first = zones.entry(&entry.zone).or_default();
        first.push((peer::draw(&entry.name, &subject), entry));
        first.sort_by_key(|(draw, _)| Reverse(*draw));
        first.truncate(count);
    }
    let mut zones: Vec<Vec<(u64, &HostEntry)>> = zones.into_values().collect();
    zones.sort_by_key(|first| Reverse(first[0].0));
    let entries = zones
        .into_iter()
        .map(|first| first.into_iter().map(|(_, entry)| entry).collect());
    entries.collect()
}

/// The hosts to tell of a stream that the host `own` of `zone` began: one of each list, the first that answers. The own zone
/// comes first, which stays reachable for its callers if it is cut off.
pub fn hosts_to_tell<'a>(
    hosts: impl Iterator<Item = &'a HostEntry>,
    own: &str,
    zone: &str,
    key: StreamKey,
) -> Vec<Vec<&'a HostEntry>> {
    let mut zones = candidates(hosts, own, key, HOSTS_TOLD);
    zones.sort_by_key(|first| first[0].zone != zone);
    zones.truncate(COPIES);
    match zones.as_slice() {
        // In a single zone, both hosts.
        [only] => only.iter().map(|entry| vec![*entry]).collect(),
        _ => zones,
    }
}

/// The first hosts by the hash of a subject, the same ones that `peer::is_among_first` names.
pub fn keeping_hosts<'a>(
    hosts: impl Iterator<Item = &'a HostEntry>,
    subject: &str,
    count: usize,
) -> Vec<&'a HostEntry> {
    let mut first: Vec<(u64, &HostEntry)> = Vec::new();
    for entry in hosts {
        first.push((peer::draw(&entry.name, subject), entry));
        first.sort_by_key(|(draw, _)| Reverse(*draw));
        first.truncate(count);
    }
    first.into_iter().map(|(_, entry)| entry).collect()
}

/// The hosts to ask for a stream that the host `own` takes up, all of them at once.
pub fn hosts_to_ask<'a>(
    hosts: impl Iterator<Item = &'a HostEntry>,
    own: &str,
    key: StreamKey,
) -> Vec<&'a HostEntry> {
    candidates(hosts, own, key, HOSTS_ASKED)
        .into_iter()
        .flatten()
        .collect()
}

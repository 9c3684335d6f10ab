//! Which engines of its zone a host works with first: a few that it is back at soon, so that its connections to them
//! are used again and what it sees of them is new.
//!
//! Answers fleets of many hosts, each with little traffic: one with a stream a second before 41 engines is back at the
//! same one after 40 s, and servers close idle connections after ten. With the subset 0.83 of the prompts and 0.55 of the
//! decodes find one open (a quiet day of 295 hosts before 256 engines). A plain function of the lists, so that all hosts
//! agree without talking; where there are few hosts the subset is all engines.

use {
    crate::peer,
    faststr::FastStr,
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BTreeSet},
    },
};

/// Hosts that work with an engine on the mean: their unequal shares of the callers even out, and the loss of one leaves it
/// in use.
const HOSTS_PER_ENGINE: usize = 6;

/// Engines that a host works with at the least: one may be full, another failing.
const ENGINES_LEAST: usize = 3;

/// Most hosts at an engine, and least, against the mean: an engine with fewer is chosen before the others.
const COVER_MOST: f64 = 1.25;
const COVER_LEAST: f64 = 0.4;

/// How many engines each of so many hosts works with.
pub fn subset_size(hosts: usize, engines: usize) -> usize {
    let wanted = (HOSTS_PER_ENGINE * engines).div_ceil(hosts.max(1));
    wanted.max(ENGINES_LEAST).min(engines)
}

/// The engines that a host works with first; all where they are few, or the host is not listed yet.
pub fn subset_of(own: &FastStr, hosts: &[FastStr], engines: &[FastStr]) -> BTreeSet<FastStr> {
    if subset_size(hosts.len(), engines.len()) == engines.len() {
        return engines.iter().cloned().collect();
    }
    let mut subsets = all_subsets(hosts, engines);
    subsets
        .remove(own)
        .unwrap_or_else(|| engines.iter().cloned().collect())
}

/// The engines that each host works with first: the ones drawn most to it (rendezvous hashing), as long as they have
/// neither their full number of hosts nor too few. Hosts choose in an order of their own, so that a host or engine which
/// comes or goes moves few others.
pub fn all_subsets(hosts: &[FastStr], engines: &[FastStr]) -> BTreeMap<FastStr, BTreeSet<FastStr>> {
    let size = subset_size(hosts.len(), engines.len());
    let mean = (hosts.len() * size) as f64 / engines.len().max(1) as f64;
    let most = (mean * COVER_MOST).ceil() as usize;
    let mut counts: BTreeMap<&FastStr, usize> = BTreeMap::new();
    let mut order: Vec<&FastStr> = hosts.iter().collect();
    order.sort_by_cached_key(|host| peer::draw(host, "subset"));
    let mut subsets = BTreeMap::new();
    for (index, host) in order.into_iter().enumerate() {
        let least = (mean * COVER_LEAST * index as f64 / hosts.len() as f64) as usize;
        let chosen = choose(host, engines, size, |engine| {
            let count = counts.get(engine).copied().unwrap_or_default();
            (count < most).then_some(count < least)
        });
        for engine in &chosen {
            *counts.entry(engine).or_default() += 1;
        }
        subsets.insert(host.clone(), chosen.into_iter().cloned().collect());
    }
    subsets
}

// `needs_hosts` says whether an engine comes before the others; none where it has its full number of hosts.
fn choose<'a>(
    host: &str,
    engines: &'a [FastStr],
    size: usize,
    needs_hosts: impl Fn(&FastStr) -> Option<bool>,
) -> Vec<&'a FastStr> {
    let ranked = engines.iter().filter_map(|engine| {
        let first = needs_hosts(engine)?;
        Some(((first, peer::draw(host, engine)), engine))
    });
    let mut ranked: Vec<((bool, u64), &FastStr)> = ranked.collect();
    ranked.sort_by_key(|(rank, _)| Reverse(*rank));
    ranked.truncate(size);
    ranked.into_iter().map(|(_, engine)| engine).collect()
}

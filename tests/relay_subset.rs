//! Engine subsets: large enough, evenly spread, and stable when hosts or engines are added or removed.

use {
    bayplank::relay,
    bolero::check,
    faststr::FastStr,
    std::collections::{BTreeMap, BTreeSet},
};

fn names(prefix: &str, count: usize) -> Vec<FastStr> {
    (0..count)
        .map(|index| FastStr::from_string(format!("{prefix}-{index}")))
        .collect()
}

fn cover(subsets: &BTreeMap<FastStr, BTreeSet<FastStr>>) -> BTreeMap<FastStr, usize> {
    let mut counts = BTreeMap::new();
    for engine in subsets.values().flatten() {
        *counts.entry(engine.clone()).or_default() += 1;
    }
    counts
}

// Number of engines that were added to the subsets of the remaining hosts.
fn moved(
    before: &BTreeMap<FastStr, BTreeSet<FastStr>>,
    after: &BTreeMap<FastStr, BTreeSet<FastStr>>,
) -> usize {
    let stay = after
        .iter()
        .filter_map(|(host, engines)| Some((before.get(host)?, engines)));
    stay.map(|(before, after)| after.difference(before).count())
        .sum()
}

#[test]
fn subsets_are_small_with_many_hosts_and_contain_all_engines_with_few() {
    // Decode and prefill engines of a zone with 59 hosts, of one with 60 hosts and 243 engines, of one with 3 and 4.
    assert_eq!(relay::subset_size(59, 37), 4);
    assert_eq!(relay::subset_size(59, 14), 3);
    assert_eq!(relay::subset_size(60, 180), 18);
    assert_eq!(relay::subset_size(3, 4), 4);
    assert_eq!(relay::subset_size(9, 1), 1);
    let (hosts, engines) = (names("h", 3), names("e", 4));
    assert!(
        relay::all_subsets(&hosts, &engines)
            .values()
            .all(|subset| subset.len() == 4)
    );
}

#[test]
fn a_host_that_is_not_listed_yet_prefers_all_engines() {
    let engines = names("e", 30);
    let subset = relay::subset_of(&"new".into(), &names("h", 59), &engines);
    assert_eq!(subset.len(), 30);
}

#[test]
fn engines_have_similar_numbers_of_hosts_and_none_has_zero() {
    check!()
        .with_type::<(u8, u8)>()
        .for_each(|(hosts, engines)| {
            let hosts = names("h", 20 + usize::from(hosts % 60));
            let engines = names("e", 5 + usize::from(engines % 60));
            let subsets = relay::all_subsets(&hosts, &engines);
            let size = relay::subset_size(hosts.len(), engines.len());
            let mean = (hosts.len() * size) as f64 / engines.len() as f64;
            let counts = cover(&subsets);
            assert_eq!(counts.len(), engines.len(), "each engine has a host");
            assert!(
                counts
                    .values()
                    .all(|count| *count as f64 <= (mean * 1.25).ceil())
            );
        });
}

#[test]
fn the_work_grows_with_a_zone_and_not_with_hosts_times_engines() {
    let visited = |hosts, engines| {
        relay::plan_subsets(&names("h", hosts), &names("e", engines)).engines_visited
    };
    let (small, large) = (visited(60, 180), visited(600, 1_800));
    assert!(
        large <= 12 * small,
        "{small} engines visited for 60 hosts and 180 engines, {large} for ten times as many"
    );
}

#[test]
fn adding_or_removing_a_host_or_engine_changes_few_subsets() {
    let (hosts, engines) = (names("h", 59), names("e", 37));
    let before = relay::all_subsets(&hosts, &engines);
    let all = 59 * relay::subset_size(59, 37);
    let one_more = relay::all_subsets(&names("h", 60), &engines);
    let one_less = relay::all_subsets(&hosts[..58], &engines);
    for after in [&one_more, &one_less] {
        assert!(
            moved(&before, after) <= all / 6,
            "{} of {all}",
            moved(&before, after)
        );
    }
    let engine_gone = relay::all_subsets(&hosts, &engines[..36]);
    let had = cover(&before)[&engines[36]];
    let others = moved(&before, &engine_gone);
    assert!(others <= had + all / 6, "{others} for {had} of {all}");
}

//! How many engines compute prompts and how many decode, and which of them change their role for that.
//!
//! Plain functions: the listed engines go in, the changes come out.

use {
    crate::{engine::EngineRole, relay::backend::BackendInfo},
    faststr::FastStr,
    std::collections::BTreeMap,
};

/// Part of a service's engines that compute prompts, and what is added for bursts per square root of their
/// number, before any traffic is known. Prompts queue where they are sent, while memory can be looked for elsewhere, so
/// prefill engines are to be the less busy.
const PREFILL_SHARE: f64 = 0.26;
const PREFILL_SPARE: f64 = 0.1;

/// An engine that is to change its role.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RoleChange {
    /// The engine.
    pub engine: BackendInfo,
    /// Its new role.
    pub role: EngineRole,
}

/// The changes that bring a service's engines to their split, spread evenly over the zones.
pub fn plan_roles(engines: &[BackendInfo]) -> Vec<RoleChange> {
    let mut zones: BTreeMap<&FastStr, Vec<&BackendInfo>> = BTreeMap::new();
    for engine in engines
        .iter()
        .filter(|engine| !engine.leaving && engine.role.is_some())
    {
        zones.entry(&engine.zone).or_default().push(engine);
    }
    let sizes: Vec<usize> = zones.values().map(Vec::len).collect();
    let wanted = wanted_prefills(&sizes);
    let planned = zones.into_values().zip(wanted);
    planned
        .flat_map(|(engines, wanted)| plan_zone(engines, wanted))
        .collect()
}

/// How many engines of each zone are to compute prompts, by the sizes of the zones.
pub fn wanted_prefills(sizes: &[usize]) -> Vec<usize> {
    let all: usize = sizes.iter().sum();
    let total = wanted_total(all);
    let exact = |size: usize| (total * size) as f64 / all.max(1) as f64;
    let mut wanted: Vec<usize> = sizes.iter().map(|size| exact(*size) as usize).collect();
    let mut order: Vec<usize> = (0..sizes.len()).collect();
    // What is left goes to the zones with the largest remainders.
    order.sort_by(|a, b| {
        let rest = |index: usize| exact(sizes[index]).fract();
        rest(*b).total_cmp(&rest(*a))
    });
    let missing = total - wanted.iter().sum::<usize>();
    for index in order.into_iter().take(missing) {
        wanted[index] += 1;
    }
    wanted
}

fn wanted_total(engines: usize) -> usize {
    let engines = engines as f64;
    let wanted = engines * PREFILL_SHARE + engines.sqrt() * PREFILL_SPARE;
    wanted.round().max(1.0).min(engines) as usize
}

fn plan_zone(mut engines: Vec<&BackendInfo>, wanted: usize) -> Vec<RoleChange> {
    engines.sort_by(|a, b| a.id.cmp(&b.id));
    let (prefills, decodes): (Vec<&BackendInfo>, Vec<&BackendInfo>) = engines
        .into_iter()
        .partition(|engine| engine.role == Some(EngineRole::Prefill));
    let change = |role: EngineRole| {
        move |engine: &BackendInfo| RoleChange {
            engine: engine.clone(),
            role,
        }
    };
    if prefills.len() > wanted {
        let surplus = prefills.len() - wanted;
        let changed = prefills.into_iter().take(surplus);
        return changed.map(change(EngineRole::Decode)).collect();
    }
    // One engine alone computes and decodes by itself.
    let missing = (wanted - prefills.len()).min(decodes.len().saturating_sub(1));
    let changed = decodes.into_iter().take(missing);
    changed.map(change(EngineRole::Prefill)).collect()
}

/// The changes that are worth their time while requests are served: those of the split as a whole. Changes that
/// only move the split from one zone to another would take two engines away for seconds and leave as many in
/// each role.
pub fn plan_in_service(engines: &[BackendInfo]) -> Vec<RoleChange> {
    let (to_prefill, to_decode): (Vec<RoleChange>, Vec<RoleChange>) = plan_roles(engines)
        .into_iter()
        .partition(|change| change.role == EngineRole::Prefill);
    let opposite = to_prefill.len().min(to_decode.len());
    let rest = |changes: Vec<RoleChange>| changes.into_iter().skip(opposite);
    rest(to_prefill).chain(rest(to_decode)).collect()
}

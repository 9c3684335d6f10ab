//! Split of the engines into prefill and decode roles, and the role changes that lead to it.
//!
//! Pure functions: the listed engines go in, the changes come out.

use {
    crate::{engine::EngineRole, relay::backend::BackendInfo},
    faststr::FastStr,
    std::collections::BTreeMap,
};

/// Fraction of a service's engines with the prefill role, and the spare for bursts per square root of their number.
/// They are fixed before any traffic is known. Prompts queue at the engine that they are sent to, whereas decode
/// memory can be sought at other engines, so prefill engines should be the less busy ones.
const PREFILL_SHARE: f64 = 0.26;
const PREFILL_SPARE: f64 = 0.1;

/// A planned role change of an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RoleChange {
    /// The engine.
    pub engine: BackendInfo,
    /// Its new role.
    pub role: EngineRole,
}

/// The role changes that bring a service's engines to the wanted split, spread evenly over the zones.
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

/// The wanted number of prefill engines of each zone, given the number of engines per zone.
pub fn wanted_prefills(sizes: &[usize]) -> Vec<usize> {
    let all: usize = sizes.iter().sum();
    let total = wanted_total(all);
    let exact = |size: usize| (total * size) as f64 / all.max(1) as f64;
    let mut wanted: Vec<usize> = sizes.iter().map(|size| exact(*size) as usize).collect();
    let mut order: Vec<usize> = (0..sizes.len()).collect();
    // Largest remainder method: the rest goes to the zones with the largest fractions.
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
    // The last decode engine of a zone keeps its role: one engine alone runs both stages.
    let missing = (wanted - prefills.len()).min(decodes.len().saturating_sub(1));
    let changed = decodes.into_iter().take(missing);
    changed.map(change(EngineRole::Prefill)).collect()
}

/// The role changes that are worthwhile while requests are served: only those that change the overall split. Changes
/// that cancel out between zones would take two engines out of service for seconds and leave as many in each role.
pub fn plan_in_service(engines: &[BackendInfo]) -> Vec<RoleChange> {
    let (to_prefill, to_decode): (Vec<RoleChange>, Vec<RoleChange>) = plan_roles(engines)
        .into_iter()
        .partition(|change| change.role == EngineRole::Prefill);
    let opposite = to_prefill.len().min(to_decode.len());
    let rest = |changes: Vec<RoleChange>| changes.into_iter().skip(opposite);
    rest(to_prefill).chain(rest(to_decode)).collect()
}

//! Split of the engines into prefill and decode roles.

mod backends;

use {
    crate::backends::backend,
    bayplank::{
        engine::EngineRole,
        relay::{self, BackendInfo},
    },
    bolero::check,
};

#[test]
fn prefill_engines_are_spread_over_the_zones() {
    check!().with_type::<Vec<u8>>().for_each(|sizes| {
        let sizes: Vec<usize> = sizes
            .iter()
            .take(8)
            .map(|size| usize::from(*size % 40))
            .collect();
        let wanted = relay::wanted_prefills(&sizes);
        let all: usize = sizes.iter().sum();
        let total: usize = wanted.iter().sum();
        // At least a quarter and at most a third.
        assert!(
            total >= all / 4 && total <= all.div_ceil(3),
            "{total} of {all}"
        );
        assert!(
            wanted
                .iter()
                .zip(&sizes)
                .all(|(wanted, size)| wanted <= size)
        );
    });
    assert_eq!(relay::wanted_prefills(&[4, 4, 4]), [1, 1, 1]);
    let total = |size| relay::wanted_prefills(&[size])[0];
    assert_eq!(
        [0, 1, 2, 9, 12, 18, 60, 90, 256].map(total),
        [0, 1, 1, 3, 3, 5, 16, 24, 68]
    );
}

#[test]
fn a_plan_makes_the_fewest_role_changes_and_is_stable_afterwards() {
    let mut engines: Vec<BackendInfo> = (0..12)
        .map(|index| {
            let zone = ["a", "b", "c"][index % 3];
            let role = [EngineRole::Prefill, EngineRole::Decode][index / 6];
            backend(&format!("e-{index}"), zone, Some(role))
        })
        .collect();
    let changes = relay::plan_roles(&engines);
    assert_eq!(changes.len(), 3);
    for change in changes {
        let engine = engines
            .iter_mut()
            .find(|engine| engine.id == change.engine.id);
        engine.unwrap().role = Some(change.role);
    }
    assert!(relay::plan_roles(&engines).is_empty());
    engines[0].leaving = true;
    assert!(relay::plan_roles(&engines).len() <= 1);
}

#[test]
fn while_serving_no_role_changes_only_shift_the_split_between_zones() {
    let prefill = Some(EngineRole::Prefill);
    let decode = Some(EngineRole::Decode);
    let engine = |id: &str, zone, role| backend(id, zone, role);
    // Two engines left zone c: the plan would move a prefill engine to another zone without changing their number.
    let engines = [
        engine("a-1", "a", decode),
        engine("a-2", "a", decode),
        engine("a-3", "a", decode),
        engine("b-1", "b", prefill),
        engine("b-2", "b", decode),
        engine("b-3", "b", decode),
        engine("c-1", "c", prefill),
    ];
    assert_eq!(relay::plan_roles(&engines).len(), 2, "a swap");
    assert!(relay::plan_in_service(&engines).is_empty());
    // A wrong overall split is corrected.
    let all: Vec<BackendInfo> = (0..9)
        .map(|index| backend(&format!("e-{index}"), ["a", "b", "c"][index % 3], prefill))
        .collect();
    let changes = relay::plan_in_service(&all);
    assert_eq!(changes.len(), 6);
    assert!(
        changes
            .iter()
            .all(|change| change.role == EngineRole::Decode)
    );
}

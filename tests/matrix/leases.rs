//! A zone's lease and the orders under it.

use {
    super::{CellRow, FaultCell},
    bayplank::{
        control::{FencedLease, LeaseKeeper, LeaseWrite, SeenLease},
        engine::{EngineRole, FencedOrder},
        standin::engine::{EngineCore, EngineParams},
    },
    faststr::FastStr,
    futures::FutureExt,
    std::{sync::Arc, time::Duration},
};

const LIFE: &str = "A lease and the orders under it";
const TIME: Duration = Duration::from_secs(10);

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn keeper(name: &'static str) -> LeaseKeeper {
    LeaseKeeper::new(FastStr::from_static_str(name), TIME)
}

// The store's side of a conditional write.
fn write(store: &mut SeenLease, write: &LeaseWrite) -> Option<u64> {
    if write.version != store.version {
        return None;
    }
    store.version += 1;
    store.spec = write.spec.clone();
    Some(store.version)
}

// One reading and, if the keeper wants it, one write, both answered.
fn step(keeper: &mut LeaseKeeper, store: &mut SeenLease, now: Duration) {
    if let Some(wanted) = keeper.read(store.clone(), now) {
        match write(store, &wanted) {
            Some(version) => {
                keeper.written(&wanted, version, now);
            }
            None => keeper.lost(),
        }
    }
}

fn holds(keepers: &[&LeaseKeeper], now: Duration) -> String {
    let held: Vec<String> = keepers
        .iter()
        .zip(["first", "second"])
        .filter_map(|(keeper, name)| {
            let lease = keeper.held(now)?;
            Some(format!("{name} with token {}", lease.token))
        })
        .collect();
    match held.is_empty() {
        true => "nobody may order".to_owned(),
        false => format!("{} may order", held.join(" and ")),
    }
}

fn contend() -> String {
    let (mut first, mut second) = (keeper("first"), keeper("second"));
    let mut store = SeenLease::default();
    let one = first.read(store.clone(), at(0)).expect("free");
    let two = second.read(store.clone(), at(0)).expect("free");
    let version = write(&mut store, &one).expect("first");
    first.written(&one, version, at(0));
    assert_eq!(write(&mut store, &two), None);
    second.lost();
    holds(&[&first, &second], at(1))
}

fn holder_dies() -> String {
    let (mut first, mut second) = (keeper("first"), keeper("second"));
    let mut store = SeenLease::default();
    step(&mut first, &mut store, at(0));
    for second_of_wait in 1..=11 {
        step(&mut second, &mut store, at(second_of_wait));
        assert_eq!(second.held(at(second_of_wait)), None, "waits the lease out");
    }
    step(&mut second, &mut store, at(14));
    holds(&[&first, &second], at(14))
}

fn holder_wakes() -> String {
    let (mut first, mut second) = (keeper("first"), keeper("second"));
    let mut store = SeenLease::default();
    step(&mut first, &mut store, at(0));
    step(&mut second, &mut store, at(1));
    step(&mut second, &mut store, at(14));
    // Paused since 0; looks at its lease before it orders.
    holds(&[&first, &second], at(15))
}

fn renewals() -> String {
    let (mut first, mut second) = (keeper("first"), keeper("second"));
    let mut store = SeenLease::default();
    for now in (0..60).step_by(3) {
        step(&mut first, &mut store, at(now));
        step(&mut second, &mut store, at(now));
    }
    holds(&[&first, &second], at(58))
}

fn acquire_answer_lost() -> String {
    let mut first = keeper("first");
    let mut store = SeenLease::default();
    let wanted = first.read(store.clone(), at(0)).expect("free");
    write(&mut store, &wanted).expect("took effect");
    assert_eq!(first.held(at(0)), None, "nothing is held on hope");
    step(&mut first, &mut store, at(1));
    holds(&[&first], at(1))
}

fn stale_reading() -> String {
    let (mut first, mut second) = (keeper("first"), keeper("second"));
    let mut store = SeenLease::default();
    let old = store.clone();
    step(&mut first, &mut store, at(0));
    step(&mut second, &mut store, at(1));
    assert_eq!(
        second.read(old, at(2)),
        None,
        "an old reading frees nothing"
    );
    holds(&[&first, &second], at(2))
}

fn lost_unheard_by_holder() -> String {
    let (mut first, mut second) = (keeper("first"), keeper("second"));
    let mut store = SeenLease::default();
    step(&mut first, &mut store, at(0));
    step(&mut second, &mut store, at(0));
    let mut store = SeenLease::default();
    second.wait_out(at(1));
    for now in 1..=12 {
        step(&mut second, &mut store, at(now));
        let held = second.held(at(now));
        assert_eq!(held, None, "the holder may not have heard of it");
    }
    holds(&[&first, &second], at(7))
}

fn lost_and_waited_out() -> String {
    let (mut first, mut second) = (keeper("first"), keeper("second"));
    let mut store = SeenLease::default();
    step(&mut first, &mut store, at(0));
    let mut store = SeenLease::default();
    second.wait_out(at(1));
    step(&mut second, &mut store, at(13));
    holds(&[&first, &second], at(13))
}

fn lost_heard_by_holder() -> String {
    let mut first = keeper("first");
    let mut store = SeenLease::default();
    step(&mut first, &mut store, at(0));
    first.wait_out(at(1));
    holds(&[&first], at(1))
}

// A write of before the loss finds its condition true again; another host has taken the lease meanwhile.
fn late_write_after_loss() -> String {
    let (mut first, mut second) = (keeper("first"), keeper("second"));
    let mut store = SeenLease::default();
    let late = first.read(store.clone(), at(0)).expect("free");
    first.wait_out(at(1));
    write(&mut store, &late).expect("its condition is true again");
    for now in 2..=12 {
        step(&mut first, &mut store, at(now));
        assert_eq!(first.held(at(now)), None, "its own name proves nothing");
    }
    step(&mut second, &mut store, at(2));
    holds(&[&first, &second], at(12))
}

fn platform_gone() -> String {
    let mut first = keeper("first");
    let mut store = SeenLease::default();
    step(&mut first, &mut store, at(0));
    holds(&[&first], at(9))
}

fn order(token: u64) -> FencedOrder {
    FencedOrder {
        token,
        role: EngineRole::Decode,
        models: Vec::new(),
    }
}

// A late order of an old holder, after a new holder's.
fn old_order(checks_token: bool) -> String {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        let params = EngineParams {
            checks_token,
            ..EngineParams::default()
        };
        let fetch = Arc::new(|_, _| async { unreachable!("nothing is fetched") }.boxed());
        let name = FastStr::from_static_str("e");
        let core = EngineCore::start(name, EngineRole::Prefill, Vec::new(), params, fetch);
        core.order(&order(5)).expect("the new holder's");
        let late = core.order(&FencedOrder {
            role: EngineRole::Prefill,
            ..order(3)
        });
        let role = core.load().role;
        match (late.is_ok(), role) {
            (false, EngineRole::Decode) => "refused; the newer order holds".to_owned(),
            (true, EngineRole::Prefill) => {
                "taken; the holder sees it at its next look and orders again".to_owned()
            }
            other => format!("{other:?}"),
        }
    })
}

fn checked() -> String {
    old_order(true)
}

fn unchecked() -> String {
    old_order(false)
}

fn too_little_time() -> String {
    let mut first = keeper("first");
    let mut store = SeenLease::default();
    step(&mut first, &mut store, at(0));
    let held: Option<FencedLease> = first.held(at(7) + Duration::from_secs(2));
    match held {
        None => "no order is begun".to_owned(),
        Some(_) => "an order is begun".to_owned(),
    }
}

const CELLS: &[CellRow] = &[
    (
        "free",
        "two hosts take it at once",
        "first with token 1 may order",
        contend,
    ),
    (
        "being taken",
        "the answer to the write is lost",
        "first with token 1 may order",
        acquire_answer_lost,
    ),
    ("held", "none", "first with token 1 may order", renewals),
    (
        "held",
        "the holder dies",
        "second with token 2 may order",
        holder_dies,
    ),
    (
        "held",
        "the holder is paused and wakes",
        "second with token 2 may order",
        holder_wakes,
    ),
    (
        "held",
        "the store answers with an old state",
        "first with token 1 may order",
        stale_reading,
    ),
    (
        "held",
        "the store loses it, another host hears of that first",
        "first with token 1 may order",
        lost_unheard_by_holder,
    ),
    (
        "held",
        "the store loses it, another host has waited for the holder's time",
        "second with token 1 may order",
        lost_and_waited_out,
    ),
    (
        "held",
        "the store loses it and the holder hears of that",
        "nobody may order",
        lost_heard_by_holder,
    ),
    (
        "being taken",
        "the store loses it, a write of before is done late",
        "nobody may order",
        late_write_after_loss,
    ),
    (
        "held",
        "the platform is gone",
        "nobody may order",
        platform_gone,
    ),
    (
        "held",
        "too little time is left for an order",
        "no order is begun",
        too_little_time,
    ),
    (
        "ordered",
        "an old holder's order comes late, the engine checks",
        "refused; the newer order holds",
        checked,
    ),
    (
        "ordered",
        "an old holder's order comes late, the engine does not check",
        "taken; the holder sees it at its next look and orders again",
        unchecked,
    ),
];

pub fn cells() -> Vec<FaultCell> {
    super::run_cells(LIFE, CELLS)
}

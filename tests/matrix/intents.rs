//! An operators' intent, from its write to being in force on a host.

use {
    super::{CellRow, FaultCell},
    bayplank::{
        control::{AcceptedConfig, ConfigKeeper, ConfigOffer, ConfigStep},
        object::{AnyObject, kind},
        store::ObjectList,
    },
    faststr::FastStr,
    serde_json::json,
};

const LIFE: &str = "An operators' intent";

/// A store whose answers can be kept for later.
#[derive(Default)]
struct FakeStore {
    list: ObjectList,
}

impl FakeStore {
    // A conditional write; the version is the one that the writer read.
    fn put(&mut self, mut object: AnyObject) -> bool {
        let there = self.list.items.iter().position(|known| {
            known.kind == object.kind && known.metadata.name == object.metadata.name
        });
        let version = there.map_or(0, |at| self.list.items[at].metadata.resource_version);
        if version != object.metadata.resource_version {
            return false;
        }
        self.list.resource_version += 1;
        object.metadata.resource_version = self.list.resource_version;
        match there {
            Some(at) => self.list.items[at] = object,
            None => self.list.items.push(object),
        }
        true
    }

    fn version(&self, kind: &str) -> u64 {
        let mut items = self.list.items.iter();
        let found = items.find(|object| object.kind == kind);
        found.map_or(0, |object| object.metadata.resource_version)
    }

    fn set_pool(&mut self, prompt_limit: u64) {
        let mut object = pool(prompt_limit);
        object.metadata.resource_version = self.version(kind::POOL);
        assert!(self.put(object));
    }
}

fn pool(prompt_limit: u64) -> AnyObject {
    serde_json::from_value(json!({
        "kind": "Pool",
        "metadata": {"name": "p"},
        "spec": {
            "model": "m",
            "role": "prefill",
            "selector": {"matchLabels": {"role": "prefill"}},
            "maxPromptTokens": prompt_limit,
        },
    }))
    .expect("an object")
}

// Reads the store and writes what is to be accepted, like a watching host.
fn watch(keeper: &mut ConfigKeeper, store: &mut FakeStore) {
    for _ in 0..3 {
        let list = store.list.clone();
        if let (_, ConfigStep::Accept(object)) = keeper.read_store(&list) {
            store.put(*object);
        }
    }
}

fn in_force(keeper: &ConfigKeeper) -> String {
    let limit = keeper
        .objects()
        .pools
        .get("p")
        .map(|pool| pool.spec.max_prompt_tokens);
    let generation = keeper.in_force().generation;
    match limit {
        Some(limit) => format!("generation {generation}, limit {limit} in force"),
        None => "nothing in force".to_owned(),
    }
}

fn started() -> (FakeStore, ConfigKeeper) {
    let mut store = FakeStore::default();
    let mut keeper = ConfigKeeper::default();
    store.set_pool(100);
    watch(&mut keeper, &mut store);
    (store, keeper)
}

fn config_of(store: &FakeStore) -> AcceptedConfig {
    let mut items = store.list.items.iter();
    let object = items
        .find(|object| object.kind == kind::ACCEPTED)
        .expect("accepted");
    serde_json::from_value(object.spec.clone()).expect("a configuration")
}

fn stale_read() -> String {
    let (mut store, mut keeper) = started();
    let old = store.list.clone();
    store.set_pool(200);
    watch(&mut keeper, &mut store);
    let (offer, step) = keeper.read_store(&old);
    assert_eq!((offer, step), (ConfigOffer::Older, ConfigStep::Nothing));
    in_force(&keeper)
}

fn half_stale_read() -> String {
    // The accepted configuration is read as it is, the operators' objects as they were.
    let (mut store, mut keeper) = started();
    let old_pool = store.list.items[0].clone();
    store.set_pool(200);
    watch(&mut keeper, &mut store);
    let mut torn = store.list.clone();
    torn.items[0] = old_pool;
    torn.resource_version = config_of(&store).source_version - 1;
    if let (_, ConfigStep::Accept(object)) = keeper.read_store(&torn) {
        store.put(*object);
    }
    watch(&mut keeper, &mut store);
    in_force(&keeper)
}

fn faulty() -> String {
    let (mut store, mut keeper) = started();
    store.set_pool(0);
    watch(&mut keeper, &mut store);
    let (_, step) = keeper.read_store(&store.list);
    let ConfigStep::Reject(faults) = step else {
        return "accepted".to_owned();
    };
    let named = faults[0].field == FastStr::from_static_str("spec.maxPromptTokens");
    assert!(named, "the field is named");
    in_force(&keeper)
}

fn watch_fell_behind() -> String {
    let (mut store, mut keeper) = started();
    for limit in [200, 300, 400] {
        store.set_pool(limit);
    }
    watch(&mut keeper, &mut store);
    in_force(&keeper)
}

fn two_accept() -> String {
    let (mut store, mut keeper) = started();
    let mut other = ConfigKeeper::default();
    watch(&mut other, &mut store);
    store.set_pool(200);
    let list = store.list.clone();
    let steps = [keeper.read_store(&list).1, other.read_store(&list).1];
    let written: Vec<bool> = steps
        .into_iter()
        .map(|step| match step {
            ConfigStep::Accept(object) => store.put(*object),
            _ => false,
        })
        .collect();
    assert_eq!(written, [true, false], "one of them accepts");
    watch(&mut keeper, &mut store);
    watch(&mut other, &mut store);
    assert_eq!(in_force(&keeper), in_force(&other));
    in_force(&keeper)
}

fn lost_answer() -> String {
    // The accepting host never hears that its write took effect, and reads again.
    let (mut store, mut keeper) = started();
    store.set_pool(200);
    let (_, ConfigStep::Accept(object)) = keeper.read_store(&store.list.clone()) else {
        return "not accepted".to_owned();
    };
    store.put(*object);
    watch(&mut keeper, &mut store);
    in_force(&keeper)
}

fn restarted_host() -> String {
    let (mut store, mut keeper) = started();
    store.set_pool(200);
    watch(&mut keeper, &mut store);
    // Knows nothing, reaches only a peer.
    let mut fresh = ConfigKeeper::default();
    assert_eq!(in_force(&fresh), "nothing in force");
    fresh.offer((*keeper.in_force()).clone());
    in_force(&fresh)
}

fn older_from_peer() -> String {
    let (mut store, mut keeper) = started();
    let old = (*keeper.in_force()).clone();
    store.set_pool(200);
    watch(&mut keeper, &mut store);
    assert_eq!(keeper.offer(old), ConfigOffer::Older);
    in_force(&keeper)
}

fn rejoined_zone() -> String {
    let (mut store, mut keeper) = started();
    let mut cut = ConfigKeeper::default();
    cut.offer((*keeper.in_force()).clone());
    for limit in [200, 300] {
        store.set_pool(limit);
        watch(&mut keeper, &mut store);
    }
    assert_eq!(in_force(&cut), "generation 1, limit 100 in force");
    cut.offer((*keeper.in_force()).clone());
    in_force(&cut)
}

fn operators_race() -> String {
    let (mut store, mut keeper) = started();
    let version = store.version(kind::POOL);
    let mut first = pool(200);
    let mut second = pool(300);
    first.metadata.resource_version = version;
    second.metadata.resource_version = version;
    assert!(store.put(first));
    assert!(!store.put(second), "the second operator gets a conflict");
    watch(&mut keeper, &mut store);
    in_force(&keeper)
}

const CELLS: &[CellRow] = &[
    (
        "written",
        "two operators race",
        "generation 2, limit 200 in force",
        operators_race,
    ),
    (
        "written",
        "the set does not pass the checks",
        "generation 1, limit 100 in force",
        faulty,
    ),
    (
        "written",
        "the watch fell behind by several changes",
        "generation 2, limit 400 in force",
        watch_fell_behind,
    ),
    (
        "being accepted",
        "two hosts accept at once",
        "generation 2, limit 200 in force",
        two_accept,
    ),
    (
        "being accepted",
        "the answer to the write is lost",
        "generation 2, limit 200 in force",
        lost_answer,
    ),
    (
        "in force",
        "the store answers with an old state",
        "generation 2, limit 200 in force",
        stale_read,
    ),
    (
        "in force",
        "the store answers partly with an old state",
        "generation 2, limit 200 in force",
        half_stale_read,
    ),
    (
        "in force",
        "a peer offers an older one",
        "generation 2, limit 200 in force",
        older_from_peer,
    ),
    (
        "in force",
        "the host restarts and reaches only a peer",
        "generation 2, limit 200 in force",
        restarted_host,
    ),
    (
        "in force",
        "a cut-off zone joins again",
        "generation 3, limit 300 in force",
        rejoined_zone,
    ),
];

pub fn cells() -> Vec<FaultCell> {
    super::run_cells(LIFE, CELLS)
}

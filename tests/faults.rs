//! The most telling faults over real sockets: hosts killed, the platform gone, stale or mute,
//! engines that leave or change their role.

mod common;

use {
    bayplank::{
        engine::EngineRole,
        object::{AnyObject, kind},
        standin::{
            caller::{Caller, StreamFailure, StreamedEvent},
            fleet::Fleet,
        },
    },
    common::{KEY, MODEL, expected, prefills, start, wait},
    std::{net::SocketAddr, time::Duration},
};

fn host(fleet: &Fleet, name: &str) -> SocketAddr {
    fleet.hosts[name].running.addresses.callers
}

fn generations(fleet: &Fleet) -> Vec<u64> {
    fleet
        .hosts
        .values()
        .map(|host| host.running.traffic.snapshot.load().generation)
        .collect()
}

fn live_peers(fleet: &Fleet, name: &str) -> usize {
    let snapshot = fleet.hosts[name].running.traffic.snapshot.load();
    snapshot.peers.iter().filter(|peer| peer.is_live).count()
}

fn change_priority(fleet: &Fleet, priority: u8) {
    let mut intent = fleet
        .platform
        .get(kind::INTENT, "specs")
        .expect("an intent");
    intent.spec["priority"] = priority.into();
    fleet.apply(intent).expect("applied");
}

fn priority_in_force(fleet: &Fleet, name: &str) -> u8 {
    let snapshot = fleet.hosts[name].running.traffic.snapshot.load();
    let mut intents = snapshot.objects.intents.iter();
    let intent = intents.find(|intent| intent.metadata.name == "specs");
    intent.map_or(0, |intent| intent.spec.priority)
}

#[test]
fn a_stream_goes_on_through_another_host() {
    let (mut fleet, runtime) = start(2);
    let caller = Caller::new(KEY);
    let prompt = "a stream that outlives its host";
    let first = host(&fleet, "zone-a-entry-1");
    let mut stream = runtime
        .block_on(caller.stream(first, MODEL, prompt, None, None))
        .expect("a stream");
    let (mut text, mut last) = (String::new(), String::new());
    for _ in 0..5 {
        let StreamedEvent::Token { id, text: token } = runtime.block_on(stream.next()) else {
            panic!("a token");
        };
        text.push_str(&token);
        last = id;
    }
    fleet.kill_host("zone-a-entry-1");
    let second = host(&fleet, "zone-a-entry-2");
    let (rest, _, end) = runtime.block_on(async {
        let resumed = caller
            .stream(second, MODEL, prompt, None, Some(&last))
            .await;
        resumed.expect("a stream").finish().await
    });
    assert_eq!(end, StreamedEvent::Done);
    assert_eq!(text + &rest, expected(prompt));
    assert_eq!(prefills(&fleet), 1, "nothing was computed twice");
}

#[test]
fn another_tenant_does_not_get_the_stream() {
    let (fleet, runtime) = start(1);
    let address = host(&fleet, "zone-a-entry-1");
    let prompt = "a private prompt";
    let owner = Caller::new(KEY);
    let mut stream = runtime
        .block_on(owner.stream(address, MODEL, prompt, None, None))
        .expect("a stream");
    let StreamedEvent::Token { id, .. } = runtime.block_on(stream.next()) else {
        panic!("a token");
    };
    let stranger = Caller::new("demo-key-lintas");
    let taken = runtime.block_on(stranger.stream(address, MODEL, "x", None, Some(&id)));
    match taken {
        Err(StreamFailure::Refused(reply)) => assert_eq!(reply.status, 410, "{}", reply.body),
        _ => panic!("refused"),
    }
}

#[test]
fn survivors_free_what_a_killed_host_held() {
    let (mut fleet, runtime) = start(3);
    wait(&fleet, "hosts to know each other", || {
        live_peers(&fleet, "zone-a-entry-2") == 2
    });
    for engine in fleet.engines.values() {
        // Slow enough that the answer is not over before the sweep.
        engine.core.change_params(|params| {
            params.step_base = Duration::from_millis(400);
        });
    }
    let caller = Caller::new(KEY);
    let address = host(&fleet, "zone-a-entry-1");
    let mut stream = runtime
        .block_on(caller.stream(address, MODEL, "left behind", None, None))
        .expect("a stream");
    assert!(matches!(
        runtime.block_on(stream.next()),
        StreamedEvent::Token { .. }
    ));
    assert_eq!(fleet.held(), 1);
    fleet.kill_host("zone-a-entry-1");
    wait(&fleet, "the sweep", || fleet.held() == 0);
    let counts: Vec<_> = fleet.engines.values().map(|e| e.core.counts()).collect();
    assert_eq!(counts.iter().map(|c| c.answers).sum::<u64>(), 0);
    assert_eq!(counts.iter().map(|c| c.cancelled).sum::<u64>(), 1);
}

#[test]
fn a_change_is_in_force_everywhere_and_only_two_hosts_watch() {
    let (fleet, _runtime) = start(4);
    let all_live = || fleet.hosts.keys().all(|name| live_peers(&fleet, name) == 3);
    wait(&fleet, "hosts to know each other", all_live);
    change_priority(&fleet, 7);
    let in_force = || {
        fleet
            .hosts
            .keys()
            .all(|name| priority_in_force(&fleet, name) == 7)
    };
    wait(&fleet, "the change", in_force);
    let generations = generations(&fleet);
    assert!(
        generations
            .iter()
            .all(|generation| *generation == generations[0])
    );
}

#[test]
fn a_deleted_object_is_gone_everywhere() {
    let (fleet, _runtime) = start(4);
    let intent = fleet
        .platform
        .get(kind::INTENT, "grinding-orders")
        .expect("an intent");
    let version = intent.metadata.resource_version;
    let deleted = fleet
        .platform
        .delete(kind::INTENT, "grinding-orders", version);
    deleted.expect("deleted");
    wait(&fleet, "the deletion", || {
        fleet.hosts.values().all(|host| {
            let snapshot = host.running.traffic.snapshot.load();
            snapshot.objects.intents.len() == 1
        })
    });
}

#[test]
fn a_faulty_change_leaves_the_last_good_one_in_force() {
    let (fleet, _runtime) = start(2);
    let before = generations(&fleet)[0];
    change_priority(&fleet, 99);
    let seen = fleet.platform.counts().reads;
    let read_again = || fleet.platform.counts().reads > seen + 2;
    wait(&fleet, "the hosts to read", read_again);
    assert_eq!(generations(&fleet), [before, before]);
    change_priority(&fleet, 3);
    let in_force = || {
        fleet
            .hosts
            .keys()
            .all(|name| priority_in_force(&fleet, name) == 3)
    };
    wait(&fleet, "the correction", in_force);
}

#[test]
fn lost_answers_and_stale_reads_revert_nothing() {
    let (fleet, _runtime) = start(2);
    fleet
        .platform
        .set_faults(|faults| faults.lose_answers = true);
    change_priority(&fleet, 7);
    let in_force = || {
        fleet
            .hosts
            .keys()
            .all(|name| priority_in_force(&fleet, name) == 7)
    };
    wait(&fleet, "the change", in_force);
    fleet.platform.set_faults(|faults| {
        faults.lose_answers = false;
        faults.stale = true;
    });
    change_priority(&fleet, 8);
    let reads = fleet.platform.counts().reads;
    let read_again = || fleet.platform.counts().reads > reads + 4;
    wait(&fleet, "stale reads", read_again);
    assert!(in_force(), "a stale read changes nothing");
    fleet.platform.set_faults(|faults| faults.stale = false);
    let in_force = || {
        fleet
            .hosts
            .keys()
            .all(|name| priority_in_force(&fleet, name) == 8)
    };
    wait(&fleet, "the newest", in_force);
}

#[test]
fn a_new_host_learns_all_from_its_peers_while_the_platform_is_gone() {
    let (mut fleet, runtime) = start(2);
    fleet.platform.set_faults(|faults| faults.down = true);
    fleet
        .start_host("zone-a-entry-3", "zone-a")
        .expect("a host");
    let known = || generations(&fleet).iter().all(|generation| *generation > 0);
    wait(&fleet, "the configuration", known);
    let caller = Caller::new(KEY);
    let address = host(&fleet, "zone-a-entry-3");
    let reply = runtime
        .block_on(caller.complete(address, MODEL, "served without a platform", None))
        .expect("an answer");
    assert_eq!(reply.text(), expected("served without a platform"));
    fleet.platform.set_faults(|faults| faults.down = false);
}

#[test]
fn a_leaving_engine_gets_no_new_work() {
    let (fleet, runtime) = start(2);
    let leaving = &fleet.engines["zone-a-decode-1"];
    leaving.core.set_leaving(true);
    let seen = || {
        fleet.hosts.values().all(|host| {
            let desk = &host.running.traffic.desk;
            let now = desk.now();
            desk.read(|desk| {
                let view = desk.view("zone-a-decode-1").expect("known");
                !view.is_usable(EngineRole::Decode, MODEL, now)
            })
        })
    };
    wait(&fleet, "the sign", seen);
    let caller = Caller::new(KEY);
    for index in 0..6 {
        let address = host(&fleet, "zone-a-entry-1");
        let prompt = format!("after the sign {index}");
        let reply = runtime
            .block_on(caller.complete(address, MODEL, &prompt, None))
            .expect("an answer");
        assert_eq!(reply.text(), expected(&prompt));
    }
    assert_eq!(
        leaving.core.counts().answers + leaving.core.counts().refused,
        0
    );
}

#[test]
fn an_engine_takes_the_role_that_its_pool_says() {
    let (mut fleet, _runtime) = start(2);
    // Listed as a decode engine, and started as a prefill engine.
    let name = "zone-a-decode-3";
    fleet
        .start_engine(name, "zone-a", EngineRole::Prefill)
        .expect("an engine");
    let address = fleet.engines[name].address;
    let labels = [("model", MODEL), ("role", "decode")];
    fleet
        .list_server(name, "zone-a", address, &labels, false)
        .expect("listed");
    let role = || fleet.engines[name].core.load().role == EngineRole::Decode;
    wait(&fleet, "the order", role);
}

#[test]
fn of_two_operators_one_gets_a_conflict() {
    let (fleet, _runtime) = start(1);
    let read: AnyObject = fleet
        .platform
        .get(kind::INTENT, "specs")
        .expect("an intent");
    let mut first = read.clone();
    first.spec["priority"] = 6.into();
    let mut second = read;
    second.spec["priority"] = 2.into();
    fleet.platform.put(first).expect("the first write");
    fleet.platform.put(second).expect_err("the second write");
    let in_force = || priority_in_force(&fleet, "zone-a-entry-1") == 6;
    wait(&fleet, "the first", in_force);
}

//! The mechanisms of a host whose cost depends on the size of the fleet.

use {
    super::{
        fleet_model::{FleetModel, MODEL_NOW},
        mechanism_cost::{CostTrigger, HostMechanism, MechanismCost},
    },
    crate::{
        engine::EngineRole,
        news_capnp::cluster_news,
        relay::{
            self, BackendInfo, CarrierFailure, CarrierQuery, CarrierTable, ClusterNews,
            ClusterState, EngineKey, EngineLoad, KindNews, LinkGroup, LoadAggregator, LoadReport,
            LoadReporter, OriginAnswer, PART_ENTRIES_MAX, PIECES_BYTES, PastTime, PlaceAllocator,
            PlaceMessage, PlaceRequest, REQUESTED_PIECES, RelayRoute, SeenSoftware,
            SendConstraints, SourceSelector, SourceSettings, StoreChange, StreamKey, StreamRecord,
        },
        store::StorePosition,
    },
    bytes::Bytes,
    std::{
        collections::BTreeMap,
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// Number of servers in the changes that are measured.
const CHANGED_SERVERS: usize = 10;

/// Engines that a host has requests at.
const BUSY_ENGINES: usize = 5;

/// All mechanisms.
pub const MECHANISMS: [HostMechanism; 15] = [
    HostMechanism {
        name: "subset of engines",
        trigger: CostTrigger::ServerChange,
        measure: plan_subset,
    },
    HostMechanism {
        name: "update of ten servers",
        trigger: CostTrigger::ServerChange,
        measure: update_servers,
    },
    HostMechanism {
        name: "ten changes to a follower",
        trigger: CostTrigger::ServerChange,
        measure: send_changes,
    },
    HostMechanism {
        name: "order of hosts",
        trigger: CostTrigger::HostChange,
        measure: order_hosts,
    },
    HostMechanism {
        name: "changed route to a follower",
        trigger: CostTrigger::ConfigChange,
        measure: send_changed_route,
    },
    HostMechanism {
        name: "configuration to a follower",
        trigger: CostTrigger::Start,
        measure: send_config,
    },
    HostMechanism {
        name: "choice of engines",
        trigger: CostTrigger::Request,
        measure: choose_engines,
    },
    HostMechanism {
        name: "choice of a plain server",
        trigger: CostTrigger::Request,
        measure: choose_plain,
    },
    HostMechanism {
        name: "place at a contended server",
        trigger: CostTrigger::Request,
        measure: lease_place,
    },
    HostMechanism {
        name: "host that carries a connection",
        trigger: CostTrigger::Request,
        measure: choose_carrier,
    },
    HostMechanism {
        name: "stream told to two hosts",
        trigger: CostTrigger::Request,
        measure: tell_stream,
    },
    HostMechanism {
        name: "stream asked of the hosts",
        trigger: CostTrigger::Request,
        measure: ask_for_stream,
    },
    HostMechanism {
        name: "sum of a zone's reports",
        trigger: CostTrigger::Report,
        measure: sum_reports,
    },
    HostMechanism {
        name: "list of servers to a follower",
        trigger: CostTrigger::Start,
        measure: send_servers,
    },
    HostMechanism {
        name: "list of hosts to a follower",
        trigger: CostTrigger::Start,
        measure: send_hosts,
    },
];

// Runs an operation, and returns its result with the processor time that it took.
fn timed<T>(operation: impl FnOnce() -> T) -> (T, Duration) {
    let start = Instant::now();
    let result = operation();
    (result, start.elapsed())
}

fn plan_subset(model: &FleetModel) -> MechanismCost {
    let hosts = model.zone_hosts();
    let pools = model.registry().zone_engines(&model.own().zone, MODEL_NOW);
    let (plans, time) = timed(|| {
        let plans = pools
            .iter()
            .map(|engines| relay::plan_subsets(&hosts, engines));
        plans.collect::<Vec<_>>()
    });
    MechanismCost {
        visited: plans.iter().map(|plan| plan.engines_visited as u64).sum(),
        time,
        ..MechanismCost::default()
    }
}

fn leaving_servers(model: &FleetModel) -> impl Iterator<Item = BackendInfo> {
    let servers = model.servers.iter().take(CHANGED_SERVERS).cloned();
    servers.map(|info| BackendInfo {
        leaving: true,
        ..info
    })
}

fn update_servers(model: &FleetModel) -> MechanismCost {
    let mut cluster = model.cluster();
    cluster.take_touched_backends();
    let mut registry = model.registry();
    let changes = leaving_servers(model).map(StoreChange::of_backend);
    let (changes, position) = (changes.collect(), StorePosition::new(1, 2));
    let before = registry.visited();
    let (_, time) = timed(|| {
        cluster.change_backends(changes, position, MODEL_NOW);
        let touched = cluster.take_touched_backends();
        registry.update_backends(touched.into_iter())
    });
    MechanismCost {
        visited: registry.visited() - before,
        time,
        ..MechanismCost::default()
    }
}

// The cost of sending an update, which the receiver reads.
fn sent(news: &ClusterNews) -> (MechanismCost, ClusterNews) {
    let ((bytes, received), time) = timed(|| {
        let mut message = capnp::message::Builder::new_default();
        let root = message.init_root::<cluster_news::Builder<'_>>();
        relay::write_news(root, news, true).expect("an update is encoded");
        let bytes = capnp::serialize::write_message_to_words(&message);
        let options = capnp::message::ReaderOptions::new();
        let reader = capnp::serialize::read_message(&bytes[..], options).expect("a message");
        let root = reader.get_root().expect("an update");
        let received = relay::read_news(root).expect("an update is decoded");
        (bytes.len() as u64, received)
    });
    let cost = MechanismCost {
        visited: 0,
        bytes,
        messages: 1,
        largest: bytes,
        time,
    };
    (cost, received)
}

fn send_backends(backends: KindNews) -> (MechanismCost, ClusterNews) {
    sent(&ClusterNews {
        backends,
        ..ClusterNews::default()
    })
}

fn send_changes(model: &FleetModel) -> MechanismCost {
    let mut cluster = model.cluster();
    let changes = leaving_servers(model).map(StoreChange::of_backend);
    cluster.change_backends(changes.collect(), StorePosition::new(1, 2), MODEL_NOW);
    let held = model.position();
    send_backends(cluster.backend_news_part(held, None, PART_ENTRIES_MAX)).0
}

fn send_servers(model: &FleetModel) -> MechanismCost {
    let sender = model.cluster();
    let mut follower = ClusterState::default();
    let mut total = MechanismCost::default();
    while !follower.backends_position().is_known() {
        let held = follower.backends_position();
        let cursor = follower.list_cursor().cloned();
        let part = sender.backend_news_part(held, cursor.as_ref(), PART_ENTRIES_MAX);
        let (cost, received) = send_backends(part);
        follower.apply_backend_news(received.backends, MODEL_NOW);
        total.bytes += cost.bytes;
        total.messages += 1;
        total.largest = total.largest.max(cost.largest);
        total.time += cost.time;
    }
    total
}

fn send_hosts(model: &FleetModel) -> MechanismCost {
    let hosts = model.cluster().host_news(StorePosition::default());
    let news = ClusterNews {
        hosts,
        ..ClusterNews::default()
    };
    sent(&news).0
}

// A follower that has nothing fetches the whole configuration.
fn send_config(model: &FleetModel) -> MechanismCost {
    let mut sender = ClusterState::default();
    sender.update_config(model.config.clone());
    fetch_config(&sender, &mut ClusterState::default())
}

// A follower fetches a version in which one route is another.
fn send_changed_route(model: &FleetModel) -> MechanismCost {
    let mut later = model.config.clone();
    later.version += 1;
    if let Some(route) = later.routes.first_mut() {
        *route = Rc::new(RelayRoute {
            attempts: route.attempts + 1,
            ..RelayRoute::clone(route)
        });
    }
    let mut sender = ClusterState::default();
    let mut follower = ClusterState::default();
    for state in [&mut sender, &mut follower] {
        state.update_config(model.config.clone());
    }
    sender.update_config(later);
    fetch_config(&sender, &mut follower)
}

fn fetch_config(sender: &ClusterState, follower: &mut ClusterState) -> MechanismCost {
    let root = sender
        .config
        .newest_root()
        .expect("a configuration")
        .clone();
    let (mut total, announced) = sent(&ClusterNews {
        config_root: Some(root),
        ..ClusterNews::default()
    });
    let root = announced.config_root.expect("it was sent");
    let stated = PastTime::at(MODEL_NOW);
    follower.config.announce(root, stated, MODEL_NOW);
    loop {
        let names = follower.config.missing(REQUESTED_PIECES);
        let names = names.unwrap_or_default();
        if names.is_empty() {
            break;
        }
        let (bytes, time) = timed(|| {
            let pieces = sender.config.pieces(&names, PIECES_BYTES);
            let bytes = pieces.iter().map(Bytes::len).sum::<usize>() as u64;
            for piece in pieces {
                let added = follower.config.add_piece(piece);
                added.expect("a piece is decoded");
            }
            bytes
        });
        total.bytes += bytes;
        total.messages += 1;
        total.largest = total.largest.max(bytes);
        total.time += time;
    }
    let (completed, time) = timed(|| follower.config.complete());
    completed.expect("the pieces fit");
    total.time += time;
    total
}

fn order_hosts(model: &FleetModel) -> MechanismCost {
    let own = model.own();
    let mut selector = SourceSelector::new(SourceSettings {
        own: own.name.clone(),
        zone: own.zone.clone(),
        stale_age: Duration::from_secs(1),
        start_wait: Duration::ZERO,
        seed_wait: Duration::ZERO,
    });
    let (_, time) = timed(|| selector.set_hosts(model.hosts.iter()));
    MechanismCost {
        visited: model.hosts.len() as u64,
        time,
        ..MechanismCost::default()
    }
}

fn choose_engines(model: &FleetModel) -> MechanismCost {
    let registry = model.registry();
    let zone = &model.own().zone;
    let before = registry.visited();
    let (_, time) = timed(|| {
        let decodes = registry.rank_decodes("models", zone, 3_000, Some(28_000), MODEL_NOW);
        (
            decodes,
            registry.best_prefill("models", zone, &[], MODEL_NOW),
        )
    });
    MechanismCost {
        visited: registry.visited() - before,
        time,
        ..MechanismCost::default()
    }
}

fn choose_plain(model: &FleetModel) -> MechanismCost {
    let registry = model.registry();
    let zone = &model.own().zone;
    let before = registry.visited();
    let constraints = SendConstraints::default();
    let (_, time) = timed(|| registry.choose_plain("plain", zone, &[], constraints, MODEL_NOW));
    MechanismCost {
        visited: registry.visited() - before,
        time,
        ..MechanismCost::default()
    }
}

// All hosts of the zone ask for a place at one server, which holds less; the cost is that of one further request there.
fn lease_place(model: &FleetModel) -> MechanismCost {
    let plain = model.servers.iter().find(|info| info.role.is_none());
    let server = plain.expect("a plain server");
    let request = PlaceRequest {
        server: server.key(),
        slots: server.slots,
        priority: 0,
        in_time: Duration::from_millis(200),
        time_left: Duration::from_secs(1),
        service_time: Duration::from_millis(30),
        may_wait: true,
    };
    let mut allocator = PlaceAllocator::new(1);
    for _ in model.zone_hosts() {
        allocator.request(&request, MODEL_NOW);
        allocator.advance(request.server, MODEL_NOW);
    }
    let waiting = allocator
        .views(MODEL_NOW)
        .map(|view| view.waiting as u64)
        .sum();
    let message = PlaceMessage {
        request: Some(request),
        returns: Vec::new(),
    };
    let (bytes, time) = timed(|| {
        allocator.request(&request, MODEL_NOW);
        let mut sent = capnp::message::Builder::new_default();
        relay::write_place_message(sent.init_root(), &message);
        capnp::serialize::compute_serialized_size_in_words(&sent) as u64 * 8
    });
    MechanismCost {
        visited: waiting,
        bytes,
        messages: 1,
        largest: bytes,
        time,
    }
}

// Two thirds of the hosts that are asked have lost their links as well; the cost is that of a further connection.
fn choose_carrier(model: &FleetModel) -> MechanismCost {
    let own = model.own();
    let regions = BTreeMap::new();
    let backend = &model.servers[0];
    let query = CarrierQuery {
        host: &own.name,
        zone: &own.zone,
        regions: &regions,
        backend,
    };
    let mut table = CarrierTable::default();
    let mut choose = || table.candidates(query, model.hosts.iter(), model.position(), MODEL_NOW);
    let candidates = choose();
    for host in candidates.iter().take(candidates.len() * 2 / 3) {
        let failure = CarrierFailure::NoLink(LinkGroup::of(backend));
        table.record_failure(&host.name, failure, MODEL_NOW);
    }
    let before = table.visited();
    let hosts = model.hosts.iter();
    let (_, time) = timed(|| table.candidates(query, hosts, model.position(), MODEL_NOW));
    MechanismCost {
        visited: table.visited() - before,
        time,
        ..MechanismCost::default()
    }
}

fn stream_record(model: &FleetModel) -> StreamRecord {
    StreamRecord {
        key: StreamKey::of("account", "/v1/stream", "request"),
        origin: model.servers[0].server_software(),
        time_left: Duration::from_secs(20),
    }
}

// While a service has several software versions.
fn tell_stream(model: &FleetModel) -> MechanismCost {
    let own = model.own();
    let record = stream_record(model);
    let (told, time) = timed(|| {
        let hosts = model.hosts.iter();
        relay::hosts_to_tell(hosts, &own.name, &own.zone, record.key)
    });
    let mut message = capnp::message::Builder::new_default();
    relay::write_stream_records(message.init_root(), &[record]);
    let bytes = capnp::serialize::compute_serialized_size_in_words(&message) as u64 * 8;
    MechanismCost {
        visited: model.hosts.len() as u64,
        bytes: bytes * told.len() as u64,
        messages: told.len() as u64,
        largest: bytes,
        time,
    }
}

// A caller takes a stream up at a host that did not begin it; the bytes are those of the answers.
fn ask_for_stream(model: &FleetModel) -> MechanismCost {
    let own = model.own();
    let record = stream_record(model);
    let (asked, time) = timed(|| relay::hosts_to_ask(model.hosts.iter(), &own.name, record.key));
    let mut seen = SeenSoftware::default();
    seen.versions.extend([record.origin.software.clone()]);
    let answer = OriginAnswer {
        record: Some(record),
        seen,
    };
    let mut message = capnp::message::Builder::new_default();
    relay::write_origin_answer(message.init_root(), &answer);
    let bytes = capnp::serialize::compute_serialized_size_in_words(&message) as u64 * 8;
    MechanismCost {
        visited: model.hosts.len() as u64,
        bytes: bytes * asked.len() as u64,
        messages: asked.len() as u64,
        largest: bytes,
        time,
    }
}

// All hosts of the zone report twice; the cost is that of one report of the second round.
fn sum_reports(model: &FleetModel) -> MechanismCost {
    let engines = model.servers.iter();
    let decodes = engines.filter(|info| info.role == Some(EngineRole::Decode));
    let keys: Vec<EngineKey> = decodes.map(BackendInfo::key).collect();
    let hosts = model.zone_hosts();
    let mut aggregator = LoadAggregator::default();
    let mut largest = 0;
    let mut report_all = |aggregator: &mut LoadAggregator| {
        for (index, name) in hosts.iter().enumerate() {
            let report = busy_report(index, &keys);
            aggregator.record(LoadReporter::Host(name.clone()), report, MODEL_NOW);
            let answer = aggregator.total_without(name, MODEL_NOW);
            largest = answer.loads.len().max(largest);
        }
    };
    report_all(&mut aggregator);
    let before = aggregator.visited();
    let (_, time) = timed(|| report_all(&mut aggregator));
    let reports = hosts.len() as u64;
    MechanismCost {
        visited: (aggregator.visited() - before) / reports,
        time: time / reports as u32,
        messages: 1,
        bytes: 8 * largest as u64,
        largest: 8 * largest as u64,
    }
}

fn busy_report(host: usize, keys: &[EngineKey]) -> LoadReport {
    let loads = (0..BUSY_ENGINES).map(|index| EngineLoad {
        engine: keys[(host * BUSY_ENGINES + index) % keys.len()],
        memory_tokens: 3_000,
        ejected_by: 0,
    });
    LoadReport {
        loads: loads.collect(),
        ..LoadReport::default()
    }
}

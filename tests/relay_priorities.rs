//! Priorities over all hosts: classes of requests, their sums in load reports, and what follows for one request.

use {
    bayplank::{
        account::ClientAccount,
        relay::{
            self, CallerLimits, EnginePool, KeepingOrder, LoadAggregator, LoadReport, LoadReporter,
            PriorityClass, PriorityLedger, PriorityLoad, RelayConfig, RelayRoute, RequestKind,
            RouteTable, ServiceShare, ServiceWork, UrgentRoom, WorkStage,
        },
    },
    faststr::FastStr,
    std::{rc::Rc, time::Duration},
};

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn class(service: &'static str, priority: u8) -> PriorityClass {
    PriorityClass {
        service: service.into(),
        priority,
    }
}

fn load(service: &'static str, priority: u8, waiting: u64) -> PriorityLoad {
    PriorityLoad {
        class: class(service, priority),
        waiting,
        waiting_tokens: waiting * 4_000,
        running_tokens: 10_000,
        arriving_tokens: 2_000,
    }
}

fn report(priorities: Vec<PriorityLoad>) -> LoadReport {
    LoadReport {
        priorities,
        ..LoadReport::default()
    }
}

fn by_host(name: &'static str) -> LoadReporter {
    LoadReporter::Host(name.into())
}

fn work(classes: Vec<PriorityLoad>) -> ServiceWork {
    ServiceWork::of("one", classes, &[])
}

// A configuration with a route to the service "one" for each of these priorities, and one account.
fn table(routes: &[u8], is_public: bool, of_account: Option<u8>) -> RouteTable {
    let routes = routes.iter().map(|priority| RelayRoute {
        is_public,
        allowed_regions: None,
        name: "route".into(),
        host: "shop.example".into(),
        path_prefix: "/".into(),
        kind: RequestKind::Stream,
        time_limit: millis(4_000),
        latency_target: millis(900),
        event_gap_target: None,
        attempts: 1,
        priority: *priority,
        shares: vec![ServiceShare {
            service: "one".into(),
            weight: 1,
        }],
    });
    let account = ClientAccount {
        name: "account".into(),
        keys: Vec::new(),
        priority: of_account,
        limit: None,
        allowed_regions: None,
    };
    RouteTable::new(RelayConfig {
        version: 1,
        routes: routes.map(Rc::new).collect(),
        services: Vec::new(),
        limits: CallerLimits::default(),
        accounts: Some(vec![account]),
    })
}

#[test]
fn a_service_has_classes_only_if_its_requests_have_several_priorities() {
    let classes = |table: &RouteTable, priorities: &[u8]| -> Vec<Option<u8>> {
        let classes = priorities
            .iter()
            .map(|priority| table.priority_class(&"one".into(), *priority));
        classes.map(|class| Some(class?.priority)).collect()
    };
    assert_eq!(classes(&table(&[2, 2], false, None), &[2]), [None]);
    assert_eq!(classes(&table(&[2], false, Some(2)), &[2]), [None]);
    assert_eq!(classes(&table(&[2], true, Some(0)), &[2]), [None], "public");
    let of_account = table(&[2], false, Some(0));
    assert_eq!(classes(&of_account, &[0, 2]), [Some(0), Some(2)]);
    let many = table(&[0, 1, 3, 4, 7, 9], false, None);
    let known = classes(&many, &[0, 1, 3, 4, 7, 9]);
    assert_eq!(known, [0, 1, 3, 4, 4, 4].map(Some));
}

#[test]
fn work_by_priority_survives_serialization() {
    let sent = report(vec![load("one", 0, 3), load("one", 2, 70_000)]);
    let mut message = capnp::message::Builder::new_default();
    relay::write_report(message.init_root(), &sent);
    let bytes = capnp::serialize::write_message_to_words(&message);
    let read = capnp::serialize::read_message(bytes.as_slice(), Default::default()).unwrap();
    let arrived = relay::read_report(read.get_root().unwrap()).unwrap();
    assert_eq!(arrived, sent);
}

#[test]
fn a_host_hears_of_the_work_of_all_others_until_their_reports_expire() {
    let mut aggregator = LoadAggregator::default();
    aggregator.record(by_host("h-1"), report(vec![load("one", 0, 1)]), millis(0));
    let loads = vec![load("one", 0, 2), load("one", 2, 5)];
    aggregator.record(by_host("h-2"), report(loads), millis(0));
    let zone = LoadReporter::Zone("z-b".into());
    aggregator.record(zone, report(vec![load("one", 2, 7)]), millis(1_000));
    let heard = |aggregator: &mut LoadAggregator, now| {
        let loads = aggregator.total_without(&"h-1".into(), now).priorities;
        loads
            .iter()
            .map(|load| (load.class.priority, load.waiting, load.running_tokens))
            .collect::<Vec<_>>()
    };
    let all = [(0, 2, 10_000), (2, 12, 20_000)];
    assert_eq!(heard(&mut aggregator, millis(1_000)), all);
    let of_zone = aggregator.zone_total(millis(1_000)).priorities;
    assert_eq!(of_zone[0].waiting, 3, "of its own hosts only");
    assert_eq!(heard(&mut aggregator, millis(2_000)), [(2, 7, 10_000)]);
    assert_eq!(heard(&mut aggregator, millis(3_000)), []);
}

#[test]
fn a_report_stays_small_and_has_a_service_with_all_its_classes_or_not_at_all() {
    let names = (0..200).map(|index| FastStr::from_string(format!("service-{index}")));
    let loads = names.flat_map(|service| {
        let of_service = [0, 2, 4].map(|priority| PriorityLoad {
            class: PriorityClass {
                service: service.clone(),
                priority,
            },
            ..load("", 0, u64::from(priority))
        });
        of_service.into_iter()
    });
    let most = [0, 2].map(|priority| load("busy", priority, 900));
    let loads = relay::limit_loads(loads.chain(most).collect());
    assert!(loads.len() <= 12, "{}", loads.len());
    assert_eq!(loads[0].class, class("busy", 0));
    assert_eq!(loads[1].class, class("busy", 2));
    for load in &loads[2..] {
        let of_service = loads
            .iter()
            .filter(|other| other.class.service == load.class.service);
        assert_eq!(of_service.count(), 3, "{load:?}");
    }
}

#[test]
fn what_is_counted_at_a_host_ends_with_the_request() {
    let mut ledger = PriorityLedger::default();
    let urgent = class("one", 0);
    ledger.arrived(&urgent, 4_000, millis(0));
    ledger.started(&urgent, WorkStage::Waiting, 4_000);
    ledger.started(&urgent, WorkStage::Running, 3_000);
    let loads = ledger.reported_loads(millis(0));
    assert_eq!((loads[0].waiting, loads[0].waiting_tokens), (1, 4_000));
    assert_eq!(loads[0].running_tokens, 3_000);
    assert!(loads[0].arriving_tokens > 0);
    ledger.ended(&urgent, WorkStage::Waiting, 4_000, millis(10));
    ledger.ended(&urgent, WorkStage::Running, 3_000, millis(2_000));
    assert_eq!(ledger.held_time(), millis(2_000));
    assert_eq!(ledger.reported_loads(millis(60_000)), []);
}

#[test]
fn a_class_is_remembered_while_a_request_of_it_runs_even_one_without_tokens() {
    let mut ledger = PriorityLedger::default();
    let urgent = class("one", 0);
    ledger.arrived(&urgent, 0, millis(0));
    ledger.started(&urgent, WorkStage::Running, 0);
    let late = Duration::from_secs(3_600);
    assert!(ledger.reported_loads(late).is_empty());
    ledger.ended(&urgent, WorkStage::Running, 0, late);
    assert!(ledger.reported_loads(late).is_empty());
    assert!(ledger.running_tokens().is_empty(), "forgotten");
}

#[test]
fn hosts_that_know_different_sums_keep_room_at_the_same_engines() {
    let engines: Vec<_> = (0..40)
        .map(|index| FastStr::from_string(format!("e-{index}")))
        .collect();
    let (first, second) = engines.split_at(30);
    let order = KeepingOrder::new(&[first.to_vec(), second.to_vec()]);
    let backwards: Vec<_> = first.iter().rev().cloned().collect();
    let other_order = KeepingOrder::new(&[second.to_vec(), backwards]);
    let kept = |order: &KeepingOrder, engines: &[FastStr], share| -> Vec<FastStr> {
        let kept = engines.iter().filter(|engine| order.keeps(engine, share));
        kept.cloned().collect()
    };
    let few = kept(&order, &engines, 0.1);
    let more = kept(&order, &engines, 0.2);
    assert!(few.iter().all(|engine| more.contains(engine)));
    assert_eq!(few, kept(&other_order, &engines, 0.1));
    assert_eq!(kept(&order, first, 0.2).len(), 6, "evenly over the zones");
    assert_eq!(kept(&order, second, 0.2).len(), 2);
}

#[test]
fn only_less_urgent_requests_leave_room_and_at_no_more_than_half_of_the_engines() {
    let engines: Vec<_> = (0..10)
        .map(|index| FastStr::from_string(format!("e-{index}")))
        .collect();
    let order = Rc::new(KeepingOrder::new(std::slice::from_ref(&engines)));
    let pool = EnginePool {
        engines: engines.len(),
        memory_tokens: 30_000,
        request_tokens: 4_000,
        held_time: Duration::from_secs(3),
    };
    let work = work(vec![load("one", 0, 100), load("one", 2, 1)]);
    let tokens_left = |priority| -> Vec<u64> {
        let room = UrgentRoom::new(order.clone(), &work, priority, &pool);
        let left = engines.iter().map(|id| room.left_free(id));
        left.filter(|tokens| *tokens > 0).collect()
    };
    assert!(tokens_left(0).is_empty());
    assert_eq!(tokens_left(2), [4_000; 5]);
}

#[test]
fn a_request_pauses_only_for_more_urgent_ones_and_never_long() {
    let interval = millis(25);
    let pause = |urgent, background, priority| {
        let work = work(vec![load("one", 0, urgent), load("one", 2, background)]);
        relay::hold_back(&work, priority, 71, interval).map(|held| held.pause)
    };
    assert_eq!(pause(0, 50, 2), None);
    assert_eq!(pause(10, 50, 0), None);
    assert_eq!(pause(10, 40, 2), Some(millis(100)));
    assert_eq!(pause(40, 10, 2), Some(interval));
    assert_eq!(pause(1, 5_000, 2), Some(millis(150)));
}

#[test]
fn refused_requests_come_back_the_urgent_first_and_never_at_once() {
    let span = millis(2_000)..=millis(4_000);
    let work = work(vec![load("one", 0, 10), load("one", 2, 30)]);
    let urgent = relay::return_span(&span, &work, 0);
    let background = relay::return_span(&span, &work, 2);
    assert_eq!(urgent, millis(2_000)..=millis(2_500));
    assert_eq!(background, millis(2_500)..=millis(4_000));
    let nothing_known = relay::return_span(&span, &ServiceWork::default(), 2);
    assert_eq!(nothing_known, span);
}

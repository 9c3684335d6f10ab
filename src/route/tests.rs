//! Tests of routing decisions.

use {
    super::{
        placement::{PlacementAnswer, PlacementRequest, PlacementStage},
        policy::RouteTuning,
        scheduler::EngineScheduler,
        shared::SharedScheduler,
        view::EngineInfo,
    },
    crate::{
        clock::HostClock,
        engine::{self, EngineRole, LoadReport},
        object::{LabelMap, LabelSelector},
        operation::RefusalCode,
        web::WebClient,
    },
    faststr::FastStr,
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

const ZONE: FastStr = FastStr::from_static_str("z");
const MODEL: FastStr = FastStr::from_static_str("m");

fn info(name: &'static str, role: &'static str) -> EngineInfo {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let client = WebClient::new(Duration::from_secs(1));
    EngineInfo {
        name: FastStr::from_static_str(name),
        address: FastStr::from_static_str("127.0.0.1:1"),
        zone: ZONE,
        labels: LabelMap::from([(
            FastStr::from_static_str("role"),
            FastStr::from_static_str(role),
        )]),
        link: Arc::new(engine::http_link(&client, address)),
    }
}

fn report(role: EngineRole, slots_used: u32, queued_tokens: u64) -> LoadReport {
    LoadReport {
        role,
        models: vec![MODEL],
        slots_total: 20,
        slots_used,
        queued_tokens,
        attempts: 0,
        leaving: false,
    }
}

// One prefill engine and two decode engines, the second with a higher load.
fn scheduler() -> EngineScheduler {
    let mut scheduler = EngineScheduler::new(ZONE, RouteTuning::default(), 1);
    let engines = [("p", "prefill"), ("d1", "decode"), ("d2", "decode")];
    let infos = engines.map(|(name, role)| (info(name, role), false));
    scheduler.set_engines(infos.into());
    scheduler.reported("p", report(EngineRole::Prefill, 0, 0), Duration::ZERO);
    scheduler.reported("d1", report(EngineRole::Decode, 2, 0), Duration::ZERO);
    scheduler.reported("d2", report(EngineRole::Decode, 9, 0), Duration::ZERO);
    scheduler
}

fn request(queue_id: u64, tokens: u64, arrived: Duration) -> PlacementRequest {
    PlacementRequest {
        queue_id,
        request: FastStr::from_string(format!("r{queue_id}")),
        model: MODEL,
        prefills: Arc::new([LabelSelector::label("role", "prefill")]),
        decodes: Arc::new([LabelSelector::label("role", "decode")]),
        tokens,
        blocks: Arc::new([]),
        priority: 5,
        arrived,
        resumed: false,
        excluded: Vec::new(),
        stage: PlacementStage::PrefillAndDecode,
    }
}

fn code(answer: &PlacementAnswer) -> Option<RefusalCode> {
    match answer {
        PlacementAnswer::Refused(refusal) => Some(refusal.code),
        PlacementAnswer::Placed { .. } => None,
    }
}

#[test]
fn least_used_decode_engine_is_chosen_and_counted_at_once() {
    let mut scheduler = scheduler();
    scheduler.enqueue(request(1, 100, Duration::ZERO));
    let answers = scheduler.schedule(Duration::ZERO);
    let PlacementAnswer::Placed { prefill, decode } = &answers[0].1 else {
        panic!("expected a placement");
    };
    assert_eq!((prefill.as_deref(), decode.as_str()), (Some("p"), "d1"));
    assert_eq!(scheduler.view("d1").expect("known").slots_used(), 3);
}

#[test]
fn late_request_is_refused_before_its_prefill() {
    let mut scheduler = scheduler();
    scheduler.reported("p", report(EngineRole::Prefill, 0, 60_000), Duration::ZERO);
    scheduler.enqueue(request(1, 100, Duration::ZERO));
    let answers = scheduler.schedule(Duration::ZERO);
    assert_eq!(code(&answers[0].1), Some(RefusalCode::Overloaded));
    assert_eq!(scheduler.view("p").expect("known").own_work(), (0, 0));
}

#[test]
fn request_waits_for_a_slot_and_takes_it_once_free() {
    let mut scheduler = scheduler();
    for engine in ["d1", "d2"] {
        scheduler.reported(engine, report(EngineRole::Decode, 20, 0), Duration::ZERO);
    }
    scheduler.enqueue(request(1, 100, Duration::ZERO));
    assert!(scheduler.schedule(Duration::ZERO).is_empty());
    let later = Duration::from_millis(100);
    scheduler.reported("d2", report(EngineRole::Decode, 5, 0), later);
    let answers = scheduler.schedule(later);
    assert_eq!(code(&answers[0].1), None);
}

#[test]
fn leaving_engine_is_not_chosen() {
    let mut scheduler = scheduler();
    scheduler.set_leaving("d1", true);
    scheduler.peer_reported_leaving("d2", Duration::from_secs(5));
    scheduler.enqueue(request(1, 100, Duration::ZERO));
    let answers = scheduler.schedule(Duration::ZERO);
    assert_eq!(code(&answers[0].1), Some(RefusalCode::NoBackend));
}

// Guards against a scheduler whose time goes backwards, which happened under `bayplank load --streams 5000`
// when the clock was read before the lock was taken.
#[test]
fn scheduling_with_an_earlier_time_is_harmless() {
    let mut scheduler = scheduler();
    for (queue_id, at) in [(1, 20), (2, 10), (3, 15)] {
        let now = Duration::from_millis(at);
        scheduler.enqueue(request(queue_id, 10, now));
        scheduler.enqueue(request(queue_id + 10, 10, now));
        scheduler.schedule(now);
    }
}

#[test]
fn cancelled_wait_releases_everything() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        let shared = SharedScheduler::new(ZONE, RouteTuning::default(), 1, HostClock::of_runtime());
        shared.change(|scheduler, now| {
            scheduler.set_engines(vec![
                (info("p", "prefill"), false),
                (info("d1", "decode"), false),
            ]);
            scheduler.reported("p", report(EngineRole::Prefill, 0, 0), now);
            scheduler.reported("d1", report(EngineRole::Decode, 20, 0), now);
        });
        let placement = shared.place(request(0, 100, Duration::ZERO));
        let waited = tokio::time::timeout(Duration::from_millis(50), placement).await;
        assert!(waited.is_err(), "no decode slot is free");
        shared.read(|scheduler| {
            assert_eq!(scheduler.waiting(), 0);
            assert_eq!(scheduler.view("p").expect("known").own_work(), (0, 0));
        });
    });
}

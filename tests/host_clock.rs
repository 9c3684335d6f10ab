//! The clock that ages are counted on.

use {
    bayplank::clock::{HostClock, MIN_STALL, ProcessStall, StallDetector},
    std::{
        rc::Rc,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
};

#[test]
fn the_systems_clock_goes_on_as_the_steady_one_does() {
    let clock = HostClock::system();
    let began = Instant::now();
    std::thread::sleep(Duration::from_millis(50));
    let (shown, steady) = (clock.now(), began.elapsed());
    assert!(shown >= Duration::from_millis(49), "{shown:?}");
    assert!(shown <= steady + Duration::from_millis(20), "{shown:?}");
}

#[test]
fn a_suspension_counts_as_time_that_has_passed() {
    let millis = Arc::new(AtomicU64::new(5_000));
    let read = millis.clone();
    let clock = HostClock::reading(move || Duration::from_millis(read.load(Ordering::Relaxed)));
    assert_eq!(clock.now(), Duration::ZERO);
    millis.fetch_add(10_000, Ordering::Relaxed);
    assert_eq!(clock.now(), Duration::from_secs(10));
}

// A detector on a clock that the test sets, in milliseconds.
fn watched_clock() -> (Arc<AtomicU64>, Rc<StallDetector>) {
    let millis = Arc::new(AtomicU64::new(5_000));
    let read = millis.clone();
    let clock = HostClock::reading(move || Duration::from_millis(read.load(Ordering::Relaxed)));
    (millis, StallDetector::start(clock))
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

#[test]
fn a_stall_is_seen_by_whoever_looks_first_and_has_the_length_of_the_pause() {
    run(async {
        let (millis, detector) = watched_clock();
        millis.fetch_add(10_000, Ordering::Relaxed);
        assert!(detector.has_stalled_since(Duration::from_secs(9)));
        assert!(!detector.has_stalled_since(Duration::from_secs(10)));
        let stall = ProcessStall {
            began: Duration::ZERO,
            ended: Duration::from_secs(10),
        };
        assert_eq!(detector.last_stall(), Some(stall));
        assert_eq!(detector.observe(), None, "it has ended");
    });
}

#[test]
fn a_process_that_is_merely_busy_has_not_stalled() {
    run(async {
        let (millis, detector) = watched_clock();
        for _ in 0..20 {
            millis.fetch_add(MIN_STALL.as_millis() as u64 - 1, Ordering::Relaxed);
            assert_eq!(detector.last_stall(), None);
        }
    });
}

#[test]
fn a_process_of_which_the_thread_gets_no_time_has_stalled() {
    run(async {
        let detector = StallDetector::start(HostClock::system());
        std::thread::sleep(MIN_STALL);
        detector.stall_ended().await;
        assert!(detector.last_stall().is_some());
    });
}

//! The clock that ages are counted on.

use {
    bayplank::clock::HostClock,
    std::{
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
    assert!(clock.suspended() <= Duration::from_millis(20));
}

#[test]
fn a_suspension_counts_as_time_that_has_passed() {
    let millis = Arc::new(AtomicU64::new(5_000));
    let read = millis.clone();
    let clock = HostClock::reading(move || Duration::from_millis(read.load(Ordering::Relaxed)));
    assert_eq!(clock.now(), Duration::ZERO);
    millis.fetch_add(10_000, Ordering::Relaxed);
    assert_eq!(clock.now(), Duration::from_secs(10));
    let suspended = clock.suspended();
    assert!(suspended > Duration::from_millis(9_900), "{suspended:?}");
}

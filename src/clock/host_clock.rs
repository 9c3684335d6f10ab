//! A clock of one host, since its start.

use {
    nix::time::{ClockId, clock_gettime},
    std::{fmt, sync::Arc, time::Duration},
    tokio::time::Instant,
};

/// Tells the time since the host's start: all ages that a promise rests on are counted on it.
///
/// It counts the time for which the host was suspended. On the steady clock, which stands meanwhile, whatever is ten
/// seconds old would pass for new after ten seconds of suspension: what proved a key, a lease, a caller's time.
#[derive(Clone)]
pub struct HostClock {
    read: Arc<dyn Fn() -> Duration + Send + Sync>,
    start: Duration,
}

impl fmt::Debug for HostClock {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "HostClock({:?})", self.now())
    }
}

impl HostClock {
    /// The system's clock, from now on.
    pub fn system() -> Self {
        Self::reading(|| {
            let time = clock_gettime(ClockId::CLOCK_BOOTTIME);
            time.expect("the kernel has this clock").into()
        })
    }

    /// The clock of the current runtime, from now on; tests and simulations pause it.
    pub fn of_runtime() -> Self {
        let began = Instant::now();
        Self::reading(move || began.elapsed())
    }

    /// A clock that reads another one, from now on.
    pub fn reading(read: impl Fn() -> Duration + Send + Sync + 'static) -> Self {
        Self {
            start: read(),
            read: Arc::new(read),
        }
    }

    /// Time since the start.
    pub fn now(&self) -> Duration {
        (self.read)().saturating_sub(self.start)
    }
}

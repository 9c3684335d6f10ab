//! Detects that this process did not run for a while.

use {
    super::HostClock,
    std::{cell::Cell, fmt, rc::Rc, time::Duration},
    tokio::sync::Notify,
};

/// Time without running from which a process counts as stalled. The event loop of a busy host is late by some tens of
/// milliseconds.
pub const MIN_STALL: Duration = Duration::from_millis(500);

/// How often the process notes that it runs.
const TICK_INTERVAL: Duration = Duration::from_millis(200);

/// A time during which the process did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProcessStall {
    /// When it was last seen to run before.
    pub began: Duration,
    /// When it was first seen to run again.
    pub ended: Duration,
}

/// Notices stalls: the process was stopped, its machine was suspended, or it got no processor time. What it knew before
/// is outdated by as much.
pub struct StallDetector {
    clock: HostClock,
    last_run: Cell<Duration>,
    last_stall: Cell<Option<ProcessStall>>,
    ended: Notify,
}

impl fmt::Debug for StallDetector {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "StallDetector({:?})", self.last_stall.get())
    }
}

impl StallDetector {
    /// Starts to watch the process from the current thread, for as long as the detector lives.
    pub fn start(clock: HostClock) -> Rc<Self> {
        let detector = Rc::new(Self {
            last_run: Cell::new(clock.now()),
            clock,
            last_stall: Cell::new(None),
            ended: Notify::new(),
        });
        let watched = Rc::downgrade(&detector);
        tokio::task::spawn_local(async move {
            loop {
                tokio::time::sleep(TICK_INTERVAL).await;
                let Some(detector) = watched.upgrade() else {
                    return;
                };
                detector.observe();
            }
        });
        detector
    }

    /// Notes that the process runs. Returns the stall that has just ended, if there was one.
    ///
    /// Decisions that rest on what the host knew earlier call this first: after a stall they may run before any timer.
    pub fn observe(&self) -> Option<ProcessStall> {
        let now = self.clock.now();
        let began = self.last_run.replace(now);
        if now.saturating_sub(began) < MIN_STALL {
            return None;
        }
        let stall = ProcessStall { began, ended: now };
        self.last_stall.set(Some(stall));
        self.ended.notify_waiters();
        Some(stall)
    }

    /// The last stall.
    pub fn last_stall(&self) -> Option<ProcessStall> {
        self.observe();
        self.last_stall.get()
    }

    /// Whether the process has stalled since a time.
    pub fn has_stalled_since(&self, time: Duration) -> bool {
        self.last_stall().is_some_and(|stall| stall.ended > time)
    }

    /// Waits until a stall has ended.
    pub async fn stall_ended(&self) {
        self.ended.notified().await;
    }
}

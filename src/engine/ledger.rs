//! Cancels that engines have not acknowledged yet.

use {
    faststr::FastStr,
    std::{collections::HashMap, time::Duration},
};

/// Wait before a cancel is sent again, at first.
pub const CANCEL_RETRY_FIRST: Duration = Duration::from_millis(50);

/// Wait before a cancel is sent again, at most.
pub const CANCEL_RETRY_MAX: Duration = Duration::from_secs(2);

/// An attempt that is to end at an engine.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct OpenCancel {
    /// The engine.
    pub engine: FastStr,
    /// The attempt.
    pub attempt: FastStr,
}

#[derive(Debug)]
struct CancelState {
    since: Duration,
    next: Duration,
    wait: Duration,
    in_flight: bool,
}

/// Cancels until they are acknowledged; nothing is dropped before.
#[derive(Debug, Default)]
pub struct CancelLedger {
    open: HashMap<OpenCancel, CancelState>,
}

impl CancelLedger {
    /// Adds a cancel; one that is open already stays as it is.
    pub fn add(&mut self, cancel: OpenCancel, now: Duration) {
        self.open.entry(cancel).or_insert(CancelState {
            since: now,
            next: now,
            wait: CANCEL_RETRY_FIRST,
            in_flight: false,
        });
    }

    /// The cancels to send now; each is in flight until it is acknowledged or failed.
    pub fn take_due(&mut self, now: Duration) -> Vec<OpenCancel> {
        let mut due = Vec::new();
        for (cancel, state) in &mut self.open {
            if !state.in_flight && state.next <= now {
                state.in_flight = true;
                due.push(cancel.clone());
            }
        }
        due
    }

    /// When the next cancel is due, if one waits.
    pub fn next_due(&self) -> Option<Duration> {
        let waiting = self.open.values().filter(|state| !state.in_flight);
        waiting.map(|state| state.next).min()
    }

    /// The engine acknowledged; gives how long the cancel was open.
    pub fn acknowledged(&mut self, cancel: &OpenCancel, now: Duration) -> Option<Duration> {
        let state = self.open.remove(cancel)?;
        Some(now.saturating_sub(state.since))
    }

    /// The engine did not acknowledge; the cancel is sent again later.
    pub fn failed(&mut self, cancel: &OpenCancel, now: Duration) {
        if let Some(state) = self.open.get_mut(cancel) {
            state.in_flight = false;
            state.next = now + state.wait;
            state.wait = (state.wait * 2).min(CANCEL_RETRY_MAX);
        }
    }

    /// The engine's process is gone, and its memory with it.
    pub fn engine_gone(&mut self, engine: &str) {
        self.open.retain(|cancel, _| cancel.engine != engine);
    }

    /// Cancels that are not acknowledged.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Whether all cancels are acknowledged.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }
}

//! What a host accepts while it stops, and when it gives up what is still in progress.

use {
    super::shared::RelayParts,
    crate::{
        operation::{Refusal, RefusalCode, RunVerdict},
        relay::config::RequestKind,
    },
    std::time::Duration,
};

/// `Retry-After` at a host that is stopping, which other hosts replace at once.
const STOP_RETRY_AFTER: Duration = Duration::from_millis(10);

/// The times of a planned stop, on the host's clock.
#[derive(Debug, Clone, Copy)]
pub struct StopTimes {
    /// Until when the host accepts connections, as the load balancer has not removed it.
    pub accepts_until: Duration,
    /// When requests in progress are given up.
    pub ends_at: Duration,
}

impl StopTimes {
    // Whether a request may be accepted. One that may outlast the stop is accepted only if its caller may send it again, and
    // only while the load balancer still sends requests.
    fn allows(&self, now: Duration, time_left: Duration, kind: RequestKind) -> bool {
        now + time_left <= self.ends_at || (kind.is_repeatable() && now < self.accepts_until)
    }
}

impl RelayParts {
    /// Refuses a request that may still run when a planned stop ends. Its caller is served by another host if it returns at
    /// once.
    pub(crate) fn check_stop(&self, time_left: Duration, kind: RequestKind) -> Result<(), Refusal> {
        let Some(stop) = self.stop_times.get() else {
            return Ok(());
        };
        let now = self.now();
        if stop.allows(now, time_left, kind) {
            return Ok(());
        }
        let left = stop.ends_at.saturating_sub(now);
        let text = format!("this host stops in {} ms", left.as_millis());
        Err(Refusal::not_run(RefusalCode::Stopping, text).after(STOP_RETRY_AFTER))
    }

    /// Waits for `work` until a planned stop gives up the requests in progress; none if it does so first.
    pub(crate) async fn until_given_up<T>(&self, work: impl Future<Output = T>) -> Option<T> {
        tokio::select! {
            biased;
            done = work => Some(done),
            () = self.given_up.wait() => None,
        }
    }

    /// The refusal of a request that a planned stop gives up.
    pub(crate) fn stopped_refusal(&self, verdict: RunVerdict) -> Refusal {
        let text = "this host has stopped before it was done";
        Refusal::new(verdict, RefusalCode::Stopping, text).after(STOP_RETRY_AFTER)
    }
}

//! Updates of the scheduler's engine states from reports, results and failures.

use {
    super::scheduler::EngineScheduler,
    crate::engine::{LoadReport, PrefillReply},
    std::time::Duration,
};

/// How long an engine that refused as full is avoided.
const FULL_AVOID_TIME: Duration = Duration::from_millis(40);

/// Consecutive failures after which an engine is ejected.
const FAILURES_TO_EJECT: u32 = 2;

impl EngineScheduler {
    /// Stores a load report of an engine.
    pub fn reported(&mut self, engine: &str, report: LoadReport, now: Duration) {
        if let Some(view) = self.views.get_mut(engine) {
            view.reported(report, now);
        }
    }

    /// Records that a request for a load report failed.
    pub fn report_missed(&mut self, engine: &str, now: Duration) {
        if let Some(view) = self.views.get_mut(engine) {
            view.report_missed(now);
        }
    }

    /// Records that another host reported an engine as leaving; valid until `until`.
    pub fn peer_reported_leaving(&mut self, engine: &str, until: Duration) {
        if let Some(view) = self.views.get_mut(engine) {
            view.peer_reported_leaving(until);
        }
    }

    /// Records whether the engine is leaving, as stated by an outside source.
    pub fn set_leaving(&mut self, engine: &str, leaving: bool) {
        if let Some(view) = self.views.get_mut(engine) {
            view.leaving = leaving;
        }
    }

    /// Records that a prefill of `tokens` ended, with or without a result.
    pub fn prefill_ended(
        &mut self,
        engine: &str,
        tokens: u64,
        reply: Option<&PrefillReply>,
        now: Duration,
    ) {
        if let Some(view) = self.views.get_mut(engine) {
            view.prefill_ended(tokens);
            if let Some(reply) = reply {
                view.prefill_observed(reply);
                view.reported(reply.load.clone(), now);
            }
        }
    }

    /// Records that a decode slot was released or not used.
    pub fn decode_ended(&mut self, engine: &str) {
        if let Some(view) = self.views.get_mut(engine) {
            view.decode_ended();
        }
    }

    /// Records the gap between two tokens, in seconds.
    pub fn token_gap_observed(&mut self, engine: &str, gap: f64, now: Duration) {
        if let Some(view) = self.views.get_mut(engine) {
            view.token_gap_observed(gap, now);
        }
    }

    /// Records that an engine refused a request as full.
    pub fn refused_full(&mut self, engine: &str, now: Duration) {
        if let Some(view) = self.views.get_mut(engine) {
            view.refused_full(now + FULL_AVOID_TIME);
        }
    }

    /// Records a failed call. Ejects the engine after several consecutive failures, unless too many engines
    /// are ejected already. Returns whether it was ejected.
    pub fn failed(&mut self, engine: &str, now: Duration) -> bool {
        let out = self
            .views
            .values()
            .filter(|view| view.is_ejected(now))
            .count();
        let most = (self.views.len() as f64 * self.tuning.eject_share) as usize;
        let until = now + self.tuning.eject_time;
        let Some(view) = self.views.get_mut(engine) else {
            return false;
        };
        let ejects = view.failed() >= FAILURES_TO_EJECT && !view.is_ejected(now) && out < most;
        if ejects {
            view.eject(until);
        }
        ejects
    }
}

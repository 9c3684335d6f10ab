//! What engines showed, noted at the desk.

use {
    super::desk::PlaceDesk,
    crate::engine::{LoadReport, PrefillReply},
    std::time::Duration,
};

/// How long an engine that refused as full is passed over.
const FULL_TIME: Duration = Duration::from_millis(40);

/// Failures in a row after which an engine is taken out.
const FAILURES_TO_EJECT: u32 = 2;

impl PlaceDesk {
    /// Takes a load report of an engine.
    pub fn reported(&mut self, engine: &str, report: LoadReport, now: Duration) {
        if let Some(view) = self.views.get_mut(engine) {
            view.reported(report, now);
        }
    }

    /// An engine was asked for a report and gave none.
    pub fn asked(&mut self, engine: &str, now: Duration) {
        if let Some(view) = self.views.get_mut(engine) {
            view.asked(now);
        }
    }

    /// Another host says that an engine leaves.
    pub fn heard_leaving(&mut self, engine: &str, until: Duration) {
        if let Some(view) = self.views.get_mut(engine) {
            view.heard_leaving(until);
        }
    }

    /// Something outside says that the engine leaves, or stays.
    pub fn set_leaving(&mut self, engine: &str, leaving: bool) {
        if let Some(view) = self.views.get_mut(engine) {
            view.leaving = leaving;
        }
    }

    /// A prefill of `tokens` ended, with or without a result.
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

    /// A decode slot is free, or was never taken.
    pub fn decode_ended(&mut self, engine: &str) {
        if let Some(view) = self.views.get_mut(engine) {
            view.decode_ended();
        }
    }

    /// Two tokens came this far apart, seconds.
    pub fn gap_observed(&mut self, engine: &str, gap: f64, now: Duration) {
        if let Some(view) = self.views.get_mut(engine) {
            view.gap_observed(gap, now);
        }
    }

    /// An engine refused as full.
    pub fn refused_full(&mut self, engine: &str, now: Duration) {
        if let Some(view) = self.views.get_mut(engine) {
            view.refused_full(now + FULL_TIME);
        }
    }

    /// A call to an engine failed; it is taken out after some in a row, unless too many are out.
    pub fn failed(&mut self, engine: &str, now: Duration) -> bool {
        let out = self.views.values().filter(|view| view.is_out(now)).count();
        let most = (self.views.len() as f64 * self.tuning.eject_share) as usize;
        let until = now + self.tuning.eject_time;
        let Some(view) = self.views.get_mut(engine) else {
            return false;
        };
        let ejects = view.failed() >= FAILURES_TO_EJECT && !view.is_out(now) && out < most;
        if ejects {
            view.eject(until);
        }
        ejects
    }
}

//! Log events of streamed requests.

use {
    super::{prefill::PrefillFailure, stream::StreamRelay},
    crate::{
        event,
        relay::{backend::BackendInfo, policy::response_end},
    },
    faststr::FastStr,
    std::time::Duration,
};

/// When each step of the last round was done, counted from the request's arrival.
#[derive(Debug, Default, Clone, Copy)]
pub(super) struct StreamTimes {
    pub(super) reserved: Duration,
    pub(super) computed: Duration,
    pub(super) responded: Duration,
}

impl Drop for StreamRelay {
    // Logs requests whose client disconnected, which drops their state early.
    fn drop(&mut self) {
        if !self.is_end_logged {
            self.log_end("caller-gone");
        }
    }
}

impl StreamRelay {
    pub(super) fn log_prefill_failure(&self, engine: &FastStr, failure: &PrefillFailure) {
        event::emit(
            &event::PREFILL_FAILED,
            &[
                ("request", &self.request.marks.id),
                ("engine", engine),
                ("verdict", &failure.verdict),
                ("cause", &failure.detail),
                ("after_ms", &self.request.age().as_millis()),
            ],
        );
    }

    /// Keeps the engine that a decode is sent to for the log.
    pub(super) fn log_decode(&mut self, engine: &BackendInfo) {
        let separator = if self.decode_log.is_empty() { "" } else { "," };
        let entry = format!("{separator}{}:{}", engine.id, engine.software);
        self.decode_log.push_str(&entry);
    }

    /// Keeps the engine that computed a prompt for the log.
    pub(super) fn log_prefill(&mut self, engine: &BackendInfo) {
        self.prefill_log = format!("{}:{}", engine.id, engine.software);
    }

    pub(super) fn log_end(&mut self, end: &str) {
        self.is_end_logged = true;
        let request = &self.request;
        let after_event = request.marks.last_event.as_deref().unwrap_or_default();
        let held_back = request.held_back.get();
        let held_for = held_back.map(|held| held.for_priority.to_string());
        let held_until = held_back.map_or(0, |held| held.until.as_millis());
        let (framing, ended_by) = response_end::log_values(self.response_end);
        let servers = request.budget.borrow().servers_used();
        let open = request.budget.borrow().open_sends();
        self.parts.metrics.attempts.ended(servers);
        let gap_limit = request.route.event_gap_target.unwrap_or_default();
        event::emit(
            &event::REQUEST_ENDED,
            &[
                ("request", &request.marks.id),
                ("route", &request.route.name),
                ("account", &request.account_name()),
                ("config", &request.config_version),
                ("end", &end),
                ("framing", &framing),
                ("ended_by", &ended_by),
                ("engine", &self.decode_engine),
                ("decodes", &self.decode_log),
                ("verdict", &request.verdict()),
                ("open", &open),
                ("servers", &servers),
                ("servers_max", &request.route.attempts),
                ("prefill", &self.prefill_log),
                ("resumes", &request.resumes()),
                ("rounds", &self.rounds),
                ("prompt_tokens", &request.marks.prompt_tokens),
                ("answer_limit", &request.marks.answer_limit),
                (
                    "answer_hint",
                    &request.marks.answer_hint.unwrap_or_default(),
                ),
                ("after_event", &after_event),
                ("priority", &request.priority()),
                ("held_for", &held_for.unwrap_or_default()),
                ("held_until_ms", &held_until),
                ("waited_ms", &request.prior_wait.as_millis()),
                ("target_ms", &request.route.latency_target.as_millis()),
                ("pause_limit_ms", &gap_limit.as_millis()),
                ("pause_ms", &self.event_gaps.longest().as_millis()),
                ("kept_at", &self.cache_engine),
                ("reserved_ms", &self.times.reserved.as_millis()),
                ("computed_ms", &self.times.computed.as_millis()),
                ("answered_ms", &self.times.responded.as_millis()),
                ("ended_ms", &request.age().as_millis()),
            ],
        );
    }
}

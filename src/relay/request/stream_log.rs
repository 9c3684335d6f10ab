//! What the log says of a streamed request.

use {
    super::{prefill::PrefillFailure, stream::StreamRelay},
    crate::event,
    faststr::FastStr,
    std::time::Duration,
};

/// When each step of a streamed request was done, since its arrival.
#[derive(Debug, Default, Clone, Copy)]
pub(super) struct StreamTimes {
    pub(super) reserved: Duration,
    pub(super) computed: Duration,
    pub(super) answered: Duration,
}

impl Drop for StreamRelay {
    // The caller left: its connection drops whatever is being done for it.
    fn drop(&mut self) {
        if !self.ended {
            self.log_end("caller-gone");
        }
    }
}

impl StreamRelay {
    pub(super) fn log_prefill_failure(&self, engine: &FastStr, failure: &PrefillFailure) {
        event::emit(
            &event::PREFILL_FAILED,
            &[
                ("request", &self.call.marks.id),
                ("engine", engine),
                ("verdict", &failure.verdict),
                ("cause", &failure.detail),
                ("after_ms", &self.call.age().as_millis()),
            ],
        );
    }

    pub(super) fn log_end(&mut self, end: &str) {
        self.ended = true;
        let call = &self.call;
        let after_event = call.marks.last_event.as_deref().unwrap_or_default();
        let pause_limit = call.route.event_gap_target.unwrap_or_default();
        event::emit(
            &event::REQUEST_ENDED,
            &[
                ("request", &call.marks.id),
                ("route", &call.route.name),
                ("account", &call.account_name()),
                ("config", &call.config_version),
                ("end", &end),
                ("engine", &self.engine),
                ("rounds", &self.rounds),
                ("prompt_tokens", &call.marks.prompt_tokens),
                ("answer_limit", &call.marks.answer_limit),
                ("answer_hint", &call.marks.answer_hint.unwrap_or_default()),
                ("after_event", &after_event),
                ("waited_ms", &call.waited.as_millis()),
                ("target_ms", &call.route.latency_target.as_millis()),
                ("pause_limit_ms", &pause_limit.as_millis()),
                ("pause_ms", &self.pace.longest().as_millis()),
                ("kept_at", &self.kept_at),
                ("reserved_ms", &self.times.reserved.as_millis()),
                ("computed_ms", &self.times.computed.as_millis()),
                ("answered_ms", &self.times.answered.as_millis()),
                ("ended_ms", &call.age().as_millis()),
            ],
        );
    }
}

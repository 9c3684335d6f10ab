//! Reports engine load and failures seen by a request, and releases the engine capacity that it reserved.

use {
    super::{
        runner::{self, RequestRunner},
        step::RequestEvent,
    },
    crate::engine::{self, CallFailure, PrefillReply, RefusalCause, StreamItem},
    faststr::FastStr,
};

impl RequestRunner {
    /// Updates statistics, reservations and engine state from an event.
    pub(super) fn record_event(&mut self, event: &RequestEvent) {
        match event {
            RequestEvent::PrefillDone(reply) => {
                self.stats.computed_tokens += reply.computed_tokens;
                // The result of an earlier prefill that was never imported is lost now.
                self.stats.wasted_tokens += std::mem::take(&mut self.unimported_tokens);
                self.unimported_tokens = reply.computed_tokens;
                self.kv_expires_at = self.parts.desk.now() + self.parts.limits.kv_life;
                self.release_prefill(Some(reply));
            }
            RequestEvent::PrefillFailed(failure) => {
                self.record_failure(
                    failure,
                    self.reserved_prefill.as_ref().map(|held| held.0.clone()),
                );
                if failure.is_break()
                    && let Some((engine, _)) = self.reserved_prefill.clone()
                {
                    self.stats.prefill_broke = true;
                    self.queue_crash_check(engine);
                }
                self.release_prefill(None);
            }
            RequestEvent::DecodeFailed(failure) => {
                self.record_failure(failure, self.reserved_decode.clone());
                if failure.is_break()
                    && let Some(engine) = self.reserved_decode.clone()
                {
                    self.queue_crash_check(engine);
                }
            }
            RequestEvent::Item(StreamItem::Imported { load }) => {
                self.import_deadline = None;
                self.unimported_tokens = 0;
                self.record_load(load);
            }
            RequestEvent::Item(StreamItem::Finished { load, .. }) => self.record_load(load),
            RequestEvent::StreamBroken | RequestEvent::ImportStalled => {
                if let Some(engine) = self.reserved_decode.clone() {
                    self.parts
                        .desk
                        .change(|desk, now| desk.failed(&engine, now));
                    self.queue_crash_check(engine);
                }
            }
            _ => {}
        }
    }

    // Queues the engine for a crash check, made before the next placement or when the request ends.
    fn queue_crash_check(&mut self, engine: FastStr) {
        let address = self
            .parts
            .desk
            .read(|desk| desk.view(&engine).map(|view| view.info.address.clone()));
        // Engines in the same process have no socket address and cannot be probed.
        let address = address.and_then(|address| address.parse().ok());
        if let Some(address) = address
            && !self
                .unchecked_crashes
                .iter()
                .any(|(known, _)| *known == engine)
        {
            self.unchecked_crashes.push((engine, address));
        }
    }

    // Engine replies include a load report, so no separate call is needed.
    fn record_load(&self, load: &Option<engine::LoadReport>) {
        if let (Some(load), Some(engine)) = (load, &self.reserved_decode) {
            self.parts
                .desk
                .change(|desk, now| desk.reported(engine, load.clone(), now));
        }
    }

    // A refusal may include a load report; a failure without a refusal counts against the engine.
    fn record_failure(&self, failure: &CallFailure, engine: Option<FastStr>) {
        let Some(engine) = engine else {
            return;
        };
        self.parts.desk.change(|desk, now| {
            if let Some(load) = failure.refusal.as_ref().and_then(|it| it.load.clone()) {
                desk.reported(&engine, load, now);
            }
            match failure.cause() {
                Some(RefusalCause::Full) => desk.refused_full(&engine, now),
                Some(_) => {}
                None => {
                    desk.failed(&engine, now);
                }
            }
        });
    }

    /// Releases the reserved prefill capacity, if any.
    pub(super) fn release_prefill(&mut self, reply: Option<&PrefillReply>) {
        if let Some((engine, tokens)) = self.reserved_prefill.take() {
            self.parts
                .desk
                .change(|desk, now| desk.prefill_ended(&engine, tokens, reply, now));
        }
    }

    /// Releases the reserved decode slot, if any.
    pub(super) fn release_decode(&mut self) {
        if let Some(engine) = self.reserved_decode.take() {
            self.parts.desk.change(|desk, _| desk.decode_ended(&engine));
        }
    }

    /// Releases everything the request holds, completes its statistics and checks in the background whether engines
    /// that lost its connection have crashed.
    pub(super) fn finish(&mut self) {
        self.release_prefill(None);
        self.release_decode();
        self.stats.wasted_tokens += std::mem::take(&mut self.unimported_tokens);
        self.stats.prefills = self.state.prefills();
        self.stats.whole = self.started.elapsed();
        if !self.unchecked_crashes.is_empty() {
            let (parts, digest) = (self.parts.clone(), self.request.digest);
            let unchecked = std::mem::take(&mut self.unchecked_crashes);
            tokio::spawn(async move { runner::check_for_crashes(&parts, digest, unchecked).await });
        }
    }
}

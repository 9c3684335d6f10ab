//! Sends the decode of a streamed request and checks whether the engine accepted it.

use {
    super::{
        guard::InFlightGuard,
        prefill::PrefilledCache,
        reserve::MemoryReservation,
        response,
        response_body::ResponseBody,
        stream::{DecodeStream, EngineGuards, RoundFailure, StreamRelay},
    },
    crate::{
        operation::RunVerdict,
        relay::{
            backend::BackendInfo,
            dialect::DecodeParams,
            parts::availability::SendBasis,
            policy::{loads::EngineKey, view::BackendFailure},
        },
        web::{PoolUse, PooledAnswer, SendFailure},
    },
    faststr::FastStr,
    http::StatusCode,
    std::time::Duration,
};

/// Timeout for the response head of a decode engine, which it sends with the first token.
const HEAD_TIMEOUT: Duration = Duration::from_millis(3_000);

/// The same for resumable streams that another engine may start again. An engine that has memory and the KV cache
/// responds within some tens of milliseconds, one that computes the prompt itself within some hundreds.
const RESUMABLE_HEAD_TIMEOUT: Duration = Duration::from_millis(2_000);

impl StreamRelay {
    /// Sends the decode to the engine that has memory reserved and waits for its response to begin.
    pub(super) async fn decode(
        &mut self,
        mut reservation: MemoryReservation,
        cache: Option<PrefilledCache>,
        after: Option<FastStr>,
    ) -> Result<DecodeStream, RoundFailure> {
        let has_permit = reservation.renew_permit(self.request.priority()).await;
        let engine = &reservation.engine;
        if !has_permit || !self.parts.may_send(engine, Some(reservation.reserved_at)) {
            let detail = format!("{} takes no new requests", reservation.engine.id);
            return Err(RoundFailure::new(RunVerdict::NotRun, detail));
        }
        if self.decodes_sent > 0
            && !std::mem::take(&mut self.is_retry_counted)
            && !self.may_decode_again()
        {
            let detail = "no repeats are left for another decode";
            return Err(RoundFailure::new(RunVerdict::NotRun, detail));
        }
        self.check_send()?;
        self.decodes_sent += 1;
        let server = reservation.engine.key();
        self.request.budget.borrow_mut().record_send(server);
        self.log_decode(&reservation.engine);
        let cache_source = cache
            .as_ref()
            .and_then(|cache| Some((cache.engine.address, cache.handle()?)));
        let start = DecodeParams {
            cache_source,
            reservation: reservation.use_up(),
            after_event: after,
        };
        let is_continued = start.after_event.is_some() || self.request.marks.last_event.is_some();
        let guard = InFlightGuard::begin(
            &self.parts,
            &reservation.engine,
            self.request.is_crash_suspect,
        );
        let response = match self.send_decode(&reservation, &start, &guard).await {
            Ok(response) => {
                let engine = &reservation.engine;
                self.check_response(engine, &guard, cache, response).await
            }
            Err(failure) => Err(failure),
        };
        self.record_use(server, &response);
        let response = response?;
        Ok(DecodeStream {
            status: response.status,
            headers: response.headers.clone(),
            body: ResponseBody::new(&self.parts.settings, &self.request, response, is_continued),
            guards: EngineGuards {
                memory: reservation,
                guard,
            },
        })
    }

    fn may_decode_again(&self) -> bool {
        self.parts.spend_retry(&self.service)
    }

    fn record_use(&self, server: EngineKey, response: &Result<PooledAnswer, RoundFailure>) {
        let mut budget = self.request.budget.borrow_mut();
        match response {
            Err(failure) if failure.verdict == RunVerdict::NotRun => budget.record_not_run(server),
            Err(failure) => budget.record_run(server, failure.verdict),
            Ok(_) => budget.record_run(server, RunVerdict::Ran),
        }
    }

    /// Sends the request to the engine that has memory reserved for it and waits for the response head.
    pub(super) async fn send_decode(
        &self,
        reservation: &MemoryReservation,
        start: &DecodeParams,
        guard: &InFlightGuard,
    ) -> Result<PooledAnswer, RoundFailure> {
        let (parts, engine) = (&self.parts, &reservation.engine);
        let request = self
            .request
            .backend_request(engine, &parts.dialect, |headers| {
                (parts.dialect.engines.prepare_decode)(headers, start);
            });
        let may_go_elsewhere = self.is_resumable() && !self.request.budget.borrow().is_used_up();
        let timeout = match may_go_elsewhere {
            true => RESUMABLE_HEAD_TIMEOUT,
            false => HEAD_TIMEOUT,
        };
        let timeout = timeout.min(self.request.time_left());
        let basis = SendBasis {
            reserved_at: Some(reservation.reserved_at),
            admitted_at: reservation.admitted_at,
        };
        let answer_id = self.request.answer_id();
        let sending = parts.send_to(engine, PoolUse::Decode, answer_id, request, basis);
        let sent = tokio::time::timeout(timeout, sending)
            .await
            .unwrap_or_else(|_| Err(SendFailure::no_answer_in_time()));
        let failure = match sent {
            Ok(response) => {
                parts.log_carried(&self.request.marks.id, engine, &response);
                return Ok(response);
            }
            Err(failure) => failure,
        };
        parts.record_send_failure(engine, &failure);
        if failure.is_break() {
            guard.await_end_check(&self.request).await;
        }
        let detail = format!("decode at {}: {}", engine.id, failure.detail);
        Err(RoundFailure::new(failure.verdict, detail))
    }

    /// Checks that the response belongs to this request and that the engine accepted the decode.
    pub(super) async fn check_response(
        &mut self,
        engine: &BackendInfo,
        guard: &InFlightGuard,
        cache: Option<PrefilledCache>,
        response: PooledAnswer,
    ) -> Result<PooledAnswer, RoundFailure> {
        let parts = self.parts.clone();
        let marks = (parts.dialect.read_response)(response.status, &response.headers);
        guard.record_response(response.status, &marks);
        if marks.is_for_other_request(&self.request.marks.id) {
            let detail = "an answer to another request";
            parts.record_failure(engine, BackendFailure::Broken, detail);
            let detail = format!("decode at {}: {detail}", engine.id);
            return Err(RoundFailure::new(RunVerdict::MayHaveRun, detail));
        }
        guard.record_own_response(response.status, &marks);
        if marks.not_run {
            let failure = self.record_decline(engine, cache, response.status);
            response::end_decline(response, &marks).await;
            return Err(failure);
        }
        if let Some(mut cache) = cache {
            cache.mark_transferred();
        }
        let is_good = !response.status.is_server_error();
        parts.book.borrow_mut().note_response(&engine.id, is_good);
        if response::is_false_promise(&self.request, response.status) {
            let status = response.status;
            response::end_decline(response, &marks).await;
            let text = "which does not say that the request did not run";
            let detail = format!("decode at {} answered {status}, {text}", engine.id);
            return Err(RoundFailure::new(RunVerdict::MayHaveRun, detail));
        }
        Ok(response)
    }

    // The usual cause is that the KV cache could not be fetched. That counts against the prefill engine, and in the next
    // round the decode engine computes the prompt itself.
    fn record_decline(
        &mut self,
        engine: &BackendInfo,
        cache: Option<PrefilledCache>,
        status: StatusCode,
    ) -> RoundFailure {
        self.parts.record_decline(engine, status);
        // An engine that asks for a backoff declined because of its own state, not because of the KV cache.
        if self.parts.may_send(engine, None) {
            let at_fault = cache.as_ref().map_or(engine, |cache| &cache.engine);
            let now = self.parts.now();
            self.parts
                .book
                .borrow_mut()
                .note_declined(&at_fault.id, now);
            self.skip_prefill = cache.is_some();
        }
        let detail = format!("decode at {} declined with status {status}", engine.id);
        RoundFailure::new(RunVerdict::NotRun, detail)
    }
}

//! One decode of a streamed request: sending it, and whether its engine took it.

use {
    super::{
        guard::CallGuard,
        prefill::WaitingCache,
        reserve::MemoryHold,
        stream::{RoundFailure, StreamRelay},
    },
    crate::{
        operation::RunVerdict,
        relay::{backend::BackendInfo, dialect::DecodeParams, policy::view::BackendFailure},
        web::{PoolUse, PooledAnswer, SendFailure},
    },
    std::time::Duration,
};

/// Longest wait for the head of a decode engine's answer; it comes with the first token.
const HEAD_PATIENCE: Duration = Duration::from_millis(3_000);

/// The same where another engine may begin anew: an engine that has memory and the KV cache answers in
/// some tens of milliseconds, one that computes the prompt itself in some hundred.
const RESUMABLE_HEAD_PATIENCE: Duration = Duration::from_millis(2_000);

/// Bytes of a declining answer.
const DECLINE_LIMIT: usize = 64 << 10;

impl StreamRelay {
    /// Sends the request to the engine that holds memory for it and waits for the head of its answer.
    pub(super) async fn send_decode(
        &self,
        hold: &MemoryHold,
        start: &DecodeParams,
        guard: &CallGuard,
    ) -> Result<PooledAnswer, RoundFailure> {
        let (parts, engine) = (&self.parts, &hold.engine);
        let request = self.call.request_to(engine, &parts.dialect, |headers| {
            (parts.dialect.engines.prepare_decode)(headers, start);
        });
        let patience = match self.is_resumable() {
            true => RESUMABLE_HEAD_PATIENCE,
            false => HEAD_PATIENCE,
        };
        let patience = patience.min(self.call.time_left());
        let admitted = Some(hold.reserved_at);
        let sending = parts.send_to(engine, PoolUse::Decode, request, admitted);
        let sent = tokio::time::timeout(patience, sending)
            .await
            .unwrap_or_else(|_| Err(SendFailure::no_answer_in_time()));
        let failure = match sent {
            Ok(answer) => return Ok(answer),
            Err(failure) => failure,
        };
        parts.note_send_failure(engine, &failure);
        if failure.is_break() {
            guard.settle_break(&self.call).await;
        }
        let detail = format!("decode at {}: {}", engine.id, failure.detail);
        Err(RoundFailure::new(failure.verdict, detail))
    }

    /// Whether the answer is this request's, and whether the engine took it.
    pub(super) async fn check_answer(
        &mut self,
        engine: &BackendInfo,
        guard: &CallGuard,
        cache: Option<WaitingCache>,
        answer: PooledAnswer,
    ) -> Result<PooledAnswer, RoundFailure> {
        let parts = self.parts.clone();
        let marks = (parts.dialect.read_response)(answer.status, &answer.headers);
        guard.note_marks(answer.status, &marks);
        if marks.is_for_other_request(&self.call.marks.id) {
            let detail = "an answer to another request";
            parts.note_failure(engine, BackendFailure::Broken, detail);
            let detail = format!("decode at {}: {detail}", engine.id);
            return Err(RoundFailure::new(RunVerdict::MayHaveRun, detail));
        }
        if marks.not_run {
            return Err(self.take_decline(engine, cache, answer).await);
        }
        if let Some(mut cache) = cache {
            cache.taken();
        }
        let is_good = !answer.status.is_server_error();
        parts.book.borrow_mut().answered(&engine.id, is_good);
        Ok(answer)
    }

    // Most often the KV cache could not be had: the prefill engine is to blame, and the decode engine
    // computes the prompt itself in the next round.
    async fn take_decline(
        &mut self,
        engine: &BackendInfo,
        cache: Option<WaitingCache>,
        answer: PooledAnswer,
    ) -> RoundFailure {
        let status = answer.status;
        self.parts.note_decline(engine, status);
        // One that asks for a backoff turned the request away for itself.
        if self.parts.may_send(engine, None) {
            let blamed = cache.as_ref().map_or(engine, |cache| &cache.engine);
            let now = self.parts.now();
            self.parts.book.borrow_mut().declined(&blamed.id, now);
            self.skip_prefill = cache.is_some();
        }
        // Read to its end, so that the connection can be used again.
        if let Err(detail) = answer.body.read(DECLINE_LIMIT).await {
            log::debug!("a declining answer of {} broke off: {detail}", engine.id);
        }
        let detail = format!("decode at {} declined with status {status}", engine.id);
        RoundFailure::new(RunVerdict::NotRun, detail)
    }
}

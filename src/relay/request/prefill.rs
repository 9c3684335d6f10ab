//! Has a prefill engine compute the KV cache of a prompt.

use {
    super::{
        client_request::ClientRequest, guard::InFlightGuard, reserve::MemoryReservation, response,
        stream::StreamRelay,
    },
    crate::{
        operation::RunVerdict,
        relay::{
            backend::BackendInfo,
            dialect::PromptCache,
            parts::{availability::SendBasis, shared::RelayParts},
            policy::{regions::RequestOrigin, view::BackendFailure},
        },
        web::PoolUse,
    },
    faststr::FastStr,
    http::StatusCode,
    std::{rc::Rc, time::Duration},
};

/// How much longer than predicted a prefill may take. After that the decode engine can still compute the prompt itself in
/// time. The limit is not much shorter because the work of an abandoned prefill is wasted.
const PREFILL_EXTRA_TIME: Duration = Duration::from_millis(900);

/// Predicted wait at the best prefill engine, in seconds, from which the decode engine computes the prompt itself. That
/// takes twice as long and delays the responses that it is generating.
const MAX_PREFILL_BACKLOG: f64 = 0.15;

/// Number of prefill engines that are tried one after the other until one receives the request.
const MAX_PREFILL_ENGINES: usize = 3;

/// Maximum body size of a prefill response.
const MAX_RESPONSE_BYTES: usize = 64 << 10;

/// A KV cache that waits at a prefill engine for the decode. Freed when dropped.
pub struct PrefilledCache {
    parts: Rc<RelayParts>,
    /// The prefill engine.
    pub engine: BackendInfo,
    cache: Option<PromptCache>,
}

impl PrefilledCache {
    /// The handle of the cache at its engine.
    pub fn handle(&self) -> Option<FastStr> {
        self.cache.as_ref().map(|cache| cache.handle.clone())
    }

    /// Records that a decode engine has fetched the cache, which need not be freed any more.
    pub fn mark_transferred(&mut self) {
        self.cache = None;
    }
}

impl Drop for PrefilledCache {
    fn drop(&mut self) {
        if let Some(cache) = self.cache.take() {
            let call = (self.parts.dialect.engines.free_cache)(&cache.handle);
            self.parts
                .clone()
                .call_in_background(self.engine.clone(), call);
        }
    }
}

/// Why a prefill produced no KV cache.
#[derive(Debug)]
pub struct PrefillFailure {
    /// Whether the prompt may have been computed.
    pub verdict: RunVerdict,
    /// Whether the engine received the request. If so, the failed prefill counts as a retry.
    pub received: bool,
    /// How the engine failed.
    pub kind: BackendFailure,
    /// Description for the log.
    pub detail: String,
}

// Counts the prompt tokens that a prefill engine has to compute for this host, until dropped.
struct PrefillLoad {
    parts: Rc<RelayParts>,
    engine: BackendInfo,
    tokens: u64,
}

impl PrefillLoad {
    fn begin(parts: &Rc<RelayParts>, engine: &BackendInfo, tokens: u64) -> Self {
        parts.book.borrow_mut().prefill_started(&engine.id, tokens);
        Self {
            parts: parts.clone(),
            engine: engine.clone(),
            tokens,
        }
    }
}

impl Drop for PrefillLoad {
    fn drop(&mut self) {
        let mut book = self.parts.book.borrow_mut();
        if book.is_current(&self.engine) {
            book.prefill_ended(&self.engine.id, self.tokens);
        }
    }
}

/// Chooses the prefill engine with the shortest predicted wait, preferring the origin's zone, and returns it with that wait in
/// seconds. Returns `None` if the decode engine had better compute the prompt itself. Rate-limited engines without a
/// permit for a request of this rank are skipped.
pub fn choose_prefill_engine(
    parts: &RelayParts,
    service: &str,
    origin: RequestOrigin<'_>,
    rank: u8,
    tried: &[FastStr],
) -> Option<(BackendInfo, f64)> {
    parts.update_preferred_engines();
    let now = parts.now();
    let book = parts.book.borrow();
    let mut excluded = book.without_permit(service, rank, now);
    excluded.extend_from_slice(tried);
    let best = book.best_prefill(service, origin, &excluded, now)?;
    (best.1 < MAX_PREFILL_BACKLOG).then_some(best)
}

fn predicted_time(parts: &RelayParts, request: &ClientRequest, backlog: f64) -> Duration {
    let own_time = parts
        .book
        .borrow()
        .prefill_time(request.marks.prompt_tokens);
    Duration::from_secs_f64(backlog + own_time)
}

/// Has a prefill engine compute the prompt, given with its predicted wait in seconds; its permit was asked for at
/// `admitted_at`.
pub async fn prefill_prompt(
    parts: &Rc<RelayParts>,
    request: &ClientRequest,
    (engine, backlog): (BackendInfo, f64),
    admitted_at: Duration,
) -> Result<PrefilledCache, PrefillFailure> {
    let _load = PrefillLoad::begin(parts, &engine, request.marks.prompt_tokens);
    let guard = InFlightGuard::begin(parts, &engine, request.is_crash_suspect);
    let started = parts.now();
    let predicted = predicted_time(parts, request, backlog);
    let timeout = (predicted + PREFILL_EXTRA_TIME).min(request.time_left());
    let computing = send(parts, request, &engine, &guard, admitted_at);
    let result = tokio::time::timeout(timeout, computing)
        .await
        .unwrap_or_else(|_| {
            Err(PrefillFailure {
                verdict: RunVerdict::MayHaveRun,
                received: true,
                kind: BackendFailure::Silent,
                detail: "no answer in time".into(),
            })
        });
    match &result {
        Ok(cache) => {
            let now = parts.now();
            let mut book = parts.book.borrow_mut();
            book.note_response(&engine.id, true);
            parts
                .metrics
                .computed(&request.route, now.saturating_sub(started));
            book.prefill_observed(&engine.id, cache.tokens, now.saturating_sub(started), now);
        }
        Err(failure) if failure.verdict != RunVerdict::NotRun => {
            parts.record_failure(&engine, failure.kind, &failure.detail);
            if failure.kind == BackendFailure::Broken {
                guard.await_end_check(request).await;
            }
        }
        Err(_) => {}
    }
    let cache = result?;
    Ok(PrefilledCache {
        parts: parts.clone(),
        engine,
        cache: Some(cache),
    })
}

async fn send(
    parts: &Rc<RelayParts>,
    request: &ClientRequest,
    engine: &BackendInfo,
    guard: &InFlightGuard,
    admitted_at: Duration,
) -> Result<PromptCache, PrefillFailure> {
    let dialect = &parts.dialect;
    let outgoing = request.backend_request(engine, dialect, dialect.engines.prepare_prefill);
    let answer_id = request.answer_id();
    let basis = SendBasis {
        reserved_at: None,
        admitted_at: Some(admitted_at),
    };
    let sent = parts
        .send_to(engine, PoolUse::Prefill, answer_id, outgoing, basis)
        .await;
    let response = sent.map_err(|failure| {
        if failure.verdict == RunVerdict::NotRun {
            parts.record_send_failure(engine, &failure);
        }
        PrefillFailure {
            verdict: failure.verdict,
            received: failure.verdict != RunVerdict::NotRun,
            // Only used if the engine may have received the request.
            kind: failure.kind().unwrap_or(BackendFailure::Broken),
            detail: failure.detail,
        }
    })?;
    parts.log_carried(&request.marks.id, engine, &response);
    let (status, marks) = (
        response.status,
        (dialect.read_response)(response.status, &response.headers),
    );
    guard.record_response(status, &marks);
    if marks.not_run {
        response::end_decline(response, &marks).await;
        parts.record_decline(engine, status);
        // A decline during a backoff says nothing about the time after it.
        if parts.may_send(engine, None) {
            parts
                .book
                .borrow_mut()
                .note_declined(&engine.id, parts.now());
        }
        return Err(PrefillFailure {
            verdict: RunVerdict::NotRun,
            received: true,
            kind: BackendFailure::Broken,
            detail: format!("declined with status {status}"),
        });
    }
    let body = parts.read_answer(response.body, MAX_RESPONSE_BYTES).await;
    let body = body.map_err(|detail| PrefillFailure {
        verdict: RunVerdict::MayHaveRun,
        received: true,
        kind: BackendFailure::Broken,
        detail,
    })?;
    let is_ours = !marks.is_for_other_request(&request.marks.id);
    let cache =
        (dialect.engines.read_prefill)(&body).filter(|_| is_ours && status == StatusCode::OK);
    cache.ok_or_else(|| PrefillFailure {
        verdict: RunVerdict::MayHaveRun,
        received: true,
        kind: BackendFailure::Broken,
        detail: format!("unusable answer, status {status}"),
    })
}

impl StreamRelay {
    // Has a prefill engine compute the prompt. Returns `None` if none is free soon or the chosen one failed; the decode
    // engine then computes the prompt itself.
    pub(super) async fn prefill(
        &mut self,
        reservation: &MemoryReservation,
    ) -> Option<PrefilledCache> {
        let mut tried = Vec::new();
        // A crash trial is a single send, which is the decode.
        let is_trial = self.request.is_crash_trial;
        let skips_prefill =
            self.skip_prefill || is_trial || std::mem::take(&mut self.is_prompt_cached);
        while !skips_prefill && tried.len() < MAX_PREFILL_ENGINES {
            // What one version has computed of a prompt need not fit another one.
            let engine = &reservation.engine;
            let origin = self
                .request
                .origin(&engine.zone)
                .of_software(&engine.software);
            let (parts, rank) = (&self.parts, self.request.priority());
            let chosen = choose_prefill_engine(parts, &self.service, origin, rank, &tried)?;
            let engine = chosen.0.id.clone();
            // A rate-limited engine without a permit is treated like one that cannot be reached.
            let Ok(permit) = parts.acquire_permit(&chosen.0, rank).await else {
                tried.push(engine);
                continue;
            };
            if !parts.may_send(&chosen.0, None) {
                tried.push(engine);
                continue;
            }
            if !self.may_prefill() {
                return None;
            }
            let admitted_at = permit.consume();
            let prefilling = prefill_prompt(&self.parts, &self.request, chosen, admitted_at);
            let failure = match prefilling.await {
                Ok(cache) => {
                    self.log_prefill(&cache.engine);
                    self.prefill_received = true;
                    return Some(cache);
                }
                Err(failure) => failure,
            };
            self.log_prefill_failure(&engine, &failure);
            self.prefill_broken |= failure.received && failure.kind == BackendFailure::Broken;
            if failure.received {
                self.prefill_received = true;
                self.parts.count_retry(&self.service);
                return None;
            }
            tried.push(engine);
        }
        None
    }

    // The first prefill counts as a retry only if its engine fails to do it, so until then it only has to fit into the
    // budget.
    fn may_prefill(&self) -> bool {
        match self.prefill_received {
            true => self.parts.spend_retry(&self.service),
            false => self.parts.may_risk_retry(&self.service),
        }
    }
}

//! Having a prompt's KV cache computed by a prefill engine.

use {
    super::{call::RelayCall, guard::CallGuard},
    crate::{
        operation::RunVerdict,
        relay::{
            backend::BackendInfo, dialect::PromptCache, parts::shared::RelayParts,
            policy::view::BackendFailure,
        },
        web::PoolUse,
    },
    faststr::FastStr,
    http::StatusCode,
    std::{rc::Rc, time::Duration},
};

/// Longest wait for a prefill beyond its predicted time: the decode engine can then still compute the
/// prompt itself in time. What is given up so was computed for nothing, so it is not much shorter.
const PREFILL_PATIENCE: Duration = Duration::from_millis(900);

/// Predicted wait at the best prefill engine, seconds, from which the decode engine computes the prompt
/// itself: it takes twice as long, and holds up the answers that it generates meanwhile.
const OVERFLOW_BACKLOG: f64 = 0.15;

/// Bytes that the answer to a prefill may have.
const ANSWER_LIMIT: usize = 64 << 10;

/// A KV cache that waits at a prefill engine; freed when dropped.
pub struct WaitingCache {
    parts: Rc<RelayParts>,
    /// The prefill engine.
    pub engine: BackendInfo,
    cache: Option<PromptCache>,
}

impl WaitingCache {
    /// The cache's name at its engine.
    pub fn name(&self) -> Option<FastStr> {
        self.cache.as_ref().map(|cache| cache.handle.clone())
    }

    /// The cache was taken by a decode engine.
    pub fn taken(&mut self) {
        self.cache = None;
    }
}

impl Drop for WaitingCache {
    fn drop(&mut self) {
        if let Some(cache) = self.cache.take() {
            let call = (self.parts.dialect.engines.free_cache)(&cache.handle);
            self.parts.clone().call_later(self.engine.clone(), call);
        }
    }
}

/// Why there is no KV cache.
#[derive(Debug)]
pub struct PrefillFailure {
    /// Whether the prompt may have been computed.
    pub verdict: RunVerdict,
    /// Whether the engine got the request at all: if so, it counts as a repeat.
    pub arrived: bool,
    /// How the engine failed.
    pub kind: BackendFailure,
    /// What happened.
    pub detail: String,
}

// Tokens that a prefill engine has to compute for this host, counted until dropped.
struct PrefillLoad {
    parts: Rc<RelayParts>,
    engine: BackendInfo,
    tokens: u64,
}

impl PrefillLoad {
    fn begin(parts: &Rc<RelayParts>, engine: &BackendInfo, tokens: u64) -> Self {
        parts.book.borrow_mut().prefill_began(&engine.id, tokens);
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

/// The prefill engine to send to, best near the decode engine's zone; none where the decode engine
/// would compute the prompt sooner by itself. A rate-limited one has to have a permit for a request of this rank.
pub fn choose_engine(
    parts: &RelayParts,
    service: &str,
    zone: &str,
    rank: u8,
    tried: &[FastStr],
) -> Option<(BackendInfo, f64)> {
    let now = parts.now();
    let book = parts.book.borrow();
    let mut passed_over = book.without_permit(service, rank, now);
    passed_over.extend_from_slice(tried);
    let best = book.best_prefill(service, zone, &passed_over, now)?;
    (best.1 < OVERFLOW_BACKLOG).then_some(best)
}

fn predict(parts: &RelayParts, call: &RelayCall, backlog: f64) -> Duration {
    let own = parts.book.borrow().prefill_time(call.marks.prompt_tokens);
    Duration::from_secs_f64(backlog + own)
}

/// Has the prompt computed.
pub async fn compute_prompt(
    parts: &Rc<RelayParts>,
    call: &RelayCall,
    (engine, backlog): (BackendInfo, f64),
) -> Result<WaitingCache, PrefillFailure> {
    let _load = PrefillLoad::begin(parts, &engine, call.marks.prompt_tokens);
    let guard = CallGuard::begin(parts, &engine, call.is_suspected);
    let began = parts.now();
    let predicted = predict(parts, call, backlog);
    let patience = (predicted + PREFILL_PATIENCE).min(call.time_left());
    let computing = send(parts, call, &engine, &guard);
    let result = tokio::time::timeout(patience, computing)
        .await
        .unwrap_or_else(|_| {
            Err(PrefillFailure {
                verdict: RunVerdict::MayHaveRun,
                arrived: true,
                kind: BackendFailure::Silent,
                detail: "no answer in time".into(),
            })
        });
    match &result {
        Ok(cache) => {
            let now = parts.now();
            let mut book = parts.book.borrow_mut();
            book.answered(&engine.id, true);
            parts
                .metrics
                .computed(&call.route, now.saturating_sub(began));
            book.prefill_observed(&engine.id, cache.tokens, now.saturating_sub(began), now);
        }
        Err(failure) if failure.verdict != RunVerdict::NotRun => {
            parts.note_failure(&engine, failure.kind, &failure.detail);
            if failure.kind == BackendFailure::Broken {
                guard.settle_break(call).await;
            }
        }
        Err(_) => {}
    }
    let cache = result?;
    Ok(WaitingCache {
        parts: parts.clone(),
        engine,
        cache: Some(cache),
    })
}

async fn send(
    parts: &Rc<RelayParts>,
    call: &RelayCall,
    engine: &BackendInfo,
    guard: &CallGuard,
) -> Result<PromptCache, PrefillFailure> {
    let dialect = &parts.dialect;
    let request = call.request_to(engine, dialect, dialect.engines.prepare_prefill);
    let sent = parts.send_to(engine, PoolUse::Prefill, request, None).await;
    let answer = sent.map_err(|failure| {
        if failure.verdict == RunVerdict::NotRun {
            parts.note_send_failure(engine, &failure);
        }
        PrefillFailure {
            verdict: failure.verdict,
            arrived: failure.verdict != RunVerdict::NotRun,
            // Only looked at where the engine may have got the request.
            kind: failure.kind().unwrap_or(BackendFailure::Broken),
            detail: failure.detail,
        }
    })?;
    let (status, marks) = (
        answer.status,
        (dialect.read_response)(answer.status, &answer.headers),
    );
    guard.note_marks(status, &marks);
    let body = answer.body.read(ANSWER_LIMIT).await;
    let body = body.map_err(|detail| PrefillFailure {
        verdict: RunVerdict::MayHaveRun,
        arrived: true,
        kind: BackendFailure::Broken,
        detail,
    })?;
    if marks.not_run {
        parts.note_decline(engine, status);
        // A backoff says nothing of the time after it.
        if parts.may_send(engine, None) {
            parts.book.borrow_mut().declined(&engine.id, parts.now());
        }
        return Err(PrefillFailure {
            verdict: RunVerdict::NotRun,
            arrived: true,
            kind: BackendFailure::Broken,
            detail: format!("declined with status {status}"),
        });
    }
    let is_ours = !marks.is_for_other_request(&call.marks.id);
    let cache =
        (dialect.engines.read_prefill)(&body).filter(|_| is_ours && status == StatusCode::OK);
    cache.ok_or_else(|| PrefillFailure {
        verdict: RunVerdict::MayHaveRun,
        arrived: true,
        kind: BackendFailure::Broken,
        detail: format!("unusable answer, status {status}"),
    })
}

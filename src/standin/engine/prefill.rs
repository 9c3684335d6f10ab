//! How a stand-in engine computes prompts.

use {
    super::{
        answer,
        core::{EngineCore, KvExport},
        state::{KvEntry, QueuedPrefill},
    },
    crate::engine::{self, CallFailure, CallResult, RefusalCause},
    faststr::FastStr,
    std::sync::{Arc, atomic::Ordering},
    tokio::time::Instant,
};

impl EngineCore {
    /// Whether it is to end, since it began to compute the prompt under which it does.
    pub fn has_met_fatal(&self) -> bool {
        self.met_fatal.load(Ordering::Acquire)
    }

    /// Computes a prompt's KV cache, after those queued before it.
    pub async fn prefill(&self, order: engine::PrefillOrder) -> CallResult<engine::PrefillReply> {
        if self.params().fatal_prompt.as_ref() == Some(&order.prompt) {
            self.met_fatal.store(true, Ordering::Release);
            // Until whoever runs the engine ends it.
            std::future::pending::<()>().await;
        }
        self.check(engine::EngineRole::Prefill, &order.model)
            .map_err(|cause| self.refuse(cause))?;
        let room = self.params().prefill_queue;
        if self.state().queue.len() >= room {
            return Err(self.refuse(RefusalCause::Full));
        }
        let log = self
            .admit(&order.attempt, &order.tenant)
            .map_err(|cause| self.refuse(cause))?;
        let (done, answer) = tokio::sync::oneshot::channel();
        let tokens = engine::estimate_tokens(&order.prompt) + order.delivered.len() as u64;
        self.state().queue.push(QueuedPrefill {
            order,
            log,
            tokens,
            done,
        });
        self.prefill_wake.notify_one();
        answer
            .await
            .unwrap_or_else(|_| Err(CallFailure::unanswered("engine stopped")))
    }

    pub(super) async fn run_prefills(self: Arc<Self>) {
        loop {
            let Some(queued) = self.take_queued() else {
                self.prefill_wake.notified().await;
                continue;
            };
            let attempt = queued.order.attempt.clone();
            let result = self.compute(&queued).await;
            self.state().computing = 0;
            if let Err(CallFailure { .. }) = &result {
                queued.log.end();
            }
            if queued.done.send(result).is_err() {
                log::trace!("nobody waits for prefill {attempt}");
            }
        }
    }

    // The most urgent queued prefill, the oldest among equals.
    fn take_queued(&self) -> Option<QueuedPrefill> {
        let mut state = self.state();
        let urgent = state
            .queue
            .iter()
            .map(|queued| queued.order.priority)
            .max()?;
        let place = state
            .queue
            .iter()
            .position(|queued| queued.order.priority == urgent)?;
        let queued = state.queue.remove(place);
        state.computing = queued.tokens;
        Some(queued)
    }

    async fn compute(&self, queued: &QueuedPrefill) -> CallResult<engine::PrefillReply> {
        let params = self.params();
        let cached = {
            let hashes = engine::block_hashes(&queued.order.prompt);
            let mut state = self.state();
            let cached = state.cache.covered(&hashes);
            state.cache.admit(&hashes);
            cached
        };
        let computed = queued.tokens - cached.min(queued.tokens);
        let time = params.prefill_time(computed);
        tokio::select! {
            () = tokio::time::sleep(time) => {}
            () = queued.log.ended() => return Err(self.refuse(RefusalCause::Cancelled)),
        }
        let handle = self.next_handle.fetch_add(1, Ordering::Relaxed);
        let handle = FastStr::from_string(format!("{}-kv{handle}", self.name));
        let export = KvExport {
            seed: answer::prompt_seed(&queued.order.prompt),
            position: queued.order.delivered.len() as u32,
            kv_bytes: queued.tokens * params.kv_bytes_per_token,
        };
        let kv_bytes = export.kv_bytes;
        let entry = KvEntry {
            export,
            computed,
            expires: Instant::now() + params.kv_life,
            exporting: false,
            attempt: queued.order.attempt.clone(),
        };
        let mut state = self.state();
        state.counts.computed_tokens += computed;
        state.counts.prefills += 1;
        state.kv.insert(handle.clone(), entry);
        state.computing = 0;
        drop(state);
        Ok(engine::PrefillReply {
            handle,
            computed_tokens: computed,
            cached_tokens: cached,
            compute_ms: time.as_secs_f64() * 1_000.0,
            kv_bytes,
            load: self.load(),
        })
    }
}

//! The decode side of a stand-in engine: imports and the batch.

use {
    super::{answer, attempt::AttemptLog, core::EngineCore, state::Sequence},
    crate::engine::{self, CallResult, RefusalCause},
    faststr::FastStr,
    std::sync::Arc,
};

impl EngineCore {
    /// Takes an attempt into the decode memory and starts its import.
    pub fn decode(self: &Arc<Self>, order: engine::DecodeOrder) -> CallResult<Arc<AttemptLog>> {
        self.check(engine::EngineRole::Decode, &order.model)
            .map_err(|cause| self.refuse(cause))?;
        let slots = self.params().slots as usize;
        if self.state().slots.len() >= slots {
            return Err(self.refuse(RefusalCause::Full));
        }
        let log = self
            .admit(&order.attempt, &order.tenant)
            .map_err(|cause| self.refuse(cause))?;
        self.state()
            .slots
            .insert(order.attempt.clone(), log.clone());
        tokio::spawn(self.clone().import(order, log.clone()));
        Ok(log)
    }

    pub(super) async fn import(self: Arc<Self>, order: engine::DecodeOrder, log: Arc<AttemptLog>) {
        let fetch = (self.fetch_kv)(order.source.clone(), order.handle.clone());
        let stalls = self.draw_stall();
        let fetched = tokio::select! {
            fetched = stall_or(stalls, fetch) => fetched,
            () = log.ended() => return,
        };
        let export = match fetched {
            Ok(export) => export,
            Err(cause) => {
                let reason = FastStr::from_string(format!("import failed: {cause:?}"));
                log.push(engine::StreamItem::Aborted { reason });
                self.free(&order.attempt);
                return;
            }
        };
        log.push(engine::StreamItem::Imported {
            load: Some(self.load()),
        });
        let whole = answer::answer_length(export.seed, self.params().answer_tokens);
        let end = whole.min(order.max_tokens).max(export.position);
        let reason = match whole <= order.max_tokens {
            true => FastStr::from_static_str("stop"),
            false => FastStr::from_static_str("length"),
        };
        let mut state = self.state();
        if !state.slots.contains_key(&order.attempt) {
            return;
        }
        state.batch.push(Sequence {
            attempt: order.attempt,
            log,
            seed: export.seed,
            next: export.position,
            end,
            reason,
        });
        drop(state);
        self.decode_wake.notify_one();
    }

    // Spreads the stalls evenly, so that a share is a share in short runs too.
    pub(super) fn draw_stall(&self) -> bool {
        let share = self.params().stall_share;
        let mut state = self.state();
        state.stall_debt += share;
        let stalls = state.stall_debt >= 1.0;
        if stalls {
            state.stall_debt -= 1.0;
        }
        stalls
    }

    pub(super) async fn run_decode(self: Arc<Self>) {
        loop {
            let batch = self.state().batch.len();
            if batch == 0 {
                self.decode_wake.notified().await;
                continue;
            }
            tokio::time::sleep(self.params().step_time(batch)).await;
            self.step();
        }
    }

    // One token for every request in the batch.
    pub(super) fn step(&self) {
        let load = self.load();
        let mut state = self.state();
        let mut ended = Vec::new();
        for sequence in &mut state.batch {
            if sequence.next < sequence.end {
                let position = sequence.next;
                let text = answer::token_at(sequence.seed, position);
                sequence
                    .log
                    .push(engine::StreamItem::Token { position, text });
                sequence.next += 1;
            }
            if sequence.next >= sequence.end {
                sequence.log.push(engine::StreamItem::Finished {
                    tokens: sequence.end,
                    reason: sequence.reason.clone(),
                    load: Some(load.clone()),
                });
                ended.push(sequence.attempt.clone());
            }
        }
        state.counts.answers += ended.len() as u64;
        for attempt in ended {
            state.free(&attempt);
        }
    }
}

async fn stall_or<T>(stalls: bool, fetch: impl Future<Output = T>) -> T {
    if stalls {
        std::future::pending::<()>().await;
    }
    fetch.await
}

//! What a stand-in engine holds.

use {
    super::{attempt::AttemptLog, core::KvExport},
    crate::engine::{self, CallResult},
    faststr::FastStr,
    serde::{Deserialize, Serialize},
    std::{collections::HashMap, sync::Arc, time::Duration},
    tokio::time::Instant,
};

/// What an engine did so far; read by tests, the demo and the bench.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineCounts {
    /// Prompt tokens computed.
    pub computed_tokens: u64,
    /// Prompt tokens computed whose KV cache nobody imported.
    pub wasted_tokens: u64,
    /// Prefills finished.
    pub prefills: u64,
    /// Answers generated to their end.
    pub answers: u64,
    /// Orders refused.
    pub refused: u64,
    /// Attempts cancelled while they held memory or a queue place.
    pub cancelled: u64,
}

/// A KV cache that waits for its import.
pub(super) struct KvEntry {
    pub(super) export: KvExport,
    pub(super) computed: u64,
    pub(super) expires: Instant,
    pub(super) exporting: bool,
    pub(super) attempt: FastStr,
}

impl KvEntry {
    // An export that has begun may end, within reason.
    pub(super) fn has_expired(&self, now: Instant) -> bool {
        let grace = match self.exporting {
            true => EXPORT_LIMIT,
            false => Duration::ZERO,
        };
        now >= self.expires + grace
    }
}

/// A request in the decode batch.
pub(super) struct Sequence {
    pub(super) attempt: FastStr,
    pub(super) log: Arc<AttemptLog>,
    pub(super) seed: u64,
    pub(super) next: u32,
    pub(super) end: u32,
    pub(super) reason: FastStr,
}

/// Everything that an engine holds.
pub(super) struct EngineState {
    pub(super) role: engine::EngineRole,
    pub(super) models: Vec<FastStr>,
    pub(super) leaving: bool,
    pub(super) highest_token: u64,
    pub(super) queue: Vec<QueuedPrefill>,
    pub(super) computing: u64,
    pub(super) cache: engine::PrefixIndex,
    pub(super) kv: HashMap<FastStr, KvEntry>,
    pub(super) slots: HashMap<FastStr, Arc<AttemptLog>>,
    pub(super) batch: Vec<Sequence>,
    pub(super) logs: HashMap<FastStr, Arc<AttemptLog>>,
    pub(super) link_free: Instant,
    pub(super) published: (Instant, engine::LoadReport),
    pub(super) counts: EngineCounts,
    pub(super) stall_debt: f64,
    pub(super) slot_samples: (u64, u64),
}

/// A prefill that waits for its turn.
pub(super) struct QueuedPrefill {
    pub(super) order: engine::PrefillOrder,
    pub(super) log: Arc<AttemptLog>,
    pub(super) tokens: u64,
    pub(super) done: tokio::sync::oneshot::Sender<CallResult<engine::PrefillReply>>,
}

/// How long past its life a KV cache is kept while it is being handed over.
const EXPORT_LIMIT: Duration = Duration::from_secs(2);

impl EngineState {
    pub(super) fn report(&self, slots: u32) -> engine::LoadReport {
        let queued: u64 = self.queue.iter().map(|queued| queued.tokens).sum();
        engine::LoadReport {
            role: self.role,
            models: self.models.clone(),
            slots_total: slots,
            slots_used: self.slots.len() as u32,
            queued_tokens: queued + self.computing,
            attempts: (self.slots.len() + self.queue.len()) as u32 + u32::from(self.computing > 0),
            leaving: self.leaving,
        }
    }

    pub(super) fn end_log(&mut self, attempt: &FastStr) {
        if let Some(log) = self.logs.get(attempt) {
            log.end();
        }
    }

    pub(super) fn free(&mut self, attempt: &FastStr) {
        self.slots.remove(attempt);
        self.batch.retain(|sequence| sequence.attempt != *attempt);
        self.end_log(attempt);
    }

    pub(super) fn waste(&mut self, handle: &FastStr) {
        if let Some(entry) = self.kv.remove(handle) {
            self.counts.wasted_tokens += entry.computed;
            self.end_log(&entry.attempt);
        }
    }
}

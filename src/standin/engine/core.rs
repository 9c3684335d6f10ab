//! The state of a stand-in engine and the calls that it answers.
//!
//! The same code serves the sockets of [`super::server`] and, in process, the bench. It runs on
//! tokio's clock, so a paused clock makes it exact.

use {
    super::{
        attempt::AttemptLog,
        params::EngineParams,
        state::{EngineCounts, EngineState},
    },
    crate::engine::{self, CallFailure, CallResult, EngineRefusal, RefusalCause},
    faststr::FastStr,
    futures::future::BoxFuture,
    serde::{Deserialize, Serialize},
    std::{
        collections::HashMap,
        sync::{
            Arc, Mutex, MutexGuard,
            atomic::{AtomicBool, AtomicU64},
        },
        time::Duration,
    },
    tokio::{sync::Notify, time::Instant},
};

/// A KV cache on its way to a decode engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvExport {
    /// Hash of the prompt.
    pub seed: u64,
    /// Tokens of the answer that it already covers.
    pub position: u32,
    /// Its size, bytes.
    pub kv_bytes: u64,
}

/// Fetches a KV cache from the engine at an address, by its handle.
pub type FetchKv = Arc<
    dyn Fn(FastStr, FastStr) -> BoxFuture<'static, Result<KvExport, RefusalCause>> + Send + Sync,
>;

/// A stand-in engine.
pub struct EngineCore {
    /// The engine's name.
    pub name: FastStr,
    pub(super) params: Mutex<EngineParams>,
    pub(super) state: Mutex<EngineState>,
    pub(super) prefill_wake: Notify,
    pub(super) decode_wake: Notify,
    pub(super) next_handle: AtomicU64,
    pub(super) fetch_kv: FetchKv,
    pub(super) met_fatal: AtomicBool,
}

impl EngineCore {
    /// Starts an engine's tasks on the current runtime.
    pub fn start(
        name: FastStr,
        role: engine::EngineRole,
        models: Vec<FastStr>,
        params: EngineParams,
        fetch_kv: FetchKv,
    ) -> Arc<Self> {
        let now = Instant::now();
        let load = engine::LoadReport {
            role,
            models: models.clone(),
            slots_total: params.slots,
            slots_used: 0,
            queued_tokens: 0,
            attempts: 0,
            leaving: false,
        };
        let state = EngineState {
            role,
            models,
            leaving: false,
            highest_token: 0,
            queue: Vec::new(),
            computing: 0,
            cache: engine::PrefixIndex::new(params.cache_blocks),
            kv: HashMap::new(),
            slots: HashMap::new(),
            batch: Vec::new(),
            logs: HashMap::new(),
            link_free: now,
            published: (now, load),
            counts: EngineCounts::default(),
            stall_debt: 0.0,
            slot_samples: (0, 0),
        };
        let core = Arc::new(Self {
            name,
            params: Mutex::new(params),
            state: Mutex::new(state),
            prefill_wake: Notify::new(),
            decode_wake: Notify::new(),
            next_handle: AtomicU64::new(1),
            fetch_kv,
            met_fatal: AtomicBool::new(false),
        });
        tokio::spawn(core.clone().run_prefills());
        tokio::spawn(core.clone().run_decode());
        tokio::spawn(core.clone().run_expiry());
        core
    }

    pub(super) fn state(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().expect("engine state")
    }

    /// The engine's speeds and sizes.
    pub fn params(&self) -> EngineParams {
        self.params.lock().expect("engine params").clone()
    }

    /// Changes the engine's speeds and sizes while it runs.
    pub fn change_params(&self, change: impl FnOnce(&mut EngineParams)) {
        change(&mut self.params.lock().expect("engine params"));
    }

    /// What the engine did so far.
    pub fn counts(&self) -> EngineCounts {
        self.state().counts
    }

    /// Attempts that hold memory or a queue place: the engine memory the promises speak of.
    pub fn held(&self) -> usize {
        let state = self.state();
        state.slots.len() + state.queue.len() + usize::from(state.computing > 0)
    }

    /// Counts the decode slots in use now, for [`Self::slot_use`].
    pub fn sample_slots(&self) {
        let mut state = self.state();
        let used = state.slots.len() as u64;
        state.slot_samples = (state.slot_samples.0 + 1, state.slot_samples.1 + used);
    }

    /// Mean share of the decode slots that was in use when it was sampled.
    pub fn slot_use(&self) -> f64 {
        let slots = f64::from(self.params().slots);
        let (samples, used) = self.state().slot_samples;
        used as f64 / (samples.max(1) as f64 * slots)
    }

    /// Says that the engine wants no new work, or wants it again.
    pub fn set_leaving(&self, leaving: bool) {
        self.state().leaving = leaving;
    }

    /// The load report, as old as the engine's lag makes it.
    pub fn load(&self) -> engine::LoadReport {
        let lag = self.params().report_lag;
        let slots = self.params().slots;
        let mut state = self.state();
        let now = Instant::now();
        if now - state.published.0 >= lag {
            let report = state.report(slots);
            state.published = (now, report);
        }
        let mut load = state.published.1.clone();
        load.leaving = state.leaving;
        load.role = state.role;
        load
    }

    pub(super) fn refuse(&self, cause: RefusalCause) -> CallFailure {
        self.state().counts.refused += 1;
        CallFailure::refused(EngineRefusal {
            cause,
            load: Some(self.load()),
        })
    }

    pub(super) fn check(
        &self,
        role: engine::EngineRole,
        model: &FastStr,
    ) -> Result<(), RefusalCause> {
        let state = self.state();
        if state.leaving {
            return Err(RefusalCause::Leaving);
        }
        if state.role != role || !state.models.contains(model) {
            return Err(RefusalCause::WrongEngine);
        }
        Ok(())
    }

    // Registers an attempt; one that was cancelled before it came, or came before, is refused.
    pub(super) fn admit(
        &self,
        attempt: &FastStr,
        tenant: &FastStr,
    ) -> Result<Arc<AttemptLog>, RefusalCause> {
        let mut state = self.state();
        if let Some(log) = state.logs.get(attempt) {
            return Err(match log.is_cancelled() {
                true => RefusalCause::Cancelled,
                false => RefusalCause::Invalid,
            });
        }
        let log = AttemptLog::new(tenant.clone());
        state.logs.insert(attempt.clone(), log.clone());
        Ok(log)
    }

    /// Hands a KV cache over, as fast as the link allows; it is gone here afterwards.
    pub async fn export(&self, handle: &FastStr) -> Result<KvExport, RefusalCause> {
        let (export, ready) = {
            let params = self.params();
            let mut state = self.state();
            let now = Instant::now();
            let entry = state.kv.get_mut(handle).ok_or(RefusalCause::Expired)?;
            entry.exporting = true;
            let export = entry.export.clone();
            let start = state.link_free.max(now);
            let ready = start + params.transfer_time(export.kv_bytes);
            state.link_free = ready;
            (export, ready)
        };
        tokio::time::sleep_until(ready).await;
        self.release(handle);
        Ok(export)
    }

    // Forgets a KV cache that has been handed over.
    fn release(&self, handle: &FastStr) {
        let mut state = self.state();
        if let Some(entry) = state.kv.remove(handle) {
            state.end_log(&entry.attempt);
        }
    }

    pub(super) fn free(&self, attempt: &FastStr) {
        self.state().free(attempt);
    }

    /// Ends an attempt and frees what it holds; one that has not come yet is refused when it comes.
    pub fn cancel(&self, attempt: &FastStr) {
        let mut state = self.state();
        let log = state
            .logs
            .entry(attempt.clone())
            .or_insert_with(|| AttemptLog::new(FastStr::empty()))
            .clone();
        if log.has_ended() {
            return;
        }
        log.cancel();
        state.counts.cancelled += 1;
        state
            .queue
            .retain(|queued| queued.order.attempt != *attempt);
        let handles: Vec<FastStr> = state
            .kv
            .iter()
            .filter(|(_, entry)| entry.attempt == *attempt)
            .map(|(handle, _)| handle.clone())
            .collect();
        for handle in handles {
            state.waste(&handle);
        }
        state.free(attempt);
    }

    /// The stream of an attempt that is live or ended lately.
    pub fn find(&self, attempt: &FastStr) -> Option<Arc<AttemptLog>> {
        self.state().logs.get(attempt).cloned()
    }

    /// Cancels what an ended host left behind and nobody reads any more.
    pub fn sweep(&self, order: &engine::SweepOrder) -> engine::SweepReply {
        let idle = Duration::from_millis(order.idle_ms);
        let candidates: Vec<(FastStr, bool)> = self
            .state()
            .logs
            .iter()
            .filter(|(name, log)| {
                !log.has_ended() && engine::attempt_incarnation(name) == Some(&order.incarnation)
            })
            .map(|(name, log)| (name.clone(), log.idle_for() >= idle))
            .collect();
        let mut reply = engine::SweepReply {
            cancelled: 0,
            left: 0,
        };
        for (attempt, idle) in candidates {
            if idle {
                self.cancel(&attempt);
                reply.cancelled += 1;
            } else {
                reply.left += 1;
            }
        }
        reply
    }

    /// Takes a fenced order; an engine that does not check tokens takes any.
    pub fn order(&self, order: &engine::FencedOrder) -> CallResult<()> {
        let checks = self.params().checks_token;
        let mut state = self.state();
        if checks && order.token < state.highest_token {
            drop(state);
            return Err(self.refuse(RefusalCause::Fenced));
        }
        state.highest_token = state.highest_token.max(order.token);
        state.role = order.role;
        state.models.clone_from(&order.models);
        Ok(())
    }

    // Drops KV caches that nobody fetched in time, and old records.
    async fn run_expiry(self: Arc<Self>) {
        loop {
            tokio::time::sleep(EXPIRY_PERIOD).await;
            let keep = self.params().record_life;
            let now = Instant::now();
            let mut state = self.state();
            let expired: Vec<FastStr> = state
                .kv
                .iter()
                .filter(|(_, entry)| entry.has_expired(now))
                .map(|(handle, _)| handle.clone())
                .collect();
            for handle in expired {
                state.waste(&handle);
            }
            state.logs.retain(|_, log| !log.ended_before(keep));
        }
    }
}

/// How often expired KV caches and records are looked for.
const EXPIRY_PERIOD: Duration = Duration::from_millis(20);

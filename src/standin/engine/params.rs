//! How fast and how large a stand-in engine is.

use {faststr::FastStr, std::time::Duration};

/// Speeds and sizes of a stand-in engine.
#[derive(Debug, Clone)]
pub struct EngineParams {
    /// Prompt tokens computed a second.
    pub prefill_rate: f64,
    /// Fixed part of a prefill.
    pub prefill_base: Duration,
    /// Prefills that may wait behind the one being computed.
    pub prefill_queue: usize,
    /// Blocks of [`crate::engine::BLOCK_TOKENS`] tokens that the prefix cache holds.
    pub cache_blocks: usize,
    /// How long a computed KV cache is kept for its import.
    pub kv_life: Duration,
    /// Bytes of KV cache for each prompt token.
    pub kv_bytes_per_token: u64,
    /// Bytes a second that the engine's link carries.
    pub link_rate: f64,
    /// Requests that the decode memory holds.
    pub slots: u32,
    /// Fixed part of a decode step.
    pub step_base: Duration,
    /// Added to a decode step by each request in the batch.
    pub step_each: Duration,
    /// How old a load report is when it is read.
    pub report_lag: Duration,
    /// How long an attempt's record is kept after its end.
    pub record_life: Duration,
    /// Whether fenced orders are checked.
    pub checks_token: bool,
    /// Share of imports that stall, 0 to 1.
    pub stall_share: f64,
    /// Everything takes this many times as long.
    pub slowness: f64,
    /// A prompt under which the engine ends once it begins to compute it.
    pub fatal_prompt: Option<FastStr>,
    /// Tokens in an answer, from and to; the prompt decides within them.
    pub answer_tokens: (u32, u32),
}

impl Default for EngineParams {
    fn default() -> Self {
        Self {
            prefill_rate: 20_000.0,
            prefill_base: Duration::from_millis(4),
            prefill_queue: 64,
            cache_blocks: 4_096,
            kv_life: Duration::from_millis(800),
            kv_bytes_per_token: 150_000,
            link_rate: 12.5e9,
            slots: 20,
            step_base: Duration::from_millis(18),
            step_each: Duration::from_micros(1_600),
            report_lag: Duration::from_millis(250),
            record_life: Duration::from_secs(30),
            checks_token: true,
            stall_share: 0.0,
            slowness: 1.0,
            fatal_prompt: None,
            answer_tokens: (20, 100),
        }
    }
}

impl EngineParams {
    /// Time to compute `tokens` prompt tokens.
    pub fn prefill_time(&self, tokens: u64) -> Duration {
        let compute = Duration::from_secs_f64(tokens as f64 / self.prefill_rate);
        (self.prefill_base + compute).mul_f64(self.slowness)
    }

    /// Time of one decode step of a batch.
    pub fn step_time(&self, batch: usize) -> Duration {
        (self.step_base + self.step_each * batch as u32).mul_f64(self.slowness)
    }

    /// Time to move `bytes` over the engine's link.
    pub fn transfer_time(&self, bytes: u64) -> Duration {
        Duration::from_secs_f64(bytes as f64 / self.link_rate).mul_f64(self.slowness)
    }
}

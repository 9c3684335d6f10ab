//! Why a request went where it went, kept for `bayplank explain`.

use {
    faststr::FastStr,
    serde::{Deserialize, Serialize},
    std::collections::VecDeque,
};

/// Requests whose decisions a host remembers.
pub const EXPLAINED_REQUESTS: usize = 2_048;

/// One engine that was weighed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WeighedEngine {
    /// The engine.
    pub engine: FastStr,
    /// What was predicted of it, milliseconds.
    pub predicted_ms: f64,
    /// What was known, for people.
    pub known: String,
}

/// One decision about a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DecisionRecord {
    /// The request.
    pub request: FastStr,
    /// When, milliseconds since the request arrived.
    pub at_ms: f64,
    /// What was decided, for people.
    pub decision: String,
    /// Prefill engines that were weighed, best first.
    pub prefills: Vec<WeighedEngine>,
    /// Decode engines that were weighed, best first.
    pub decodes: Vec<WeighedEngine>,
}

/// The latest decisions; the oldest are forgotten first.
#[derive(Debug, Default)]
pub struct DecisionLog {
    records: VecDeque<DecisionRecord>,
}

impl DecisionLog {
    /// Adds a decision.
    pub fn add(&mut self, record: DecisionRecord) {
        if self.records.len() >= EXPLAINED_REQUESTS {
            self.records.pop_front();
        }
        self.records.push_back(record);
    }

    /// All that is remembered of the request that was decided on last.
    pub fn latest(&self) -> Vec<DecisionRecord> {
        match self.records.back() {
            Some(record) => self.of(&record.request),
            None => Vec::new(),
        }
    }

    /// All that is remembered of a request, in order.
    pub fn of(&self, request: &str) -> Vec<DecisionRecord> {
        self.records
            .iter()
            .filter(|record| record.request == request)
            .cloned()
            .collect()
    }
}

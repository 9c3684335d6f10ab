//! Log of routing decisions, for `bayplank explain`.

use {
    faststr::FastStr,
    serde::{Deserialize, Serialize},
    std::collections::VecDeque,
};

/// Maximum number of decisions that a host keeps.
pub const EXPLAINED_REQUESTS: usize = 2_048;

/// Candidate engine of a decision.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WeighedEngine {
    /// Name of the engine.
    pub engine: FastStr,
    /// Predicted time, in milliseconds.
    pub predicted_ms: f64,
    /// Known state, as readable text.
    pub known: String,
}

/// Decision about a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DecisionRecord {
    /// Id of the request.
    pub request: FastStr,
    /// Time since the request's arrival, in milliseconds.
    pub at_ms: f64,
    /// Decision, as readable text.
    pub decision: String,
    /// Candidate prefill engines, best first.
    pub prefills: Vec<WeighedEngine>,
    /// Candidate decode engines, best first.
    pub decodes: Vec<WeighedEngine>,
}

/// The latest decisions; the oldest are dropped first.
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

    /// Returns the decisions on the request of the latest decision.
    pub fn latest(&self) -> Vec<DecisionRecord> {
        match self.records.back() {
            Some(record) => self.of(&record.request),
            None => Vec::new(),
        }
    }

    /// Returns the decisions on a request, in order.
    pub fn of(&self, request: &str) -> Vec<DecisionRecord> {
        self.records
            .iter()
            .filter(|record| record.request == request)
            .cloned()
            .collect()
    }
}

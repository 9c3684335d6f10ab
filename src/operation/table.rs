//! The operations of this host by their key: live, finished, or unknown.

use {
    super::{
        replay::ReplayLog, request::AnswerLog, signal::OnceSignal, ticket::TICKET_LIFE,
        verdict::Refusal,
    },
    bytes::Bytes,
    faststr::FastStr,
    http::HeaderMap,
    std::{collections::HashMap, sync::Arc, time::Duration},
};

/// Operations remembered at most; beyond, keyed requests are refused rather than forgotten.
pub const TABLE_LIMIT: usize = 200_000;

/// The answer of a plain service, kept to be given again.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlainReply {
    /// HTTP status.
    pub status: u16,
    /// Headers that the caller gets.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

/// How a plain call ended.
pub type PlainOutcome = Result<PlainReply, Refusal>;

/// The answer of an operation, live or finished.
#[derive(Debug, Clone)]
pub enum OperationAnswer {
    /// Of a model request.
    Model {
        /// What the caller was told so far.
        log: Arc<AnswerLog>,
        /// Cancels it.
        cancel: Arc<OnceSignal>,
    },
    /// Of a plain call: one item, once it ended.
    Plain(Arc<ReplayLog<PlainOutcome>>),
}

impl OperationAnswer {
    /// Whether it ended at least `keep` ago.
    fn ended_before(&self, keep: Duration) -> bool {
        match self {
            Self::Model { log, .. } => log.ended_before(keep),
            Self::Plain(log) => log.ended_before(keep),
        }
    }
}

/// Names an operation: whose it is, and its key.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct OperationName {
    /// The tenant; others cannot see it.
    pub tenant: FastStr,
    /// The key.
    pub key: FastStr,
}

#[derive(Debug)]
struct OperationRecord {
    fingerprint: u128,
    answer: OperationAnswer,
}

/// What the table says of a keyed request.
#[derive(Debug)]
pub enum Admission {
    /// It is new; the answer is in the table now.
    New(OperationAnswer),
    /// It is known: attach to this answer.
    Known(OperationAnswer),
    /// The key was used for another request.
    Conflict,
    /// The table is full.
    Full,
}

/// The operations of this host by their key.
#[derive(Debug)]
pub struct OperationTable {
    records: HashMap<OperationName, OperationRecord>,
    remember: Duration,
}

impl OperationTable {
    /// A table that remembers ended operations for `remember`.
    ///
    /// # Panics
    ///
    /// If a ticket could be used longer than its operation is remembered: a call could run twice.
    pub fn new(remember: Duration) -> Self {
        assert!(remember > TICKET_LIFE, "tickets end before their records");
        Self {
            records: HashMap::new(),
            remember,
        }
    }

    /// Looks a request up, or enters it with a new answer.
    pub fn admit(
        &mut self,
        name: OperationName,
        fingerprint: u128,
        new_answer: impl FnOnce() -> OperationAnswer,
    ) -> Admission {
        if let Some(record) = self.records.get(&name) {
            return match record.fingerprint == fingerprint {
                true => Admission::Known(record.answer.clone()),
                false => Admission::Conflict,
            };
        }
        if self.records.len() >= TABLE_LIMIT {
            return Admission::Full;
        }
        let answer = new_answer();
        let record = OperationRecord {
            fingerprint,
            answer: answer.clone(),
        };
        self.records.insert(name, record);
        Admission::New(answer)
    }

    /// The answer of a known operation.
    pub fn find(&self, name: &OperationName) -> Option<&OperationAnswer> {
        self.records.get(name).map(|record| &record.answer)
    }

    /// Forgets operations that ended long enough ago; a live one never.
    pub fn expire(&mut self) {
        let remember = self.remember;
        self.records
            .retain(|_, record| !record.answer.ended_before(remember));
    }

    /// Operations known.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether none is known.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}

//! The keyed operations known to this host, running or finished.

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

/// Maximum number of operations in the table. A full table refuses new keyed requests, because evicting a known
/// operation could let it run twice.
pub const TABLE_LIMIT: usize = 200_000;

/// The reply of a plain service, stored so that it can be sent again.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlainReply {
    /// HTTP status.
    pub status: u16,
    /// Headers sent to the caller.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
}

/// Result of a plain call.
pub type PlainOutcome = Result<PlainReply, Refusal>;

/// The answer of an operation, running or finished.
#[derive(Debug, Clone)]
pub enum OperationAnswer {
    /// Answer of a model request.
    Model {
        /// The answer so far.
        log: Arc<AnswerLog>,
        /// Cancels the request.
        cancel: Arc<OnceSignal>,
    },
    /// Result of a plain call: a log with one item, added when the call has ended.
    Plain(Arc<ReplayLog<PlainOutcome>>),
}

impl OperationAnswer {
    /// Returns whether the operation ended at least `min_age` ago.
    fn ended_before(&self, min_age: Duration) -> bool {
        match self {
            Self::Model { log, .. } => log.ended_before(min_age),
            Self::Plain(log) => log.ended_before(min_age),
        }
    }
}

/// Identifies an operation by tenant and key.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct OperationName {
    /// The tenant that owns the operation; other tenants cannot access it.
    pub tenant: FastStr,
    /// The operation key.
    pub key: FastStr,
}

#[derive(Debug)]
struct OperationRecord {
    fingerprint: u128,
    answer: OperationAnswer,
}

/// Result of looking up or adding a keyed request.
#[derive(Debug)]
pub enum Admission {
    /// The key is new; the answer was added to the table.
    New(OperationAnswer),
    /// The key is known; attach to this answer.
    Known(OperationAnswer),
    /// The key was already used for a different request.
    Conflict,
    /// The table is full.
    Full,
}

/// The operations of this host, indexed by tenant and key.
#[derive(Debug)]
pub struct OperationTable {
    records: HashMap<OperationName, OperationRecord>,
    retention: Duration,
}

impl OperationTable {
    /// Creates a table that keeps ended operations for `retention`.
    ///
    /// # Panics
    ///
    /// Panics if `retention` does not exceed the ticket lifetime: a ticket that outlives its record could run a call
    /// twice.
    pub fn new(retention: Duration) -> Self {
        assert!(
            retention > TICKET_LIFE,
            "retention must exceed the ticket lifetime"
        );
        Self {
            records: HashMap::new(),
            retention,
        }
    }

    /// Looks up a request, or adds it with a new answer.
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

    /// Returns the answer of a known operation.
    pub fn find(&self, name: &OperationName) -> Option<&OperationAnswer> {
        self.records.get(name).map(|record| &record.answer)
    }

    /// Removes operations whose retention has expired; running operations are kept.
    pub fn expire(&mut self) {
        let retention = self.retention;
        self.records
            .retain(|_, record| !record.answer.ended_before(retention));
    }

    /// Returns the number of known operations.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no operation is known.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}

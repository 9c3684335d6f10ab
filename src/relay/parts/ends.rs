//! Whether a backend server has ended: asked once for all of this host's requests whose connections to it broke off.

use {
    super::shared::RelayParts,
    crate::{
        relay::{backend::BackendInfo, policy::loads::EngineKey},
        web::{self, ProbeOutcome},
    },
    std::{
        cell::{Cell, RefCell},
        collections::HashMap,
        rc::Rc,
        time::Duration,
    },
    tokio::sync::Notify,
};

/// When it is looked whether the server has begun anew under its id, where its address does not tell: starts take
/// seconds, and their entries come a moment later.
const BEGUN_PAUSES: [Duration; 3] = [
    Duration::from_millis(800),
    Duration::from_millis(1_200),
    Duration::from_millis(2_000),
];

// One question, and whoever waits for its answer.
#[derive(Debug, Default)]
struct EndQuestion {
    outcome: Cell<Option<ProbeOutcome>>,
    answered: Notify,
}

/// The questions that are out.
#[derive(Debug, Default)]
pub struct EndQuestions(RefCell<HashMap<EngineKey, Rc<EndQuestion>>>);

impl RelayParts {
    /// Whether a backend server ended, to which a connection has just broken off.
    ///
    /// A reset, a cut or a spoiled answer breaks connections too; that nobody listens any more tells an end from these.
    pub async fn has_ended(&self, backend: &BackendInfo) -> bool {
        if self.probe_once(backend).await == ProbeOutcome::Refused {
            return true;
        }
        for pause in BEGUN_PAUSES {
            tokio::time::sleep(pause).await;
            if self.book.borrow().has_restarted(backend) {
                return true;
            }
        }
        false
    }

    // Twenty requests whose connections break at the same moment open one connection.
    async fn probe_once(&self, backend: &BackendInfo) -> ProbeOutcome {
        let key = EngineKey::of_run(&backend.id, backend.born);
        let out = self.end_questions.0.borrow().get(&key).cloned();
        if let Some(question) = out {
            return question.answer().await;
        }
        let question = Rc::new(EndQuestion::default());
        self.end_questions
            .0
            .borrow_mut()
            .insert(key, question.clone());
        let outcome = web::probe_patiently(backend.address).await;
        self.end_questions.0.borrow_mut().remove(&key);
        question.outcome.set(Some(outcome));
        question.answered.notify_waiters();
        outcome
    }
}

impl EndQuestion {
    async fn answer(&self) -> ProbeOutcome {
        loop {
            let answered = self.answered.notified();
            if let Some(outcome) = self.outcome.get() {
                return outcome;
            }
            answered.await;
        }
    }
}

//! How a request that waits for memory takes its priority into account, if requests of its service have several.

use {
    super::{client_request::ClientRequest, client_request::HeldBack},
    crate::relay::{
        admission::{memory, priority_work::WorkStage, urgent_room::UrgentRoom},
        parts::{priorities::CountedWork, shared::RelayParts},
    },
    std::{rc::Rc, time::Duration},
};

/// The wait of a request for memory as far as it depends on priorities.
pub(super) struct PriorityWait {
    parts: Rc<RelayParts>,
    // When it last asked engines for memory, or began to wait.
    asked_at: Duration,
    // Whether it continues a stream of which its client already has a part. Such requests do not hold back.
    is_resumed: bool,
    // Counts it as one that waits, once it has asked in vain.
    work: Option<CountedWork>,
}

impl PriorityWait {
    /// Counts the arrival of a request.
    pub(super) fn begin(parts: &Rc<RelayParts>, request: &ClientRequest, is_resumed: bool) -> Self {
        if let Some(class) = &request.priority_class {
            parts.count_arrival(class, memory::reserved_tokens(&request.marks));
        }
        Self {
            parts: parts.clone(),
            asked_at: parts.now(),
            is_resumed,
            work: None,
        }
    }

    /// Whether the request may ask engines for memory: no more urgent one of any host waits, or its pause for them is
    /// over. Requests that wait ask each `interval`.
    pub(super) fn may_ask(&mut self, request: &ClientRequest, interval: Duration) -> bool {
        let now = self.parts.now();
        let class = request.priority_class.as_ref();
        let class = class.filter(|_| !self.is_resumed);
        let held = class.and_then(|class| self.parts.hold_back(class, interval));
        if let Some((class, held)) = class.zip(held)
            && now < self.asked_at + held.pause
        {
            let held_back = HeldBack {
                for_priority: held.for_priority,
                until: request.age(),
            };
            if request.hold_back(held_back) {
                self.parts.metrics.priorities.held_back(class);
            }
            return false;
        }
        self.asked_at = now;
        true
    }

    /// Counts the request as one that waits, after its first try in vain.
    pub(super) fn count_wait(&mut self, request: &ClientRequest) {
        if let Some(class) = &request.priority_class
            && self.work.is_none()
        {
            let tokens = memory::reserved_tokens(&request.marks);
            self.work = count_work(&self.parts, request, WorkStage::Waiting, tokens);
            self.parts.metrics.priorities.waited(class);
        }
    }
}

/// Counts a request at a stage, if it has a priority class.
pub(super) fn count_work(
    parts: &Rc<RelayParts>,
    request: &ClientRequest,
    stage: WorkStage,
    tokens: u64,
) -> Option<CountedWork> {
    let class = request.priority_class.clone()?;
    Some(CountedWork::begin(parts, class, stage, tokens))
}

/// What the engines of the request's service, of this memory in tokens, keep free as it concerns the request.
pub(super) fn urgent_room(
    parts: &RelayParts,
    request: &ClientRequest,
    memory: Option<u64>,
) -> UrgentRoom {
    let class = request.priority_class.as_ref();
    let known = class.zip(memory);
    known.map_or_else(UrgentRoom::default, |(class, memory)| {
        parts.urgent_room(class, memory)
    })
}

//! The place of a request in the queue for engine memory.

use {
    super::{
        client_request::ClientRequest,
        priority_wait::PriorityWait,
        reserve::{POLL_INTERVAL, ReservePurpose},
    },
    crate::relay::{
        admission::{memory::QueuedRequest, wait_queue::QueueKey},
        parts::shared::RelayParts,
        policy::regions::AllowedServers,
    },
    std::rc::Rc,
};

/// A place in the queue for memory, given up when dropped.
pub(super) struct QueuePlace {
    parts: Rc<RelayParts>,
    servers: AllowedServers,
    key: QueueKey,
    entrant: QueuedRequest,
    priority: PriorityWait,
}

impl QueuePlace {
    /// Queues a request.
    pub(super) fn join(
        parts: &Rc<RelayParts>,
        request: &ClientRequest,
        purpose: ReservePurpose,
    ) -> Self {
        let servers = request.allowed_servers();
        let mut line = parts.wait_queue.borrow_mut();
        let entrant = QueuedRequest {
            arrived: request.received_at,
            waited: request.prior_wait,
            target: request.route.latency_target,
            priority: request.priority(),
            tokens: request.marks.prompt_tokens + request.marks.answer_hint.unwrap_or_default(),
        };
        let key = entrant.key(line.ticket(), parts.now());
        line.insert(&servers, None, key);
        Self {
            parts: parts.clone(),
            servers,
            key,
            entrant,
            priority: PriorityWait::begin(parts, request, purpose.is_resumed()),
        }
    }

    /// Whether the request may ask engines for memory now.
    pub(super) fn may_ask(&mut self, request: &ClientRequest) -> bool {
        let queue = self.parts.wait_queue.borrow();
        let is_its_turn = queue.may_ask(&self.servers, &self.key);
        drop(queue);
        is_its_turn && self.priority.may_ask(request, POLL_INTERVAL)
    }

    /// Records that no engine had memory for the request.
    pub(super) fn note_refused(&self) {
        let mut queue = self.parts.wait_queue.borrow_mut();
        queue.note_refused(&self.servers, &self.key);
    }

    /// Counts the request as one that waits.
    pub(super) fn count_wait(&mut self, request: &ClientRequest) {
        self.priority.count_wait(request);
    }

    /// Whether the request can no longer meet its latency target.
    pub(super) fn is_late(&self) -> bool {
        self.key.late
    }

    /// Reorders the queue by the time that has passed: a request that can no longer meet its latency target lets those
    /// pass that can.
    pub(super) fn update_order(&mut self) {
        let key = self.entrant.key(self.key.ticket, self.parts.now());
        if key != self.key {
            self.parts
                .wait_queue
                .borrow_mut()
                .insert(&self.servers, Some(self.key), key);
            self.key = key;
        }
    }
}

impl Drop for QueuePlace {
    fn drop(&mut self) {
        let mut queue = self.parts.wait_queue.borrow_mut();
        queue.remove(&self.servers, &self.key);
        drop(queue);
        self.parts.capacity_freed.notify_waiters();
    }
}

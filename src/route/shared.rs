//! Scheduler shared by tasks, which wait for its answers. A background task retries waiting requests.

use {
    super::{
        placement::{PlacementAnswer, PlacementRequest},
        policy::RouteTuning,
        scheduler::EngineScheduler,
    },
    crate::{
        clock::HostClock,
        operation::{Refusal, RefusalCode},
    },
    faststr::FastStr,
    std::{
        collections::HashMap,
        sync::{
            Arc, Mutex,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::sync::{Notify, oneshot},
};

/// Interval at which waiting requests are retried without any other event.
const RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// An [`EngineScheduler`] shared by tasks.
#[derive(Debug)]
pub struct SharedScheduler {
    inner: Mutex<SchedulerState>,
    clock: HostClock,
    request_added: Notify,
    next_queue_id: AtomicU64,
}

#[derive(Debug)]
struct SchedulerState {
    scheduler: EngineScheduler,
    answers: HashMap<u64, oneshot::Sender<PlacementAnswer>>,
}

impl SharedScheduler {
    /// Creates the scheduler of a host in `zone`.
    pub fn new(zone: FastStr, tuning: RouteTuning, seed: u64, clock: HostClock) -> Arc<Self> {
        Arc::new(Self {
            inner: Mutex::new(SchedulerState {
                scheduler: EngineScheduler::new(zone, tuning, seed),
                answers: HashMap::new(),
            }),
            clock,
            request_added: Notify::new(),
            next_queue_id: AtomicU64::new(1),
        })
    }

    /// Current time on the scheduler's clock, which all its times refer to.
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Reads the scheduler's state.
    pub fn read<R>(&self, read: impl FnOnce(&EngineScheduler) -> R) -> R {
        read(&self.inner.lock().expect("scheduler lock").scheduler)
    }

    /// Changes the scheduler's state, then answers the waiting requests that it can.
    pub fn change<R>(&self, change: impl FnOnce(&mut EngineScheduler, Duration) -> R) -> R {
        let mut inner = self.inner.lock().expect("scheduler lock");
        // Read under the lock, so that the scheduler's time never goes backwards.
        let now = self.now();
        let result = change(&mut inner.scheduler, now);
        let answers = match inner.scheduler.waiting() {
            0 => Vec::new(),
            _ => inner.scheduler.schedule(now),
        };
        for (queue_id, answer) in answers {
            inner.deliver(queue_id, answer);
        }
        result
    }

    /// Records an observation that frees no capacity, so that no waiting request has to be retried.
    pub fn record(&self, record: impl FnOnce(&mut EngineScheduler, Duration)) {
        let mut inner = self.inner.lock().expect("scheduler lock");
        let now = self.now();
        record(&mut inner.scheduler, now);
    }

    /// Waits for the answer to a request. If the caller stops waiting, the request is removed and its engines
    /// are released.
    pub async fn place(&self, mut request: PlacementRequest) -> PlacementAnswer {
        let queue_id = self.next_queue_id.fetch_add(1, Ordering::Relaxed);
        request.queue_id = queue_id;
        let tokens = request.tokens;
        let (sender, receiver) = oneshot::channel();
        self.inner
            .lock()
            .expect("scheduler lock")
            .answers
            .insert(queue_id, sender);
        let mut pending = PendingRequest {
            scheduler: self,
            queue_id,
            tokens,
            receiver,
        };
        self.change(|scheduler, _| scheduler.enqueue(request));
        self.request_added.notify_one();
        match (&mut pending.receiver).await {
            Ok(answer) => answer,
            Err(_) => {
                let text = "the host's desk is gone";
                PlacementAnswer::Refused(Refusal::not_run(RefusalCode::Stopping, text))
            }
        }
    }

    /// Retries the waiting requests periodically, for as long as the host runs.
    pub async fn run_periodically(self: Arc<Self>) {
        loop {
            if self.read(EngineScheduler::waiting) == 0 {
                self.request_added.notified().await;
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
            self.change(|_, _| ());
        }
    }

    fn undo(&self, answer: PlacementAnswer, tokens: u64) {
        self.change(|scheduler, now| undo(scheduler, answer, tokens, now));
    }
}

fn undo(scheduler: &mut EngineScheduler, answer: PlacementAnswer, tokens: u64, now: Duration) {
    if let PlacementAnswer::Placed { prefill, decode } = answer {
        if let Some(prefill) = prefill {
            scheduler.prefill_ended(&prefill, tokens, None, now);
        }
        scheduler.decode_ended(&decode);
    }
}

impl SchedulerState {
    // If the caller has stopped waiting, the drop of PendingRequest has removed the sender.
    fn deliver(&mut self, queue_id: u64, answer: PlacementAnswer) {
        let sender = self.answers.remove(&queue_id);
        debug_assert!(sender.is_some(), "a request is answered once");
        if let Some(sender) = sender {
            // If the receiver is being dropped, its drop handles the answer.
            let _ = sender.send(answer);
        }
    }
}

struct PendingRequest<'a> {
    scheduler: &'a SharedScheduler,
    queue_id: u64,
    tokens: u64,
    receiver: oneshot::Receiver<PlacementAnswer>,
}

impl Drop for PendingRequest<'_> {
    fn drop(&mut self) {
        {
            let mut inner = self.scheduler.inner.lock().expect("scheduler lock");
            inner.answers.remove(&self.queue_id);
            inner.scheduler.cancel(self.queue_id);
        }
        // Release the engines of an answer that was never read.
        if let Ok(answer) = self.receiver.try_recv() {
            self.scheduler.undo(answer, self.tokens);
        }
    }
}

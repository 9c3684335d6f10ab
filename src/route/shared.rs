//! Scheduler shared by tasks, which wait for its answers. A background task retries waiting requests.

use {
    super::{
        placement::{DeskAnswer, PlaceRequest},
        policy::RouteTuning,
        scheduler::PlaceDesk,
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
const PUMP_PERIOD: Duration = Duration::from_millis(10);

/// A [`PlaceDesk`] shared by tasks.
#[derive(Debug)]
pub struct SharedDesk {
    inner: Mutex<SchedulerState>,
    clock: HostClock,
    asked: Notify,
    next_ticket: AtomicU64,
}

#[derive(Debug)]
struct SchedulerState {
    desk: PlaceDesk,
    answers: HashMap<u64, oneshot::Sender<DeskAnswer>>,
}

impl SharedDesk {
    /// Creates the scheduler of a host in `zone`.
    pub fn new(zone: FastStr, tuning: RouteTuning, seed: u64, clock: HostClock) -> Arc<Self> {
        Arc::new(Self {
            inner: Mutex::new(SchedulerState {
                desk: PlaceDesk::new(zone, tuning, seed),
                answers: HashMap::new(),
            }),
            clock,
            asked: Notify::new(),
            next_ticket: AtomicU64::new(1),
        })
    }

    /// Current time on the scheduler's clock, which all its times refer to.
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Reads the scheduler's state.
    pub fn read<R>(&self, read: impl FnOnce(&PlaceDesk) -> R) -> R {
        read(&self.inner.lock().expect("scheduler lock").desk)
    }

    /// Changes the scheduler's state, then answers the waiting requests that it can.
    pub fn change<R>(&self, change: impl FnOnce(&mut PlaceDesk, Duration) -> R) -> R {
        let mut inner = self.inner.lock().expect("scheduler lock");
        // Read under the lock, so that the scheduler's time never goes backwards.
        let now = self.now();
        let result = change(&mut inner.desk, now);
        let answers = match inner.desk.waiting() {
            0 => Vec::new(),
            _ => inner.desk.pump(now),
        };
        for (ticket, answer) in answers {
            inner.deliver(ticket, answer);
        }
        result
    }

    /// Records an observation that frees no capacity, so that no waiting request has to be retried.
    pub fn note(&self, note: impl FnOnce(&mut PlaceDesk, Duration)) {
        let mut inner = self.inner.lock().expect("scheduler lock");
        let now = self.now();
        note(&mut inner.desk, now);
    }

    /// Waits for the answer to a request. If the caller stops waiting, the request is removed and its engines
    /// are released.
    pub async fn ask(&self, mut request: PlaceRequest) -> DeskAnswer {
        let ticket = self.next_ticket.fetch_add(1, Ordering::Relaxed);
        request.ticket = ticket;
        let tokens = request.tokens;
        let (sender, receiver) = oneshot::channel();
        self.inner
            .lock()
            .expect("scheduler lock")
            .answers
            .insert(ticket, sender);
        let mut pending = PendingRequest {
            desk: self,
            ticket,
            tokens,
            receiver,
        };
        self.change(|desk, _| desk.ask(request));
        self.asked.notify_one();
        match (&mut pending.receiver).await {
            Ok(answer) => answer,
            Err(_) => {
                let text = "the host's desk is gone";
                DeskAnswer::Refused(Refusal::not_run(RefusalCode::Stopping, text))
            }
        }
    }

    /// Retries the waiting requests periodically, for as long as the host runs.
    pub async fn run_pump(self: Arc<Self>) {
        loop {
            if self.read(PlaceDesk::waiting) == 0 {
                self.asked.notified().await;
            }
            tokio::time::sleep(PUMP_PERIOD).await;
            self.change(|_, _| ());
        }
    }

    fn undo(&self, answer: DeskAnswer, tokens: u64) {
        self.change(|desk, now| undo(desk, answer, tokens, now));
    }
}

fn undo(desk: &mut PlaceDesk, answer: DeskAnswer, tokens: u64, now: Duration) {
    if let DeskAnswer::Placed { prefill, decode } = answer {
        if let Some(prefill) = prefill {
            desk.prefill_ended(&prefill, tokens, None, now);
        }
        desk.decode_ended(&decode);
    }
}

impl SchedulerState {
    // If the caller has stopped waiting, the drop of PendingRequest has removed the sender.
    fn deliver(&mut self, ticket: u64, answer: DeskAnswer) {
        let sender = self.answers.remove(&ticket);
        debug_assert!(sender.is_some(), "a request is answered once");
        if let Some(sender) = sender {
            // If the receiver is being dropped, its drop handles the answer.
            let _ = sender.send(answer);
        }
    }
}

struct PendingRequest<'a> {
    desk: &'a SharedDesk,
    ticket: u64,
    tokens: u64,
    receiver: oneshot::Receiver<DeskAnswer>,
}

impl Drop for PendingRequest<'_> {
    fn drop(&mut self) {
        {
            let mut inner = self.desk.inner.lock().expect("scheduler lock");
            inner.answers.remove(&self.ticket);
            inner.desk.withdraw(self.ticket);
        }
        // Release the engines of an answer that was never read.
        if let Ok(answer) = self.receiver.try_recv() {
            self.desk.undo(answer, self.tokens);
        }
    }
}

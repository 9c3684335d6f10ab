//! Sends cancels to engines until they are acknowledged.

use {
    super::{
        ledger::{CancelLedger, OpenCancel},
        link::EngineLink,
    },
    crate::operation::EngineAttempt,
    faststr::FastStr,
    futures::FutureExt,
    std::{
        fmt,
        sync::{Arc, Mutex, MutexGuard},
        time::Duration,
    },
    tokio::{sync::Notify, time::Instant},
};

/// Longest wait for one acknowledgement.
const ACKNOWLEDGE_TIMEOUT: Duration = Duration::from_secs(1);

/// Finds the link to an engine; none when the engine is gone for good.
pub type FindLink = Box<dyn Fn(&str) -> Option<Arc<EngineLink>> + Send + Sync>;

/// How long cancels took until they were acknowledged.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CancelTimes {
    /// Cancels acknowledged.
    pub count: u64,
    /// The longest time.
    pub longest: Duration,
}

/// Holds the [`CancelLedger`] and works it off.
pub struct Canceller {
    ledger: Mutex<CancelLedger>,
    times: Mutex<CancelTimes>,
    added: Notify,
    start: Instant,
    find_link: FindLink,
}

impl fmt::Debug for Canceller {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Canceller")
    }
}

impl Canceller {
    /// A canceller without work.
    pub fn new(find_link: FindLink) -> Arc<Self> {
        Arc::new(Self {
            ledger: Mutex::default(),
            times: Mutex::default(),
            added: Notify::new(),
            start: Instant::now(),
            find_link,
        })
    }

    fn ledger(&self) -> MutexGuard<'_, CancelLedger> {
        self.ledger.lock().expect("cancel ledger")
    }

    /// Ends an attempt, as soon and for as long as it takes.
    pub fn add(&self, target: EngineAttempt) {
        let cancel = OpenCancel {
            engine: target.engine,
            attempt: target.attempt,
        };
        self.ledger().add(cancel, self.start.elapsed());
        self.added.notify_one();
    }

    /// Cancels that are not acknowledged.
    pub fn open(&self) -> usize {
        self.ledger().len()
    }

    /// How long cancels took.
    pub fn times(&self) -> CancelTimes {
        *self.times.lock().expect("cancel times")
    }

    /// Works the ledger off, for as long as the host runs.
    pub async fn run(self: Arc<Self>) {
        loop {
            let due = self.ledger().take_due(self.start.elapsed());
            for cancel in due {
                tokio::spawn(self.clone().send(cancel));
            }
            let next = self.ledger().next_due();
            let added = self.added.notified();
            match next {
                None => added.await,
                Some(next) => {
                    tokio::select! {
                        () = tokio::time::sleep_until(self.start + next) => {}
                        () = added => {}
                    }
                }
            }
        }
    }

    async fn send(self: Arc<Self>, cancel: OpenCancel) {
        let Some(link) = (self.find_link)(&cancel.engine) else {
            // The platform no longer lists the engine: its process and memory are gone.
            self.acknowledged(&cancel);
            return;
        };
        let attempt: FastStr = cancel.attempt.clone();
        let sent = (link.cancel)(attempt).boxed();
        match tokio::time::timeout(ACKNOWLEDGE_TIMEOUT, sent).await {
            Ok(Ok(())) => self.acknowledged(&cancel),
            Ok(Err(_)) | Err(_) => {
                let now = self.start.elapsed();
                self.ledger().failed(&cancel, now);
                self.added.notify_one();
            }
        }
    }

    fn acknowledged(&self, cancel: &OpenCancel) {
        let now = self.start.elapsed();
        if let Some(open) = self.ledger().acknowledged(cancel, now) {
            let mut times = self.times.lock().expect("cancel times");
            times.count += 1;
            times.longest = times.longest.max(open);
        }
    }
}

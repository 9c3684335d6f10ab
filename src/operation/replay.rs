//! An append-only log that any number of readers can follow from any index, also after it has ended.

use {
    std::{
        sync::{Arc, Mutex, MutexGuard},
        time::Duration,
    },
    tokio::{sync::Notify, time::Instant},
};

/// An append-only log of items that tracks its readers.
#[derive(Debug)]
pub struct ReplayLog<T> {
    inner: Mutex<LogInner<T>>,
    changed: Notify,
    readers_changed: Notify,
}

#[derive(Debug)]
struct LogInner<T> {
    items: Vec<T>,
    readers: usize,
    last_read: Instant,
    ended: Option<Instant>,
}

impl<T: Clone> ReplayLog<T> {
    /// Creates an empty log.
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            inner: Mutex::new(LogInner {
                items: Vec::new(),
                readers: 0,
                last_read: Instant::now(),
                ended: None,
            }),
            changed: Notify::new(),
            readers_changed: Notify::new(),
        })
    }

    fn inner(&self) -> MutexGuard<'_, LogInner<T>> {
        self.inner.lock().expect("replay log")
    }

    /// Appends an item and wakes the readers; does nothing after the end.
    pub fn push(&self, item: T) {
        let mut inner = self.inner();
        if inner.ended.is_none() {
            inner.items.push(item);
        }
        drop(inner);
        self.changed.notify_waiters();
    }

    /// Ends the log; later calls keep the time of the first.
    pub fn end(&self) {
        self.inner().ended.get_or_insert_with(Instant::now);
        self.changed.notify_waiters();
    }

    /// Returns whether the log has ended.
    pub fn has_ended(&self) -> bool {
        self.inner().ended.is_some()
    }

    /// Returns whether the log ended at least `min_age` ago.
    pub fn ended_before(&self, min_age: Duration) -> bool {
        let ended = self.inner().ended;
        ended.is_some_and(|ended| ended.elapsed() >= min_age)
    }

    /// Returns how long the log has had no reader; zero while it has one.
    pub fn idle_for(&self) -> Duration {
        let inner = self.inner();
        match inner.readers {
            0 => inner.last_read.elapsed(),
            _ => Duration::ZERO,
        }
    }

    /// Waits until the log has had no reader for `grace`.
    pub async fn abandoned(&self, grace: Duration) {
        loop {
            let changed = self.readers_changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            let (readers, last_read) = {
                let inner = self.inner();
                (inner.readers, inner.last_read)
            };
            if readers > 0 {
                changed.await;
                continue;
            }
            let until = last_read + grace;
            if Instant::now() >= until {
                return;
            }
            tokio::select! {
                () = tokio::time::sleep_until(until) => {}
                () = changed => {}
            }
        }
    }

    /// Waits until the log has ended.
    pub async fn ended(&self) {
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            if self.has_ended() {
                return;
            }
            changed.await;
        }
    }

    /// Creates a reader that starts at the item with index `next`.
    pub fn reader(self: &Arc<Self>, next: usize) -> ReplayReader<T> {
        self.inner().readers += 1;
        self.readers_changed.notify_waiters();
        ReplayReader {
            log: self.clone(),
            next,
        }
    }
}

/// Follows a [`ReplayLog`]; counts as one of its readers until it is dropped.
#[derive(Debug)]
pub struct ReplayReader<T> {
    log: Arc<ReplayLog<T>>,
    next: usize,
}

impl<T> ReplayReader<T> {
    /// Waits for the next item; returns `None` after the last item of an ended log.
    pub async fn next(&mut self) -> Option<T>
    where
        T: Clone,
    {
        loop {
            let changed = self.log.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            {
                let inner = self.log.inner.lock().expect("replay log");
                if let Some(item) = inner.items.get(self.next) {
                    self.next += 1;
                    return Some(item.clone());
                }
                if inner.ended.is_some() {
                    return None;
                }
            }
            changed.await;
        }
    }
}

impl<T> Drop for ReplayReader<T> {
    fn drop(&mut self) {
        let mut inner = self.log.inner.lock().expect("replay log");
        inner.readers -= 1;
        inner.last_read = Instant::now();
        drop(inner);
        self.log.readers_changed.notify_waiters();
    }
}

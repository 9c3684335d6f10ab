//! A growing list that any number of readers follow, from any place, also after its end.

use {
    std::{
        sync::{Arc, Mutex, MutexGuard},
        time::Duration,
    },
    tokio::{sync::Notify, time::Instant},
};

/// Items in order, and who reads them.
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
    /// An empty list.
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

    /// Adds an item and wakes the readers; after the end nothing is added.
    pub fn push(&self, item: T) {
        let mut inner = self.inner();
        if inner.ended.is_none() {
            inner.items.push(item);
        }
        drop(inner);
        self.changed.notify_waiters();
    }

    /// Ends the list; only the first end counts.
    pub fn end(&self) {
        self.inner().ended.get_or_insert_with(Instant::now);
        self.changed.notify_waiters();
    }

    /// Whether the list has ended.
    pub fn has_ended(&self) -> bool {
        self.inner().ended.is_some()
    }

    /// Whether the list ended at least `keep` ago.
    pub fn ended_before(&self, keep: Duration) -> bool {
        let ended = self.inner().ended;
        ended.is_some_and(|ended| ended.elapsed() >= keep)
    }

    /// For how long nobody has read; zero while somebody does.
    pub fn idle_for(&self) -> Duration {
        let inner = self.inner();
        match inner.readers {
            0 => inner.last_read.elapsed(),
            _ => Duration::ZERO,
        }
    }

    /// Done when nobody has read for `grace`.
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

    /// Done when the list has ended.
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

    /// A reader from the item at `next` on.
    pub fn reader(self: &Arc<Self>, next: usize) -> ReplayReader<T> {
        self.inner().readers += 1;
        self.readers_changed.notify_waiters();
        ReplayReader {
            log: self.clone(),
            next,
        }
    }
}

/// Follows a [`ReplayLog`]; counts as a reader for as long as it lives.
#[derive(Debug)]
pub struct ReplayReader<T> {
    log: Arc<ReplayLog<T>>,
    next: usize,
}

impl<T> ReplayReader<T> {
    /// The next item, once it is there; none after the last.
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

//! Keeping a host's beliefs up to date from the store, while it is the host's turn to read it.

use {
    crate::{
        event,
        relay::{
            backend::BackendInfo,
            link::{
                HostEntry, StoreChange, StoreChanges, StoreItem, StoreKind, StoreLink, StoreList,
                StoreValue,
            },
            parts::shared::RelayParts,
            policy::source::old_news,
            vital,
        },
        store::StoreFailure,
    },
    rand::RngExt,
    std::{cell::Cell, rc::Rc, time::Duration},
    tokio::sync::Notify,
};

/// Part of the age at which news are old that a watch of the configuration or of backend servers waits: a watch
/// that hangs is found out before, and other hosts learn how old this one's view may be.
const WATCH_PART: f64 = 0.5;

/// From the start of a host to its first look at the store: other hosts may tell it everything before.
const FIRST_DELAY: Duration = Duration::from_millis(100);

/// How long a watch of the hosts waits: nothing urgent depends on them.
const HOSTS_WATCH_TIME: Duration = Duration::from_secs(20);

/// Pause after a watch that brought changes of backend servers: at the start of a deployment or a release
/// many come one after the other, and each watch is a call.
const CHANGES_PAUSE: Duration = Duration::from_millis(200);

/// Pause between two watches of the hosts: many come and go at once, and each watch is a call.
const HOSTS_PAUSE: Duration = Duration::from_millis(500);

/// From the start of a host to its first look at the others: all start within a fraction of a second.
const HOSTS_FIRST_DELAY: Duration = Duration::from_millis(1_000);

/// Pauses after failed calls to the store, doubled from the first to the longest.
struct FailurePauses {
    first: Duration,
    longest: Duration,
}

/// Those of a host that reads for its zone: changes are due a few seconds after the store is back.
const READER_PAUSES: FailurePauses = FailurePauses {
    first: Duration::from_millis(250),
    longest: Duration::from_millis(1_000),
};

/// Those of another one: it asks those that read, and each call to a store that turns all away has its price.
const FOLLOWER_PAUSES: FailurePauses = FailurePauses {
    first: Duration::from_millis(700),
    longest: Duration::from_millis(2_500),
};

/// How often lapsed entries are looked at.
const EXPIRE_PERIOD: Duration = Duration::from_millis(200);

/// Reads the store while that is wanted of this host.
#[derive(Debug)]
pub struct StoreFeed {
    parts: Rc<RelayParts>,
    store: Rc<StoreLink>,
    // Whether configuration and backend servers are read, and whether the hosts are.
    reading: Cell<bool>,
    reading_hosts: Cell<bool>,
    resumed: Notify,
    // The store's revision up to which the configuration is known; 0 after a time without reading.
    config_revision: Cell<u64>,
    // Which of the two urgent watches did not answer last time.
    config_lost: Cell<bool>,
    backends_lost: Cell<bool>,
}

impl StoreFeed {
    /// Starts to read the store.
    pub fn start(parts: Rc<RelayParts>, store: Rc<StoreLink>) -> Rc<Self> {
        let feed = Rc::new(Self {
            parts,
            store,
            reading: Cell::new(true),
            reading_hosts: Cell::new(true),
            resumed: Notify::new(),
            config_revision: Cell::new(0),
            config_lost: Cell::new(true),
            backends_lost: Cell::new(true),
        });
        vital::spawn_vital("configuration", feed.clone().follow(StoreKind::Config));
        vital::spawn_vital("backend servers", feed.clone().follow(StoreKind::Backends));
        vital::spawn_vital("hosts", feed.clone().follow(StoreKind::Hosts));
        vital::spawn_vital("lapsed entries", feed.clone().expire());
        feed
    }

    /// Whether configuration and backend servers are to be read, and whether the hosts are.
    pub fn set_reading(&self, reading: bool, hosts: bool) {
        self.reading.set(reading);
        self.reading_hosts.set(hosts);
        if !reading {
            self.config_lost.set(false);
            self.backends_lost.set(false);
            self.tell_whether_lost();
        }
        if reading || hosts {
            self.resumed.notify_waiters();
        }
    }

    /// Whether the store did not answer last time.
    pub fn is_lost(&self) -> bool {
        self.config_lost.get() || self.backends_lost.get()
    }

    fn tell_whether_lost(&self) {
        let mut cluster = self.parts.cluster.borrow_mut();
        cluster.set_store_lost(self.is_lost());
    }

    /// Reads the configuration once.
    pub async fn read_config(&self) -> Result<(), StoreFailure> {
        let list = (self.store.list)(StoreKind::Config).await?;
        self.take_list(StoreKind::Config, list);
        Ok(())
    }

    // Lists a kind, then follows its changes, while it is wanted.
    async fn follow(self: Rc<Self>, kind: StoreKind) {
        let delay = match kind {
            StoreKind::Hosts => HOSTS_FIRST_DELAY,
            _ => FIRST_DELAY,
        };
        tokio::time::sleep(delay).await;
        let mut pause = self.pauses().first;
        let mut forgotten = false;
        loop {
            self.wanted(kind).await;
            let before = self.parts.cluster.borrow().changes_seen();
            match self.read_once(kind, forgotten).await {
                Ok(()) => {
                    (forgotten, pause) = (false, self.pauses().first);
                    self.note_answer(kind);
                    tokio::time::sleep(self.pause_after(kind, before)).await;
                }
                Err(StoreFailure::Gone) => forgotten = true,
                Err(failure) => {
                    self.note_failure(kind, &failure);
                    // Not all hosts at the same moment.
                    let share = rand::rng().random_range(0.5..1.0);
                    tokio::time::sleep(pause.mul_f64(share)).await;
                    pause = (pause * 2).min(self.pauses().longest);
                }
            }
        }
    }

    fn pauses(&self) -> FailurePauses {
        match self.reading_hosts.get() {
            true => READER_PAUSES,
            false => FOLLOWER_PAUSES,
        }
    }

    // Changes that follow one another closely are read together.
    fn pause_after(&self, kind: StoreKind, before: u64) -> Duration {
        let has_changed = self.parts.cluster.borrow().changes_seen() != before;
        match kind {
            StoreKind::Hosts => HOSTS_PAUSE,
            StoreKind::Backends if has_changed => CHANGES_PAUSE,
            _ => Duration::ZERO,
        }
    }

    fn is_wanted(&self, kind: StoreKind) -> bool {
        match kind {
            // Who knows no hosts looks for them once.
            StoreKind::Hosts => self.reading_hosts.get() || self.held_revision(kind) == 0,
            _ => self.reading.get(),
        }
    }

    async fn wanted(&self, kind: StoreKind) {
        while !self.is_wanted(kind) {
            if kind == StoreKind::Config {
                self.config_revision.set(0);
            }
            let resumed = self.resumed.notified();
            tokio::pin!(resumed);
            resumed.as_mut().enable();
            if !self.is_wanted(kind) {
                resumed.await;
            }
        }
    }

    fn held_revision(&self, kind: StoreKind) -> u64 {
        let cluster = self.parts.cluster.borrow();
        match kind {
            StoreKind::Config => self.config_revision.get(),
            StoreKind::Backends => cluster.backends_revision(),
            StoreKind::Hosts => cluster.hosts_revision(),
            StoreKind::Leases => 0,
        }
    }

    async fn read_once(&self, kind: StoreKind, forgotten: bool) -> Result<(), StoreFailure> {
        let held = self.held_revision(kind);
        if held == 0 || forgotten {
            let list = (self.store.list)(kind).await?;
            self.take_list(kind, list);
            return Ok(());
        }
        let wait = match kind {
            StoreKind::Hosts => HOSTS_WATCH_TIME,
            _ => old_news(self.parts.settings.bounds.change_time).mul_f64(WATCH_PART),
        };
        let changes = (self.store.watch)(kind, held, wait).await?;
        self.take_changes(kind, changes);
        Ok(())
    }

    fn lost_flag(&self, kind: StoreKind) -> Option<&Cell<bool>> {
        match kind {
            StoreKind::Config => Some(&self.config_lost),
            StoreKind::Backends => Some(&self.backends_lost),
            StoreKind::Hosts | StoreKind::Leases => None,
        }
    }

    fn note_answer(&self, kind: StoreKind) {
        let now = self.parts.now();
        self.parts.cluster.borrow_mut().confirm(kind, now);
        let Some(lost) = self.lost_flag(kind) else {
            return;
        };
        if lost.replace(false) {
            self.tell_whether_lost();
            event::emit(&event::PLATFORM_BACK, &[("kind", &format!("{kind:?}"))]);
        }
    }

    fn note_failure(&self, kind: StoreKind, failure: &StoreFailure) {
        self.parts.metrics.store_failures.inc();
        let Some(lost) = self.lost_flag(kind) else {
            log::debug!("the store's list of {kind:?} could not be read: {failure}");
            return;
        };
        if !lost.replace(true) {
            self.tell_whether_lost();
            let kind = format!("{kind:?}");
            event::emit(
                &event::PLATFORM_LOST,
                &[("kind", &kind), ("cause", failure)],
            );
        }
    }

    fn take_list(&self, kind: StoreKind, list: StoreList) {
        let now = self.parts.now();
        match kind {
            StoreKind::Config => {
                self.take_configs(list.items);
                self.config_revision.set(list.revision);
            }
            StoreKind::Backends => {
                let backends = list.items.into_iter().filter_map(backend_of).collect();
                let mut cluster = self.parts.cluster.borrow_mut();
                let taken = cluster.set_backends(backends, list.revision, now);
                drop(cluster);
                if taken {
                    self.parts.publish_backends();
                }
            }
            StoreKind::Hosts => {
                let hosts = list.items.into_iter().filter_map(host_of).collect();
                let mut cluster = self.parts.cluster.borrow_mut();
                cluster.set_hosts(hosts, list.revision);
                drop(cluster);
                self.parts.news.notify_waiters();
            }
            StoreKind::Leases => {}
        }
    }

    fn take_changes(&self, kind: StoreKind, changes: StoreChanges) {
        let now = self.parts.now();
        let StoreChanges { changes, revision } = changes;
        let is_news = !changes.is_empty();
        match kind {
            StoreKind::Config => {
                self.take_configs(changes.into_iter().filter_map(set_item).collect());
                self.config_revision
                    .set(revision.max(self.config_revision.get()));
            }
            StoreKind::Backends => {
                let mut cluster = self.parts.cluster.borrow_mut();
                cluster.change_backends(changes, revision, now);
                drop(cluster);
                if is_news {
                    self.parts.publish_backends();
                }
            }
            StoreKind::Hosts => {
                let mut cluster = self.parts.cluster.borrow_mut();
                cluster.change_hosts(changes, revision);
                drop(cluster);
                if is_news {
                    self.parts.news.notify_waiters();
                }
            }
            StoreKind::Leases => {}
        }
    }

    fn take_configs(&self, items: Vec<StoreItem>) {
        for item in items {
            if let StoreValue::Config(config) = item.value {
                self.parts.offer_config(config, "store");
            }
        }
    }

    async fn expire(self: Rc<Self>) {
        loop {
            tokio::time::sleep(EXPIRE_PERIOD).await;
            let now = self.parts.now();
            let expired = self.parts.cluster.borrow_mut().expire(now);
            if expired {
                self.parts.publish_backends();
            }
        }
    }
}

fn set_item(change: StoreChange) -> Option<StoreItem> {
    match change {
        StoreChange::Set(item) => Some(item),
        StoreChange::Removed(_) => None,
    }
}

fn backend_of(item: StoreItem) -> Option<BackendInfo> {
    match item.value {
        StoreValue::Backend(info) => Some(info),
        _ => None,
    }
}

fn host_of(item: StoreItem) -> Option<HostEntry> {
    match item.value {
        StoreValue::Host(entry) => Some(entry),
        _ => None,
    }
}

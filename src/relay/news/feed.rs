//! Keeping a host's beliefs up to date from the store, while it is the host's turn to read it.

use {
    super::{contact::StoreContact, store_log::LoggedPlaces},
    crate::{
        event,
        relay::{
            link::{ListAge, StoreCall, StoreChanges, StoreKind, StoreLink},
            parts::{metric_labels::StoreCause, shared::RelayParts},
            policy::past_time::PastTime,
            policy::{
                source::stale_age,
                store_backoff::{FOLLOWER_BACKOFF, READER_BACKOFF, StoreBackoff},
            },
            vital,
        },
        store::{StoreFailure, StorePosition},
    },
    std::{cell::Cell, rc::Rc, time::Duration},
    tokio::sync::Notify,
};

/// Part of the age at which news are old that a watch of the configuration or of backend servers waits: a watch
/// that hangs is found out before, and other hosts learn how old this one's view may be.
const WATCH_PART: f64 = 0.5;

/// How long a watch of the hosts waits: nothing urgent depends on them.
const HOSTS_WATCH_TIME: Duration = Duration::from_secs(20);

/// Pause after a watch that brought changes of backend servers: at the start of a deployment or a release
/// many come one after the other, and each watch is a call.
const CHANGES_PAUSE: Duration = Duration::from_millis(200);

/// Pause between two watches of the hosts: many come and go at once, and each watch is a call.
const HOSTS_PAUSE: Duration = Duration::from_millis(500);

/// From the first start of a fleet to the first look at its hosts: all start, and enter themselves in the store, within
/// a fraction of a second.
const HOSTS_FIRST_DELAY: Duration = Duration::from_millis(1_000);

/// How long the watch waits that follows a list which may lag, or a time without reading: it only has to bring what the
/// host lacks. A host that tries a silent store in its turn is of use to the others only then, 0.9 s sooner than by a
/// usual watch.
const CONFIRMING_WATCH_TIME: Duration = Duration::from_millis(1);

/// How often lapsed entries are looked at.
const EXPIRE_PERIOD: Duration = Duration::from_millis(200);

/// Reads the store while that is wanted of this host.
#[derive(Debug)]
pub struct StoreFeed {
    pub(super) parts: Rc<RelayParts>,
    store: Rc<StoreLink>,
    // Whether configuration and backend servers are read, and whether the hosts are.
    reading: Cell<bool>,
    reading_hosts: Cell<bool>,
    resumed: Notify,
    // The store's position up to which the configuration is known; unknown after a time without reading.
    pub(super) config_position: Cell<StorePosition>,
    contact: StoreContact,
    // The list of backend servers is from a reading that may lag, or from before a time without reading, and no watch has
    // confirmed it yet.
    backends_lag: Cell<bool>,
    pub(super) logged: LoggedPlaces,
}

impl StoreFeed {
    /// Starts to read the store.
    pub fn start(parts: Rc<RelayParts>, store: Rc<StoreLink>) -> Rc<Self> {
        let feed = Rc::new(Self {
            parts,
            store,
            reading: Cell::new(false),
            reading_hosts: Cell::new(false),
            resumed: Notify::new(),
            config_position: Cell::default(),
            contact: StoreContact::default(),
            backends_lag: Cell::new(false),
            logged: LoggedPlaces::default(),
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
            self.contact.forget();
        }
        if reading || hosts {
            self.resumed.notify_waiters();
        }
    }

    /// Whether the store did not answer last time.
    pub fn is_lost(&self) -> bool {
        self.contact.is_lost()
    }

    /// Waits until the store answers after it did not.
    pub async fn answered(&self) {
        self.contact.answered().await;
    }

    // Those that follow this host hear of it.
    fn tell_whether_lost(&self) {
        let mut cluster = self.parts.cluster.borrow_mut();
        cluster.set_store_lost(self.is_lost());
    }

    /// Reads the configuration once.
    pub async fn read_config(&self) -> Result<(), StoreFailure> {
        self.list(StoreKind::Config, ListAge::Newest).await
    }

    async fn list(&self, kind: StoreKind, age: ListAge) -> Result<(), StoreFailure> {
        let metrics = &self.parts.metrics;
        let cause = self.cause(kind, StoreCause::List);
        let asked = self.parts.now();
        let held = self.held_position(kind);
        match (self.store.list)(kind, age).await {
            Ok(list) => {
                metrics.store_called(cause, list.calls);
                let list = match age {
                    ListAge::Newest => self.count_restore(kind, held, list),
                    ListAge::MayLag => list,
                };
                self.parts.note_store_era(list.position.era, "store");
                let is_taken = self.take_list(kind, list);
                match (age, is_taken) {
                    (ListAge::Newest, true) => self.prove(kind, asked),
                    (ListAge::MayLag, true) => self.parts.cluster.borrow_mut().doubt(kind),
                    // Another host has told more meanwhile.
                    (_, false) if self.held_position(kind) != held => {}
                    (ListAge::MayLag, false) => {}
                    (ListAge::Newest, false) => {
                        return Err(StoreFailure::Unknown("an older list than is known".into()));
                    }
                }
                Ok(())
            }
            Err(failure) => {
                metrics.store_called(cause, 1);
                Err(failure)
            }
        }
    }

    // What is asked of a store that did not answer last time is asked for another reason.
    fn cause(&self, kind: StoreKind, usual: StoreCause) -> StoreCause {
        match self.contact.is_kind_lost(kind)
            && self.parts.cluster.borrow().age(self.parts.now()).is_some()
        {
            true => StoreCause::WhileLost,
            false => usual,
        }
    }

    // Lists a kind, then follows its changes, while it is wanted.
    async fn follow(self: Rc<Self>, kind: StoreKind) {
        if kind == StoreKind::Hosts && self.parts.settings.first_start {
            tokio::time::sleep(HOSTS_FIRST_DELAY).await;
        }
        let mut failures = 0;
        // Whether the history from what is known is gone, and how often that was so since a watch was answered.
        let mut forgotten = false;
        let mut gone = 0;
        loop {
            self.wanted(kind).await;
            let before = self.parts.cluster.borrow().changes_seen();
            let asked = self.parts.now();
            let is_list = forgotten || !self.held_position(kind).is_known();
            match self.read_once(kind, forgotten).await {
                Ok(()) => {
                    (forgotten, failures) = (false, 0);
                    if !is_list {
                        gone = 0;
                    }
                    self.note_answer(kind, is_list);
                    tokio::time::sleep(self.pause_after(kind, before)).await;
                }
                Err(StoreFailure::Gone) => {
                    self.log_history_gone(kind);
                    self.parts.cluster.borrow_mut().drop_doubted(kind);
                    forgotten = true;
                    gone += 1;
                    if gone > 1 {
                        let pause = self.pauses().after(gone - 2, rand::random());
                        tokio::time::sleep(pause).await;
                    }
                }
                Err(failure) => {
                    self.note_failure(kind, &failure);
                    let pause = self.pauses().after(failures, rand::random());
                    self.log_unanswered(kind, &failure, asked, pause);
                    failures += 1;
                    tokio::time::sleep(pause).await;
                }
            }
        }
    }

    fn pauses(&self) -> &'static StoreBackoff {
        match self.reading_hosts.get() {
            true => &READER_BACKOFF,
            false => &FOLLOWER_BACKOFF,
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
            // Nothing urgent depends on them: a silent store is tried for the other kinds.
            StoreKind::Hosts => {
                self.reading_hosts.get()
                    && (!self.held_position(kind).is_known() || !self.is_lost())
            }
            _ => self.reading.get(),
        }
    }

    async fn wanted(&self, kind: StoreKind) {
        while !self.is_wanted(kind) {
            // Who reads again has to know soon whether it knows all: a watch would tell so only at its end.
            match kind {
                StoreKind::Config => self.config_position.set(StorePosition::default()),
                StoreKind::Backends => self.backends_lag.set(true),
                StoreKind::Hosts | StoreKind::Leases => {}
            }
            let resumed = self.resumed.notified();
            tokio::pin!(resumed);
            resumed.as_mut().enable();
            if !self.is_wanted(kind) {
                resumed.await;
            }
        }
    }

    pub(super) fn held_position(&self, kind: StoreKind) -> StorePosition {
        let cluster = self.parts.cluster.borrow();
        match kind {
            StoreKind::Config => self.config_position.get(),
            StoreKind::Backends => cluster.backends_position(),
            StoreKind::Hosts => cluster.hosts_position(),
            StoreKind::Leases => StorePosition::default(),
        }
    }

    async fn read_once(&self, kind: StoreKind, forgotten: bool) -> Result<(), StoreFailure> {
        let held = self.held_position(kind);
        if !held.is_known() || forgotten {
            let age = list_age(kind, forgotten);
            if kind == StoreKind::Backends {
                self.backends_lag.set(age == ListAge::MayLag);
            }
            return self.list(kind, age).await;
        }
        let wait = match kind {
            StoreKind::Hosts => HOSTS_WATCH_TIME,
            StoreKind::Backends if self.backends_lag.get() => CONFIRMING_WATCH_TIME,
            StoreKind::Config => self.config_watch_time(),
            _ => self.watch_time(),
        };
        let asked = self.parts.now();
        self.parts
            .metrics
            .store_called(self.cause(kind, StoreCause::Watch), 1);
        let watch = (self.store.watch)(kind, held, wait);
        let changes = match kind {
            StoreKind::Hosts => self.unless_outlived(watch).await?,
            _ => watch.await?,
        };
        self.take_changes(kind, changes);
        self.prove(kind, asked);
        if kind == StoreKind::Backends {
            self.backends_lag.set(false);
        }
        Ok(())
    }

    // A long watch that was out while the store fell silent is not answered any more: it is sent again once another call
    // is answered.
    async fn unless_outlived(
        &self,
        watch: StoreCall<StoreChanges>,
    ) -> Result<StoreChanges, StoreFailure> {
        tokio::select! {
            changes = watch => changes,
            () = self.contact.returned() => {
                Err(StoreFailure::Unknown("the store fell silent meanwhile".into()))
            }
        }
    }

    fn watch_time(&self) -> Duration {
        stale_age(self.parts.settings.bounds.change_time).mul_f64(WATCH_PART)
    }

    // Where keys are bound to a proof, it is renewed with each watch.
    fn config_watch_time(&self) -> Duration {
        let has_accounts = self
            .parts
            .routes()
            .is_some_and(|routes| routes.accounts().is_some());
        let renewed = self.parts.settings.bounds.keys.renew_time();
        match renewed.filter(|_| has_accounts) {
            Some(time) => time.min(self.watch_time()),
            None => self.watch_time(),
        }
    }

    // What was answered to a call sent at `asked` was the newest then, whenever the answer was read.
    fn prove(&self, kind: StoreKind, asked: Duration) {
        if kind == StoreKind::Config {
            let mut cluster = self.parts.cluster.borrow_mut();
            cluster.prove_config(PastTime::at(asked));
        }
    }

    fn note_answer(&self, kind: StoreKind, is_list: bool) {
        // A list that may lag confirms nothing.
        let is_lagging = match kind {
            StoreKind::Backends => self.backends_lag.get(),
            StoreKind::Hosts => is_list,
            StoreKind::Config | StoreKind::Leases => false,
        };
        if is_lagging {
            return;
        }
        let now = self.parts.now();
        self.parts.cluster.borrow_mut().confirm(kind, now);
        if self.contact.note_answer(kind) {
            self.tell_whether_lost();
            // The hosts are read again too.
            self.resumed.notify_waiters();
            event::emit(&event::PLATFORM_BACK, &[("kind", &format!("{kind:?}"))]);
        }
    }

    fn note_failure(&self, kind: StoreKind, failure: &StoreFailure) {
        self.parts.metrics.store_failures.inc();
        if self.contact.note_failure(kind) {
            self.tell_whether_lost();
            let kind = format!("{kind:?}");
            event::emit(
                &event::PLATFORM_LOST,
                &[("kind", &kind), ("cause", failure)],
            );
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

// A configuration that lags would be in force until a watch brought the newer one; and who was told that the history
// is gone would be told so again from an old list.
fn list_age(kind: StoreKind, forgotten: bool) -> ListAge {
    match kind {
        StoreKind::Backends | StoreKind::Hosts if !forgotten => ListAge::MayLag,
        _ => ListAge::Newest,
    }
}

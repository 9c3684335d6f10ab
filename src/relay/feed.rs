//! Keeping a host's beliefs up to date: from the store by watches, or from other hosts when the store
//! does not answer.

use {
    super::{
        backend::BackendInfo,
        config::RelayConfig,
        link::{
            HostEntry, StoreChange, StoreChanges, StoreItem, StoreKind, StoreLink, StoreList,
            StoreValue,
        },
        parts::RelayParts,
    },
    crate::{
        event,
        metric::HostMetrics,
        peer::{self, HeldVersions, PassedState, PeerAnswers, PeerDigest, PeerLinks},
        store::StoreFailure,
    },
    faststr::FastStr,
    rand::seq::SliceRandom,
    std::{cell::Cell, net::SocketAddr, rc::Rc, sync::Arc, time::Duration},
    tokio::net::TcpListener,
};

/// How long a watch of the configuration or of backend servers waits: a watch that hangs is found out
/// within the time in which changes are due.
const WATCH_TIME: Duration = Duration::from_millis(1_500);

/// How long a watch of the hosts waits: nothing urgent depends on them.
const HOSTS_WATCH_TIME: Duration = Duration::from_secs(20);

/// Pause after a failed call to the store.
const FAILURE_PAUSE: Duration = Duration::from_millis(250);

/// How often another host is asked while the store does not answer.
const ASK_PERIOD: Duration = Duration::from_millis(350);

/// Hosts asked at a time.
const ASKED_HOSTS: usize = 2;

/// How often lapsed entries are looked at.
const EXPIRE_PERIOD: Duration = Duration::from_millis(200);

/// Keeps a host's beliefs up to date.
#[derive(Debug)]
pub struct ClusterFeed {
    parts: Rc<RelayParts>,
    store: Rc<StoreLink>,
    // Which of the two urgent watches did not answer last time.
    config_lost: Cell<bool>,
    backends_lost: Cell<bool>,
}

impl ClusterFeed {
    /// Starts to read the store and to listen to other hosts.
    pub fn start(parts: Rc<RelayParts>, store: Rc<StoreLink>, peers: TcpListener) {
        let feed = Rc::new(Self {
            parts,
            store,
            config_lost: Cell::new(true),
            backends_lost: Cell::new(true),
        });
        tokio::task::spawn_local(feed.clone().follow(StoreKind::Config));
        tokio::task::spawn_local(feed.clone().follow(StoreKind::Backends));
        tokio::task::spawn_local(feed.clone().follow(StoreKind::Hosts));
        tokio::task::spawn_local(feed.clone().expire());
        let metrics = Arc::new(HostMetrics::default());
        let answers = Rc::new(feed.clone().answers());
        tokio::task::spawn_local(peer::serve_peers(peers, answers, metrics.clone()));
        tokio::task::spawn_local(feed.ask_peers(PeerLinks::new(metrics)));
    }

    // Lists a kind, then follows its changes, for as long as the host runs.
    async fn follow(self: Rc<Self>, kind: StoreKind) {
        loop {
            match (self.store.list)(kind).await {
                Ok(list) => {
                    self.note_answer(kind);
                    let revision = list.revision;
                    self.take_list(kind, list);
                    self.follow_changes(kind, revision).await;
                }
                Err(failure) => self.note_failure(kind, &failure).await,
            }
        }
    }

    async fn follow_changes(&self, kind: StoreKind, mut revision: u64) {
        let wait = match kind {
            StoreKind::Hosts => HOSTS_WATCH_TIME,
            _ => WATCH_TIME,
        };
        loop {
            match (self.store.watch)(kind, revision, wait).await {
                Ok(changes) => {
                    self.note_answer(kind);
                    revision = changes.revision.max(revision);
                    self.take_changes(kind, changes);
                }
                Err(StoreFailure::Gone) => return,
                Err(failure) => self.note_failure(kind, &failure).await,
            }
        }
    }

    fn lost_flag(&self, kind: StoreKind) -> Option<&Cell<bool>> {
        match kind {
            StoreKind::Config => Some(&self.config_lost),
            StoreKind::Backends => Some(&self.backends_lost),
            StoreKind::Hosts | StoreKind::Leases => None,
        }
    }

    fn note_answer(&self, kind: StoreKind) {
        let Some(lost) = self.lost_flag(kind) else {
            return;
        };
        if lost.replace(false) {
            event::emit(&event::PLATFORM_BACK, &[("kind", &format!("{kind:?}"))]);
        }
    }

    async fn note_failure(&self, kind: StoreKind, failure: &StoreFailure) {
        self.parts.metrics.store_failures.inc();
        self.parts
            .cluster
            .borrow_mut()
            .note_trouble(self.parts.now());
        if let Some(lost) = self.lost_flag(kind)
            && !lost.replace(true)
        {
            let kind = format!("{kind:?}");
            event::emit(
                &event::PLATFORM_LOST,
                &[("kind", &kind), ("cause", failure)],
            );
        }
        tokio::time::sleep(FAILURE_PAUSE).await;
    }

    fn take_list(&self, kind: StoreKind, list: StoreList) {
        match kind {
            StoreKind::Config => self.take_configs(list.items),
            StoreKind::Backends => {
                let backends = list.items.into_iter().filter_map(backend_of).collect();
                self.take_backends(backends, list.revision);
            }
            StoreKind::Hosts => {
                let hosts = list.items.into_iter().filter_map(host_of).collect();
                self.parts.cluster.borrow_mut().set_hosts(hosts);
            }
            StoreKind::Leases => {}
        }
    }

    fn take_changes(&self, kind: StoreKind, changes: StoreChanges) {
        match kind {
            StoreKind::Config => {
                let items = changes
                    .changes
                    .into_iter()
                    .filter_map(|change| match change {
                        StoreChange::Set(item) => Some(item),
                        StoreChange::Removed(_) => None,
                    });
                self.take_configs(items.collect());
            }
            StoreKind::Backends => {
                let now = self.parts.now();
                let mut cluster = self.parts.cluster.borrow_mut();
                cluster.change_backends(changes.changes, changes.revision, now);
                drop(cluster);
                self.parts.publish_backends();
            }
            StoreKind::Hosts => {
                let mut cluster = self.parts.cluster.borrow_mut();
                for change in changes.changes {
                    match change {
                        StoreChange::Set(item) => {
                            let name = item.name.clone();
                            cluster.change_host(name, host_of(item));
                        }
                        StoreChange::Removed(name) => cluster.change_host(name, None),
                    }
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

    fn take_backends(&self, backends: Vec<BackendInfo>, revision: u64) {
        let now = self.parts.now();
        let mut cluster = self.parts.cluster.borrow_mut();
        let taken = cluster.set_backends(backends, revision, now);
        drop(cluster);
        if taken {
            self.parts.publish_backends();
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

    // What this host passes on to others.
    fn answers(self: Rc<Self>) -> PeerAnswers {
        PeerAnswers {
            exchange: Box::new(|digest| PeerDigest {
                sender: digest.sender,
                beats: Vec::new(),
                generation: 0,
                servers_version: 0,
                leaving: Vec::new(),
                silent: Vec::new(),
            }),
            cards: Box::new(|_| Vec::new()),
            state: Box::new(move |held| self.passed_state(held)),
        }
    }

    fn passed_state(&self, held: HeldVersions) -> PassedState {
        let cluster = self.parts.cluster.borrow();
        let config = cluster
            .routes()
            .filter(|routes| routes.config().version > held.generation)
            .map(|routes| encode(routes.config()));
        let servers = (cluster.backends_revision() > held.servers).then(|| {
            encode(&PassedBackends {
                revision: cluster.backends_revision(),
                backends: cluster.backends().cloned().collect(),
            })
        });
        PassedState {
            config: config.unwrap_or_default(),
            servers: servers.unwrap_or_default(),
        }
    }

    // Asks some other hosts while the store does not answer.
    async fn ask_peers(self: Rc<Self>, links: PeerLinks) {
        loop {
            tokio::time::sleep(ASK_PERIOD).await;
            if !self.config_lost.get() && !self.backends_lost.get() {
                continue;
            }
            for address in self.some_peers() {
                self.ask_peer(&links, address).await;
            }
        }
    }

    fn some_peers(&self) -> Vec<SocketAddr> {
        let settings = &self.parts.settings;
        let cluster = self.parts.cluster.borrow();
        let listed = cluster.hosts().map(|entry| entry.peers);
        let mut addresses: Vec<SocketAddr> = listed.chain(settings.seeds.iter().copied()).collect();
        addresses.retain(|address| *address != settings.peers);
        addresses.sort();
        addresses.dedup();
        addresses.shuffle(&mut rand::rng());
        addresses.truncate(ASKED_HOSTS);
        addresses
    }

    async fn ask_peer(&self, links: &PeerLinks, address: SocketAddr) {
        let held = {
            let cluster = self.parts.cluster.borrow();
            HeldVersions {
                generation: cluster.config_version(),
                source: 0,
                servers: cluster.backends_revision(),
            }
        };
        let state = match links.state(address, held).await {
            Ok(state) => state,
            Err(error) => {
                log::debug!("host at {address} did not pass on its state: {error}");
                return;
            }
        };
        if let Some(config) = decode::<RelayConfig>(&state.config, address) {
            self.parts.offer_config(config, "peer");
        }
        if let Some(passed) = decode::<PassedBackends>(&state.servers, address) {
            self.take_backends(passed.backends, passed.revision);
        }
    }
}

#[derive(Debug, serde::Serialize, serde::Deserialize)]
struct PassedBackends {
    revision: u64,
    backends: Vec<BackendInfo>,
}

fn encode<T: serde::Serialize>(content: &T) -> Vec<u8> {
    serde_json::to_vec(content).expect("state without maps of odd keys")
}

fn decode<T: serde::de::DeserializeOwned>(bytes: &[u8], from: SocketAddr) -> Option<T> {
    if bytes.is_empty() {
        return None;
    }
    match serde_json::from_slice(bytes) {
        Ok(content) => Some(content),
        Err(error) => {
            log::warn!("host at {from} passed on what this version cannot read: {error}");
            None
        }
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

impl RelayParts {
    /// Takes a configuration from the store or another host, if it is newer.
    pub fn offer_config(&self, config: RelayConfig, from: &str) {
        let version = config.version;
        let taken = self.cluster.borrow_mut().offer_config(config);
        if taken {
            event::emit(
                &event::CONFIG_IN_FORCE,
                &[("version", &version), ("from", &from)],
            );
        }
    }

    /// Tells the book which backend servers there are.
    pub fn publish_backends(&self) {
        let usable = self.cluster.borrow().usable();
        self.book.borrow_mut().set_backends(usable);
        self.freed.notify_waiters();
    }

    /// The name of this host, for logs.
    pub fn name(&self) -> FastStr {
        self.settings.name.clone()
    }
}

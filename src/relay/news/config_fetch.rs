//! Fetches a newer version of the configuration from other hosts, piece by piece, while everything else goes on.

use {
    super::{
        feed::StoreReader, follow::NewsFollower, piece_message::PieceRequest, rpc::NewsClient,
    },
    crate::{
        event,
        relay::{
            critical_task,
            link::HostEntry,
            parts::shared::RelayParts,
            pieces::{ByteBudget, PieceSources, REQUESTED_PIECES},
        },
    },
    bytes::Bytes,
    rand::{RngExt, seq::IteratorRandom},
    std::{cell::RefCell, net::SocketAddr, ops::Range, rc::Rc, time::Duration},
    tokio::sync::Notify,
};

/// Timeout of a request for pieces. They fit into one small message, so that a host that needs longer is taken for silent.
const FETCH_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Pause if no host is left to ask.
const NO_SOURCE_PAUSE: Duration = Duration::from_millis(50);

/// Time without a new piece after which the configuration is read from the store, in milliseconds. Drawn, so that hosts
/// do not all read it at once.
const STALL_TIME_MS: Range<u64> = 700..1_700;

/// Hosts of the own zone, drawn anew for each request, that are asked if no better source is known.
const DRAWN_HOSTS: usize = 2;

/// The transfer of one version or several, until this host has the newest.
struct Transfer {
    started: Duration,
    progressed: Duration,
    stall_time: Duration,
    pieces: usize,
    bytes: usize,
}

impl Transfer {
    fn start(now: Duration) -> Self {
        Self {
            started: now,
            progressed: now,
            stall_time: draw_stall_time(),
            pieces: 0,
            bytes: 0,
        }
    }
}

fn draw_stall_time() -> Duration {
    Duration::from_millis(rand::rng().random_range(STALL_TIME_MS))
}

/// Fetches announced configurations.
pub struct ConfigFetcher {
    parts: Rc<RelayParts>,
    reader: Rc<StoreReader>,
    client: Rc<NewsClient>,
    sources: RefCell<PieceSources>,
    budget: RefCell<ByteBudget>,
    announced: Notify,
}

impl ConfigFetcher {
    /// A fetcher that has not been started.
    pub fn new(parts: Rc<RelayParts>, reader: Rc<StoreReader>, client: Rc<NewsClient>) -> Rc<Self> {
        let budget = ByteBudget::of_link(parts.settings.link_mbps);
        Rc::new(Self {
            parts,
            reader,
            client,
            sources: RefCell::default(),
            budget: RefCell::new(budget),
            announced: Notify::new(),
        })
    }

    /// Starts the task.
    pub fn start(self: &Rc<Self>, follower: Rc<NewsFollower>) {
        critical_task::spawn_critical("configuration pieces", self.clone().run(follower));
    }

    /// Starts fetching the version that a host has announced, or goes on with the newer one.
    pub fn fetch_from(&self, announcer: SocketAddr) {
        self.sources.borrow_mut().set_announcer(announcer);
        self.announced.notify_one();
    }

    async fn run(self: Rc<Self>, follower: Rc<NewsFollower>) {
        loop {
            self.announced.notified().await;
            self.fetch(&follower).await;
        }
    }

    async fn fetch(&self, follower: &NewsFollower) {
        let mut transfer = Transfer::start(self.parts.now());
        loop {
            self.abandon_expired();
            let missing = self.parts.cluster.borrow().config.missing(REQUESTED_PIECES);
            let Some(names) = missing else { return };
            if names.is_empty() {
                return self.complete(&transfer);
            }
            let wait = self.budget.borrow_mut().wait(self.parts.now());
            tokio::time::sleep(wait).await;
            let request = PieceRequest {
                names,
                peers: Some(self.parts.settings.peers),
            };
            if self.request_pieces(request, &mut transfer).await {
                follower.record_piece();
            }
            if self.parts.now() >= transfer.progressed + transfer.stall_time {
                self.read_store(&mut transfer).await;
            }
        }
    }

    fn abandon_expired(&self) {
        let now = self.parts.now();
        let expired = self.parts.cluster.borrow_mut().config.expire(now);
        if let Some(version) = expired {
            log_failed(version, "no host confirms it any more");
        }
    }

    fn complete(&self, transfer: &Transfer) {
        let cluster = self.parts.cluster.borrow();
        let version = cluster.config.known_version();
        drop(cluster);
        match self.parts.activate_fetched_config() {
            Ok(()) => log_fetched(version, transfer, self.parts.now()),
            Err(error) => {
                let text = error.to_string();
                self.parts.cluster.borrow_mut().config.abandon();
                log_failed(version, &text);
            }
        }
    }

    // Returns whether new pieces arrived.
    async fn request_pieces(&self, request: PieceRequest, transfer: &mut Transfer) -> bool {
        let further = self.further_sources();
        let now = self.parts.now();
        let chosen = self.sources.borrow_mut().choose(further.into_iter(), now);
        let Some(address) = chosen else {
            tokio::time::sleep(NO_SOURCE_PAUSE).await;
            return false;
        };
        let answer = self.client.fetch(address, &request, FETCH_TIMEOUT).await;
        let now = self.parts.now();
        let mut sources = self.sources.borrow_mut();
        match answer {
            Ok(answer) => {
                if let Some(wait) = answer.busy {
                    sources.note_busy(address, wait, &answer.others, now);
                } else if answer.pieces.is_empty() {
                    sources.note_without_pieces(address, now);
                }
                drop(sources);
                self.add_pieces(answer.pieces, address, transfer)
            }
            Err(error) => {
                log::debug!("host at {address} did not answer a request for pieces: {error}");
                sources.note_unanswered(address, now);
                false
            }
        }
    }

    fn add_pieces(&self, pieces: Vec<Bytes>, from: SocketAddr, transfer: &mut Transfer) -> bool {
        let bytes = pieces.iter().map(Bytes::len).sum();
        self.budget.borrow_mut().take(bytes);
        let mut added = 0;
        for piece in pieces {
            let adding = self.parts.cluster.borrow_mut().config.add_piece(piece);
            match adding {
                Ok(_) => added += 1,
                Err(error) => log::warn!("a piece from the host at {from} is unusable: {error}"),
            }
        }
        self.parts.metrics.pieces.record_received(added, bytes);
        transfer.pieces += added;
        transfer.bytes += bytes;
        if added > 0 {
            transfer.progressed = self.parts.now();
        }
        added > 0
    }

    // Some hosts of the own zone, then those that other hosts follow in the other zones.
    fn further_sources(&self) -> Vec<SocketAddr> {
        let cluster = self.parts.cluster.borrow();
        let settings = &self.parts.settings;
        let others = cluster
            .hosts()
            .filter(|entry| entry.peers != settings.peers);
        let is_near = |entry: &&HostEntry| entry.zone == settings.zone;
        let mut rng = rand::rng();
        let near = others.clone().filter(is_near).sample(&mut rng, DRAWN_HOSTS);
        let far = others.filter(|entry| !is_near(entry)).sample(&mut rng, 1);
        let drawn = near.into_iter().chain(far);
        drawn.map(|entry| entry.peers).collect()
    }

    async fn read_store(&self, transfer: &mut Transfer) {
        let wanted = self.parts.cluster.borrow().config.known_version();
        let result = self.reader.read_config().await;
        transfer.progressed = self.parts.now();
        transfer.stall_time = draw_stall_time();
        match result {
            Ok(()) => self.abandon_lost(wanted),
            Err(failure) => log::debug!("cannot read the configuration from the store: {failure}"),
        }
    }

    // Gives up a version that neither another host nor the store has any more.
    fn abandon_lost(&self, wanted: u64) {
        let mut cluster = self.parts.cluster.borrow_mut();
        if cluster.config.behind_since().is_some() && cluster.config.known_version() == wanted {
            cluster.config.abandon();
            drop(cluster);
            log_failed(wanted, "neither other hosts nor the store have it");
        }
    }
}

fn log_fetched(version: u64, transfer: &Transfer, now: Duration) {
    let elapsed = now.saturating_sub(transfer.started);
    event::emit(
        &event::CONFIG_FETCHED,
        &[
            ("version", &version),
            ("pieces", &transfer.pieces),
            ("bytes", &transfer.bytes),
            ("after_ms", &elapsed.as_millis()),
        ],
    );
}

fn log_failed(version: u64, cause: &str) {
    event::emit(
        &event::CONFIG_GIVEN_UP,
        &[("version", &version), ("cause", &cause)],
    );
}

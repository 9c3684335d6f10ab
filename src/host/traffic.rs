//! State shared by the traffic threads of an entry host.

use {
    super::gate::StopGate,
    crate::{
        clock::HostClock,
        conf::HostSettings,
        control::ControlSnapshot,
        engine::{AttemptNamer, Canceller},
        filter::TenantLedger,
        metric::HostMetrics,
        operation::{
            OperationTable, RequestLimits, RetryBudget, RunnerParts, SharedCrashes, TicketBook,
        },
        peer,
        route::{ServerRegistry, ServerStates, SharedScheduler},
        web::WebClient,
    },
    arc_swap::ArcSwap,
    faststr::FastStr,
    std::{
        fmt,
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::time::Instant,
};

/// Connect timeout for a backend server or another host.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// State shared by the traffic threads of an entry host.
pub struct Traffic {
    /// The host's settings.
    pub settings: HostSettings,
    /// The unique name of this run of the host.
    pub incarnation: FastStr,
    /// The incarnation as a number.
    pub incarnation_number: u64,
    /// The address at which callers reach this host.
    pub callers: SocketAddr,
    /// The latest snapshot published by the control thread.
    pub snapshot: ArcSwap<ControlSnapshot>,
    /// State shared by model requests.
    pub parts: Arc<RunnerParts>,
    /// Engine state and scheduling.
    pub desk: Arc<SharedScheduler>,
    /// Backend servers of plain services.
    pub servers: Arc<ServerRegistry>,
    /// Rate limits and availability reported by these servers.
    pub server_states: ServerStates,
    /// Operations by key.
    pub operations: Mutex<OperationTable>,
    /// Issues and checks the tickets of this incarnation.
    pub tickets: TicketBook,
    /// Usage of each tenant against its limits.
    pub limits: Arc<TenantLedger>,
    /// Counts the requests in flight.
    pub gate: Arc<StopGate>,
    /// Client for calls to backend servers and other hosts.
    pub client: WebClient,
    /// Metrics.
    pub metrics: Arc<HostMetrics>,
    /// Metrics page of the relay; empty if the relay is disabled.
    pub relay_page: ArcSwap<String>,
    /// Clock for leases and other ages that must include time in suspension.
    pub clock: HostClock,
    started: Instant,
    next_request: AtomicU64,
}

impl fmt::Debug for Traffic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Traffic({})", self.settings.name)
    }
}

impl Traffic {
    /// Creates the shared state of a new incarnation.
    pub fn new(settings: HostSettings, callers: SocketAddr) -> Arc<Self> {
        let number: u64 = rand::random();
        let clock = HostClock::system();
        let incarnation = peer::incarnation_name(number);
        let desk = SharedScheduler::new(
            settings.zone.clone(),
            settings.tuning(),
            rand::random(),
            clock.clone(),
        );
        let link_source = desk.clone();
        let canceller = Canceller::new(Box::new(move |engine| {
            link_source.read(|desk| desk.link(engine))
        }));
        let parts = Arc::new(RunnerParts {
            desk: desk.clone(),
            namer: AttemptNamer::new(incarnation.clone()),
            canceller,
            budget: Mutex::new(RetryBudget::new(settings.retry_share)),
            limits: RequestLimits::default(),
            crashes: SharedCrashes::new(clock.clone()),
        });
        Arc::new(Self {
            callers,
            snapshot: ArcSwap::default(),
            parts,
            desk,
            servers: Arc::default(),
            server_states: ServerStates::new(&settings.name, clock.clone()),
            operations: Mutex::new(OperationTable::new(settings.remember)),
            tickets: TicketBook::new(settings.name.clone(), incarnation.clone()),
            limits: Arc::default(),
            gate: StopGate::new(settings.concurrent),
            client: WebClient::new(CONNECT_TIMEOUT),
            metrics: Arc::default(),
            relay_page: ArcSwap::default(),
            clock,
            started: Instant::now(),
            next_request: AtomicU64::new(1),
            incarnation,
            incarnation_number: number,
            settings,
        })
    }

    /// Time since this incarnation started, excluding time in suspension: other hosts were not silent
    /// while this host could not receive from them, and what a host that is considered lost left
    /// at engines is cancelled by the others.
    pub fn uptime(&self) -> Duration {
        self.started.elapsed()
    }

    /// Returns a request id that is unique across all hosts.
    pub fn next_request_id(&self) -> FastStr {
        let count = self.next_request.fetch_add(1, Ordering::Relaxed);
        FastStr::from_string(format!("{}-{count}", self.incarnation))
    }

    /// The live host of this zone that handles all requests with a key chosen by a caller, by
    /// rendezvous hashing; `None` if it is this host.
    pub fn home_of(&self, tenant: &str, key: &str) -> Option<SocketAddr> {
        let snapshot = self.snapshot.load();
        let subject = format!("{tenant}\n{key}");
        let own_score = peer::draw(&self.settings.name, &subject);
        snapshot
            .peers
            .iter()
            .filter(|peer| peer.is_live && peer.zone == self.settings.zone)
            .map(|peer| (peer::draw(&peer.name, &subject), peer.callers))
            .max_by_key(|(score, _)| *score)
            .filter(|(score, _)| *score > own_score)
            .map(|(_, callers)| callers)
    }
}

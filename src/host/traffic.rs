//! What the traffic threads of an entry host share.

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

/// Longest wait for a connection to a backend server or another host.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// What the traffic threads of an entry host share.
pub struct Traffic {
    /// The host's settings.
    pub settings: HostSettings,
    /// The name of this run of the host; no other run has it.
    pub incarnation: FastStr,
    /// The same as a number.
    pub incarnation_number: u64,
    /// Where callers reach this host.
    pub callers: SocketAddr,
    /// What control published last.
    pub snapshot: ArcSwap<ControlSnapshot>,
    /// What requests share.
    pub parts: Arc<RunnerParts>,
    /// Where engines are chosen.
    pub desk: Arc<SharedScheduler>,
    /// Servers of plain services.
    pub servers: Arc<ServerRegistry>,
    /// Which of them name how much they take.
    pub server_states: ServerStates,
    /// Operations by key.
    pub operations: Mutex<OperationTable>,
    /// Tickets of this incarnation.
    pub tickets: TicketBook,
    /// What tenants use.
    pub limits: Arc<TenantLedger>,
    /// Counts what is in flight.
    pub gate: Arc<StopGate>,
    /// Calls outward.
    pub client: WebClient,
    /// Metrics.
    pub metrics: Arc<HostMetrics>,
    /// Metrics of requests that are passed through, as a page; empty where there are none.
    pub relay_page: ArcSwap<String>,
    /// The clock of ages that promises rest on.
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
    /// The shared parts of a new incarnation.
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
        let links = desk.clone();
        let canceller =
            Canceller::new(Box::new(move |engine| links.read(|desk| desk.link(engine))));
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

    /// Time since this incarnation started, less what it was suspended: others were not silent while this host could not
    /// hear them, and what a host that is taken for lost left at engines is cancelled.
    pub fn uptime(&self) -> Duration {
        self.started.elapsed()
    }

    /// An id that no other request of any host has.
    pub fn next_request_id(&self) -> FastStr {
        let count = self.next_request.fetch_add(1, Ordering::Relaxed);
        FastStr::from_string(format!("{}-{count}", self.incarnation))
    }

    /// The live host of this zone where duplicates of a key that a caller made up meet; none when
    /// it is this host.
    pub fn home_of(&self, tenant: &str, key: &str) -> Option<SocketAddr> {
        let snapshot = self.snapshot.load();
        let subject = format!("{tenant}\n{key}");
        let own = peer::draw(&self.settings.name, &subject);
        snapshot
            .peers
            .iter()
            .filter(|peer| peer.is_live && peer.zone == self.settings.zone)
            .map(|peer| (peer::draw(&peer.name, &subject), peer.callers))
            .max_by_key(|(score, _)| *score)
            .filter(|(score, _)| *score > own)
            .map(|(_, callers)| callers)
    }
}

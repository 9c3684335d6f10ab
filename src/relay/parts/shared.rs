//! State that the tasks of a relaying host share. All of them run on one thread.

use {
    super::{
        accounts::AccountGate,
        availability::SendBasis,
        crashes::CrashRecords,
        ends::EndProbes,
        kept_streams::KeptStreams,
        metrics::RelayMetrics,
        origins::OriginRecords,
        permits::PermitGate,
        places::PlaceGate,
        priorities::PriorityState,
        refresh::ViewRefresh,
        server_limits::{AnswerKind, LimitExchange},
        shares::OthersDemand,
        stop::StopTimes,
    },
    crate::{
        account::ZoneLedger,
        clock::{HostClock, StallDetector},
        event,
        host::StopGate,
        operation::{OnceSignal, RunVerdict},
        relay::{
            admission::wait_queue::WaitQueue,
            backend::BackendInfo,
            cluster::state::ClusterState,
            dialect::{BackendCall, CallDialect},
            policy::{
                budget::RetryWindow, caller_timeouts::CallerTimeouts, carrier_table::CarrierTable,
                link_tracker::LinkTracker, prompt_cache::PromptCacheIndex,
                registry::BackendRegistry, route::RouteTable, view::BackendFailure,
            },
            settings::RelaySettings,
        },
        store::{EraName, EraTracker},
        web::{
            ByteQuota, CallerBudget, ConnectionPool, FailureCause, HeldBytes, PoolUse,
            PooledAnswer, PooledBody, SendFailure,
        },
    },
    bytes::Bytes,
    faststr::FastStr,
    http::{HeaderValue, Request, StatusCode, header},
    http_body_util::Full,
    std::{
        cell::{Cell, RefCell},
        collections::{BTreeMap, HashMap},
        net::SocketAddr,
        rc::Rc,
        sync::Arc,
        time::Duration,
    },
    tokio::sync::Notify,
};

/// Maximum size in bytes of the response to a call of this host.
const CONTROL_RESPONSE_LIMIT: usize = 1 << 20;

/// State that the tasks of a relaying host share.
#[derive(Debug)]
pub struct RelayParts {
    /// The host's settings.
    pub settings: RelaySettings,
    /// The dialect of the calls to backend servers.
    pub dialect: CallDialect,
    /// Connections to backend servers.
    pub pool: Rc<ConnectionPool>,
    /// The state of backend servers that routing decisions use.
    pub book: RefCell<BackendRegistry>,
    /// Which backend servers answer this host.
    pub links: RefCell<LinkTracker>,
    /// Hosts that carry connections to servers whose links are lost.
    pub carriers: RefCell<CarrierTable>,
    // The services to which links are lost, and since when, as they were logged.
    pub(super) logged_losses: RefCell<BTreeMap<FastStr, Duration>>,
    // Whether the suspicion that this host's own links are lost has been logged.
    pub(super) is_suspicion_logged: Cell<bool>,
    // The lists have changed since the preferred engines in `book` were planned.
    pub(super) is_preference_outdated: Cell<bool>,
    /// Prompt prefixes that engines have in their caches.
    pub prompt_caches: RefCell<PromptCacheIndex>,
    /// The cluster state from the store.
    pub cluster: RefCell<ClusterState>,
    /// Retry budgets by service.
    pub budgets: RefCell<HashMap<FastStr, RetryWindow>>,
    /// Demand of the other hosts by service.
    pub(super) others_demand: RefCell<OthersDemand>,
    /// Limits of client accounts.
    pub accounts: AccountGate,
    /// Running probes that detect whether backend servers have ended.
    pub(super) end_probes: EndProbes,
    /// Fatal requests, under which backend servers crash.
    pub crashes: CrashRecords,
    /// How streams began, and the software versions of servers.
    pub origins: OriginRecords,
    /// The streams to be kept in the store.
    pub kept_streams: KeptStreams,
    /// The exchange of server limits with other hosts.
    pub limits: LimitExchange,
    /// Permits for rate-limited backend servers.
    pub permits: PermitGate,
    /// Work by priority, of this host and of all others.
    pub(super) priorities: PriorityState,
    /// Places of contended backend servers.
    pub places: PlaceGate,
    /// How long callers have already waited, estimated by route.
    pub caller_waits: RefCell<CallerTimeouts>,
    /// Requests that wait for engines.
    pub wait_queue: RefCell<WaitQueue>,
    /// Notified when engine memory or a place in the queue may have become free.
    pub capacity_freed: Notify,
    /// Notified when there are findings to report to other hosts, from this host's requests or from hosts that report to it.
    pub findings_changed: Notify,
    /// Notified when the configuration, the backend servers or the hosts have changed, or other data for peers.
    pub state_changed: Notify,
    /// A fully informed host that requested updates from this one while this one had no data.
    pub informed_peer: Cell<Option<SocketAddr>>,
    /// When the store last sent a response of any kind; `None` if it never did.
    pub store_heard: Cell<Option<Duration>>,
    /// The era that the store's responses state.
    pub eras: Rc<EraTracker>,
    /// The metrics.
    pub metrics: RelayMetrics,
    /// Counts requests in progress and closes for a planned stop.
    pub gate: Arc<StopGate>,
    /// The times of a planned stop once it has begun.
    pub stop_times: Cell<Option<StopTimes>>,
    /// Set when a planned stop gives up the requests in progress.
    pub given_up: OnceSignal,
    /// What callers take of the host's memory.
    pub caller_budget: Rc<CallerBudget>,
    /// What answers to this host's own calls take of its memory.
    pub answer_quota: Rc<ByteQuota>,
    /// The clock for all ages.
    pub clock: HostClock,
    /// Notices when this process did not run.
    pub stalls: Rc<StallDetector>,
    /// How current the view is after a stall.
    pub refresh: ViewRefresh,
}

impl RelayParts {
    /// Creates the state of a host that has no data yet.
    pub fn new(
        settings: RelaySettings,
        dialect: CallDialect,
        gate: Arc<StopGate>,
        clock: HostClock,
        eras: Rc<EraTracker>,
    ) -> Rc<Self> {
        let pool = ConnectionPool::start(settings.pool.clone(), clock.clone());
        let cluster = ClusterState::new(settings.bounds.heartbeat);
        // On the wire, 0 stands for no ledger or book.
        let ledger_id = rand::random_range(1..=u64::MAX);
        let book_id = rand::random_range(1..=u64::MAX);
        let zone = settings.zone.clone();
        let book = BackendRegistry::new(&settings.name);
        let ledger = ZoneLedger::new(ledger_id, zone, settings.bounds.limits, Duration::ZERO);
        let metrics = RelayMetrics::default();
        let limits = settings.caller_limits;
        let caller_budget = CallerBudget::new(limits, metrics.callers.clone());
        let answer_quota = ByteQuota::new(limits.answer_bytes, metrics.answer_bytes.clone());
        Rc::new(Self {
            settings,
            dialect,
            pool,
            book: RefCell::new(book),
            links: RefCell::default(),
            carriers: RefCell::default(),
            logged_losses: RefCell::default(),
            is_suspicion_logged: Cell::new(false),
            is_preference_outdated: Cell::new(true),
            prompt_caches: RefCell::default(),
            cluster: RefCell::new(cluster),
            budgets: RefCell::default(),
            others_demand: RefCell::default(),
            accounts: AccountGate::new(ledger),
            end_probes: EndProbes::default(),
            crashes: CrashRecords::new(book_id),
            origins: OriginRecords::default(),
            kept_streams: KeptStreams::default(),
            permits: PermitGate::default(),
            places: PlaceGate::new(rand::random()),
            limits: LimitExchange::new(book_id),
            priorities: PriorityState::default(),
            caller_waits: RefCell::default(),
            wait_queue: RefCell::default(),
            capacity_freed: Notify::new(),
            findings_changed: Notify::new(),
            state_changed: Notify::new(),
            informed_peer: Cell::new(None),
            store_heard: Cell::new(None),
            eras,
            metrics,
            gate,
            stop_times: Cell::default(),
            given_up: OnceSignal::default(),
            caller_budget,
            answer_quota,
            stalls: StallDetector::start(clock.clone()),
            refresh: ViewRefresh::default(),
            clock,
        })
    }

    /// Time since the host started.
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Records the end of a call to the store.
    pub fn record_store_call(&self, is_answered: bool) {
        if is_answered {
            self.store_heard.set(Some(self.now()));
        }
        self.record_store_era(self.eras.latest(), "store");
    }

    /// Records an era that the store or another host stated.
    pub fn record_store_era(&self, era: u32, from: &str) {
        self.eras.note(era);
        let mut cluster = self.cluster.borrow_mut();
        let held = cluster.backends_position();
        if let Some(before) = cluster.record_era(era, self.now()) {
            event::emit(
                &event::STORE_RESTORED,
                &[
                    ("before", &EraName(before)),
                    ("era", &EraName(era)),
                    ("held", &held),
                    ("from", &from),
                ],
            );
        }
    }

    /// Logs when the last of the lists that must be read again after a restore of the store has been applied.
    pub fn log_reread(&self) {
        let mut cluster = self.cluster.borrow_mut();
        if cluster.take_reread_complete() {
            event::emit(
                &event::STORE_REREAD,
                &[
                    ("backends", &cluster.backends_position()),
                    ("hosts", &cluster.hosts_position()),
                    ("config", &cluster.config_version()),
                ],
            );
        }
    }

    /// Returns the time since the store's last response in milliseconds; -1 if there was none.
    pub fn store_heard_ms(&self) -> i64 {
        millis_since(self.store_heard.get(), self.now())
    }

    /// Returns the active routes; `None` until a configuration is known.
    pub fn routes(&self) -> Option<Rc<RouteTable>> {
        self.cluster.borrow().routes()
    }

    /// Sends a call of this host to a backend server and reads the whole response.
    pub async fn call_backend(
        &self,
        backend: &BackendInfo,
        call: BackendCall,
        timeout: Duration,
    ) -> Result<(StatusCode, Bytes), SendFailure> {
        // Outside the timeout, which is the server's. Orders are due within it.
        if !matches!(call.purpose, PoolUse::Free | PoolUse::Order) {
            self.refreshed().await;
        }
        let sending = async {
            let answer = self.send_control(backend, call).await?;
            let status = answer.status;
            let body = self.read_answer(answer.body, CONTROL_RESPONSE_LIMIT).await;
            let body = body.map_err(|detail| SendFailure {
                verdict: RunVerdict::MayHaveRun,
                cause: FailureCause::Broken,
                detail,
                is_carried: false,
            })?;
            Ok((status, body))
        };
        tokio::time::timeout(timeout, sending)
            .await
            .unwrap_or_else(|_| Err(SendFailure::no_answer_in_time()))
    }

    /// Reads an answer to a call of this host, of at most `limit` bytes, as far as all such answers have room.
    pub async fn read_answer(&self, body: PooledBody, limit: usize) -> Result<Bytes, String> {
        let held = HeldBytes::new(self.answer_quota.clone());
        let read = body.read_within(limit, held).await;
        read.map_err(|failure| failure.to_string())
    }

    async fn send_control(
        &self,
        backend: &BackendInfo,
        call: BackendCall,
    ) -> Result<PooledAnswer, SendFailure> {
        let purpose = call.purpose;
        let mut request = Request::new(Full::new(call.body));
        *request.method_mut() = call.method;
        // Paths contain names that backend servers chose, which may not be valid in a path.
        *request.uri_mut() = call.path.parse().map_err(|error| SendFailure {
            verdict: RunVerdict::NotRun,
            cause: FailureCause::Broken,
            detail: format!("{:?} is no path: {error}", call.path),
            is_carried: false,
        })?;
        let headers = request.headers_mut();
        let host = HeaderValue::from_str(&backend.address.to_string());
        headers.insert(header::HOST, host.expect("an address is a header value"));
        headers.insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("application/json"),
        );
        (self.dialect.set_backend)(headers, &backend.id);
        let sent = self.now();
        let answer = match purpose {
            // Releases resources even at a server that accepts no new requests: no other host can release them.
            PoolUse::Free => self.send_unchecked(backend, purpose, request).await?,
            _ => {
                let basis = SendBasis::default();
                self.send_to(backend, purpose, None, request, basis).await?
            }
        };
        let marks = (self.dialect.read_response)(answer.status, &answer.headers);
        self.apply_server_marks(backend, &marks.server, AnswerKind::Other, sent);
        Ok(answer)
    }
}

// Returns the milliseconds since `time`; -1 if there is no such time.
pub(super) fn millis_since(time: Option<Duration>, now: Duration) -> i64 {
    time.map_or(-1, |time| now.saturating_sub(time).as_millis() as i64)
}

impl SendFailure {
    /// Returns how the backend server failed; `None` if the server did not cause the failure.
    pub fn kind(&self) -> Option<BackendFailure> {
        match self.cause {
            FailureCause::Broken | FailureCause::Refused => Some(BackendFailure::Broken),
            FailureCause::Silent => Some(BackendFailure::Silent),
            FailureCause::Limited | FailureCause::Withheld => None,
        }
    }
}

/// The status from a server whose address has been taken over by another run.
const MISDIRECTED: StatusCode = StatusCode::MISDIRECTED_REQUEST;

impl RelayParts {
    /// Records a failure of a backend server, and ejects it if it failed too often.
    pub fn record_failure(&self, backend: &BackendInfo, failure: BackendFailure, detail: &str) {
        let now = self.now();
        if !self.book.borrow().is_current(backend) {
            return;
        }
        if !self.is_servers_failure(backend, failure) {
            return;
        }
        let ejected = self
            .book
            .borrow_mut()
            .note_failure(&backend.id, failure, now);
        if ejected {
            self.metrics.ejections.inc();
            self.pool.forget(backend.address);
            event::emit(
                &event::BACKEND_EJECTED,
                &[
                    ("backend", &backend.id),
                    ("service", &backend.service),
                    ("zone", &backend.zone),
                    ("cause", &detail),
                ],
            );
        }
    }

    /// Records that a request to a backend server got no response.
    pub fn record_send_failure(&self, backend: &BackendInfo, failure: &SendFailure) {
        if let Some(kind) = failure.kind() {
            return self.record_failure(backend, kind, &failure.detail);
        }
        if failure.cause == FailureCause::Limited {
            self.metrics.connection_limits.inc();
        }
        log::debug!("{}: {}", backend.id, failure.detail);
    }

    /// Records that a backend server declined a request.
    pub fn record_decline(&self, backend: &BackendInfo, status: StatusCode) {
        if status == MISDIRECTED && self.book.borrow().is_current(backend) {
            self.book.borrow_mut().set_leaving(&backend.id);
            self.pool.forget(backend.address);
        }
    }
}

/// Timeout of a call that releases resources. If the call is lost, they expire within two seconds anyway.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(600);

impl RelayParts {
    /// Sends a call that releases resources at a backend server, in the background.
    pub fn call_in_background(self: Rc<Self>, backend: BackendInfo, call: BackendCall) {
        tokio::task::spawn_local(async move {
            let path = call.path.clone();
            if let Err(failure) = self.call_backend(&backend, call, RELEASE_TIMEOUT).await {
                log::debug!("{path} at {} failed: {failure}", backend.id);
            }
        });
    }
}

impl RelayParts {
    /// Updates the gauges and returns the metrics page.
    pub fn metrics_page(&self) -> String {
        let metrics = &self.metrics;
        self.update_priority_gauges();
        let cluster = self.cluster.borrow();
        metrics.in_flight.set(self.gate.in_flight() as i64);
        metrics.waiting.set(self.wait_queue.borrow().len() as i64);
        metrics.connections.set(self.pool.open() as i64);
        metrics.connections_opened.set(self.pool.opened() as i64);
        metrics.connections_reused.set(self.pool.reused() as i64);
        metrics.store_heard.set(self.store_heard_ms());
        metrics
            .fatal_requests
            .set(self.crashes.fatal_count() as i64);
        metrics
            .fatal_parts
            .set(self.crashes.fatal_part_count() as i64);
        metrics
            .servers_limited
            .set(self.book.borrow().limits.len() as i64);
        let cold = self.book.borrow().limits.cold_count(self.now());
        metrics.servers_cold.set(cold as i64);
        let unavailable = self
            .book
            .borrow()
            .availability
            .unavailable(self.now())
            .count();
        metrics.servers_unavailable.set(unavailable as i64);
        metrics
            .zones_evacuated
            .set(self.book.borrow().evacuated().count() as i64);
        let age = cluster.age(self.now());
        metrics
            .news_age
            .set(age.map_or(-1, |age| age.as_millis() as i64));
        let proof = cluster.proof_age(self.now());
        metrics
            .proof_age
            .set(proof.map_or(-1, |age| age.as_millis() as i64));
        metrics.store_era.set(i64::from(cluster.era()));
        metrics.doubtful_eras.set(self.eras.doubtful() as i64);
        metrics.config_version.set(cluster.config_version() as i64);
        let known_version = cluster.config.known_version();
        metrics.pieces.known_version.set(known_version as i64);
        let behind = self.config_lag().unwrap_or_default();
        metrics.pieces.behind.set(behind.as_millis() as i64);
        metrics.backends.set(cluster.usable().len() as i64);
        let records = self.origins.stream_count();
        metrics.origins.records.set(records as i64);
        metrics.origins.set_servers(&self.origins.listed_software());
        metrics.page()
    }
}

//! What the tasks of a relaying host share; all run on one thread.

use {
    super::{
        accounts::AccountGate,
        crashes::CrashDesk,
        ends::EndQuestions,
        metrics::RelayMetrics,
        permits::PermitGate,
        server_limits::{AnswerKind, LimitExchange},
        shares::OthersDemand,
    },
    crate::{
        account::ZoneLedger,
        clock::HostClock,
        event,
        host::StopGate,
        operation::RunVerdict,
        relay::{
            backend::BackendInfo,
            cluster::state::ClusterState,
            dialect::{BackendCall, CallDialect},
            policy::{
                budget::RetryWindow, caller_timeouts::CallerTimeouts, limit_tracker::LimitTracker,
                prompt_cache::PromptCacheIndex, registry::BackendRegistry, route::RouteTable,
                view::BackendFailure, wait_queue::WaitQueue,
            },
            settings::RelaySettings,
        },
        store::{EraName, EraTracker},
        web::{ConnectionPool, FailureCause, PoolUse, PooledAnswer, SendFailure},
    },
    bytes::Bytes,
    faststr::FastStr,
    http::{HeaderValue, Request, StatusCode, header},
    http_body_util::Full,
    std::{
        cell::{Cell, RefCell},
        collections::HashMap,
        net::SocketAddr,
        rc::Rc,
        sync::Arc,
        time::Duration,
    },
    tokio::sync::Notify,
};

/// Bytes that an answer to a call of our own may have.
const CONTROL_ANSWER_LIMIT: usize = 1 << 20;

/// What the tasks of a relaying host share.
#[derive(Debug)]
pub struct RelayParts {
    /// The host's settings.
    pub settings: RelaySettings,
    /// How backend servers are spoken to.
    pub dialect: CallDialect,
    /// Connections to them.
    pub pool: Rc<ConnectionPool>,
    /// What is known of them.
    pub book: RefCell<BackendRegistry>,
    /// What engines keep of prompts that they read.
    pub kept: RefCell<PromptCacheIndex>,
    /// What the store says.
    pub cluster: RefCell<ClusterState>,
    /// Repeats by service.
    pub budgets: RefCell<HashMap<FastStr, RetryWindow>>,
    /// What the other hosts count by service.
    pub(super) others: RefCell<OthersDemand>,
    /// The use of client accounts.
    pub accounts: AccountGate,
    /// Backend servers of which it is being found out whether they ended.
    pub(super) end_questions: EndQuestions,
    /// Requests that end their servers.
    pub crashes: CrashDesk,
    /// Rate-limited backend servers, as others hear of them.
    pub limits: LimitExchange,
    /// Turns at these.
    pub permits: PermitGate,
    /// How long callers say that they will wait.
    pub waits: RefCell<CallerTimeouts>,
    /// Requests that wait for engines.
    pub line: RefCell<WaitQueue>,
    /// Told when memory or a place in the line may have become free.
    pub freed: Notify,
    /// Told when others are to hear of what requests of this host, or of those that report to it, have shown.
    pub reported: Notify,
    /// Told when the configuration, the backend servers or the hosts have changed.
    pub news: Notify,
    /// A host that knows all and asked this one while it knew nothing.
    pub informed: Cell<Option<SocketAddr>>,
    /// When the store last answered this host, whatever it was asked; none where it never did.
    pub store_heard: Cell<Option<Duration>>,
    /// The era that the store's answers name.
    pub eras: Rc<EraTracker>,
    /// What is counted.
    pub metrics: RelayMetrics,
    /// Counts requests in progress and closes for a planned stop.
    pub gate: Arc<StopGate>,
    /// The clock of all ages.
    pub clock: HostClock,
}

impl RelayParts {
    /// The parts of a host that knows nothing yet.
    pub fn new(
        settings: RelaySettings,
        dialect: CallDialect,
        gate: Arc<StopGate>,
        clock: HostClock,
        eras: Rc<EraTracker>,
    ) -> Rc<Self> {
        let pool = ConnectionPool::start(settings.pool.clone(), clock.clone());
        let cluster = ClusterState::new(settings.bounds.heartbeat);
        // 0 stands for no ledger and no book on the wire.
        let ledger_id = rand::random_range(1..=u64::MAX);
        let book_id = rand::random_range(1..=u64::MAX);
        let zone = settings.zone.clone();
        let mut book = BackendRegistry::default();
        book.limits = LimitTracker::new(&settings.name);
        let ledger = ZoneLedger::new(ledger_id, zone, settings.bounds.limits, Duration::ZERO);
        Rc::new(Self {
            settings,
            dialect,
            pool,
            book: RefCell::new(book),
            kept: RefCell::default(),
            cluster: RefCell::new(cluster),
            budgets: RefCell::default(),
            others: RefCell::default(),
            accounts: AccountGate::new(ledger),
            end_questions: EndQuestions::default(),
            crashes: CrashDesk::new(book_id),
            permits: PermitGate::default(),
            limits: LimitExchange::new(book_id),
            waits: RefCell::default(),
            line: RefCell::default(),
            freed: Notify::new(),
            reported: Notify::new(),
            news: Notify::new(),
            informed: Cell::new(None),
            store_heard: Cell::new(None),
            eras,
            metrics: RelayMetrics::default(),
            gate,
            clock,
        })
    }

    /// Time since the host started.
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// A call of this host to the store is over.
    pub fn note_store_call(&self, is_answered: bool) {
        if is_answered {
            self.store_heard.set(Some(self.now()));
        }
        self.note_store_era(self.eras.latest(), "store");
    }

    /// The store, or another host, named an era.
    pub fn note_store_era(&self, era: u32, from: &str) {
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

    /// A list was taken: perhaps the last one to be read again after the store was restored.
    pub fn note_reread(&self) {
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

    /// How long ago the store last answered this host, milliseconds; -1 where it never did.
    pub fn store_heard_ms(&self) -> i64 {
        millis_since(self.store_heard.get(), self.now())
    }

    /// The routes in force, once a configuration is known.
    pub fn routes(&self) -> Option<Rc<RouteTable>> {
        self.cluster.borrow().routes()
    }

    /// Sends a call of the host's own and reads its whole answer.
    pub async fn call_backend(
        &self,
        backend: &BackendInfo,
        call: BackendCall,
        patience: Duration,
    ) -> Result<(StatusCode, Bytes), SendFailure> {
        let sending = async {
            let answer = self.send_control(backend, call).await?;
            let status = answer.status;
            let body = answer.body.read(CONTROL_ANSWER_LIMIT).await;
            let body = body.map_err(|detail| SendFailure {
                verdict: RunVerdict::MayHaveRun,
                cause: FailureCause::Broken,
                detail,
            })?;
            Ok((status, body))
        };
        tokio::time::timeout(patience, sending)
            .await
            .unwrap_or_else(|_| Err(SendFailure::no_answer_in_time()))
    }

    async fn send_control(
        &self,
        backend: &BackendInfo,
        call: BackendCall,
    ) -> Result<PooledAnswer, SendFailure> {
        let purpose = call.purpose;
        let mut request = Request::new(Full::new(call.body));
        *request.method_mut() = call.method;
        // Names that backend servers gave stand in paths; one of them may be no part of a path.
        *request.uri_mut() = call.path.parse().map_err(|error| SendFailure {
            verdict: RunVerdict::NotRun,
            cause: FailureCause::Broken,
            detail: format!("{:?} is no path: {error}", call.path),
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
            // What is held at a server is let go also where it takes no new requests: nobody else can.
            PoolUse::Free => {
                let target = self.pool_target(backend, purpose);
                self.pool.send(target, request).await?
            }
            _ => self.send_to(backend, purpose, request, None).await?,
        };
        let marks = (self.dialect.read_response)(answer.status, &answer.headers);
        self.note_marks(backend, &marks.server, AnswerKind::Other, sent);
        Ok(answer)
    }
}

// -1 where there is no such time.
fn millis_since(time: Option<Duration>, now: Duration) -> i64 {
    time.map_or(-1, |time| now.saturating_sub(time).as_millis() as i64)
}

impl SendFailure {
    /// How the backend server failed, for the book; none where that was not its doing.
    pub fn kind(&self) -> Option<BackendFailure> {
        match self.cause {
            FailureCause::Broken => Some(BackendFailure::Broken),
            FailureCause::Silent => Some(BackendFailure::Silent),
            FailureCause::Limited | FailureCause::Withheld => None,
        }
    }
}

/// A backend server with another run at its address answers so.
const MISDIRECTED: StatusCode = StatusCode::MISDIRECTED_REQUEST;

impl RelayParts {
    /// A backend server gave no answer.
    pub fn note_failure(&self, backend: &BackendInfo, failure: BackendFailure, detail: &str) {
        let now = self.now();
        if !self.book.borrow().is_current(backend) {
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

    /// A send to a backend server got no answer.
    pub fn note_send_failure(&self, backend: &BackendInfo, failure: &SendFailure) {
        if let Some(kind) = failure.kind() {
            return self.note_failure(backend, kind, &failure.detail);
        }
        if failure.cause == FailureCause::Limited {
            self.metrics.connection_limits.inc();
        }
        log::debug!("{}: {}", backend.id, failure.detail);
    }

    /// A backend server declined a request.
    pub fn note_decline(&self, backend: &BackendInfo, status: StatusCode) {
        if status == MISDIRECTED && self.book.borrow().is_current(backend) {
            self.book.borrow_mut().set_leaving(&backend.id);
            self.pool.forget(backend.address);
        }
    }
}

/// Longest wait for the answer to a call that frees something; if it is lost, what it would have freed
/// lapses by itself within two seconds.
const FREE_PATIENCE: Duration = Duration::from_millis(600);

impl RelayParts {
    /// Sends a call that frees something at a backend server; nobody waits for it.
    pub fn call_later(self: Rc<Self>, backend: BackendInfo, call: BackendCall) {
        tokio::task::spawn_local(async move {
            let path = call.path.clone();
            if let Err(failure) = self.call_backend(&backend, call, FREE_PATIENCE).await {
                log::debug!("{path} at {} failed: {failure}", backend.id);
            }
        });
    }
}

impl RelayParts {
    /// The metrics as a page, with what is held now.
    pub fn metrics_page(&self) -> String {
        let metrics = &self.metrics;
        let cluster = self.cluster.borrow();
        metrics.in_flight.set(self.gate.in_flight() as i64);
        metrics.waiting.set(self.line.borrow().len() as i64);
        metrics.connections.set(self.pool.open() as i64);
        metrics.connections_opened.set(self.pool.opened() as i64);
        metrics.connections_reused.set(self.pool.reused() as i64);
        metrics.store_heard.set(self.store_heard_ms());
        metrics
            .fatal_requests
            .set(self.crashes.fatal_count() as i64);
        metrics
            .servers_limited
            .set(self.book.borrow().limits.len() as i64);
        let unavailable = self
            .book
            .borrow()
            .availability
            .unavailable(self.now())
            .count();
        metrics.servers_unavailable.set(unavailable as i64);
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
        metrics.backends.set(cluster.usable().len() as i64);
        metrics.page()
    }
}

//! Startup and shutdown of a host that relays requests.

use {
    super::{
        carry::{recheck, service::CarrierService},
        config::CallerLimits,
        critical_task,
        dialect::CallDialect,
        figures, heap,
        link::{StoreKind, StoreLink},
        news::{
            self, entry,
            feed::StoreReader,
            findings::FindingsSync,
            follow::NewsFollower,
            origins::OriginService,
            permits::PermitService,
            piece_service::PieceService,
            places::PlaceService,
            rpc::{self, NewsClient, NewsHandlers},
            settle::LedgerSync,
            share::LoadReporting,
            stream_keeper,
        },
        parts::{metric_labels::StoreCause, shared::RelayParts, stop::StopTimes},
        request::{
            handler,
            response::{self, RelayResponse},
        },
        roles::keeper,
        settings::RelaySettings,
    },
    crate::{
        clock::HostClock,
        event,
        host::StopGate,
        metric::HostMetrics,
        operation::OnceSignal,
        peer::PeerAdmission,
        web::{self, ConnectionTable, IngressHandler, IngressLimits},
    },
    bytes::Bytes,
    eyre::WrapErr,
    futures::FutureExt,
    http::{Response, StatusCode},
    std::{cell::Cell, net::SocketAddr, rc::Rc, sync::Arc, time::Duration},
    tokio::net::TcpListener,
};

/// How long a stopping host still accepts connections: the load balancer removes it after two failed checks, a second
/// apart.
const BALANCER_LAG: Duration = Duration::from_millis(2_600);

/// Part of the stop grace period that is reserved for the exit of the process.
const STOP_MARGIN: Duration = Duration::from_millis(300);

/// How long connections may take to flush their last bytes.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(150);

/// Maximum time for which bytes sent to a caller may stay unacknowledged.
const CALLER_ACK_TIMEOUT: Duration = Duration::from_secs(5);

/// Added to the configured limits on idle connections and on the time for headers: what a caller sends in time may
/// arrive a little later.
const IDLE_MARGIN: Duration = Duration::from_secs(1);

/// Path of the metrics, served next to the load balancer's readiness check.
const METRICS_PATH: &str = "/metrics";

/// Path of the list of rate-limited backend servers, served next to the readiness check.
const LIMITS_PATH: &str = "/servers-limited";

/// Path of the list of backend servers that accept no new requests from this host, served next to the readiness check.
const AVAILABILITY_PATH: &str = "/servers-unavailable";

/// Path of the list of backend servers that are short of places, served next to the readiness check.
const CONTENTION_PATH: &str = "/servers-contended";

/// Interval between checks for backend servers whose backoff is over.
const AVAILABILITY_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// A running host.
#[derive(Debug)]
pub struct RelayHost {
    /// State shared by the host's tasks.
    pub parts: Rc<RelayParts>,
    store: Rc<StoreLink>,
    carrying: Rc<CarrierService>,
    closing: Arc<OnceSignal>,
    callers_served: Arc<OnceSignal>,
    checks_closing: Arc<OnceSignal>,
}

impl RelayHost {
    /// Opens the sockets and starts all tasks on the current thread.
    ///
    /// Port 0 selects a free port, which the settings in `parts` then contain.
    pub fn start(
        mut settings: RelaySettings,
        dialect: CallDialect,
        store: StoreLink,
        clock: HostClock,
    ) -> eyre::Result<Self> {
        let callers = listen("callers", &mut settings.callers)?;
        let checks = listen("checks", &mut settings.checks)?;
        let peers = listen("peers", &mut settings.peers)?;
        let metrics = listen_if_free("metrics", &mut settings.metrics);
        let carriers = listen_if_free("carriers", &mut settings.carriers);
        event::emit(
            &event::HOST_STARTED,
            &[
                ("host", &settings.name),
                ("zone", &settings.zone),
                ("callers", &settings.callers),
                ("checks", &settings.checks),
                ("peers", &settings.peers),
                ("store", &settings.store),
            ],
        );
        let gate = StopGate::new(settings.requests_limit);
        let parts = RelayParts::new(settings, dialect, gate, clock, store.eras.clone());
        let observing = parts.clone();
        let store = store.with_observer(Rc::new(move |is_answered| {
            observing.record_store_call(is_answered)
        }));
        let store = Rc::new(store);
        let host = Self {
            carrying: CarrierService::start(parts.clone(), carriers),
            parts: parts.clone(),
            store: store.clone(),
            closing: Arc::default(),
            callers_served: Arc::default(),
            checks_closing: Arc::default(),
        };
        host.start_news_exchange(peers);
        critical_task::spawn_critical(
            "host entry",
            entry::maintain_entry(parts.clone(), store.clone()),
        );
        critical_task::spawn_critical(
            "kept streams",
            stream_keeper::keep_streams(parts.clone(), store.clone()),
        );
        critical_task::spawn_critical("figures", figures::log_figures(parts.clone()));
        critical_task::spawn_critical("heap", heap::release_heap(parts.clone()));
        critical_task::spawn_critical("stalls", log_stalls(parts.clone()));
        critical_task::spawn_critical("availability", check_availability(parts.clone()));
        critical_task::spawn_critical("lost links", recheck::test_lost_links(parts.clone()));
        critical_task::spawn_critical("carriers", recheck::check_carriers(parts.clone()));
        critical_task::spawn_critical("engine roles", keeper::keep_roles(parts, store));
        let (served, checks_closing) = (host.callers_served.clone(), host.checks_closing.clone());
        let limits = host.parts.settings.caller_limits;
        let table = host.parts.caller_budget.connections();
        let serving = host.serve(callers, host.caller_handler(), table, host.closing.clone());
        critical_task::spawn_critical("callers", async move {
            serving.await;
            served.set();
        });
        let check_table = || Rc::new(ConnectionTable::new(limits.check_connections));
        let serving = host.serve(
            checks,
            host.check_handler(),
            check_table(),
            checks_closing.clone(),
        );
        critical_task::spawn_critical("checks", serving);
        if let Some(metrics) = metrics {
            let handler = host.metrics_handler();
            let serving = host.serve(metrics, handler, check_table(), checks_closing);
            critical_task::spawn_critical("metrics", serving);
        }
        Ok(host)
    }

    // Starts the tasks that read the store or follow other hosts, and that answer the hosts that follow this one.
    fn start_news_exchange(&self, listener: TcpListener) {
        let metrics = Arc::new(HostMetrics::default());
        self.parts.refresh.begin_exchange();
        let reader = StoreReader::start(self.parts.clone(), self.store.clone());
        let clock = self.parts.clock.clone();
        let opener = self.parts.settings.opener.clone();
        let links = Rc::new(NewsClient::new(metrics.clone(), clock.clone(), opener));
        let follower = NewsFollower::start(self.parts.clone(), reader, links.clone());
        LedgerSync::start(self.parts.clone(), follower.clone(), links.clone());
        let permits = PermitService::start(self.parts.clone(), links.clone());
        let places = PlaceService::start(self.parts.clone(), links.clone());
        OriginService::start(self.parts.clone(), links.clone());
        let findings = FindingsSync::start(self.parts.clone(), follower.clone(), links.clone());
        let reporting = LoadReporting::start(self.parts.clone(), follower, links);
        let parts = self.parts.clone();
        let (charge_parts, sums_parts) = (parts.clone(), parts.clone());
        let trial_parts = parts.clone();
        let (streams_parts, origin_parts) = (parts.clone(), parts.clone());
        let pieces = PieceService::new(parts.clone());
        let known = parts.clone();
        let admission = PeerAdmission {
            is_known: Box::new(move |ip| known.cluster.borrow().has_host_at(ip)),
            unknown_limit: parts.settings.caller_limits.peer_connections,
            message_bytes: rpc::MESSAGE_BYTES,
        };
        let handlers = NewsHandlers {
            clock,
            pieces: Box::new(move |request| pieces.answer(request)),
            streams: Box::new(move |records| {
                streams_parts.keep_streams(&records);
                streams_parts.record_told_streams(records);
            }),
            origins: Box::new(move |key, service| {
                let parts = origin_parts.clone();
                async move { parts.answer_origin(key, &service).await }.boxed_local()
            }),
            permits: Box::new(move |ask, is_passed_on| {
                permits.clone().answer(ask, is_passed_on).boxed_local()
            }),
            places: Box::new(move |message, is_forwarded| {
                places.clone().answer(message, is_forwarded).boxed_local()
            }),
            charges: Box::new(move |account, units| charge_parts.charge_ledger(account, units)),
            exchange: Box::new(move |theirs| sums_parts.exchange_sums(&theirs)),
            findings: Box::new(move |told, is_zone| findings.apply_findings(&told, is_zone)),
            trials: Box::new(move |suspect| trial_parts.grant_trial(suspect)),
            follow: Box::new(move |held| news::answer_follow(parts.clone(), held).boxed_local()),
            reports: Box::new(move |reporter, loads, view| reporting.answer(reporter, loads, view)),
        };
        critical_task::spawn_critical(
            "host requests",
            news::serve_news(listener, handlers, metrics, admission),
        );
    }

    // Serves until `closing` is set and all connections have ended.
    fn serve(
        &self,
        listener: TcpListener,
        handler: IngressHandler,
        table: Rc<ConnectionTable>,
        closing: Arc<OnceSignal>,
    ) -> impl Future<Output = ()> + use<> {
        let defaults = CallerLimits::default();
        let limits = Rc::new(IngressLimits {
            idle_time: Cell::new(idle_limit(&defaults)),
            header_time: Cell::new(header_limit(&defaults)),
            closing_header_time: Cell::new(header_limit(&defaults)),
            header_bytes: Cell::new(defaults.header_bytes),
            silence_limit: CALLER_ACK_TIMEOUT,
        });
        let applying = apply_limit_changes(self.parts.clone(), limits.clone());
        critical_task::spawn_critical("limits", applying);
        web::serve_callers(listener, handler, limits, table, closing)
    }

    fn caller_handler(&self) -> IngressHandler {
        let parts = self.parts.clone();
        Rc::new(move |request| handler::handle_request(parts.clone(), request).boxed_local())
    }

    fn check_handler(&self) -> IngressHandler {
        let parts = self.parts.clone();
        Rc::new(move |request| {
            let answer = answer_check(&parts, request.uri().path());
            async move { answer }.boxed_local()
        })
    }

    fn metrics_handler(&self) -> IngressHandler {
        let parts = self.parts.clone();
        Rc::new(move |request| {
            let answer = match request.uri().path() {
                METRICS_PATH => page(200, parts.metrics_page()),
                _ => page(404, "no such page"),
            };
            async move { answer }.boxed_local()
        })
    }

    /// Stops gracefully: requests that callers have sent, or have begun to send, may finish within the stop grace period.
    /// What has no answer by then is given up, and answered so.
    pub async fn drain(&self) {
        let gate = &self.parts.gate;
        let grace = self.parts.settings.bounds.stop_grace;
        let time = grace.saturating_sub(STOP_MARGIN);
        let now = self.parts.now();
        self.parts.stop_times.set(Some(StopTimes {
            accepts_until: now + BALANCER_LAG,
            ends_at: now + time,
        }));
        gate.begin_stop();
        event::emit(&event::HOST_STOPPING, &[("in_flight", &gate.in_flight())]);
        let finishing = async {
            tokio::time::sleep(BALANCER_LAG).await;
            self.closing.set();
            self.callers_served.wait().await;
            self.carrying.emptied().await;
        };
        if tokio::time::timeout(time, finishing).await.is_err() {
            let in_flight = gate.in_flight();
            log::warn!("{in_flight} requests did not finish within the stop grace period");
        }
        gate.close();
        self.parts.given_up.set();
        self.parts.metrics.store_called(StoreCause::Entry, 1);
        let deleting = (self.store.delete)(StoreKind::Hosts, &self.parts.settings.name);
        let closing = async {
            tokio::time::sleep(CLOSE_TIMEOUT).await;
        };
        let (deleted, ()) = tokio::join!(tokio::time::timeout(CLOSE_TIMEOUT, deleting), closing);
        if let Ok(Err(failure)) = deleted {
            log::debug!("failed to delete the host's entry from the store: {failure}");
        }
        figures::log_once(&self.parts);
        event::emit(&event::HOST_STOPPED, &[("in_flight", &gate.in_flight())]);
    }
}

fn idle_limit(limits: &CallerLimits) -> Duration {
    limits.idle_time.max(limits.header_time) + IDLE_MARGIN
}

fn header_limit(limits: &CallerLimits) -> Duration {
    limits.header_time + IDLE_MARGIN
}

async fn log_stalls(parts: Rc<RelayParts>) {
    loop {
        parts.stalls.stall_ended().await;
        let Some(stall) = parts.stalls.last_stall() else {
            continue;
        };
        parts.metrics.stalls.inc();
        let age = parts.cluster.borrow().age(parts.now());
        event::emit(
            &event::HOST_STALLED,
            &[
                ("stalled_ms", &(stall.ended - stall.began).as_millis()),
                ("age_ms", &age.map_or(-1, |age| age.as_millis() as i64)),
            ],
        );
    }
}

async fn check_availability(parts: Rc<RelayParts>) {
    loop {
        tokio::time::sleep(AVAILABILITY_CHECK_INTERVAL).await;
        parts.evict_availability();
    }
}

// Applies the limits of the configuration in force to new connections.
async fn apply_limit_changes(parts: Rc<RelayParts>, limits: Rc<IngressLimits>) {
    loop {
        let news = parts.state_changed.notified();
        tokio::pin!(news);
        news.as_mut().enable();
        if let Some(routes) = parts.routes() {
            let configured = &routes.config().limits;
            limits.idle_time.set(idle_limit(configured));
            limits.header_time.set(header_limit(configured));
            limits.closing_header_time.set(header_limit(configured));
            limits.header_bytes.set(configured.header_bytes);
        }
        news.await;
    }
}

// The host starts even if the port is taken, without what is served there.
fn listen_if_free(key: &str, address: &mut Option<SocketAddr>) -> Option<TcpListener> {
    let mut wanted = (*address)?;
    match listen(key, &mut wanted) {
        Ok(listener) => {
            *address = Some(wanted);
            Some(listener)
        }
        Err(error) => {
            log::warn!("{error:#}; the host goes on without it");
            *address = None;
            None
        }
    }
}

fn listen(key: &str, address: &mut SocketAddr) -> eyre::Result<TcpListener> {
    let listener =
        web::bind(*address).wrap_err_with(|| format!("{key}: failed to listen on {address}"))?;
    *address = listener
        .local_addr()
        .wrap_err("failed to read the local address of a listening socket")?;
    Ok(listener)
}

// Answers requests of the load balancer and of operators.
fn answer_check(parts: &RelayParts, path: &str) -> RelayResponse {
    match path {
        METRICS_PATH => page(200, parts.metrics_page()),
        LIMITS_PATH => page(200, parts.limits_page()),
        CONTENTION_PATH => page(200, parts.contention_page()),
        AVAILABILITY_PATH => page(200, parts.availability_page()),
        _ if path != parts.settings.ready_path => page(404, "no such page"),
        _ if parts.gate.is_stopping() => page(503, "stopping"),
        _ if parts.routes().is_none() => page(503, "no configuration yet"),
        _ if parts.cluster.borrow().backend_update_count() == 0 => {
            page(503, "no list of backend servers yet")
        }
        _ if !parts.has_crash_records() => page(503, "not told yet which requests end servers"),
        _ => page(200, "ready"),
    }
}

fn page(status: u16, text: impl Into<Bytes>) -> RelayResponse {
    let mut answer = Response::new(response::full_body(text.into()));
    *answer.status_mut() = StatusCode::from_u16(status).expect("a status");
    answer
}

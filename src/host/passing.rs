//! Serves relayed requests, which are passed through unaltered, on a thread of their own.
//!
//! The configuration comes from the control thread, as for all other requests: this thread does not
//! read the store or contact other hosts.

use {
    super::traffic::Traffic,
    crate::{
        account::{KeyRules, LimitTolerance},
        control::ControlSnapshot,
        operation::OnceSignal,
        relay::{
            self, CallerLimits, HostEntry, MAX_EVENT_BYTES, RelayBounds, RelayParts, RelaySettings,
            RetryBudget,
        },
        store::StorePosition,
        web::{self, BudgetLimits, IngressLimits, PoolSettings, StreamOpener},
    },
    eyre::WrapErr,
    faststr::FastStr,
    futures::FutureExt,
    std::{
        cell::Cell,
        collections::BTreeMap,
        net::SocketAddr,
        rc::Rc,
        sync::Arc,
        thread::{self, JoinHandle},
        time::Duration,
    },
    tokio::{net::TcpListener, task::LocalSet},
};

/// How often the thread checks for a newer snapshot from the control thread.
const SNAPSHOT_POLL_PERIOD: Duration = Duration::from_millis(50);

/// How often the metrics page is rebuilt; scrapes are seconds apart.
const METRICS_PAGE_PERIOD: Duration = Duration::from_secs(1);

/// Memory from which the limits on callers are computed, in bytes.
const PROCESS_MEMORY: u64 = 512 << 20;

/// Descriptors from which the limit on connections is computed.
const PROCESS_DESCRIPTORS: u64 = 4_096;

/// Connect timeout for a server, whose round-trip time is a few milliseconds at most.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest time that bytes sent to a server or a caller may stay unacknowledged.
const SILENCE_LIMIT: Duration = Duration::from_secs(5);

/// Retries per window for all hosts together, in addition to the share of requests, so that a
/// failure at a time of little traffic can be retried too.
const EXTRA_RETRIES: f64 = 10.0;

/// Window over which requests and retries are counted.
const RETRY_WINDOW: Duration = Duration::from_secs(10);

/// Time for connections to end at shutdown, when all requests are answered.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(150);

/// The thread that serves relayed requests.
#[derive(Debug)]
pub struct RelayThread {
    closing: Arc<OnceSignal>,
    thread: Option<JoinHandle<()>>,
}

impl RelayThread {
    /// Starts the thread on a listening socket.
    pub fn start(traffic: Arc<Traffic>, listener: std::net::TcpListener) -> eyre::Result<Self> {
        let closing = Arc::new(OnceSignal::default());
        let stop = closing.clone();
        let name = format!("relay-{}", traffic.settings.name);
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .wrap_err("failed to build the relay runtime")?;
        let run = move || LocalSet::new().block_on(&runtime, serve(traffic, listener, stop));
        let thread = thread::Builder::new()
            .name(name)
            .spawn(run)
            .wrap_err("failed to start the relay thread")?;
        Ok(Self {
            closing,
            thread: Some(thread),
        })
    }
}

impl Drop for RelayThread {
    fn drop(&mut self) {
        self.closing.set();
        if let Some(thread) = self.thread.take()
            && thread.join().is_err()
        {
            log::error!("the relay thread panicked");
        }
    }
}

async fn serve(traffic: Arc<Traffic>, listener: std::net::TcpListener, closing: Arc<OnceSignal>) {
    let listener = TcpListener::from_std(listener).expect("failed to register the relay socket");
    let settings = relay_settings(&traffic);
    let parts = RelayParts::new(
        settings,
        relay::server_dialect(),
        traffic.gate.clone(),
        traffic.clock.clone(),
        Rc::default(),
    );
    relay::spawn_critical(
        "configuration updates",
        apply_snapshots(traffic.clone(), parts.clone()),
    );
    relay::spawn_critical("metrics", publish_metrics(traffic.clone(), parts.clone()));
    let table = parts.caller_budget.connections();
    let handler: web::IngressHandler =
        Rc::new(move |request| relay::handle_request(parts.clone(), request).boxed_local());
    let limits = Rc::new(IngressLimits {
        idle_time: Cell::new(traffic.settings.body_time),
        header_time: Cell::new(traffic.settings.body_time),
        closing_header_time: Cell::new(CLOSE_TIMEOUT),
        header_bytes: Cell::new(CallerLimits::default().header_bytes),
        silence_limit: SILENCE_LIMIT,
    });
    let stopping = closing.clone();
    let serving = web::serve_callers(listener, handler, limits, table, closing);
    tokio::pin!(serving);
    tokio::select! {
        () = serving.as_mut() => return,
        () = stopping.wait() => {}
    }
    if tokio::time::timeout(CLOSE_TIMEOUT, serving).await.is_err() {
        log::warn!("callers' connections did not end in time");
    }
}

// The addresses for health checks, peers and the store belong to the control thread; the relay does
// not open them.
fn relay_settings(traffic: &Traffic) -> RelaySettings {
    let settings = &traffic.settings;
    RelaySettings {
        name: settings.name.clone(),
        zone: settings.zone.clone(),
        callers: settings.callers,
        checks: settings.operators,
        ready_path: FastStr::from_static_str("/readyz"),
        // Served on the operators' port.
        metrics: None,
        peers: settings.peers,
        carriers: None,
        seeds: Vec::new(),
        first_start: false,
        regions: BTreeMap::new(),
        link_mbps: 0,
        store: settings.platform,
        opener: StreamOpener::default(),
        requests_limit: settings.concurrent,
        caller_limits: BudgetLimits::of_process(PROCESS_MEMORY, PROCESS_DESCRIPTORS),
        max_event_bytes: MAX_EVENT_BYTES,
        pool: PoolSettings {
            connect_time: CONNECT_TIMEOUT,
            silence_limit: SILENCE_LIMIT,
            opener: Default::default(),
        },
        bounds: RelayBounds {
            keys: KeyRules {
                revoke_time: None,
                apply_time: Duration::MAX,
            },
            limits: LimitTolerance::NONE,
            retries: RetryBudget {
                share: settings.retry_share,
                extra: EXTRA_RETRIES,
                window: RETRY_WINDOW,
            },
            // Configuration changes come from the control thread.
            change_time: Duration::MAX,
            // The platform itself removes servers with an expired lease from its list.
            heartbeat: Duration::MAX,
            lease_time: Duration::ZERO,
            stop_grace: Duration::MAX,
            engines_check_tokens: false,
            evacuation_time: None,
        },
    }
}

// Applies each snapshot that the control thread publishes.
async fn apply_snapshots(traffic: Arc<Traffic>, parts: Rc<RelayParts>) {
    let mut applied: Option<Arc<ControlSnapshot>> = None;
    let mut revision = 0;
    loop {
        let snapshot = traffic.snapshot.load_full();
        let is_new = applied
            .as_ref()
            .is_none_or(|applied| !Arc::ptr_eq(applied, &snapshot));
        if is_new && snapshot.generation > 0 {
            revision += 1;
            apply_snapshot(&traffic, &parts, &snapshot, revision);
            applied = Some(snapshot);
        }
        tokio::time::sleep(SNAPSHOT_POLL_PERIOD).await;
    }
}

fn apply_snapshot(
    traffic: &Traffic,
    parts: &RelayParts,
    snapshot: &ControlSnapshot,
    revision: u64,
) {
    let objects = &snapshot.objects;
    let body_limit = traffic.settings.body_limit as usize;
    let config = relay::relay_config(objects, snapshot.generation, body_limit);
    parts.offer_config(config, "control");
    let backends = relay::relay_backends(objects, &snapshot.servers);
    let hosts = snapshot.peers.iter();
    let hosts = hosts.map(|peer| host_entry(&peer.name, &peer.zone, peer.callers));
    let own = host_entry(
        &traffic.settings.name,
        &traffic.settings.zone,
        traffic.callers,
    );
    let now = parts.now();
    let position = StorePosition::new(0, revision);
    let mut cluster = parts.cluster.borrow_mut();
    cluster.set_hosts(hosts.chain([own]).collect(), position, now);
    cluster.set_backends(backends, position, now);
    drop(cluster);
    parts.publish_backends();
}

// The relay only counts hosts, to compute each one's share of the retries.
fn host_entry(name: &FastStr, zone: &FastStr, address: SocketAddr) -> HostEntry {
    HostEntry {
        judged: Vec::new(),
        software: Vec::new(),
        name: name.clone(),
        zone: zone.clone(),
        peers: address,
        link_mbps: 0,
        carrier_port: 0,
    }
}

async fn publish_metrics(traffic: Arc<Traffic>, parts: Rc<RelayParts>) {
    loop {
        traffic.relay_page.store(Arc::new(parts.metrics_page()));
        tokio::time::sleep(METRICS_PAGE_PERIOD).await;
    }
}

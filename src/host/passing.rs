//! Requests that are passed through unaltered, served on a thread of their own.
//!
//! What is in force comes from control, as for all other requests: this thread reads no store and asks no
//! other host.

use {
    super::traffic::Traffic,
    crate::{
        account::{KeyRules, LimitTolerance},
        control::ControlSnapshot,
        operation::OnceSignal,
        relay::{self, HostEntry, RelayBounds, RelayParts, RelaySettings, RetryBudget},
        store::StorePosition,
        web::{self, IngressLimits, PoolSettings},
    },
    eyre::WrapErr,
    faststr::FastStr,
    futures::FutureExt,
    std::{
        cell::Cell,
        net::SocketAddr,
        rc::Rc,
        sync::Arc,
        thread::{self, JoinHandle},
        time::Duration,
    },
    tokio::{net::TcpListener, task::LocalSet},
};

/// How often the thread looks whether control has published something newer.
const LOOK_PERIOD: Duration = Duration::from_millis(50);

/// How often the metrics page is made anew; scrapes are seconds apart.
const PAGE_PERIOD: Duration = Duration::from_secs(1);

/// Longest wait for a connection to a server, which is at most some milliseconds away.
const CONNECT_TIME: Duration = Duration::from_millis(500);

/// Longest time that bytes sent to a server or a caller may stay unacknowledged.
const SILENCE_LIMIT: Duration = Duration::from_secs(5);

/// Repeats in a window beyond the share of its requests, for all hosts together: a failure at a quiet time
/// can be tried again too.
const REPEATS_EXTRA: f64 = 10.0;

/// Window over which requests and repeats are counted.
const REPEATS_WINDOW: Duration = Duration::from_secs(10);

/// How long connections may take to write out their last bytes at a stop.
const CLOSE_TIME: Duration = Duration::from_millis(150);

/// The thread that passes requests through.
#[derive(Debug)]
pub struct PassingThread {
    closing: Arc<OnceSignal>,
    thread: Option<JoinHandle<()>>,
}

impl PassingThread {
    /// Starts it on a listening socket.
    pub fn start(traffic: Arc<Traffic>, listener: std::net::TcpListener) -> eyre::Result<Self> {
        let closing = Arc::new(OnceSignal::default());
        let until = closing.clone();
        let name = format!("relay-{}", traffic.settings.name);
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .wrap_err("a runtime for requests that are passed through")?;
        let run = move || LocalSet::new().block_on(&runtime, serve(traffic, listener, until));
        let thread = thread::Builder::new()
            .name(name)
            .spawn(run)
            .wrap_err("a thread for requests that are passed through")?;
        Ok(Self {
            closing,
            thread: Some(thread),
        })
    }
}

impl Drop for PassingThread {
    fn drop(&mut self) {
        self.closing.set();
        if let Some(thread) = self.thread.take()
            && thread.join().is_err()
        {
            log::error!("the thread of requests that are passed through panicked");
        }
    }
}

async fn serve(traffic: Arc<Traffic>, listener: std::net::TcpListener, closing: Arc<OnceSignal>) {
    let listener = TcpListener::from_std(listener).expect("a socket on this runtime");
    let settings = relay_settings(&traffic);
    let parts = RelayParts::new(
        settings,
        relay::server_dialect(),
        traffic.gate.clone(),
        traffic.clock.clone(),
        Rc::default(),
    );
    relay::spawn_critical("objects in force", follow(traffic.clone(), parts.clone()));
    relay::spawn_critical("metrics", show_metrics(traffic.clone(), parts.clone()));
    let handler: web::IngressHandler =
        Rc::new(move |request| relay::handle_request(parts.clone(), request).boxed_local());
    let limits = Rc::new(IngressLimits {
        header_time: Cell::new(traffic.settings.body_time),
        silence_limit: SILENCE_LIMIT,
    });
    web::serve_callers(listener, handler, limits, closing).await;
    tokio::time::sleep(CLOSE_TIME).await;
}

// Addresses for checks, peers and the store are control's; nothing is opened at them here.
fn relay_settings(traffic: &Traffic) -> RelaySettings {
    let settings = &traffic.settings;
    RelaySettings {
        name: settings.name.clone(),
        zone: settings.zone.clone(),
        callers: settings.callers,
        checks: settings.operators,
        ready_path: FastStr::from_static_str("/readyz"),
        // On the operators' port.
        metrics: None,
        peers: settings.peers,
        seeds: Vec::new(),
        first_start: false,
        link_mbps: 0,
        store: settings.platform,
        requests_limit: settings.concurrent,
        pool: PoolSettings {
            connect_time: CONNECT_TIME,
            silence_limit: SILENCE_LIMIT,
        },
        bounds: RelayBounds {
            keys: KeyRules {
                revoke_time: None,
                apply_time: Duration::MAX,
            },
            limits: LimitTolerance::NONE,
            retries: RetryBudget {
                share: settings.retry_share,
                extra: REPEATS_EXTRA,
                window: REPEATS_WINDOW,
            },
            // Changes come from the control thread.
            change_time: Duration::MAX,
            // The platform itself takes lapsed servers off its list.
            heartbeat: Duration::MAX,
            lease_time: Duration::ZERO,
            stop_grace: Duration::MAX,
            engines_check_tokens: false,
        },
    }
}

// Takes each snapshot that control publishes.
async fn follow(traffic: Arc<Traffic>, parts: Rc<RelayParts>) {
    let mut taken: Option<Arc<ControlSnapshot>> = None;
    let mut revision = 0;
    loop {
        let snapshot = traffic.snapshot.load_full();
        let is_new = taken
            .as_ref()
            .is_none_or(|taken| !Arc::ptr_eq(taken, &snapshot));
        if is_new && snapshot.generation > 0 {
            revision += 1;
            take(&traffic, &parts, &snapshot, revision);
            taken = Some(snapshot);
        }
        tokio::time::sleep(LOOK_PERIOD).await;
    }
}

fn take(traffic: &Traffic, parts: &RelayParts, snapshot: &ControlSnapshot, revision: u64) {
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

// Hosts are only counted here, for their shares of the repeats.
fn host_entry(name: &FastStr, zone: &FastStr, address: SocketAddr) -> HostEntry {
    HostEntry {
        judged: Vec::new(),
        name: name.clone(),
        zone: zone.clone(),
        peers: address,
        link_mbps: 0,
    }
}

async fn show_metrics(traffic: Arc<Traffic>, parts: Rc<RelayParts>) {
    loop {
        traffic.relay_page.store(Arc::new(parts.metrics_page()));
        tokio::time::sleep(PAGE_PERIOD).await;
    }
}

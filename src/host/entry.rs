//! Starts and stops an entry host.

use {
    super::{operators, passing::RelayThread, traffic::Traffic},
    crate::{
        conf::{HostSettings, SettingsFault},
        control, event, filter,
        operation::OnceSignal,
        web,
    },
    futures::FutureExt,
    std::{
        io,
        net::SocketAddr,
        sync::{Arc, Mutex},
        thread::{self, JoinHandle},
        time::Duration,
    },
    tokio::{net::TcpListener, task::JoinSet},
};

/// How often a stopping host checks whether its cancels have been acknowledged.
const CANCEL_POLL_PERIOD: Duration = Duration::from_millis(20);

/// How long a stopping host waits for engines to acknowledge its cancels.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(10);

/// The listening addresses of a running host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HostAddresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For operators and the load balancer's health checks.
    pub operators: SocketAddr,
    /// For the other entry hosts.
    pub peers: SocketAddr,
    /// For callers of relayed requests, if the relay is enabled.
    pub relay: Option<SocketAddr>,
}

/// An entry host with open sockets that does not serve requests yet.
#[derive(Debug)]
pub struct EntryHost {
    traffic: Arc<Traffic>,
    addresses: HostAddresses,
    callers: TcpListener,
    operators: TcpListener,
    peers: std::net::TcpListener,
    relay: Option<std::net::TcpListener>,
}

/// A running entry host.
#[derive(Debug)]
pub struct RunningHost {
    /// The state shared by the host's threads.
    pub traffic: Arc<Traffic>,
    /// The addresses it listens on.
    pub addresses: HostAddresses,
    control_stop: Arc<OnceSignal>,
    control: Option<JoinHandle<()>>,
    // Stops the thread when dropped.
    relay_thread: Mutex<Option<RelayThread>>,
    stopped: Arc<OnceSignal>,
    servers: Mutex<JoinSet<()>>,
}

impl EntryHost {
    /// Opens the host's sockets; failure to listen is reported as a fault of the setting with that
    /// address.
    pub async fn open(settings: HostSettings, file: &str) -> Result<Self, SettingsFault> {
        let callers = open(file, "callers", settings.callers).await?;
        let operators = open(file, "operators", settings.operators).await?;
        let peers = open(file, "peers", settings.peers).await?;
        let relay = match settings.relay {
            Some(relay) => Some(open(file, "relay", relay).await?),
            None => None,
        };
        let addresses = HostAddresses {
            relay: relay.as_ref().map(|(_, address)| *address),
            callers: callers.1,
            operators: operators.1,
            peers: peers.1,
        };
        Ok(Self {
            traffic: Traffic::new(settings, callers.1),
            addresses,
            callers: callers.0,
            operators: operators.0,
            // The control and relay threads have runtimes of their own.
            peers: into_std_listener(file, "peers", peers)?,
            relay: match relay {
                Some(relay) => Some(into_std_listener(file, "relay", relay)?),
                None => None,
            },
        })
    }

    /// Starts serving on the current runtime, and starts the control thread and, if enabled, the
    /// relay thread.
    pub fn start(self) -> RunningHost {
        let traffic = self.traffic.clone();
        let relay_thread = self.relay.map(|listener| {
            RelayThread::start(traffic.clone(), listener).expect("failed to start the relay thread")
        });
        let served = traffic.clone();
        let handler: web::WebHandler =
            Arc::new(move |request| filter::answer(served.clone(), request).boxed());
        let stopped = Arc::new(OnceSignal::default());
        let drained = stopped.clone();
        // Volo's own graceful shutdown gives up after 30 seconds; this hook delays it until the
        // drain has ended.
        let hook: web::StopHook = Box::new(move || async move { drained.wait().await }.boxed());
        let mut servers = JoinSet::new();
        servers.spawn(web::serve(self.callers, handler, Some(hook)));
        let served = traffic.clone();
        let handler: web::WebHandler =
            Arc::new(move |request| operators::answer(served.clone(), request).boxed());
        let drained = stopped.clone();
        let hook: web::StopHook = Box::new(move || async move { drained.wait().await }.boxed());
        servers.spawn(web::serve(self.operators, handler, Some(hook)));
        tokio::spawn(traffic.desk.clone().run_periodically());
        tokio::spawn(traffic.parts.canceller.clone().run());
        let control_stop = Arc::new(OnceSignal::default());
        let control = start_control(traffic.clone(), self.peers, control_stop.clone());
        let settings = &traffic.settings;
        event::emit(
            &event::HOST_STARTED,
            &[
                ("host", &settings.name),
                ("zone", &settings.zone),
                ("incarnation", &traffic.incarnation),
                ("callers", &self.addresses.callers),
                ("operators", &self.addresses.operators),
                ("peers", &self.addresses.peers),
            ],
        );
        RunningHost {
            traffic,
            addresses: self.addresses,
            control_stop,
            control: Some(control),
            relay_thread: Mutex::new(relay_thread),
            stopped,
            servers: Mutex::new(servers),
        }
    }
}

fn start_control(
    traffic: Arc<Traffic>,
    peers: std::net::TcpListener,
    stop: Arc<OnceSignal>,
) -> JoinHandle<()> {
    let name = format!("control-{}", traffic.settings.name);
    let run = move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("failed to build the control runtime");
        runtime.block_on(async {
            let peers = TcpListener::from_std(peers).expect("failed to register the peer socket");
            tokio::select! {
                () = control::run_control(traffic, peers) => {}
                () = stop.wait() => {}
            }
        });
    };
    thread::Builder::new()
        .name(name)
        .spawn(run)
        .expect("failed to start the control thread")
}

async fn open(
    file: &str,
    key: &str,
    address: SocketAddr,
) -> Result<(TcpListener, SocketAddr), SettingsFault> {
    let opened = web::listen(address).await;
    opened.map_err(|error| listen_error(file, key, address, &error))
}

fn into_std_listener(
    file: &str,
    key: &str,
    (listener, address): (TcpListener, SocketAddr),
) -> Result<std::net::TcpListener, SettingsFault> {
    let listener = listener.into_std();
    listener.map_err(|error| listen_error(file, key, address, &error))
}

fn listen_error(file: &str, key: &str, address: SocketAddr, error: &io::Error) -> SettingsFault {
    SettingsFault {
        file: file.to_owned(),
        section: "listen".to_owned(),
        key: key.to_owned(),
        problem: format!("{address} cannot be listened on: {error}"),
    }
}

impl RunningHost {
    /// Shuts down gracefully: waits until every request in flight has ended, without a time limit.
    pub async fn drain(&self) {
        let gate = &self.traffic.gate;
        gate.begin_stop();
        let in_flight = gate.in_flight();
        event::emit(&event::HOST_STOPPING, &[("in_flight", &in_flight)]);
        // The load balancer keeps sending requests for a while; they are still served.
        tokio::time::sleep(self.traffic.settings.balancer_lag).await;
        gate.close();
        gate.emptied().await;
        self.finish_cancels().await;
        event::emit(&event::HOST_STOPPED, &[]);
        self.stopped.set();
    }
}

impl RunningHost {
    /// Waits until the servers have written all pending responses; to be called after a drain that
    /// a process signal started.
    pub async fn close_connections(&self) {
        drop(self.relay_thread.lock().expect("relay thread").take());
        let mut servers = std::mem::take(&mut *self.servers.lock().expect("servers"));
        while servers.join_next().await.is_some() {}
    }

    // Cancels that are not acknowledged in time are left to the sweep of the other hosts.
    async fn finish_cancels(&self) {
        let done = async {
            while self.traffic.parts.canceller.open() > 0 {
                tokio::time::sleep(CANCEL_POLL_PERIOD).await;
            }
        };
        if tokio::time::timeout(CANCEL_TIMEOUT, done).await.is_err() {
            let open = self.traffic.parts.canceller.open();
            log::warn!(
                "{open} cancels were not acknowledged in time and are left to the other hosts"
            );
        }
    }
}

impl Drop for RunningHost {
    fn drop(&mut self) {
        self.control_stop.set();
        if let Some(control) = self.control.take()
            && control.join().is_err()
        {
            log::error!(
                "the control thread of {} panicked",
                self.traffic.settings.name
            );
        }
    }
}

/// Completes when the process receives SIGTERM, SIGINT or SIGHUP.
pub async fn stop_signal() {
    use tokio::signal::unix::{SignalKind, signal};
    let mut waits = JoinSet::new();
    for kind in [
        SignalKind::terminate(),
        SignalKind::interrupt(),
        SignalKind::hangup(),
    ] {
        if let Ok(mut stream) = signal(kind) {
            waits.spawn(async move { stream.recv().await });
        }
    }
    waits.join_next().await;
}

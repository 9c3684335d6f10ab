//! Starting and stopping an entry host.

use {
    super::{operators, passing::PassingThread, traffic::Traffic},
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

/// How often a stopping host looks whether its cancels are acknowledged.
const CANCEL_POLL: Duration = Duration::from_millis(20);

/// How long a stopping host waits for engines to acknowledge its cancels.
const CANCEL_PATIENCE: Duration = Duration::from_secs(10);

/// Where a running host listens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HostAddresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For operators and the balancer's checks.
    pub operators: SocketAddr,
    /// For the other entry hosts.
    pub peers: SocketAddr,
    /// For callers of requests that are passed through, if there are any.
    pub relay: Option<SocketAddr>,
}

/// An entry host whose sockets are open and whose loops have not begun.
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
    /// What its threads share.
    pub traffic: Arc<Traffic>,
    /// Where it listens.
    pub addresses: HostAddresses,
    control_stop: Arc<OnceSignal>,
    control: Option<JoinHandle<()>>,
    // Ends when dropped.
    passing: Mutex<Option<PassingThread>>,
    stopped: Arc<OnceSignal>,
    servers: Mutex<JoinSet<()>>,
}

impl EntryHost {
    /// Opens the host's sockets; a port in use is a fault of the key that names it.
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
            // The threads of control and of passed-through requests have runtimes of their own.
            peers: for_thread(file, "peers", peers)?,
            relay: match relay {
                Some(relay) => Some(for_thread(file, "relay", relay)?),
                None => None,
            },
        })
    }

    /// Starts the host's traffic on the current runtime and its control on a thread of its own.
    pub fn start(self) -> RunningHost {
        let traffic = self.traffic.clone();
        let passing = self.relay.map(|listener| {
            PassingThread::start(traffic.clone(), listener).expect("a thread for passed requests")
        });
        let served = traffic.clone();
        let handler: web::WebHandler =
            Arc::new(move |request| filter::answer(served.clone(), request).boxed());
        let stopped = Arc::new(OnceSignal::default());
        let hold = stopped.clone();
        // The library's own exit gives up after half a minute; it is held back until we are done.
        let hook: web::StopHook = Box::new(move || async move { hold.wait().await }.boxed());
        let mut servers = JoinSet::new();
        servers.spawn(web::serve(self.callers, handler, Some(hook)));
        let served = traffic.clone();
        let handler: web::WebHandler =
            Arc::new(move |request| operators::answer(served.clone(), request).boxed());
        let hold = stopped.clone();
        let hook: web::StopHook = Box::new(move || async move { hold.wait().await }.boxed());
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
            passing: Mutex::new(passing),
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
            .expect("a runtime for control");
        runtime.block_on(async {
            let peers = TcpListener::from_std(peers).expect("a socket on this runtime");
            tokio::select! {
                () = control::run_control(traffic, peers) => {}
                () = stop.wait() => {}
            }
        });
    };
    thread::Builder::new()
        .name(name)
        .spawn(run)
        .expect("a thread for control")
}

async fn open(
    file: &str,
    key: &str,
    address: SocketAddr,
) -> Result<(TcpListener, SocketAddr), SettingsFault> {
    let opened = web::listen(address).await;
    opened.map_err(|error| listen_fault(file, key, address, &error))
}

fn for_thread(
    file: &str,
    key: &str,
    (listener, address): (TcpListener, SocketAddr),
) -> Result<std::net::TcpListener, SettingsFault> {
    let listener = listener.into_std();
    listener.map_err(|error| listen_fault(file, key, address, &error))
}

fn listen_fault(file: &str, key: &str, address: SocketAddr, error: &io::Error) -> SettingsFault {
    SettingsFault {
        file: file.to_owned(),
        section: "listen".to_owned(),
        key: key.to_owned(),
        problem: format!("{address} cannot be listened on: {error}"),
    }
}

impl RunningHost {
    /// Stops as planned: nothing in flight is cut off, however long it takes.
    pub async fn drain(&self) {
        let gate = &self.traffic.gate;
        gate.begin_stop();
        let in_flight = gate.in_flight();
        event::emit(&event::HOST_STOPPING, &[("in_flight", &in_flight)]);
        // The balancer still sends for a while; what it sends is served.
        tokio::time::sleep(self.traffic.settings.balancer_lag).await;
        gate.close();
        gate.emptied().await;
        self.finish_cancels().await;
        event::emit(&event::HOST_STOPPED, &[]);
        self.stopped.set();
    }
}

impl RunningHost {
    /// Waits until the servers have written out what they were sending; to be called after a drain
    /// that a signal to the process began.
    pub async fn close_connections(&self) {
        drop(self.passing.lock().expect("passing").take());
        let mut servers = std::mem::take(&mut *self.servers.lock().expect("servers"));
        while servers.join_next().await.is_some() {}
    }

    // Cancels that no engine acknowledges in this time are left to the sweep of the other hosts.
    async fn finish_cancels(&self) {
        let done = async {
            while self.traffic.parts.canceller.open() > 0 {
                tokio::time::sleep(CANCEL_POLL).await;
            }
        };
        if tokio::time::timeout(CANCEL_PATIENCE, done).await.is_err() {
            let open = self.traffic.parts.canceller.open();
            log::warn!("{open} cancels are left to the other hosts");
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

/// Done when the process is told to stop.
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

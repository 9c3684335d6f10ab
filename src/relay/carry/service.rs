//! Carries connections of other hosts to backend servers that this host reaches.

use {
    super::{
        connect::{self, HOST_HEADER, SERVER_HEADER, responses},
        splice,
    },
    crate::{
        event,
        relay::{
            backend::BackendInfo,
            critical_task,
            parts::shared::RelayParts,
            policy::link_tracker::{LinkGroup, OpenOrder},
        },
        web::{FailureCause, SendFailure},
    },
    bytes::Bytes,
    http::{Method, Request, Response, StatusCode},
    http_body_util::Empty,
    hyper::{body::Incoming, server::conn::http1, service, upgrade},
    hyper_util::rt::{TokioIo, TokioTimer},
    std::{
        cell::Cell,
        convert::Infallible,
        fmt, io,
        net::SocketAddr,
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::{
        net::{TcpListener, TcpStream},
        sync::Notify,
    },
};

/// Maximum time for a server to accept a connection; the asking host waits for it.
const SERVER_CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// Maximum time for the head of an asking host's request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum size of that head, in bytes.
const HEADER_BYTES: usize = 8 << 10;

/// Pause after a failed accept, which is most often a lack of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Fraction of the limit on requests that is the limit on carried connections: the host's own callers go first.
const CARRIED_FRACTION: u64 = 2;

type CarrierResponse = Response<Empty<Bytes>>;

/// Carries connections for other hosts.
pub(crate) struct CarrierService {
    parts: Rc<RelayParts>,
    open: Cell<u64>,
    // Connections on which a request is expected or being answered.
    asking: Cell<usize>,
    emptied: Notify,
}

impl fmt::Debug for CarrierService {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "CarrierService({} open)", self.open.get())
    }
}

// A carried connection, counted until dropped.
struct CarriedCount(Rc<CarrierService>);

impl Drop for CarriedCount {
    fn drop(&mut self) {
        let service = &self.0;
        service.open.set(service.open.get() - 1);
        service
            .parts
            .metrics
            .links
            .carrying
            .set(service.open.get() as i64);
        if service.open.get() == 0 {
            service.emptied.notify_waiters();
        }
    }
}

// A connection of an asking host, counted until dropped.
struct AskingCount(Rc<CarrierService>);

impl AskingCount {
    // Counts one more; none where as many are open as may be.
    fn begin(service: &Rc<CarrierService>) -> Option<Self> {
        let limit = service.parts.settings.caller_limits.peer_connections;
        let asking = service.asking.get();
        if asking >= limit {
            return None;
        }
        service.asking.set(asking + 1);
        Some(Self(service.clone()))
    }
}

impl Drop for AskingCount {
    fn drop(&mut self) {
        self.0.asking.set(self.0.asking.get() - 1);
    }
}

impl CarrierService {
    /// Starts to accept connections of other hosts, if there is a socket for them.
    pub(crate) fn start(parts: Rc<RelayParts>, listener: Option<TcpListener>) -> Rc<Self> {
        let service = Rc::new(Self {
            parts,
            open: Cell::new(0),
            asking: Cell::new(0),
            emptied: Notify::new(),
        });
        if let Some(listener) = listener {
            critical_task::spawn_critical("carried connections", service.clone().accept(listener));
        }
        service
    }

    /// Waits until no connections are carried any more.
    pub(crate) async fn emptied(&self) {
        loop {
            let emptied = self.emptied.notified();
            tokio::pin!(emptied);
            emptied.as_mut().enable();
            if self.open.get() == 0 {
                return;
            }
            emptied.await;
        }
    }

    async fn accept(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, from)) => match AskingCount::begin(&self) {
                    Some(count) => {
                        tokio::task::spawn_local(self.clone().serve(stream, from, count));
                    }
                    None => log::debug!("the connection of host {from} is one too many"),
                },
                Err(error) => {
                    log::warn!("a host's connection could not be accepted: {error}");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    async fn serve(self: Rc<Self>, stream: TcpStream, from: SocketAddr, _count: AskingCount) {
        if let Err(error) = splice::prepare(&stream) {
            log::debug!("the connection of host {from} ended as it came: {error}");
            return;
        }
        let handler = service::service_fn(move |request| {
            let service = self.clone();
            async move { Ok::<_, Infallible>(service.answer(request, from).await) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEADER_TIMEOUT)
            .max_buf_size(HEADER_BYTES)
            .keep_alive(false)
            .serve_connection(TokioIo::new(stream), handler)
            .with_upgrades();
        if let Err(error) = connection.await {
            log::debug!("the connection of host {from} ended: {error}");
        }
    }

    async fn answer(
        self: Rc<Self>,
        request: Request<Incoming>,
        from: SocketAddr,
    ) -> CarrierResponse {
        let is_question = request.method() != Method::CONNECT;
        if !self.knows_host(&request, from) {
            return respond(responses::NOT_LISTED);
        }
        if self.parts.gate.is_stopping() || self.open.get() >= self.limit() {
            return respond(responses::UNAVAILABLE);
        }
        if is_question {
            return respond(StatusCode::OK);
        }
        let Some(backend) = self.listed_server(&request) else {
            return respond(responses::NOT_LISTED);
        };
        // Counted while it is being opened, so that the limit holds.
        let count = self.clone().count();
        match self.open(&backend).await {
            Ok(server) => {
                let joining = count.join(request, server, backend, from);
                tokio::task::spawn_local(joining);
                respond(StatusCode::OK)
            }
            Err(status) => respond(status),
        }
    }

    fn limit(&self) -> u64 {
        (self.parts.settings.requests_limit / CARRIED_FRACTION).max(1)
    }

    // Only listed hosts may use this one as a way to servers.
    fn knows_host(&self, request: &Request<Incoming>, from: SocketAddr) -> bool {
        let name = request.headers().get(HOST_HEADER);
        let name = name.and_then(|name| name.to_str().ok()).unwrap_or_default();
        let cluster = self.parts.cluster.borrow();
        let entry = cluster.host(name);
        entry.is_some_and(|entry| entry.peers.ip() == from.ip())
    }

    fn listed_server(&self, request: &Request<Incoming>) -> Option<BackendInfo> {
        let id = request.headers().get(SERVER_HEADER)?.to_str().ok()?;
        let address: SocketAddr = request.uri().authority()?.as_str().parse().ok()?;
        let book = self.parts.book.borrow();
        let info = &book.view(id)?.info;
        (info.address == address).then(|| info.clone())
    }

    async fn open(&self, backend: &BackendInfo) -> Result<TcpStream, StatusCode> {
        let group = LinkGroup::of(backend);
        let order = self.parts.links.borrow().open_order(backend.key(), &group);
        if order == OpenOrder::CarriedFirst {
            return Err(responses::NO_LINK);
        }
        let opening = self.parts.open_direct(backend);
        let failure = match tokio::time::timeout(SERVER_CONNECT_TIMEOUT, opening).await {
            Ok(Ok(opened)) => return Ok(opened.stream),
            Ok(Err(failure)) => failure,
            Err(_) => {
                self.parts.record_link_failure(backend);
                SendFailure::no_connection_in_time()
            }
        };
        log::debug!("{}: {failure}", backend.id);
        let now = self.parts.now();
        let is_credible = self.parts.links.borrow().vouches(&group, now);
        match failure.cause {
            _ if !is_credible => Err(responses::NO_LINK),
            FailureCause::Refused => Err(responses::SERVER_REFUSED),
            _ => Err(responses::SERVER_SILENT),
        }
    }

    fn count(self: Rc<Self>) -> CarriedCount {
        self.open.set(self.open.get() + 1);
        self.parts
            .metrics
            .links
            .carrying
            .set(self.open.get() as i64);
        CarriedCount(self)
    }
}

impl CarriedCount {
    async fn join(
        self,
        request: Request<Incoming>,
        server: TcpStream,
        backend: BackendInfo,
        from: SocketAddr,
    ) {
        let upgraded = match upgrade::on(request).await {
            Ok(upgraded) => upgraded,
            Err(error) => {
                log::debug!("host {from} left before it was connected: {error}");
                return;
            }
        };
        let asking = match connect::into_stream(upgraded) {
            Ok(stream) => stream,
            Err(error) => {
                log::warn!("the connection of host {from} cannot be joined: {error}");
                return;
            }
        };
        let started = Instant::now();
        let parts = &self.0.parts;
        let passed_at = Cell::new(parts.now());
        let check = async || {
            let since = passed_at.replace(parts.now());
            check_carried(parts, &backend, since).await
        };
        let bytes = splice::splice(asking, server, check).await;
        let metrics = &parts.metrics.links;
        metrics.carried_bytes.inc_by(bytes.sent + bytes.received);
        event::emit(
            &event::CONNECTION_CARRIED,
            &[
                ("connection", &from),
                ("backend", &backend.id),
                ("sent", &bytes.sent),
                ("received", &bytes.received),
                ("lasted_ms", &started.elapsed().as_millis()),
            ],
        );
    }
}

// The asking host has checked that the server takes its request; what came while this process stalled is no longer checked.
async fn check_carried(
    parts: &RelayParts,
    backend: &BackendInfo,
    since: Duration,
) -> io::Result<()> {
    if !parts.stalls.has_stalled_since(since) {
        return Ok(());
    }
    parts.refreshed().await;
    match parts.may_send(backend, None) {
        true => Ok(()),
        false => Err(io::Error::other(format!(
            "{} takes no new requests",
            backend.id
        ))),
    }
}

fn respond(status: StatusCode) -> CarrierResponse {
    let mut response = Response::new(Empty::new());
    *response.status_mut() = status;
    response
}

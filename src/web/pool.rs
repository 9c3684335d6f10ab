//! Connections to backend servers, kept and used again.
//!
//! `volo-http`'s client shows neither which connection carried a request nor whether any of it was
//! written; `hyper`, on which it is built, shows both. A request is written once; whether it was
//! written decides what may be promised of it.

use {
    super::{
        body_framing::BodyFraming,
        carrier::{CarrierLink, CarrierSet, ConnectionCarrier, OpenedStream},
        open_count::{OpenCount, OpenCounts},
        pool_target::{KeptUse, PoolLane, PoolTarget, PoolUse, UseCounts},
        pooled_body::PooledBody,
        recent_ids::{AnswerId, RecentIds},
        send_failure::{FailureCause, SendFailure, not_sent},
        stream_opener::StreamOpener,
    },
    crate::{clock::HostClock, operation::RunVerdict},
    bytes::Bytes,
    http::{HeaderMap, Request, StatusCode, header},
    http_body_util::Full,
    hyper::{body::Incoming, client::conn::http1},
    hyper_util::rt::TokioIo,
    socket2::SockRef,
    std::{
        cell::RefCell,
        collections::{BTreeMap, HashMap},
        fmt, io,
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
    tokio::{net::TcpStream, task::AbortHandle},
};

/// Seconds of idleness after which a connection is not used again where the server announces none:
/// under the shortest that a server announces, which is whole seconds.
const IDLE_DEFAULT: Duration = Duration::from_millis(2_500);

/// Part of an announced idle time that is left unused: a request takes some milliseconds to arrive.
const IDLE_MARGIN: Duration = Duration::from_millis(600);

/// How often idle connections past their time are closed.
const SWEEP_PERIOD: Duration = Duration::from_secs(1);

/// What a pool goes by.
#[derive(Debug, Clone)]
pub struct PoolSettings {
    /// Longest wait for a new connection.
    pub connect_time: Duration,
    /// Longest time that sent bytes may stay unacknowledged before the connection is given up.
    pub silence_limit: Duration,
    /// Opens the connections.
    pub opener: StreamOpener,
}

/// Bytes that the system buffers of a connection until they are read; it allows as many again for its own use.
const RECEIVE_BUFFER_BYTES: usize = 32 << 10;

/// Maximum size of an answer's head, and of what is read ahead of its body, in bytes.
const READ_BUFFER_BYTES: usize = 64 << 10;

type Sender = http1::SendRequest<Full<Bytes>>;

struct IdleConnection {
    connection: PooledConnection,
    // On the pool's clock: servers close it meanwhile while this host is suspended.
    until: Duration,
}

/// An open connection; dropping it closes the socket.
pub(super) struct PooledConnection {
    sender: Sender,
    task: AbortHandle,
    // The host that carries it, if any.
    carrier: Option<Rc<CarrierLink>>,
    ids: RecentIds,
    _counted: OpenCount,
}

impl PooledConnection {
    fn is_usable(&self) -> bool {
        let carrier = self.carrier.as_ref();
        self.sender.is_ready() && carrier.is_none_or(|link| link.is_usable())
    }

    fn is_allowed(&self, kept: KeptUse, id: Option<AnswerId>) -> bool {
        let fits = match kept {
            KeptUse::Any => true,
            KeptUse::Direct => self.carrier.is_none(),
            KeptUse::Carried => self.carrier.is_some(),
        };
        fits && id.is_none_or(|id| !self.ids.contains(id))
    }
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

pub(super) type PoolKey = (SocketAddr, PoolLane);

/// Connections by address and use.
pub struct ConnectionPool {
    idle: RefCell<HashMap<PoolKey, Vec<IdleConnection>>>,
    settings: PoolSettings,
    open: OpenCounts,
    counts: RefCell<BTreeMap<PoolUse, UseCounts>>,
    // The hosts that carry connections.
    carriers: CarrierSet,
    clock: HostClock,
}

impl fmt::Debug for ConnectionPool {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "ConnectionPool({} open)", self.open())
    }
}

/// An answer whose body is still to be read.
pub struct PooledAnswer {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: PooledBody,
    /// The host that carried it; none if the server answered directly.
    pub carrier: Option<Rc<CarrierLink>>,
}

impl ConnectionPool {
    /// A pool without connections; closes idle ones in time for as long as it lives.
    pub fn start(settings: PoolSettings, clock: HostClock) -> Rc<Self> {
        let pool = Rc::new(Self {
            idle: RefCell::default(),
            settings,
            open: Rc::default(),
            counts: RefCell::default(),
            carriers: CarrierSet::default(),
            clock,
        });
        let swept = Rc::downgrade(&pool);
        tokio::task::spawn_local(async move {
            loop {
                tokio::time::sleep(SWEEP_PERIOD).await;
                let Some(pool) = swept.upgrade() else { return };
                pool.sweep();
            }
        });
        pool
    }

    /// Connections opened since the start.
    pub fn opened(&self) -> u64 {
        self.counts
            .borrow()
            .values()
            .map(|count| count.opened)
            .sum()
    }

    /// Connections of one use since the start.
    pub fn counts(&self, purpose: PoolUse) -> UseCounts {
        let counts = self.counts.borrow();
        counts.get(&purpose).copied().unwrap_or_default()
    }

    fn count_use(&self, purpose: PoolUse, is_new: bool) {
        let mut counts = self.counts.borrow_mut();
        let count = counts.entry(purpose).or_default();
        count.opened += u64::from(is_new);
        count.reused += u64::from(!is_new);
    }

    /// Sends over connections that were open already, since the start.
    pub fn reused(&self) -> u64 {
        self.counts
            .borrow()
            .values()
            .map(|count| count.reused)
            .sum()
    }

    /// Connections that are open.
    pub fn open(&self) -> usize {
        self.open.borrow().values().sum()
    }

    /// Whether an idle direct connection to an address is open at both ends, so that the server there has not ended.
    pub fn has_open_idle(&self, address: SocketAddr) -> bool {
        let idle = self.idle.borrow();
        let mut known = idle
            .iter()
            .filter(|(key, _)| key.0 == address)
            .flat_map(|(_, connections)| connections);
        known
            .any(|known| known.connection.carrier.is_none() && !known.connection.sender.is_closed())
    }

    /// Closes what is idle towards an address.
    pub fn forget(&self, address: SocketAddr) {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|(known, _), _| *known != address);
    }

    fn sweep(&self) {
        let now = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        for connections in idle.values_mut() {
            connections.retain(|known| now < known.until && !known.connection.sender.is_closed());
        }
        idle.retain(|_, connections| !connections.is_empty());
    }

    /// Closes idle connections to an address that other hosts carry.
    pub fn forget_carried(&self, address: SocketAddr) {
        let mut idle = self.idle.borrow_mut();
        let lanes = idle.iter_mut().filter(|(key, _)| key.0 == address);
        for (_, connections) in lanes {
            connections.retain(|known| known.connection.carrier.is_none());
        }
    }

    /// The hosts that carry open connections.
    pub fn carriers(&self) -> Vec<Rc<ConnectionCarrier>> {
        self.carriers.in_use()
    }

    /// Uses the connections that a host carries for what is in progress only, and closes the idle ones.
    pub fn retire_carrier(&self, carrier: &ConnectionCarrier) {
        self.carriers.retire(carrier);
        let mut idle = self.idle.borrow_mut();
        for connections in idle.values_mut() {
            connections.retain(|known| {
                let known = known.connection.carrier.as_ref();
                known.is_none_or(|link| link.is_usable())
            });
        }
    }

    fn take(&self, key: PoolKey, target: &PoolTarget) -> Option<PooledConnection> {
        let now = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&key)?;
        if target.kept == KeptUse::Carried {
            connections.retain(|known| known.connection.carrier.is_some());
        }
        while let Some(index) = connections
            .iter()
            .rposition(|known| known.connection.is_allowed(target.kept, target.answer_id))
        {
            let known = connections.remove(index);
            if known.connection.is_usable() && now < known.until {
                return Some(known.connection);
            }
        }
        None
    }

    // Counts one connection more. Idle ones, of whatever use, make room for it: where the limit has become smaller, more
    // than one.
    fn count(&self, address: SocketAddr, limit: usize) -> Option<OpenCount> {
        loop {
            let counted = OpenCount::begin(&self.open, address, limit);
            if counted.is_some() || !self.close_idle(address) {
                return counted;
            }
        }
    }

    // Closes an idle connection to an address, if there is one.
    fn close_idle(&self, address: SocketAddr) -> bool {
        let mut idle = self.idle.borrow_mut();
        let lanes = idle.iter_mut().filter(|(key, _)| key.0 == address);
        let mut filled = lanes.filter(|(_, connections)| !connections.is_empty());
        match filled.next() {
            Some((_, connections)) => {
                // The first has been idle the longest.
                connections.remove(0);
                true
            }
            None => false,
        }
    }

    /// Opens a direct connection that notices a silent peer, within the time for that.
    pub async fn open_direct(&self, address: SocketAddr) -> Result<OpenedStream, SendFailure> {
        let opening = async {
            let stream = self.settings.opener.open(address).await?;
            self.prepare(&stream)?;
            Ok::<_, io::Error>(stream)
        };
        let stream = tokio::time::timeout(self.settings.connect_time, opening)
            .await
            .map_err(|_| SendFailure::no_connection_in_time())?
            .map_err(open_failure)?;
        Ok(OpenedStream {
            stream,
            carrier: None,
        })
    }

    /// Sets the options of a connection to a server.
    pub fn prepare(&self, stream: &TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let socket = SockRef::from(stream);
        socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
        socket.set_tcp_user_timeout(Some(self.settings.silence_limit))
    }

    async fn connect(
        &self,
        target: PoolTarget,
        opening: impl Future<Output = Result<OpenedStream, SendFailure>>,
    ) -> Result<PooledConnection, SendFailure> {
        let PoolTarget { address, limit, .. } = target;
        let counted = self.count(address, limit).ok_or_else(|| SendFailure {
            cause: FailureCause::Limited,
            ..not_sent(format!("all of {limit} connections are in use"))
        })?;
        let opened = opening.await?;
        let carrier = self.carriers.link(&opened).map_err(open_failure)?;
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(READ_BUFFER_BYTES)
            .handshake(TokioIo::new(opened.stream))
            .await
            .map_err(|error| not_sent(format!("no connection: {error}")))?;
        let task = tokio::task::spawn_local(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to {address} ended: {error}");
            }
        });
        self.count_use(target.purpose, true);
        Ok(PooledConnection {
            sender,
            task: task.abort_handle(),
            carrier,
            ids: RecentIds::default(),
            _counted: counted,
        })
    }

    /// Sends a request once and waits for the head of its answer.
    ///
    /// A caller that stops waiting closes the connection.
    pub async fn send(
        self: &Rc<Self>,
        target: PoolTarget,
        request: Request<Full<Bytes>>,
    ) -> Result<PooledAnswer, SendFailure> {
        let open = || self.open_direct(target.address);
        self.send_if(target, request, async || Ok(()), open).await
    }

    /// The same, where `check` still allows it when a connection is there and nothing is written yet. New connections
    /// are opened by `open`.
    pub async fn send_if<F>(
        self: &Rc<Self>,
        target: PoolTarget,
        mut request: Request<Full<Bytes>>,
        check: impl AsyncFn() -> Result<(), SendFailure>,
        open: impl Fn() -> F,
    ) -> Result<PooledAnswer, SendFailure>
    where
        F: Future<Output = Result<OpenedStream, SendFailure>>,
    {
        let key = (target.address, target.purpose.lane());
        loop {
            check().await?;
            let kept = self.take(key, &target);
            let is_kept = kept.is_some();
            let mut connection = match kept {
                Some(connection) => connection,
                None => {
                    let connection = self.connect(target, open()).await?;
                    check().await?;
                    connection
                }
            };
            if let Some(id) = target.answer_id {
                connection.ids.record(id);
            }
            match connection.sender.try_send_request(request).await {
                Ok(answer) => {
                    if is_kept {
                        self.count_use(target.purpose, false);
                    }
                    return Ok(self.answer(key, connection, answer));
                }
                Err(mut error) => match error.take_message() {
                    // Closed while idle, and nothing of the request was written.
                    Some(unsent) if is_kept => request = unsent,
                    Some(_) => return Err(not_sent(error.error().to_string())),
                    None => {
                        return Err(SendFailure {
                            verdict: RunVerdict::MayHaveRun,
                            cause: FailureCause::Broken,
                            detail: format!("no answer: {}", error.error()),
                            is_carried: connection.carrier.is_some(),
                        });
                    }
                },
            }
        }
    }

    fn answer(
        self: &Rc<Self>,
        key: PoolKey,
        connection: PooledConnection,
        answer: http::Response<Incoming>,
    ) -> PooledAnswer {
        let (parts, content) = answer.into_parts();
        let idle = idle_time(&parts.headers);
        let framing = BodyFraming::of(&parts.headers, &content);
        PooledAnswer {
            status: parts.status,
            headers: parts.headers,
            carrier: connection.carrier.clone(),
            body: PooledBody::new(content, framing, (connection, idle), self.clone(), key),
        }
    }

    pub(super) fn give_back(
        self: &Rc<Self>,
        key: PoolKey,
        mut connection: PooledConnection,
        idle: Duration,
    ) {
        let pool = self.clone();
        tokio::task::spawn_local(async move {
            if connection.sender.ready().await.is_err() || !connection.is_usable() {
                return;
            }
            let until = pool.clock.now() + idle;
            let mut known = pool.idle.borrow_mut();
            let connections = known.entry(key).or_default();
            connections.push(IdleConnection { connection, until });
        });
    }
}

fn open_failure(error: io::Error) -> SendFailure {
    let cause = match error.kind() {
        io::ErrorKind::ConnectionRefused => FailureCause::Refused,
        _ => FailureCause::Broken,
    };
    SendFailure {
        cause,
        ..not_sent(format!("no connection: {error}"))
    }
}

// How long a connection may be idle and still be used, by what the server announces.
fn idle_time(headers: &HeaderMap) -> Duration {
    let announced = headers
        .get("keep-alive")
        .and_then(|value| value.to_str().ok())
        .and_then(|text| {
            text.split(',')
                .find_map(|part| part.trim().strip_prefix("timeout="))
        })
        .and_then(|seconds| seconds.parse().ok())
        .map(Duration::from_secs);
    let closes = headers
        .get(header::CONNECTION)
        .is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"));
    match announced {
        _ if closes => Duration::ZERO,
        Some(time) => time.saturating_sub(IDLE_MARGIN),
        None => IDLE_DEFAULT,
    }
}

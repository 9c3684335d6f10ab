//! Serving callers on one thread, with control over each connection.
//!
//! `volo-http`'s server ends on SIGHUP, has no limit on the time of headers and no way to close
//! connections one by one; a host that is rolled needs all three. `hyper` below it gives them.

use {
    super::{
        budget::ConnectionTable,
        caller_stream::{CallerStream, ResetSwitch, UnframedBody},
        connection_state::{ConnectionState, TrackedBody},
    },
    crate::operation::OnceSignal,
    bytes::Bytes,
    futures::future::LocalBoxFuture,
    http::{HeaderValue, Request, Response, Version, header},
    http_body::Body,
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    socket2::SockRef,
    std::{
        cell::Cell, convert::Infallible, fmt, io, net::SocketAddr, pin::Pin, rc::Rc, sync::Arc,
        time::Duration,
    },
    tokio::{
        net::{TcpListener, TcpStream},
        task::{JoinError, JoinSet},
        time::MissedTickBehavior,
    },
};

/// Pause after a failed accept, which is most often a lack of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Connections that the system queues until they are accepted.
const BACKLOG: u32 = 1_024;

/// Bytes that the system buffers of a connection until they are read; it allows as many again for its own use.
const RECEIVE_BUFFER_BYTES: u32 = 16 << 10;

/// Interval at which open connections are looked at.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);

/// Bytes for a request's first line, in addition to its headers.
const REQUEST_LINE_BYTES: usize = 8 << 10;

/// Why a body ended before its end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BrokenBody(pub String);

impl fmt::Display for BrokenBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for BrokenBody {}

/// The body of an answer to a caller; one that fails closes the connection without its end.
pub type IngressBody = Pin<Box<dyn http_body::Body<Data = Bytes, Error = BrokenBody>>>;

/// Answers a request.
pub type IngressHandler =
    Rc<dyn Fn(Request<Incoming>) -> LocalBoxFuture<'static, Response<IngressBody>>>;

/// What callers' connections are bounded by; may change while serving.
#[derive(Debug)]
pub struct IngressLimits {
    /// Longest time for which a connection may be idle.
    pub idle_time: Cell<Duration>,
    /// Time for a request's headers to arrive, from their first byte.
    pub header_time: Cell<Duration>,
    /// Time for the headers of a caller's request to arrive once no more connections are accepted.
    pub closing_header_time: Cell<Duration>,
    /// Maximum size of a request's headers, in bytes. Also bounds what is read ahead of a body.
    pub header_bytes: Cell<usize>,
    /// Longest time that sent bytes may stay unacknowledged.
    pub silence_limit: Duration,
}

/// Opens a listening socket.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => tokio::net::TcpSocket::new_v4()?,
        SocketAddr::V6(_) => tokio::net::TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    // Connections inherit it from the listening socket, before their windows are announced.
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Accepts connections and serves them until `closing` is set. Then closes idle connections, and returns when the
/// requests that others have sent, or begin to send, are answered.
pub async fn serve_callers(
    listener: TcpListener,
    handler: IngressHandler,
    limits: Rc<IngressLimits>,
    table: Rc<ConnectionTable>,
    closing: Arc<OnceSignal>,
) {
    let mut connections = JoinSet::new();
    let serve = |stream| {
        let open = OpenConnection::new(stream, table.clone());
        serve_one(open, handler.clone(), limits.clone(), closing.clone())
    };
    let mut sweeps = tokio::time::interval(SWEEP_INTERVAL);
    sweeps.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            Some(ended) = connections.join_next() => {
                log_panic(ended);
                continue;
            }
            _ = sweeps.tick(), if !table.is_empty() => {
                table.sweep(limits.header_time.get());
                continue;
            }
            () = closing.wait() => break,
        };
        match accepted {
            Ok((stream, _)) if make_room(&table).await => {
                connections.spawn_local(serve(stream));
            }
            Ok(_) => table.count_refused(),
            Err(error) => {
                log::warn!("a connection could not be accepted: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    // Closing a listening socket resets the connections that are still queued.
    match queued_connections(listener, table.room()) {
        Ok(queued) => {
            for stream in queued {
                connections.spawn_local(serve(stream));
            }
        }
        Err(error) => log::warn!("connections that were queued are lost: {error}"),
    }
    loop {
        tokio::select! {
            ended = connections.join_next() => match ended {
                Some(ended) => log_panic(ended),
                None => return,
            },
            // Heads that are arriving have a time limit of their own from now on.
            _ = sweeps.tick() => table.sweep(Duration::MAX),
        }
    }
}

// Makes room for a connection that was accepted, if another one can be closed.
async fn make_room(table: &ConnectionTable) -> bool {
    if table.room() > 0 {
        return true;
    }
    if table.evict_one() {
        // The connection ends when its task runs.
        tokio::task::yield_now().await;
    }
    table.room() > 0
}

fn log_panic(ended: Result<(), JoinError>) {
    if let Err(error) = ended {
        log::error!("a caller's connection failed: {error}");
    }
}

// Takes the connections that the system has queued, as many as there is room for, and closes the listening socket.
fn queued_connections(listener: TcpListener, room: usize) -> io::Result<Vec<TcpStream>> {
    let listener = listener.into_std()?;
    let mut queued = Vec::new();
    while queued.len() < room.min(BACKLOG as usize) {
        let stream = match listener.accept() {
            Ok((stream, _)) => stream,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
            Err(error) => return Err(error),
        };
        stream.set_nonblocking(true)?;
        queued.push(TcpStream::from_std(stream)?);
    }
    Ok(queued)
}

// A connection that is in the table until dropped.
struct OpenConnection {
    stream: Rc<TcpStream>,
    state: Rc<ConnectionState>,
    table: Rc<ConnectionTable>,
}

impl OpenConnection {
    fn new(stream: TcpStream, table: Rc<ConnectionTable>) -> Self {
        let stream = Rc::new(stream);
        let state = Rc::new(ConnectionState::new(stream.clone()));
        table.add(state.clone());
        Self {
            stream,
            state,
            table,
        }
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.table.remove(&self.state);
    }
}

async fn serve_one(
    open: OpenConnection,
    handler: IngressHandler,
    limits: Rc<IngressLimits>,
    closing: Arc<OnceSignal>,
) {
    let socket = SockRef::from(&*open.stream);
    let prepared = socket
        .set_tcp_nodelay(true)
        .and_then(|()| socket.set_tcp_user_timeout(Some(limits.silence_limit)));
    if let Err(error) = prepared {
        log::debug!("a caller's connection ended as it came: {error}");
        return;
    }
    let switch = ResetSwitch::default();
    let state = open.state.clone();
    let stream = CallerStream::new(open.stream.clone(), switch.clone(), state.clone());
    let answered_state = state.clone();
    let is_closing = closing.clone();
    let service = service_fn(move |request| {
        let version = request.version();
        answered_state.begin_request();
        let answer = handler(request);
        let (switch, state, closing) = (switch.clone(), answered_state.clone(), is_closing.clone());
        async move {
            let answer = answer.await.map(|body| {
                state.begin_answer(body.size_hint().exact());
                TrackedBody::boxed(body, state)
            });
            let answer = reset_if_broken(answer, version, switch);
            Ok::<_, Infallible>(close_if_closing(answer, &closing))
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_time.get())
        .max_buf_size(limits.header_bytes.get() + REQUEST_LINE_BYTES)
        .half_close(false)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let result = tokio::select! {
        // Bytes that have arrived are read before the connection counts as idle.
        biased;
        result = connection.as_mut() => result,
        () = state.evicted.wait() => return,
        () = closing.wait() => {
            if !state.expects_request() {
                connection.as_mut().graceful_shutdown();
            }
            tokio::select! {
                result = connection.as_mut() => result,
                () = state.evicted.wait() => return,
                () = state.request_overdue(limits.closing_header_time.get()) => return,
            }
        }
    };
    if let Err(error) = result {
        log::debug!("a caller's connection ended: {error}");
    }
}

// A connection that is open when the host stops ends with the answer at hand.
fn close_if_closing(
    mut response: Response<IngressBody>,
    closing: &OnceSignal,
) -> Response<IngressBody> {
    if closing.is_set() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

// Callers of HTTP/1.0 know no chunks: where there is no length either, only a reset tells them that a response broke off.
fn reset_if_broken(
    response: Response<IngressBody>,
    version: Version,
    switch: ResetSwitch,
) -> Response<IngressBody> {
    let is_framed = version >= Version::HTTP_11 || response.body().size_hint().exact().is_some();
    match is_framed {
        true => response,
        false => response.map(|body| Box::pin(UnframedBody::new(body, switch)) as IngressBody),
    }
}

//! Serving callers on one thread, with control over each connection.
//!
//! `volo-http`'s server ends on SIGHUP, has no limit on the time of headers and no way to close
//! connections one by one; a host that is rolled needs all three. `hyper` below it gives them.

use {
    super::caller_stream::{CallerStream, ResetSwitch, UnframedBody},
    crate::operation::OnceSignal,
    bytes::Bytes,
    futures::future::LocalBoxFuture,
    http::{Request, Response, Version},
    http_body::Body,
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    socket2::SockRef,
    std::{
        cell::Cell, convert::Infallible, fmt, net::SocketAddr, pin::Pin, rc::Rc, sync::Arc,
        time::Duration,
    },
    tokio::net::{TcpListener, TcpStream},
};

/// Pause after a failed accept, which is most often a lack of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Connections that the system queues until they are accepted.
const BACKLOG: u32 = 1_024;

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
    /// Time for a request's headers to arrive, also while a connection is idle.
    pub header_time: Cell<Duration>,
    /// Longest time that sent bytes may stay unacknowledged.
    pub silence_limit: Duration,
}

/// Opens a listening socket.
pub fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => tokio::net::TcpSocket::new_v4()?,
        SocketAddr::V6(_) => tokio::net::TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Accepts connections and serves them until `closing` is set; those that are open then finish the
/// request at hand.
pub async fn serve_callers(
    listener: TcpListener,
    handler: IngressHandler,
    limits: Rc<IngressLimits>,
    closing: Arc<OnceSignal>,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = closing.wait() => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let serving = serve_one(stream, handler.clone(), limits.clone(), closing.clone());
                tokio::task::spawn_local(serving);
            }
            Err(error) => {
                log::warn!("a connection could not be accepted: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_one(
    stream: TcpStream,
    handler: IngressHandler,
    limits: Rc<IngressLimits>,
    closing: Arc<OnceSignal>,
) {
    let prepared = stream
        .set_nodelay(true)
        .and_then(|()| SockRef::from(&stream).set_tcp_user_timeout(Some(limits.silence_limit)));
    if let Err(error) = prepared {
        log::debug!("a caller's connection ended as it came: {error}");
        return;
    }
    let switch = ResetSwitch::default();
    let body_switch = switch.clone();
    let service = service_fn(move |request| {
        let version = request.version();
        let answer = handler(request);
        let switch = body_switch.clone();
        async move { Ok::<_, Infallible>(reset_if_broken(answer.await, version, switch)) }
    });
    let stream = CallerStream::new(stream, switch);
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_time.get())
        .half_close(false)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = closing.wait() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        log::debug!("a caller's connection ended: {error}");
    }
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

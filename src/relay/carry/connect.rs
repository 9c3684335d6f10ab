//! Asks another host to carry a connection to a backend server.

use {
    crate::{relay::backend::BackendInfo, web},
    http::{HeaderName, Method, Request, StatusCode},
    http_body_util::Empty,
    hyper::{
        client::conn::http1::{self, SendRequest},
        upgrade::{self, Upgraded},
    },
    hyper_util::rt::TokioIo,
    std::{
        fmt, io,
        net::{IpAddr, SocketAddr},
        time::Duration,
    },
    tokio::net::TcpStream,
};

/// Header with the id of the server that a host asks to be connected to.
pub(super) const SERVER_HEADER: HeaderName = HeaderName::from_static("bayplank-server");

/// Header with the name of the asking host.
pub(super) const HOST_HEADER: HeaderName = HeaderName::from_static("bayplank-host");

/// The responses to a request for a connection other than success.
pub(super) mod responses {
    use http::StatusCode;

    /// The asking host or the server is not listed.
    pub const NOT_LISTED: StatusCode = StatusCode::FORBIDDEN;
    /// The server refuses connections.
    pub const SERVER_REFUSED: StatusCode = StatusCode::BAD_GATEWAY;
    /// The server does not answer.
    pub const SERVER_SILENT: StatusCode = StatusCode::GATEWAY_TIMEOUT;
    /// The host has lost its own links to the server and others like it.
    pub const NO_LINK: StatusCode = StatusCode::MISDIRECTED_REQUEST;
    /// The host is stopping or carries as many connections as it can.
    pub const UNAVAILABLE: StatusCode = StatusCode::SERVICE_UNAVAILABLE;
}

/// Maximum time for a host to accept a connection; a host that is gone does not answer.
const HOST_CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// Why a host did not connect this one to a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum ConnectFailure {
    /// The server refuses connections.
    ServerRefused,
    /// The server does not answer that host.
    ServerSilent,
    /// The host has lost its own links to the server and others like it.
    NoLink,
    /// The host does not help.
    Unavailable(String),
}

impl fmt::Display for ConnectFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ServerRefused => f.write_str("the server refuses connections"),
            Self::ServerSilent => f.write_str("the server does not answer"),
            Self::NoLink => f.write_str("the host has lost its links to the server, too"),
            Self::Unavailable(detail) => f.write_str(detail),
        }
    }
}

impl std::error::Error for ConnectFailure {}

fn unavailable(error: impl fmt::Display) -> ConnectFailure {
    ConnectFailure::Unavailable(error.to_string())
}

/// The asking host, by which the other one recognises it.
#[derive(Debug, Clone, Copy)]
pub(super) struct AskingHost<'a> {
    /// Its name.
    pub name: &'a str,
    /// The address at which other hosts know it, and from which it connects.
    pub address: IpAddr,
}

/// Opens a connection to a server through the host at `carrier`.
pub(super) async fn connect_through(
    carrier: SocketAddr,
    own: AskingHost<'_>,
    backend: &BackendInfo,
) -> Result<TcpStream, ConnectFailure> {
    let mut sender = open_host(carrier, own.address).await.map_err(unavailable)?;
    let request = Request::builder()
        .method(Method::CONNECT)
        .uri(backend.address.to_string())
        .header(HOST_HEADER, own.name)
        .header(SERVER_HEADER, backend.id.as_str())
        .body(Empty::new())
        .map_err(unavailable)?;
    let response = sender.send_request(request).await.map_err(unavailable)?;
    match response.status() {
        StatusCode::OK => {}
        responses::SERVER_REFUSED => return Err(ConnectFailure::ServerRefused),
        responses::SERVER_SILENT => return Err(ConnectFailure::ServerSilent),
        responses::NO_LINK => return Err(ConnectFailure::NoLink),
        status => return Err(unavailable(status)),
    }
    let upgraded = upgrade::on(response).await.map_err(unavailable)?;
    into_stream(upgraded).map_err(unavailable)
}

/// Asks whether the host at `carrier` still carries connections.
pub(super) async fn is_available(carrier: SocketAddr, own: AskingHost<'_>) -> bool {
    let asking = async {
        let mut sender = open_host(carrier, own.address).await?;
        let request = Request::builder()
            .header(HOST_HEADER, own.name)
            .body(Empty::new())
            .map_err(io::Error::other)?;
        let response = sender
            .send_request(request)
            .await
            .map_err(io::Error::other)?;
        Ok::<_, io::Error>(response.status())
    };
    match tokio::time::timeout(HOST_CONNECT_TIMEOUT, asking).await {
        Ok(Ok(status)) => status == StatusCode::OK,
        Ok(Err(error)) => {
            log::debug!("host {carrier} carries nothing: {error}");
            false
        }
        Err(_) => false,
    }
}

type HostSender = SendRequest<Empty<&'static [u8]>>;

async fn open_host(carrier: SocketAddr, own: IpAddr) -> io::Result<HostSender> {
    let opening = web::connect_from(own, carrier);
    let stream = tokio::time::timeout(HOST_CONNECT_TIMEOUT, opening).await??;
    stream.set_nodelay(true)?;
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(io::Error::other)?;
    tokio::task::spawn_local(async move {
        if let Err(error) = connection.with_upgrades().await {
            log::debug!("connection to host {carrier} ended: {error}");
        }
    });
    Ok(sender)
}

/// The connection below an upgraded one. Nothing may have been read from it beyond the response, as the end that is now
/// spoken to waits for a request.
pub(super) fn into_stream(upgraded: Upgraded) -> io::Result<TcpStream> {
    let parts = upgraded
        .downcast::<TokioIo<TcpStream>>()
        .map_err(|_| io::Error::other("not a TCP connection"))?;
    match parts.read_buf.is_empty() {
        true => Ok(parts.io.into_inner()),
        false => Err(io::Error::other("bytes before the connection was there")),
    }
}

//! Joins the connection of an asking host with one to a backend server.

use {
    socket2::{SockRef, TcpKeepalive},
    std::{io, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{
            TcpStream,
            tcp::{ReadHalf, WriteHalf},
        },
    },
};

/// Size of the buffer of each direction, in bytes.
const BUFFER_BYTES: usize = 8 << 10;

/// Idle time after which the asking host is probed: one that lost power says nothing, and the server must not go on
/// working for it.
const KEEPALIVE_TIME: Duration = Duration::from_secs(1);

/// Maximum time without an acknowledgement from the asking host. Also decides when keep-alive probes give up.
const SILENCE_LIMIT: Duration = Duration::from_secs(2);

/// Numbers of bytes that were joined.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct SplicedBytes {
    /// From the asking host to the server.
    pub sent: u64,
    /// From the server to the asking host.
    pub received: u64,
}

/// Sets the options of the asking host's connection.
pub(super) fn prepare(asking: &TcpStream) -> io::Result<()> {
    asking.set_nodelay(true)?;
    let socket = SockRef::from(asking);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_TIME)
        .with_interval(KEEPALIVE_TIME);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(SILENCE_LIMIT))
}

/// Passes bytes on both ways until either end closes, and then closes the other one in the same manner: a reset stays a
/// reset, as it tells whether an answer without a length is complete.
pub(super) async fn splice(mut asking: TcpStream, mut server: TcpStream) -> SplicedBytes {
    let mut bytes = SplicedBytes::default();
    let is_reset = {
        let (mut asking_in, mut asking_out) = asking.split();
        let (mut server_in, mut server_out) = server.split();
        tokio::select! {
            // Nobody waits for the rest of the answer.
            _ = copy(&mut asking_in, &mut server_out, &mut bytes.sent) => false,
            result = copy(&mut server_in, &mut asking_out, &mut bytes.received) => result.is_err(),
        }
    };
    if is_reset && let Err(error) = SockRef::from(&asking).set_linger(Some(Duration::ZERO)) {
        log::warn!("a reset of a carried connection cannot be passed on: {error}");
    }
    bytes
}

async fn copy(from: &mut ReadHalf<'_>, to: &mut WriteHalf<'_>, count: &mut u64) -> io::Result<()> {
    let mut buffer = [0; BUFFER_BYTES];
    loop {
        let read = from.read(&mut buffer).await?;
        if read == 0 {
            return to.shutdown().await;
        }
        to.write_all(&buffer[..read]).await?;
        *count += read as u64;
    }
}

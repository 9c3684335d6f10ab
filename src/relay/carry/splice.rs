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

/// Passes bytes on both ways until either end closes, and then closes the other one in the same manner: how a connection
/// ends tells whether a response without a length is complete. Both are reset unless one of them ended in an orderly way, also
/// when this process is killed. `check` is called before bytes of the asking host are passed on; both connections end if it
/// fails.
pub(super) async fn splice(
    mut asking: TcpStream,
    mut server: TcpStream,
    check: impl AsyncFn() -> io::Result<()>,
) -> SplicedBytes {
    let mut bytes = SplicedBytes::default();
    set_reset_on_close(&asking, true);
    set_reset_on_close(&server, true);
    let result = {
        let (mut asking_in, mut asking_out) = asking.split();
        let (mut server_in, mut server_out) = server.split();
        tokio::select! {
            // Nobody waits for the rest of the answer.
            result = copy(&mut asking_in, &mut server_out, &mut bytes.sent, check) => result,
            result = copy(&mut server_in, &mut asking_out, &mut bytes.received, async || Ok(())) => result,
        }
    };
    match result {
        Ok(()) => {
            end_orderly(&mut asking).await;
            end_orderly(&mut server).await;
        }
        Err(error) => log::debug!("a carried connection is reset: {error}"),
    }
    bytes
}

async fn end_orderly(stream: &mut TcpStream) {
    set_reset_on_close(stream, false);
    if let Err(error) = stream.shutdown().await {
        log::debug!("a carried connection had ended already: {error}");
    }
}

fn set_reset_on_close(stream: &TcpStream, is_on: bool) {
    let linger = is_on.then_some(Duration::ZERO);
    if let Err(error) = SockRef::from(stream).set_linger(linger) {
        log::warn!("how a carried connection ends cannot be passed on: {error}");
    }
}

async fn copy(
    from: &mut ReadHalf<'_>,
    to: &mut WriteHalf<'_>,
    count: &mut u64,
    check: impl AsyncFn() -> io::Result<()>,
) -> io::Result<()> {
    let mut buffer = [0; BUFFER_BYTES];
    loop {
        let read = from.read(&mut buffer).await?;
        if read == 0 {
            return Ok(());
        }
        check().await?;
        to.write_all(&buffer[..read]).await?;
        *count += read as u64;
    }
}

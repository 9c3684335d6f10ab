//! Whether anybody listens at an address.

use {
    std::{io::ErrorKind, net::SocketAddr, time::Duration},
    tokio::net::TcpStream,
};

/// What an address does with a new connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// It takes it.
    Taken,
    /// Its host answers that nobody listens there.
    Refused,
    /// Nothing came in time, or there is no way there.
    Silent,
}

/// Opens a connection to an address, and closes it at once.
pub async fn probe(address: SocketAddr, patience: Duration) -> ProbeOutcome {
    match tokio::time::timeout(patience, TcpStream::connect(address)).await {
        Ok(Ok(_)) => ProbeOutcome::Taken,
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => ProbeOutcome::Refused,
        Ok(Err(error)) => {
            log::debug!("nobody can say whether {address} listens: {error}");
            ProbeOutcome::Silent
        }
        Err(_) => ProbeOutcome::Silent,
    }
}

//! Whether anybody listens at an address.

use {
    std::{
        io::{self, ErrorKind},
        net::SocketAddr,
        time::Duration,
    },
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

/// Longest wait for the answer to a new connection; hosts of a zone are a millisecond apart, regions some tens.
const PROBE_PATIENCE: Duration = Duration::from_millis(250);

/// Pauses before each new connection, as long as there is no answer: packets are lost, cuts last seconds.
const PROBE_PAUSES: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(100),
    Duration::from_millis(400),
];

/// Opens connections to an address, and closes them at once, until it is sure whether anybody listens.
pub async fn probe_patiently<F>(open: impl Fn(SocketAddr) -> F, address: SocketAddr) -> ProbeOutcome
where
    F: Future<Output = io::Result<TcpStream>>,
{
    let mut last = ProbeOutcome::Silent;
    for pause in PROBE_PAUSES {
        tokio::time::sleep(pause).await;
        let outcome = probe(&open, address).await;
        // A process that ends closes one socket after the other: what it still takes at once says nothing.
        let is_sure = outcome == ProbeOutcome::Refused || outcome == last;
        if is_sure && outcome != ProbeOutcome::Silent {
            return outcome;
        }
        last = outcome;
    }
    last
}

async fn probe<F>(open: &impl Fn(SocketAddr) -> F, address: SocketAddr) -> ProbeOutcome
where
    F: Future<Output = io::Result<TcpStream>>,
{
    match tokio::time::timeout(PROBE_PATIENCE, open(address)).await {
        Ok(Ok(_)) => ProbeOutcome::Taken,
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => ProbeOutcome::Refused,
        Ok(Err(error)) => {
            log::debug!("nobody can say whether {address} listens: {error}");
            ProbeOutcome::Silent
        }
        Err(_) => ProbeOutcome::Silent,
    }
}

//! Choice of the host from which the next pieces are requested. A state machine without clock.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

/// How long a host is skipped that has none of the requested pieces.
const SKIP_WITHOUT_PIECES: Duration = Duration::from_millis(200);

/// How long a host is skipped that did not answer.
const SKIP_UNANSWERED: Duration = Duration::from_millis(2_000);

/// Most hosts that are remembered as sources because others named them.
const NAMED_SOURCES_MAX: usize = 8;

/// The sources of pieces that a host knows, and which of them it skips.
#[derive(Debug, Default)]
pub struct PieceSources {
    announcer: Option<SocketAddr>,
    // Hosts that have some of the pieces, as other hosts said; the latest last.
    named: Vec<SocketAddr>,
    skipped: HashMap<SocketAddr, Duration>,
}

impl PieceSources {
    /// Records the host that announced the newest version, which is asked first.
    pub fn set_announcer(&mut self, address: SocketAddr) {
        self.announcer = Some(address);
        self.skipped.remove(&address);
    }

    /// Records that a host cannot send more for a while, and which other hosts it named.
    pub fn note_busy(
        &mut self,
        address: SocketAddr,
        wait: Duration,
        others: &[SocketAddr],
        now: Duration,
    ) {
        self.skipped.insert(address, now + wait);
        self.named.retain(|known| !others.contains(known));
        self.named.extend(others);
        let excess = self.named.len().saturating_sub(NAMED_SOURCES_MAX);
        self.named.drain(..excess);
    }

    /// Records that a host has none of the requested pieces.
    pub fn note_without_pieces(&mut self, address: SocketAddr, now: Duration) {
        self.skipped.insert(address, now + SKIP_WITHOUT_PIECES);
    }

    /// Records that a host did not answer.
    pub fn note_unanswered(&mut self, address: SocketAddr, now: Duration) {
        self.skipped.insert(address, now + SKIP_UNANSWERED);
        self.named.retain(|known| *known != address);
    }

    /// The host to ask next: the announcer, then hosts that others named, then one of `further`.
    pub fn choose(
        &mut self,
        further: impl Iterator<Item = SocketAddr>,
        now: Duration,
    ) -> Option<SocketAddr> {
        self.skipped.retain(|_, until| now < *until);
        let known = self.announcer.into_iter();
        let known = known.chain(self.named.iter().rev().copied());
        let mut candidates = known.chain(further);
        candidates.find(|address| !self.skipped.contains_key(address))
    }
}

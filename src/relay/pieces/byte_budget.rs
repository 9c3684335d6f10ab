//! The share of a network link that pieces may take.

use std::time::Duration;

/// Share of a host's link; the rest is left to callers' requests and to other messages between hosts.
const LINK_SHARE: f64 = 0.5;

/// Bytes that may pass at once after a pause.
const BURST_BYTES: f64 = 64.0 * 1024.0;

const BYTES_PER_MBIT: f64 = 125_000.0;

/// Limits the bytes per second of pieces. A state machine without clock.
#[derive(Debug)]
pub struct ByteBudget {
    // Bytes per second; none without a limit.
    rate: Option<f64>,
    available: f64,
    updated: Duration,
}

impl ByteBudget {
    /// The budget of a link of a bandwidth in Mbit/s; there is no limit if it is 0, which stands for unknown.
    pub fn of_link(mbps: u32) -> Self {
        let rate = f64::from(mbps) * BYTES_PER_MBIT * LINK_SHARE;
        Self {
            rate: (mbps > 0).then_some(rate),
            available: BURST_BYTES,
            updated: Duration::ZERO,
        }
    }

    /// How long to wait until more bytes may pass.
    pub fn wait(&mut self, now: Duration) -> Duration {
        let Some(rate) = self.rate else {
            return Duration::ZERO;
        };
        let elapsed = now.saturating_sub(self.updated).as_secs_f64();
        self.available = (self.available + elapsed * rate).min(BURST_BYTES);
        self.updated = now.max(self.updated);
        match self.available < 0.0 {
            true => Duration::from_secs_f64(-self.available / rate),
            false => Duration::ZERO,
        }
    }

    /// Records bytes that pass. They may exceed what is available, which lengthens the wait before the next ones.
    pub fn take(&mut self, bytes: usize) {
        self.available -= bytes as f64;
    }
}

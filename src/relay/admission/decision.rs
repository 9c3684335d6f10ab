//! Whether a request is admitted, waits or is refused, by the room that it needs and the time that it has.

use {super::room::ServerRoom, std::time::Duration};

/// What a request needs of the servers that can run it, and by when.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RoomNeed {
    /// Units of room.
    pub units: u64,
    /// Units that are wanted by requests that go before it.
    pub ahead: u64,
    /// Expected time from its admission to its response, or to the first event of a stream.
    pub service_time: Duration,
    /// When its latency target passes, on the host's clock.
    pub due: Duration,
}

/// What becomes of a request now.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AdmissionDecision {
    /// There is room for it.
    Admit,
    /// Room is expected soon enough for it to be served in time. It is decided again when room becomes free, and at
    /// the latest at this time on the host's clock, from which it could not be served in time any more.
    Wait {
        /// That time.
        until: Duration,
    },
    /// It cannot be served in time, so its caller is told at once.
    Refuse {
        /// Time until there is room for it; `None` if that cannot be foreseen.
        room_in: Option<Duration>,
    },
}

/// Decides by the room at the servers that can run a request.
pub fn decide_admission(room: &ServerRoom, need: &RoomNeed, now: Duration) -> AdmissionDecision {
    let wait = room.wait_for(need.ahead, need.units);
    let until = need.due.saturating_sub(need.service_time);
    match wait {
        Some(Duration::ZERO) => AdmissionDecision::Admit,
        Some(wait) if now + wait <= until => AdmissionDecision::Wait { until },
        room_in => AdmissionDecision::Refuse { room_in },
    }
}

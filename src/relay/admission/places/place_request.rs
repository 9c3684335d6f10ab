//! What hosts exchange about the places of a contended server.

use {crate::relay::policy::loads::EngineKey, std::time::Duration};

/// Longest time for which a request waits for a place. A host that waits longer for an answer takes the owner for lost,
/// and callers must not stall for more than 0.3 s then.
pub const MAX_PLACE_WAIT: Duration = Duration::from_millis(180);

/// A host's request for a place at a contended server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlaceRequest {
    /// The server.
    pub server: EngineKey,
    /// Number of requests that the server processes concurrently.
    pub slots: u32,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Time from now within which its response meets the latency target.
    pub in_time: Duration,
    /// Time from now until its deadline, after which it runs no more.
    pub time_left: Duration,
    /// Mean time in which the server answered the requesting host; zero if it is not known.
    pub service_time: Duration,
    /// Whether it may wait for a place. If not, it is answered at once.
    pub may_wait: bool,
}

/// The response to a [`PlaceRequest`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PlaceAnswer {
    /// The lease of the place; `None` if the request was refused.
    pub lease: Option<u64>,
    /// Of a refused request, when its caller may come back. Of a granted one, the wait of a further request.
    pub wait: Duration,
    /// How long the server will count as contended; zero if it has room again.
    pub contended: Duration,
}

/// How the request ended that used a place.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum PlaceEnd {
    /// It was not sent, or got no response.
    #[default]
    Unused,
    /// The server answered after this time.
    Answered(Duration),
    /// The server declined it for lack of room.
    Declined,
}

/// A place that a host gives back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlaceReturn {
    /// The server.
    pub server: EngineKey,
    /// The lease of the place.
    pub lease: u64,
    /// How its request ended.
    pub end: PlaceEnd,
}

/// A message to the owner of a server's places.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PlaceMessage {
    /// The request for a place, if there is one.
    pub request: Option<PlaceRequest>,
    /// Places that the sender gives back.
    pub returns: Vec<PlaceReturn>,
}

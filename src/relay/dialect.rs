//! The protocol of a kind of backend servers: the headers, calls and bodies that carry each piece of information.
//!
//! Routing decisions are the same for every kind of backend server; everything that differs is defined here, as data
//! and functions.

use {
    super::policy::{
        server_limit::LimitSignal,
        server_signals::{BackoffSignal, LeavingSignal, ServerSignals},
    },
    crate::{account::PresentedKey, engine::EngineRole, web::PoolUse},
    bytes::Bytes,
    faststr::FastStr,
    http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, header},
    std::{net::SocketAddr, time::Duration},
};

/// The metadata in the headers of a caller's request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestMetadata {
    /// The caller's request id, different for each of its attempts.
    pub id: FastStr,
    /// How long the caller will wait for the response.
    pub time_left: Option<Duration>,
    /// Number of tokens in the prompt.
    pub prompt_tokens: u64,
    /// Maximum number of tokens in the response.
    pub answer_limit: u64,
    /// The caller's estimate of the number of tokens in the response.
    pub answer_hint: Option<u64>,
    /// Id of the last event that the caller received.
    pub last_event: Option<FastStr>,
    /// Id of the request that brought the caller the first event of the stream that this one takes up.
    pub resumes: Option<FastStr>,
    /// The API key that the request carries.
    pub key: PresentedKey,
    /// Id of the prompt's last part, which belongs to this request or to its session. Engines use it as the key of
    /// what they cache of the prompt.
    pub last_part: Option<FastStr>,
    /// Number of tokens of that part.
    pub last_part_tokens: u64,
    /// Ids of the other parts of the prompt, which other requests may share; bounded in number and length.
    pub shared_parts: Vec<FastStr>,
}

/// The metadata in the headers of a backend server's response.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ResponseMetadata {
    /// Id of the request that is answered.
    pub id: Option<FastStr>,
    /// Whether the backend server states that the request did not run.
    pub not_run: bool,
    /// The state that the server reports of itself.
    pub server: ServerSignals,
}

impl ResponseMetadata {
    /// Whether the response is for a different request.
    pub fn is_for_other_request(&self, request: &str) -> bool {
        self.id.as_ref().is_some_and(|id| id != request)
    }
}

/// Names of the response headers in which a server reports its state.
#[derive(Debug, Clone)]
pub struct ServerHeaders {
    /// Requests per second that the server accepts from all hosts together.
    pub limit: HeaderName,
    /// Whether the server is leaving.
    pub leaving: HeaderName,
}

/// Reads the state that a server reports of itself in a response.
pub fn read_server_marks(
    status: StatusCode,
    headers: &HeaderMap,
    names: &ServerHeaders,
) -> ServerSignals {
    let values = |name: &HeaderName| headers.get_all(name).iter().map(HeaderValue::as_bytes);
    ServerSignals {
        limit: LimitSignal::parse(values(&names.limit)),
        leaving: match status {
            // Sent by another run that now has the address; its state says nothing about the run that was called.
            StatusCode::MISDIRECTED_REQUEST => LeavingSignal::Absent,
            _ => LeavingSignal::parse(values(&names.leaving)),
        },
        backoff: match status {
            StatusCode::SERVICE_UNAVAILABLE => BackoffSignal::parse(values(&header::RETRY_AFTER)),
            _ => BackoffSignal::Absent,
        },
    }
}

/// The intended backend server of a request, and the time left for it.
#[derive(Debug, Clone, Copy)]
pub struct RequestTarget<'a> {
    /// The intended run of the backend server; any other run declines the request.
    pub backend: &'a str,
    /// How long the caller will still wait.
    pub time_left: Duration,
    /// The client account of the request, if known.
    pub account: Option<&'a str>,
}

/// A call to a backend server that this host makes on its own, not on behalf of a caller's request.
#[derive(Debug, Clone)]
pub struct BackendCall {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// JSON body; may be empty.
    pub body: Bytes,
    /// Purpose of the connection, for the pool's counters.
    pub purpose: PoolUse,
}

/// A KV cache held at a prefill engine for a decode engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromptCache {
    /// The engine's handle of the cache.
    pub handle: FastStr,
    /// Number of tokens in the cache.
    pub tokens: u64,
}

/// How a decode engine starts a request.
#[derive(Debug, Clone, Default)]
pub struct DecodeParams {
    /// Source of the KV cache: the prefill engine's address and the cache's handle.
    pub cache_source: Option<(SocketAddr, FastStr)>,
    /// Handle of the memory reservation for the request.
    pub reservation: Option<FastStr>,
    /// Id of the last event that the caller received; the stream resumes after it.
    pub after_event: Option<FastStr>,
}

/// A change in an engine's prompt cache.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CacheChange {
    /// Id of the prompt part.
    pub part: FastStr,
    /// Number of tokens of the part that are now cached; 0 if it was evicted.
    pub tokens: u64,
}

/// What to ask an engine about its prompt cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CacheQuery {
    /// The complete content; the engine interrupts its work to list it.
    Full,
    /// The changes from this change number on.
    Since(u64),
}

/// The complete content of an engine's prompt cache, or the changes since the last query.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CacheUpdate {
    /// Differs after a restart of the engine.
    pub epoch: u64,
    /// The change number to query from next.
    pub next: u64,
    /// Whether the changes are the complete content of the cache.
    pub is_whole: bool,
    /// The changes, oldest first.
    pub changes: Vec<CacheChange>,
}

/// An order to an engine to change its role, protected by a fencing token.
#[derive(Debug, Clone)]
pub struct RoleOrder {
    /// The new role.
    pub role: EngineRole,
    /// The lease holder, which gives the order.
    pub holder: FastStr,
    /// The lease's fencing token.
    pub token: u64,
    /// Expected number of orders that the engine has accepted; the order is void if the count differs.
    pub orders_taken: u64,
}

/// An engine's report of its state; a few hundred milliseconds old.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineReport {
    /// The current role.
    pub role: Option<EngineRole>,
    /// Whether the engine is carrying out an order.
    pub is_busy: bool,
    /// Number of orders accepted since the engine started.
    pub orders_taken: u64,
}

/// The functions that implement the protocol of a kind of backend servers.
#[derive(Debug, Clone, Copy)]
pub struct CallDialect {
    /// Reads the metadata of a caller's request.
    pub read_request: fn(&HeaderMap) -> RequestMetadata,
    /// Removes headers that only a host may set from a caller's request.
    pub strip_request: fn(&mut HeaderMap),
    /// Sets the headers for the intended backend server, the client account and the time left.
    pub set_target: fn(&mut HeaderMap, RequestTarget<'_>),
    /// Sets the header for the intended run of the backend server, on a call that the host makes on its own.
    pub set_backend: fn(&mut HeaderMap, &str),
    /// Reads the metadata of a response.
    pub read_response: fn(StatusCode, &HeaderMap) -> ResponseMetadata,
    /// The additional functions for model engines.
    pub engines: EngineDialect,
}

/// The functions that implement the protocol of model engines.
#[derive(Debug, Clone, Copy)]
pub struct EngineDialect {
    /// Turns a request into a prefill-only request.
    pub prepare_prefill: fn(&mut HeaderMap),
    /// Reads the response to a prefill.
    pub read_prefill: fn(&[u8]) -> Option<PromptCache>,
    /// Turns a request into a decode request.
    pub prepare_decode: fn(&mut HeaderMap, &DecodeParams),
    /// Makes a call that reserves memory for a number of tokens, for a time.
    pub reserve_memory: fn(u64, Duration) -> BackendCall,
    /// Reads the handle of a reservation.
    pub read_reservation: fn(&[u8]) -> Option<FastStr>,
    /// Makes a call that releases a reservation.
    pub release_memory: fn(&str) -> BackendCall,
    /// Makes a call that frees a held KV cache.
    pub free_cache: fn(&str) -> BackendCall,
    /// Makes a call that queries an engine's prompt cache.
    pub query_cache: fn(CacheQuery) -> BackendCall,
    /// Reads the response to that query; none if it is unusable, such as one with a gap in the changes.
    pub read_cache: fn(CacheQuery, &[u8]) -> Option<CacheUpdate>,
    /// Makes a call that asks an engine for its report.
    pub query_report: fn() -> BackendCall,
    /// Reads an engine's report.
    pub read_report: fn(&[u8]) -> Option<EngineReport>,
    /// Makes a call that gives a role order.
    pub order_role: fn(&RoleOrder) -> BackendCall,
}

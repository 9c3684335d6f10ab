//! How backend servers are spoken to: which headers, calls and bodies carry what.
//!
//! The decisions are the same for every kind of backend server; what differs is here, as data and
//! functions.

use {
    super::policy::{
        server_limit::LimitSignal,
        server_signals::{BackoffSignal, LeavingSignal, ServerSignals},
    },
    crate::{account::ShownKey, engine::EngineRole, web::PoolUse},
    bytes::Bytes,
    faststr::FastStr,
    http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, header},
    std::{net::SocketAddr, time::Duration},
};

/// What a caller's request says of itself.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CallMarks {
    /// The caller's id of the request, unique to each of its tries.
    pub id: FastStr,
    /// How long the caller will wait.
    pub time_left: Option<Duration>,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the answer at most.
    pub answer_limit: u64,
    /// The caller's estimate of the answer's tokens.
    pub answer_hint: Option<u64>,
    /// The last event that the caller has.
    pub last_event: Option<FastStr>,
    /// The key that it shows.
    pub key: ShownKey,
    /// Id of the prompt's last part, which is this request's own or its session's: engines name what they
    /// keep of a prompt by it.
    pub last_part: Option<FastStr>,
}

/// What a backend server's answer says of itself.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct AnswerMarks {
    /// Id of the request that it answers.
    pub id: Option<FastStr>,
    /// The backend server states that the request did not run.
    pub not_run: bool,
    /// What it says of its server.
    pub server: ServerSignals,
}

impl AnswerMarks {
    /// Whether it answers another request than this one.
    pub fn is_anothers(&self, request: &str) -> bool {
        self.id.as_ref().is_some_and(|id| id != request)
    }
}

/// The headers in which an answer says something of its server.
#[derive(Debug, Clone)]
pub struct ServerHeaders {
    /// Requests a second that it takes from all hosts together.
    pub limit: HeaderName,
    /// That it is leaving.
    pub leaving: HeaderName,
}

/// What an answer says of its server.
pub fn read_server_marks(
    status: StatusCode,
    headers: &HeaderMap,
    names: &ServerHeaders,
) -> ServerSignals {
    let values = |name: &HeaderName| headers.get_all(name).iter().map(HeaderValue::as_bytes);
    ServerSignals {
        limit: LimitSignal::parse(values(&names.limit)),
        leaving: match status {
            // That of another run, which has the address now.
            StatusCode::MISDIRECTED_REQUEST => LeavingSignal::Absent,
            _ => LeavingSignal::parse(values(&names.leaving)),
        },
        backoff: match status {
            StatusCode::SERVICE_UNAVAILABLE => BackoffSignal::parse(values(&header::RETRY_AFTER)),
            _ => BackoffSignal::Absent,
        },
    }
}

/// Whom a request is meant for, and how long it may take.
#[derive(Debug, Clone, Copy)]
pub struct CallAddress<'a> {
    /// The run of the backend server; any other declines.
    pub backend: &'a str,
    /// What is left of the caller's time.
    pub time_left: Duration,
    /// The client account that the request is for, if it is known.
    pub account: Option<&'a str>,
}

/// A call of our own to a backend server.
#[derive(Debug, Clone)]
pub struct BackendCall {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// A JSON body, or nothing.
    pub body: Bytes,
    /// What it is for.
    pub purpose: PoolUse,
}

/// A KV cache that waits at a prefill engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromptCache {
    /// What it is called there.
    pub handle: FastStr,
    /// Its tokens.
    pub tokens: u64,
}

/// How a decode engine is to begin a request.
#[derive(Debug, Clone, Default)]
pub struct DecodeStart {
    /// Where the KV cache waits: the prefill engine's address and the cache's name.
    pub source: Option<(SocketAddr, FastStr)>,
    /// Memory reserved for the request.
    pub hold: Option<FastStr>,
    /// The last event that the caller has.
    pub after_event: Option<FastStr>,
}

/// A change in what an engine keeps of prompts that it read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CacheChange {
    /// Id of the prompt's part.
    pub part: FastStr,
    /// Tokens of it that are kept now; 0 when it is gone.
    pub tokens: u64,
}

/// What an engine is to be asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CacheQuestion {
    /// All that it keeps, for which it interrupts its work.
    Whole,
    /// What has changed from this change on.
    Since(u64),
}

/// What an engine keeps of prompts that it read: all of it, or what has changed since it was asked last.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CacheNews {
    /// Another one after the engine was started anew.
    pub epoch: u64,
    /// The change to ask for next.
    pub next: u64,
    /// Whether this is all that the engine keeps.
    pub is_whole: bool,
    /// The changes, the oldest first.
    pub changes: Vec<CacheChange>,
}

/// A fenced order to an engine to take another role.
#[derive(Debug, Clone)]
pub struct RoleOrder {
    /// The role to take.
    pub role: EngineRole,
    /// The host that gives the order.
    pub holder: FastStr,
    /// The lease's fencing token.
    pub token: u64,
    /// The order is void if the engine has taken another number of orders.
    pub orders_taken: u64,
}

/// What an engine says of itself; some hundred milliseconds old.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineReport {
    /// What it does.
    pub role: Option<EngineRole>,
    /// It is carrying out an order.
    pub is_busy: bool,
    /// Orders that it has taken since its start.
    pub orders_taken: u64,
}

/// How backend servers of any kind are spoken to.
#[derive(Debug, Clone, Copy)]
pub struct CallDialect {
    /// Reads what a caller's request says of itself.
    pub read_call: fn(&HeaderMap) -> CallMarks,
    /// Removes headers that only this host may set.
    pub strip_call: fn(&mut HeaderMap),
    /// Names the backend server, the client account and the time that is left.
    pub address_call: fn(&mut HeaderMap, CallAddress<'_>),
    /// Names the run of the backend server that a call of our own is meant for.
    pub name_backend: fn(&mut HeaderMap, &str),
    /// Reads what an answer says of itself.
    pub read_answer: fn(StatusCode, &HeaderMap) -> AnswerMarks,
    /// What engines are told besides.
    pub engines: EngineDialect,
}

/// How model engines are spoken to.
#[derive(Debug, Clone, Copy)]
pub struct EngineDialect {
    /// Makes a request one for the prefill alone.
    pub as_prefill: fn(&mut HeaderMap),
    /// Reads the answer to a prefill.
    pub read_prefill: fn(&[u8]) -> Option<PromptCache>,
    /// Makes a request one for the decode.
    pub as_decode: fn(&mut HeaderMap, &DecodeStart),
    /// Reserves memory for a time.
    pub hold: fn(u64, Duration) -> BackendCall,
    /// Reads what a reservation is called.
    pub read_hold: fn(&[u8]) -> Option<FastStr>,
    /// Gives a reservation back.
    pub drop_hold: fn(&str) -> BackendCall,
    /// Frees a KV cache that waits.
    pub free_cache: fn(&str) -> BackendCall,
    /// Asks an engine what it keeps of prompts, or what has changed in that.
    pub ask_cache: fn(CacheQuestion) -> BackendCall,
    /// Reads the answer to that question; none where it is of no use, such as one with a gap.
    pub read_cache: fn(CacheQuestion, &[u8]) -> Option<CacheNews>,
    /// Asks an engine what it does.
    pub report: fn() -> BackendCall,
    /// Reads the answer to that.
    pub read_report: fn(&[u8]) -> Option<EngineReport>,
    /// Gives an order.
    pub order: fn(&RoleOrder) -> BackendCall,
}

//! A request on its way through the filters.

use {
    super::completion::CompletionCall,
    crate::{
        object::{IntentSpec, LabelSelector, ServiceSpec, TenantSpec, Typed},
        operation::{OperationAnswer, Refusal},
    },
    bytes::Bytes,
    faststr::FastStr,
    http::{HeaderMap, Method},
    std::sync::Arc,
    volo_http::response::Response,
};

/// Name of the tenant of callers without a key, where they are allowed.
pub const ANONYMOUS: FastStr = FastStr::from_static_str("anonymous");

/// Header with the verdict of a refusal.
pub const VERDICT_HEADER: &str = "bayplank-verdict";

/// Header with the request's id, on every answer.
pub const REQUEST_HEADER: &str = "bayplank-request-id";

/// Header with a ticket for a later call that may not be repeated.
pub const TICKET_HEADER: &str = "bayplank-ticket";

/// Header by which another entry host marks what it passes on.
pub const FORWARDED_HEADER: &str = "bayplank-forwarded-by";

/// Header with a caller's key of an operation.
pub const KEY_HEADER: &str = "idempotency-key";

/// Header with the last event of a stream that a caller has.
pub const LAST_EVENT_HEADER: &str = "last-event-id";

/// What a request asks for.
#[derive(Debug, Clone)]
pub enum CallKind {
    /// A completion of a model.
    Model(Arc<CompletionCall>),
    /// The list of models.
    Models,
    /// A call of a plain service, at a path within it.
    Plain {
        /// The service.
        service: Arc<Typed<ServiceSpec>>,
        /// The path within the service, with its query.
        path: FastStr,
    },
    /// The end of an operation that the caller no longer wants.
    CancelOperation(FastStr),
    /// A ticket for a later call.
    Ticket,
}

/// Whom a request is for.
#[derive(Debug, Clone)]
pub struct CallTenant {
    /// The tenant's name.
    pub name: FastStr,
    /// What its object says; none for anonymous callers.
    pub object: Option<Typed<TenantSpec>>,
}

/// Where a request goes.
#[derive(Debug, Clone)]
pub struct CallRoute {
    /// Class for limits, priorities and metrics.
    pub class: FastStr,
    /// Larger is more urgent.
    pub priority: u8,
    /// Whether running it twice does no harm.
    pub repeatable: bool,
    /// Selectors of prefill pools' backend servers.
    pub prefills: Arc<[LabelSelector]>,
    /// Selectors of decode pools' backend servers.
    pub decodes: Arc<[LabelSelector]>,
    /// Selectors of the service's backend servers.
    pub servers: Arc<[LabelSelector]>,
    /// Longest prompt that the pools take, tokens.
    pub max_prompt_tokens: u64,
    /// The intent that held; none when the pools' defaults do.
    pub intent: Option<Typed<IntentSpec>>,
}

/// How an operation filter found a keyed request.
#[derive(Debug, Clone)]
pub struct CallOperation {
    /// The answer to give or to fill.
    pub answer: OperationAnswer,
    /// Whether this request is the one that fills it.
    pub is_first: bool,
    /// Whether it has a key.
    pub is_keyed: bool,
}

/// A request on its way through the filters.
#[derive(Debug)]
pub struct CallContext {
    /// Its id.
    pub id: FastStr,
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub target: FastStr,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its whole body.
    pub body: Bytes,
    /// What it asks for.
    pub kind: CallKind,
    /// Whom it is for; set by `identify`.
    pub tenant: CallTenant,
    /// Where it goes; set by `route`.
    pub route: Option<Arc<CallRoute>>,
    /// Its operation; set by `operation`.
    pub operation: Option<CallOperation>,
    /// What it holds of the limits; set by `limit`, given back when dropped.
    pub permits: Vec<super::limit::LimitPermit>,
}

impl CallContext {
    /// A header's value, if it is text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// How a filter ends a request before the chain does.
#[derive(Debug)]
pub enum FilterEnd {
    /// With a refusal.
    Refused(Refusal),
    /// With an answer.
    Answered(Box<Response>),
}

impl From<Refusal> for FilterEnd {
    fn from(refusal: Refusal) -> Self {
        Self::Refused(refusal)
    }
}

//! The state of a request as it moves through the filter chain.

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

/// Tenant name of callers without an API key, if the settings allow them.
pub const ANONYMOUS: FastStr = FastStr::from_static_str("anonymous");

/// Header with a refusal's verdict on whether the request ran.
pub const VERDICT_HEADER: &str = "bayplank-verdict";

/// Header with the request id, set on every response.
pub const REQUEST_HEADER: &str = "bayplank-request-id";

/// Header with a ticket to use as the key of a later call that is not repeatable.
pub const TICKET_HEADER: &str = "bayplank-ticket";

/// Header that marks a request forwarded by another entry host.
pub const FORWARDED_HEADER: &str = "bayplank-forwarded-by";

/// Header with the caller's idempotency key.
pub const KEY_HEADER: &str = "idempotency-key";

/// Header with the id of the last stream event that the caller received.
pub const LAST_EVENT_HEADER: &str = "last-event-id";

/// The kind of a request.
#[derive(Debug, Clone)]
pub enum CallKind {
    /// A completion by a model.
    Model(Arc<CompletionCall>),
    /// The list of models.
    Models,
    /// A call of a plain service.
    Plain {
        /// The service.
        service: Arc<Typed<ServiceSpec>>,
        /// The path within the service, with its query.
        path: FastStr,
    },
    /// Cancellation of the operation with this key.
    CancelOperation(FastStr),
    /// A ticket for a later call.
    Ticket,
}

/// The tenant that a request belongs to.
#[derive(Debug, Clone)]
pub struct CallTenant {
    /// The tenant's name.
    pub name: FastStr,
    /// The tenant's object; `None` for anonymous callers.
    pub object: Option<Typed<TenantSpec>>,
}

/// The routing decision for a request.
#[derive(Debug, Clone)]
pub struct CallRoute {
    /// Class for limits, priorities and metrics.
    pub class: FastStr,
    /// Scheduling priority; larger is more urgent.
    pub priority: u8,
    /// Whether the request may safely run more than once.
    pub repeatable: bool,
    /// Selectors of prefill pools' backend servers.
    pub prefills: Arc<[LabelSelector]>,
    /// Selectors of decode pools' backend servers.
    pub decodes: Arc<[LabelSelector]>,
    /// Selectors of the service's backend servers.
    pub servers: Arc<[LabelSelector]>,
    /// Longest prompt that the pools accept, in tokens.
    pub max_prompt_tokens: u64,
    /// The intent that matched; `None` if the defaults apply.
    pub intent: Option<Typed<IntentSpec>>,
}

/// The operation that a request belongs to; set by the operation filter.
#[derive(Debug, Clone)]
pub struct CallOperation {
    /// The log that receives the operation's answer.
    pub answer: OperationAnswer,
    /// Whether this request starts the operation rather than duplicating it.
    pub is_first: bool,
    /// Whether the request has an idempotency key.
    pub is_keyed: bool,
}

/// A request and what the filters have determined about it.
#[derive(Debug)]
pub struct CallContext {
    /// The request id.
    pub id: FastStr,
    /// The method.
    pub method: Method,
    /// The path and query.
    pub target: FastStr,
    /// The headers.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
    /// The kind of request.
    pub kind: CallKind,
    /// The tenant; set by `identify`.
    pub tenant: CallTenant,
    /// The routing decision; set by `route`.
    pub route: Option<Arc<CallRoute>>,
    /// The operation; set by `operation`.
    pub operation: Option<CallOperation>,
    /// Permits counted against the tenant's limits; set by `limit`, released when dropped.
    pub permits: Vec<super::limit::LimitPermit>,
}

impl CallContext {
    /// A header's value, if it is text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// How a filter ends a request before it reaches dispatch.
#[derive(Debug)]
pub enum FilterEnd {
    /// With a refusal.
    Refused(Refusal),
    /// With a response.
    Answered(Box<Response>),
}

impl From<Refusal> for FilterEnd {
    fn from(refusal: Refusal) -> Self {
        Self::Refused(refusal)
    }
}

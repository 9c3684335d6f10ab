//! The kinds of objects.

use {
    super::{
        fault::ObjectFault,
        selector::{LabelMap, LabelSelector},
    },
    crate::{account::KeyHash, engine::EngineRole, relay::RequestKind},
    faststr::FastStr,
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// What every object carries.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct ObjectMeta {
    /// Name, unique within the kind.
    pub name: FastStr,
    /// Labels.
    #[serde(default, skip_serializing_if = "LabelMap::is_empty")]
    pub labels: LabelMap,
    /// Version that the platform gave; 0 before it has one.
    #[serde(default)]
    pub resource_version: u64,
    /// Mark of the last writer, by which it knows its own write again.
    #[serde(default, skip_serializing_if = "FastStr::is_empty")]
    pub writer: FastStr,
}

/// An object of any kind, as the platform and operators' files hold it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnyObject {
    /// The kind's name.
    pub kind: FastStr,
    /// Name, labels, version.
    pub metadata: ObjectMeta,
    /// What the kind defines.
    #[serde(default)]
    pub spec: serde_json::Value,
}

/// Engines of one role for one model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct PoolSpec {
    /// The model served.
    pub model: FastStr,
    /// What the pool's engines do.
    pub role: EngineRole,
    /// Picks the pool's backend servers.
    pub selector: LabelSelector,
    /// Longest prompt that the engines take, tokens.
    #[serde(default = "default_prompt_limit")]
    pub max_prompt_tokens: u64,
}

fn default_prompt_limit() -> u64 {
    64_000
}

/// A plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct ServiceSpec {
    /// Path under which callers reach it, like `/orderdesk`; taken off before the call goes on.
    pub path: FastStr,
    /// Picks the service's backend servers.
    pub selector: LabelSelector,
    /// Longest wait for an answer, milliseconds.
    #[serde(default = "default_service_timeout")]
    pub timeout_ms: u64,
}

fn default_service_timeout() -> u64 {
    5_000
}

/// How requests of one kind are routed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct IntentSpec {
    /// The requests that are meant.
    pub requests: RequestMatch,
    /// Of several intents that match, the one with the highest number holds.
    #[serde(default)]
    pub precedence: i32,
    /// Where they go: pools for models, services for plain calls; by weight.
    pub targets: Vec<IntentTarget>,
    /// Class for limits, priorities and metrics.
    #[serde(default = "default_class")]
    pub class: FastStr,
    /// Larger is more urgent, 0 to 9.
    #[serde(default = "default_priority")]
    pub priority: u8,
    /// Whether running a request twice does no harm; model requests always are repeatable.
    #[serde(default)]
    pub repeatable: bool,
}

fn default_class() -> FastStr {
    FastStr::from_static_str("default")
}

fn default_priority() -> u8 {
    5
}

/// Largest priority of an intent.
pub const PRIORITY_MAX: u8 = 9;

/// Which requests an intent speaks of; every field that is set has to fit.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct RequestMatch {
    /// Requests for this model.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<FastStr>,
    /// Plain calls of this service.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<FastStr>,
    /// Plain calls with one of these methods.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub methods: Vec<FastStr>,
    /// Plain calls whose path, within the service, starts so.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub path: Option<FastStr>,
    /// Requests of tenants with these labels.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tenants: Option<LabelSelector>,
}

/// Pools or services by their labels, and their share.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct IntentTarget {
    /// Picks pools, or services, by their labels.
    pub selector: LabelSelector,
    /// Share of the requests, against the other targets' weights.
    #[serde(default = "default_weight")]
    pub weight: u32,
}

fn default_weight() -> u32 {
    1
}

/// Requests that are passed through unaltered to plain services, and the bounds within which they run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct PassRouteSpec {
    /// The `Host` that the requests name, without a port.
    pub host: FastStr,
    /// What their paths begin with; begins and ends with a slash, and the longest that fits holds.
    pub path_prefix: FastStr,
    /// Whether they may run more than once, and how they are answered.
    pub kind: RequestKind,
    /// Longest time that a request is held, milliseconds.
    #[serde(default = "default_service_timeout")]
    pub timeout_ms: u64,
    /// Time within which an answer, or its first event, is in time, milliseconds.
    #[serde(default = "default_latency_target")]
    pub latency_target_ms: u64,
    /// Servers that one request may be sent to at most.
    #[serde(default = "default_attempts")]
    pub attempts: u32,
    /// 0 is the most urgent, up to 9.
    #[serde(default = "default_priority")]
    pub priority: u8,
    /// The services that take them; each target selects one.
    pub targets: Vec<IntentTarget>,
}

impl PassRouteSpec {
    /// Whether another route takes the same requests.
    pub fn takes_same(&self, other: &Self) -> bool {
        self.host.eq_ignore_ascii_case(&other.host) && self.path_prefix == other.path_prefix
    }
}

fn default_latency_target() -> u64 {
    1_000
}

fn default_attempts() -> u32 {
    1
}

/// A tenant, its key and its limits.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct TenantSpec {
    /// The key that its callers show; kept as a hash, `sha256:` and 64 hexadecimal digits.
    pub key_hash: FastStr,
    /// What it may use.
    #[serde(default)]
    pub limits: TenantLimits,
    /// Share of a full pool, against the other tenants' weights.
    #[serde(default = "default_weight")]
    pub weight: u32,
}

/// What a tenant may use over all hosts; none is no limit.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct TenantLimits {
    /// Requests a second.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub requests_per_second: Option<u32>,
    /// Prompt tokens a second.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub prompt_tokens_per_second: Option<u64>,
    /// Requests at once.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub concurrent: Option<u32>,
}

/// A backend server or entry host, as the platform lists it; the list lags.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct ServerSpec {
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: FastStr,
    /// It is about to go and wants no new work.
    #[serde(default)]
    pub leaving: bool,
    /// Where other entry hosts reach it, if it is one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peers: Option<SocketAddr>,
}

/// An object with its spec read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Typed<S> {
    /// Name, labels, version.
    pub metadata: ObjectMeta,
    /// What the kind defines.
    pub spec: S,
}

/// Names of the kinds.
pub mod kind {
    /// [`super::PoolSpec`]
    pub const POOL: &str = "Pool";
    /// [`super::ServiceSpec`]
    pub const SERVICE: &str = "Service";
    /// [`super::IntentSpec`]
    pub const INTENT: &str = "RoutingIntent";
    /// [`super::PassRouteSpec`]
    pub const PASS_ROUTE: &str = "PassRoute";
    /// [`super::TenantSpec`]
    pub const TENANT: &str = "Tenant";
    /// [`super::ServerSpec`], written by the platform
    pub const SERVER: &str = "Server";
    /// The accepted configuration, written by the entry hosts
    pub const ACCEPTED: &str = "AcceptedConfig";
    /// A lease, written by the entry hosts
    pub const LEASE: &str = "Lease";
    /// The kinds that operators write.
    pub const OPERATORS: [&str; 5] = [POOL, SERVICE, INTENT, PASS_ROUTE, TENANT];
}

impl AnyObject {
    /// Reads the spec as a kind's; a field that does not fit is named.
    pub fn typed<S: serde::de::DeserializeOwned>(&self) -> Result<Typed<S>, ObjectFault> {
        match serde_json::from_value(self.spec.clone()) {
            Ok(spec) => Ok(Typed {
                metadata: self.metadata.clone(),
                spec,
            }),
            Err(error) => Err(self.fault("spec", error.to_string())),
        }
    }

    /// A fault in a field of this object.
    pub fn fault(&self, field: impl Into<String>, problem: impl Into<String>) -> ObjectFault {
        ObjectFault {
            kind: self.kind.clone(),
            name: self.metadata.name.clone(),
            field: FastStr::from_string(field.into()),
            problem: problem.into(),
        }
    }

    /// Whether operators write objects of this kind.
    pub fn is_operators(&self) -> bool {
        kind::OPERATORS.contains(&self.kind.as_str())
    }
}

/// The hash under which a tenant's key is kept.
pub fn hash_key(key: &str) -> FastStr {
    FastStr::from_string(KeyHash::of(key.as_bytes()).to_string())
}

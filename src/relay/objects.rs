//! Converts the operators' objects to a relay configuration, and implements the product's own protocol for plain
//! backend servers.

use {
    super::{
        backend::BackendInfo,
        config::{CallerLimits, RelayConfig, RelayRoute, RelayService, ServiceShare},
        dialect::{
            self, BackendCall, CallDialect, EngineDialect, RequestMetadata, RequestTarget,
            ResponseMetadata,
        },
        software_version::SoftwareVersion,
    },
    crate::{
        filter::VERDICT_HEADER,
        object::{ObjectSet, PassRouteSpec, Typed},
        operation::RunVerdict,
        route::{SERVER_HEADERS, ServerInfo},
        web::PoolUse,
    },
    bytes::Bytes,
    faststr::FastStr,
    http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode},
    std::{rc::Rc, time::Duration},
};

/// Request id set by the caller; servers may repeat it in their response.
const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// How long the caller will still wait, in milliseconds; sent by callers and to servers.
const TIME_LEFT: HeaderName = HeaderName::from_static("bayplank-time-left-ms");

/// The intended server of a request.
const SERVER: HeaderName = HeaderName::from_static("bayplank-server");

/// Converts the objects in force to a relay configuration.
pub fn relay_config(objects: &ObjectSet, version: u64, body_bytes: usize) -> RelayConfig {
    let routes = objects.pass_routes.values();
    let services = objects.services.keys();
    RelayConfig {
        accounts: None,
        version,
        routes: routes
            .map(|route| Rc::new(relay_route(objects, route)))
            .collect(),
        services: services.cloned().map(relay_service).collect(),
        limits: CallerLimits {
            body_bytes,
            ..CallerLimits::default()
        },
    }
}

fn relay_route(objects: &ObjectSet, route: &Typed<PassRouteSpec>) -> RelayRoute {
    let spec = &route.spec;
    let shares = spec.targets.iter().flat_map(|target| {
        objects.services_of(target).map(|service| ServiceShare {
            service: service.metadata.name.clone(),
            weight: target.weight,
        })
    });
    RelayRoute {
        is_public: true,
        allowed_regions: None,
        name: route.metadata.name.clone(),
        host: FastStr::from_string(spec.host.to_ascii_lowercase()),
        path_prefix: spec.path_prefix.clone(),
        kind: spec.kind,
        time_limit: Duration::from_millis(spec.timeout_ms),
        latency_target: Duration::from_millis(spec.latency_target_ms),
        event_gap_target: None,
        attempts: spec.attempts,
        priority: spec.priority,
        shares: shares.collect(),
    }
}

fn relay_service(name: FastStr) -> RelayService {
    RelayService {
        name,
        connection_limit: None,
        cold_rate: None,
        engine: None,
    }
}

/// The servers of all services; a server that two services select is included once for each.
pub fn relay_backends(objects: &ObjectSet, servers: &[ServerInfo]) -> Vec<BackendInfo> {
    let services = objects.services.values();
    let backends = services.flat_map(|service| {
        let selector = &service.spec.selector;
        let picked = servers
            .iter()
            .filter(|server| selector.matches(&server.labels));
        picked.map(|server| relay_backend(&service.metadata.name, server))
    });
    backends.collect()
}

// The address is part of the id, as a server that restarts at another address is a different one.
fn relay_backend(service: &FastStr, server: &ServerInfo) -> BackendInfo {
    let id = format!("{service}/{}@{}", server.name, server.address);
    BackendInfo {
        born: 0,
        id: FastStr::from_string(id),
        service: service.clone(),
        address: server.address,
        zone: server.zone.clone(),
        leaving: server.leaving,
        slots: 0,
        role: None,
        orders_taken: 0,
        cold_left: Duration::ZERO,
        software: SoftwareVersion::unnamed(),
    }
}

/// The product's own protocol for plain servers. Their services have no engines.
pub fn server_dialect() -> CallDialect {
    CallDialect {
        read_request,
        strip_request: |headers| {
            headers.remove(SERVER);
        },
        set_target,
        set_backend,
        read_response,
        engines: no_engines(),
    }
}

fn read_request(headers: &HeaderMap) -> RequestMetadata {
    let text = |name: &HeaderName| headers.get(name)?.to_str().ok();
    let left = text(&TIME_LEFT).and_then(|left| match left.parse() {
        Ok(left) => Some(Duration::from_millis(left)),
        Err(error) => {
            log::debug!("ignoring a caller's invalid {TIME_LEFT} header {left:?}: {error}");
            None
        }
    });
    RequestMetadata {
        id: FastStr::new(text(&REQUEST_ID).unwrap_or_default()),
        time_left: left,
        ..RequestMetadata::default()
    }
}

fn set_target(headers: &mut HeaderMap, address: RequestTarget<'_>) {
    set_backend(headers, address.backend);
    let left = address.time_left.as_millis() as u64;
    headers.insert(TIME_LEFT, HeaderValue::from(left));
}

fn set_backend(headers: &mut HeaderMap, backend: &str) {
    match HeaderValue::from_str(backend) {
        Ok(value) => {
            headers.insert(SERVER, value);
        }
        Err(_) => {
            log::warn!("omitting the {SERVER} header: {backend:?} is not a valid header value")
        }
    }
}

fn read_response(status: StatusCode, headers: &HeaderMap) -> ResponseMetadata {
    let text = |name: &str| headers.get(name)?.to_str().ok();
    ResponseMetadata {
        id: text(REQUEST_ID.as_str()).map(FastStr::new),
        not_run: text(VERDICT_HEADER) == Some(RunVerdict::NotRun.as_str()),
        server: dialect::read_server_marks(status, headers, &SERVER_HEADERS),
    }
}

// Placeholders that are never called: no service of this protocol is configured with engines, and these calls are made
// to engines only.
fn no_engines() -> EngineDialect {
    fn no_call() -> BackendCall {
        BackendCall {
            method: Method::GET,
            path: "/".into(),
            body: Bytes::new(),
            purpose: PoolUse::Ask,
        }
    }
    EngineDialect {
        prepare_prefill: |_| {},
        read_prefill: |_| None,
        prepare_decode: |_, _| {},
        reserve_memory: |_, _| no_call(),
        read_reservation: |_| None,
        release_memory: |_| no_call(),
        free_cache: |_| no_call(),
        query_cache: |_| no_call(),
        read_cache: |_, _| None,
        query_report: no_call,
        read_report: |_| None,
        order_role: |_| no_call(),
    }
}

//! Calls of plain services: sent to one backend server at a time, and retried only if the call did
//! not run or is repeatable.

use {
    super::call::{CallContext, CallKind, CallRoute, FORWARDED_HEADER, VERDICT_HEADER},
    crate::{
        host::Traffic,
        object::{ServiceSpec, Typed},
        operation::{PlainOutcome, PlainReply, Refusal, RefusalCode, RunVerdict},
        relay::{
            BodyEnd, MAX_EVENT_BYTES, RequestDigest, ResponseHead, ResponseProgress,
            ServerAvailability,
        },
        route::{SelectedServer, ServerInfo},
        web::{self, BodyFraming, WebFailure},
    },
    bytes::Bytes,
    http::{HeaderMap, HeaderValue, Method, StatusCode, header},
    std::{net::SocketAddr, time::Duration},
    volo_http::response::Response,
};

/// Maximum number of attempts per call.
const MAX_ATTEMPTS: u32 = 3;

/// Added to a call's own timeout when it is forwarded to another host.
const FORWARD_MARGIN: Duration = Duration::from_secs(1);

/// Range of the random delay added to a backoff, so that callers do not all retry at once.
const BACKOFF_JITTER: Duration = Duration::from_millis(600);

/// Largest response body accepted from a plain service, in bytes.
const MAX_REPLY_BYTES: usize = 4 << 20;

/// The request to send to a plain service.
#[derive(Debug, Clone)]
pub struct PlainCall {
    /// The method.
    pub method: Method,
    /// The path within the service, with its query.
    pub path: String,
    /// Headers to send.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

/// Headers to send to a service: the request's headers without credentials, `Host` and hop-by-hop
/// headers.
pub fn service_headers(headers: &HeaderMap) -> HeaderMap {
    let mut result = headers.clone();
    web::strip_hop_headers(&mut result);
    for name in [header::HOST, header::AUTHORIZATION] {
        result.remove(name);
    }
    result.remove("x-api-key");
    result
}

/// Sends a plain call, with retries, and returns its outcome.
pub async fn run_plain(
    traffic: &Traffic,
    service: &Typed<ServiceSpec>,
    route: &CallRoute,
    call: PlainCall,
    digest: RequestDigest,
) -> PlainOutcome {
    let timeout = Duration::from_millis(service.spec.timeout_ms);
    let mut tried = Vec::new();
    let mut permit_wait = None;
    let mut last_refusal = no_backend_refusal(service);
    traffic.parts.budget.lock().expect("budget").earn();
    let crashes = &traffic.parts.crashes;
    let mut attempts = 0;
    while attempts < MAX_ATTEMPTS {
        crashes.check(digest, last_refusal.verdict)?;
        let in_rotation = |server: &ServerInfo| {
            traffic.server_states.availability(server) == ServerAvailability::Available
        };
        let zone = &traffic.settings.zone;
        let chosen = traffic
            .servers
            .select(&route.servers, zone, &tried, in_rotation);
        let Some(choice) = chosen else {
            let wait = permit_wait.or_else(|| backoff_wait(traffic, route));
            return Err(with_retry_after(last_refusal, wait));
        };
        if let Err(wait) = traffic
            .server_states
            .take_permit(&choice.info, known_hosts(traffic))
        {
            permit_wait = Some(permit_wait.map_or(wait, |least: Duration| least.min(wait)));
            tried.push(choice.name());
            continue;
        }
        attempts += 1;
        let sent = web::within(timeout, send(traffic, &choice, &call)).await;
        let failure = match sent {
            Ok(Ok(reply)) if is_rejection(&reply) => {
                let text = format!("backend server {} turned it away", choice.name());
                // Keeps the verdict of earlier attempts: NotRun, which this server sent, would be
                // wrong if one of them may have run the call.
                last_refusal = Refusal::new(last_refusal.verdict, RefusalCode::BackendLost, text)
                    .after(Duration::from_secs(1));
                if !spend_retry(traffic) {
                    return Err(last_refusal);
                }
                tried.push(choice.name());
                continue;
            }
            Ok(Ok(reply)) => {
                if reply.status < 500 {
                    crashes.note_good_run(digest);
                }
                return Ok(reply);
            }
            Ok(Err(failure)) => {
                if matches!(failure, WebFailure::Unanswered(_)) {
                    let (name, address) = (choice.name(), choice.address());
                    crashes.probe_for_crash(digest, &name, address).await;
                }
                failure
            }
            Err(_) => {
                WebFailure::Unanswered(format!("no answer within {} ms", timeout.as_millis()))
            }
        };
        choice.failed();
        last_refusal = failure_refusal(&choice, &failure, last_refusal.verdict);
        let is_retryable = last_refusal.verdict.allows_retry(route.repeatable);
        if !is_retryable || !spend_retry(traffic) {
            return Err(last_refusal);
        }
        tried.push(choice.name());
    }
    Err(last_refusal)
}

// Takes one retry from the retry budget, if it has one left.
fn spend_retry(traffic: &Traffic) -> bool {
    let now = traffic.desk.now();
    traffic.parts.budget.lock().expect("budget").spend(now)
}

// Whether the response says that the server did not run the call.
fn is_rejection(reply: &PlainReply) -> bool {
    let verdict = reply.headers.get(VERDICT_HEADER);
    let is_not_run = verdict.is_some_and(|verdict| verdict == RunVerdict::NotRun.as_str());
    reply.status == StatusCode::SERVICE_UNAVAILABLE.as_u16() && is_not_run
}

// Time until the first server of the service ends its backoff, plus jitter; for use when all
// servers are backing off or leaving.
fn backoff_wait(traffic: &Traffic, route: &CallRoute) -> Option<Duration> {
    let servers = traffic.servers.servers();
    let picked = servers
        .iter()
        .filter(|server| server.matches_any(&route.servers));
    let waits = picked.filter_map(|server| match traffic.server_states.availability(server) {
        ServerAvailability::BackingOff(left) => Some(left),
        ServerAvailability::Available | ServerAvailability::Leaving => None,
    });
    let jitter = rand::random_range(Duration::ZERO..=BACKOFF_JITTER);
    waits.min().map(|wait| wait + jitter)
}

// Number of known hosts including this one, reachable or not: a host that is partitioned from the
// others keeps to its own share of the rate limit.
fn known_hosts(traffic: &Traffic) -> usize {
    1 + traffic.snapshot.load().peers.len()
}

// Turns a NotRun refusal into Overloaded with the time to the next likely permit or end of backoff.
// A call that may have run keeps its refusal, since Overloaded would claim that it did not run.
fn with_retry_after(refusal: Refusal, permit_wait: Option<Duration>) -> Refusal {
    match permit_wait {
        Some(wait) if refusal.verdict == RunVerdict::NotRun => Refusal {
            code: RefusalCode::Overloaded,
            ..refusal.after(wait)
        },
        _ => refusal,
    }
}

fn no_backend_refusal(service: &Typed<ServiceSpec>) -> Refusal {
    let name = &service.metadata.name;
    let text = format!("no backend server of service {name} can take work");
    Refusal::not_run(RefusalCode::NoBackend, text).after(Duration::from_secs(1))
}

// Once an attempt may have run, the verdict stays MayHaveRun whatever later attempts return.
fn failure_refusal(choice: &SelectedServer, failure: &WebFailure, before: RunVerdict) -> Refusal {
    let verdict = match failure {
        WebFailure::Unreachable(_) => RunVerdict::NotRun,
        _ => RunVerdict::MayHaveRun,
    };
    let text = format!("backend server {}: {failure}", choice.name());
    Refusal::new(verdict.max(before), RefusalCode::BackendLost, text).after(Duration::from_secs(1))
}

async fn send(
    traffic: &Traffic,
    choice: &SelectedServer,
    call: &PlainCall,
) -> Result<PlainReply, WebFailure> {
    let sent = traffic.server_states.now();
    let response = traffic
        .client
        .send(
            call.method.clone(),
            choice.address(),
            &call.path,
            call.headers.clone(),
            call.body.clone(),
        )
        .await?;
    let (parts, content) = response.into_parts();
    let mut progress = ResponseProgress::new(ResponseHead {
        framing: BodyFraming::of(&parts.headers, &content),
        is_event_stream: web::is_event_stream(&parts.headers, false),
        may_be_empty: !parts.status.is_success(),
        max_event_bytes: MAX_EVENT_BYTES,
    });
    let body = web::read_body(content, MAX_REPLY_BYTES, Duration::from_secs(600))
        .await
        .map_err(|failure| WebFailure::Unanswered(format!("answer: {failure:?}")))?;
    progress.push(&body);
    let end = progress.end(BodyEnd::Regular);
    if !end.is_complete() {
        let text = format!("the response ended by {}", end.cause.as_str());
        return Err(WebFailure::Unanswered(text));
    }
    let mut headers = parts.headers;
    traffic
        .server_states
        .note(&choice.info, parts.status, &headers, sent);
    web::strip_hop_headers(&mut headers);
    Ok(PlainReply {
        status: parts.status.as_u16(),
        headers,
        body,
    })
}

/// Converts a service's reply to the response for the caller.
pub fn plain_response(reply: &PlainReply) -> Response {
    let mut response = web::reply(reply.status, "application/json", reply.body.clone());
    *response.headers_mut() = reply.headers.clone();
    response
}

/// Forwards a request to another entry host and streams its response back unchanged.
pub async fn forward_to_peer(
    traffic: &Traffic,
    call: &CallContext,
    peer: SocketAddr,
) -> Result<Response, WebFailure> {
    let mut headers = call.headers.clone();
    web::strip_hop_headers(&mut headers);
    headers.remove(header::HOST);
    if let Ok(value) = HeaderValue::from_str(&traffic.settings.name) {
        headers.insert(FORWARDED_HEADER, value);
    }
    let path = call.target.as_str();
    let timeout = forward_timeout(traffic, call);
    let sent = traffic
        .client
        .send(call.method.clone(), peer, path, headers, call.body.clone());
    match tokio::time::timeout(timeout, sent).await {
        Ok(answer) => answer,
        Err(_) => Err(WebFailure::Unanswered(format!("silent for {timeout:?}"))),
    }
}

// Timeout for the response headers of another host, since a paused host accepts connections but
// never responds.
fn forward_timeout(traffic: &Traffic, call: &CallContext) -> Duration {
    match &call.kind {
        CallKind::Plain { service, .. } => {
            Duration::from_millis(service.spec.timeout_ms) + FORWARD_MARGIN
        }
        CallKind::Model(completion) if completion.stream => {
            traffic.settings.first_token * 2 + FORWARD_MARGIN
        }
        CallKind::Model(_) => traffic.settings.whole,
        CallKind::Models | CallKind::CancelOperation(_) | CallKind::Ticket => FORWARD_MARGIN,
    }
}

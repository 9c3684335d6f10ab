//! Plain calls: one server of the service, tried again only when nothing can run twice.

use {
    super::call::{CallContext, CallKind, CallRoute, FORWARDED_HEADER, VERDICT_HEADER},
    crate::{
        host::Traffic,
        object::{ServiceSpec, Typed},
        operation::{PlainOutcome, PlainReply, Refusal, RefusalCode, RunVerdict},
        relay::{RequestDigest, ServerAvailability},
        route::{SelectedServer, ServerInfo},
        web::{self, WebFailure},
    },
    bytes::Bytes,
    http::{HeaderMap, HeaderValue, Method, StatusCode, header},
    std::{net::SocketAddr, time::Duration},
    volo_http::response::Response,
};

/// Servers tried for one call.
const TRIES: u32 = 3;

/// Added to the time that a passed call may take by itself.
const PASS_MARGIN: Duration = Duration::from_secs(1);

/// Time over which callers come back after a backoff, so that they do not return together.
const BACKOFF_SPREAD: Duration = Duration::from_millis(600);

/// Longest answer of a plain service.
const REPLY_LIMIT: usize = 4 << 20;

/// A plain call, taken out of its request.
#[derive(Debug, Clone)]
pub struct PlainCall {
    /// Its method.
    pub method: Method,
    /// The path within the service, with its query.
    pub path: String,
    /// Headers for the service.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

/// Headers that go on to a service: not the caller's key, nor what speaks of the connection.
pub fn onward_headers(headers: &HeaderMap) -> HeaderMap {
    let mut onward = headers.clone();
    web::strip_hop_headers(&mut onward);
    for name in [header::HOST, header::AUTHORIZATION] {
        onward.remove(name);
    }
    onward.remove("x-api-key");
    onward
}

/// Runs a plain call.
pub async fn run_plain(
    traffic: &Traffic,
    service: &Typed<ServiceSpec>,
    route: &CallRoute,
    call: PlainCall,
    digest: RequestDigest,
) -> PlainOutcome {
    let time = Duration::from_millis(service.spec.timeout_ms);
    let mut tried = Vec::new();
    let mut permit_wait = None;
    let mut last = no_server(service);
    traffic.parts.budget.lock().expect("budget").earn();
    let crashes = &traffic.parts.crashes;
    let mut sends = 0;
    while sends < TRIES {
        crashes.check(digest, last.verdict)?;
        let in_rotation = |server: &ServerInfo| {
            traffic.server_states.availability(server) == ServerAvailability::Available
        };
        let zone = &traffic.settings.zone;
        let chosen = traffic
            .servers
            .select(&route.servers, zone, &tried, in_rotation);
        let Some(choice) = chosen else {
            let wait = permit_wait.or_else(|| backoff_wait(traffic, route));
            return Err(with_wait(last, wait));
        };
        if let Err(wait) = traffic
            .server_states
            .take_permit(&choice.info, known_hosts(traffic))
        {
            permit_wait = Some(permit_wait.map_or(wait, |least: Duration| least.min(wait)));
            tried.push(choice.name());
            continue;
        }
        sends += 1;
        let sent = web::within(time, send(traffic, &choice, &call)).await;
        let failure = match sent {
            Ok(Ok(reply)) if is_turned_away(&reply) => {
                let text = format!("backend server {} turned it away", choice.name());
                // What an earlier try may have run stays so: its own answer would promise that nothing ran.
                last = Refusal::new(last.verdict, RefusalCode::BackendLost, text)
                    .after(Duration::from_secs(1));
                if !may_repeat(traffic) {
                    return Err(last);
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
            Err(_) => WebFailure::Unanswered(format!("no answer within {} ms", time.as_millis())),
        };
        choice.failed();
        last = refusal_of(&choice, &failure, last.verdict);
        let again = last.verdict.allows_retry(route.repeatable);
        if !again || !may_repeat(traffic) {
            return Err(last);
        }
        tried.push(choice.name());
    }
    Err(last)
}

// Whether the budget of repeats allows one more; it is counted then.
fn may_repeat(traffic: &Traffic) -> bool {
    let now = traffic.desk.now();
    traffic.parts.budget.lock().expect("budget").spend(now)
}

// The server did not run it.
fn is_turned_away(reply: &PlainReply) -> bool {
    let verdict = reply.headers.get(VERDICT_HEADER);
    let is_not_run = verdict.is_some_and(|verdict| verdict == RunVerdict::NotRun.as_str());
    reply.status == StatusCode::SERVICE_UNAVAILABLE.as_u16() && is_not_run
}

// When the first server of a call's service takes calls again, where all of them wait for a backoff to end or are leaving;
// those that come back then are spread.
fn backoff_wait(traffic: &Traffic, route: &CallRoute) -> Option<Duration> {
    let servers = traffic.servers.servers();
    let picked = servers
        .iter()
        .filter(|server| server.matches_any(&route.servers));
    let waits = picked.filter_map(|server| match traffic.server_states.availability(server) {
        ServerAvailability::BackingOff(left) => Some(left),
        ServerAvailability::Available | ServerAvailability::Leaving => None,
    });
    let spread = rand::random_range(Duration::ZERO..=BACKOFF_SPREAD);
    waits.min().map(|wait| wait + spread)
}

// This host and all others that are known, heard or not: who is cut off keeps to his share.
fn known_hosts(traffic: &Traffic) -> usize {
    1 + traffic.snapshot.load().peers.len()
}

// Where rate-limited servers had no permit, the caller is to come back when one is likely; not one whose call may have run at
// another: that it was not run would not be true.
fn with_wait(refusal: Refusal, permit_wait: Option<Duration>) -> Refusal {
    match permit_wait {
        Some(wait) if refusal.verdict == RunVerdict::NotRun => Refusal {
            code: RefusalCode::Overloaded,
            ..refusal.after(wait)
        },
        _ => refusal,
    }
}

fn no_server(service: &Typed<ServiceSpec>) -> Refusal {
    let name = &service.metadata.name;
    let text = format!("no backend server of service {name} can take work");
    Refusal::not_run(RefusalCode::NoBackend, text).after(Duration::from_secs(1))
}

// A try that may have run stays so, whatever a later try says.
fn refusal_of(choice: &SelectedServer, failure: &WebFailure, before: RunVerdict) -> Refusal {
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
    let body = web::read_body(content, REPLY_LIMIT, Duration::from_secs(600))
        .await
        .map_err(|failure| WebFailure::Unanswered(format!("answer: {failure:?}")))?;
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

/// The caller's answer of a plain call's reply.
pub fn plain_response(reply: &PlainReply) -> Response {
    let mut response = web::reply(reply.status, "application/json", reply.body.clone());
    *response.headers_mut() = reply.headers.clone();
    response
}

/// Passes a request on to another entry host; its answer streams through as it is.
pub async fn pass_to_peer(
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
    let time = pass_time(traffic, call);
    let sent = traffic
        .client
        .send(call.method.clone(), peer, path, headers, call.body.clone());
    match tokio::time::timeout(time, sent).await {
        Ok(answer) => answer,
        Err(_) => Err(WebFailure::Unanswered(format!("silent for {time:?}"))),
    }
}

// Longest wait for another host's answer to begin: a paused host takes connections and is silent.
fn pass_time(traffic: &Traffic, call: &CallContext) -> Duration {
    match &call.kind {
        CallKind::Plain { service, .. } => {
            Duration::from_millis(service.spec.timeout_ms) + PASS_MARGIN
        }
        CallKind::Model(completion) if completion.stream => {
            traffic.settings.first_token * 2 + PASS_MARGIN
        }
        CallKind::Model(_) => traffic.settings.whole,
        CallKind::Models | CallKind::CancelOperation(_) | CallKind::Ticket => PASS_MARGIN,
    }
}

//! Plain calls: one server of the service, tried again only when nothing can run twice.

use {
    super::call::{CallContext, CallKind, CallRoute, FORWARDED_HEADER},
    crate::{
        host::Traffic,
        object::{ServiceSpec, Typed},
        operation::{PlainOutcome, PlainReply, Refusal, RefusalCode, RunVerdict},
        relay::RequestDigest,
        route::ServerChoice,
        web::{self, WebFailure},
    },
    bytes::Bytes,
    http::{HeaderMap, HeaderValue, Method, header},
    std::{net::SocketAddr, time::Duration},
    volo_http::response::Response,
};

/// Servers tried for one call.
const TRIES: u32 = 3;

/// Added to the time that a passed call may take by itself.
const PASS_MARGIN: Duration = Duration::from_secs(1);

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
    let mut turn_wait = None;
    let mut last = no_server(service);
    traffic.parts.budget.lock().expect("budget").earn();
    let crashes = &traffic.parts.crashes;
    let mut sends = 0;
    while sends < TRIES {
        crashes.check(digest, last.verdict)?;
        let Some(choice) = traffic
            .servers
            .choose(&route.servers, &traffic.settings.zone, &tried)
        else {
            return Err(with_wait(last, turn_wait));
        };
        if let Err(wait) = traffic.needs.take_turn(&choice.info, known_hosts(traffic)) {
            turn_wait = Some(turn_wait.map_or(wait, |least: Duration| least.min(wait)));
            tried.push(choice.name());
            continue;
        }
        sends += 1;
        let sent = web::within(time, send(traffic, &choice, &call)).await;
        let failure = match sent {
            Ok(Ok(reply)) => {
                if reply.status < 500 {
                    crashes.note_good_run(digest);
                }
                return Ok(reply);
            }
            Ok(Err(failure)) => {
                if matches!(failure, WebFailure::Unanswered(_)) {
                    let (name, address) = (choice.name(), choice.address());
                    crashes.learn_end(digest, &name, address).await;
                }
                failure
            }
            Err(_) => WebFailure::Unanswered(format!("no answer within {} ms", time.as_millis())),
        };
        choice.failed();
        last = refusal_of(&choice, &failure, last.verdict);
        let again = last.verdict.allows_retry(route.repeatable);
        let now = traffic.desk.now();
        if !again || !traffic.parts.budget.lock().expect("budget").spend(now) {
            return Err(last);
        }
        tried.push(choice.name());
    }
    Err(last)
}

// This host and all others that are known, heard or not: who is cut off keeps to his share.
fn known_hosts(traffic: &Traffic) -> usize {
    1 + traffic.snapshot.load().peers.len()
}

// Where servers in need had no turn, the caller is to come back when one is likely; not one whose call may have run at
// another: that it was not run would not be true.
fn with_wait(refusal: Refusal, turn_wait: Option<Duration>) -> Refusal {
    match turn_wait {
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
fn refusal_of(choice: &ServerChoice, failure: &WebFailure, before: RunVerdict) -> Refusal {
    let verdict = match failure {
        WebFailure::Unreachable(_) => RunVerdict::NotRun,
        _ => RunVerdict::MayHaveRun,
    };
    let text = format!("backend server {}: {failure}", choice.name());
    Refusal::new(verdict.max(before), RefusalCode::BackendLost, text).after(Duration::from_secs(1))
}

async fn send(
    traffic: &Traffic,
    choice: &ServerChoice,
    call: &PlainCall,
) -> Result<PlainReply, WebFailure> {
    let sent = traffic.needs.now();
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
    let ran_well = parts.status.is_success();
    traffic.needs.note(&choice.info, &headers, ran_well, sent);
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

//! Decides whether a request is a new operation, a duplicate of a known one, or owned by another
//! host.

use {
    super::{
        call::{
            CallContext, CallKind, CallOperation, FORWARDED_HEADER, FilterEnd, KEY_HEADER,
            TICKET_HEADER,
        },
        plain,
    },
    crate::{
        host::Traffic,
        operation::{
            Admission, KeyOwner, OnceSignal, OperationAnswer, OperationName, OperationTicket,
            Refusal, RefusalCode, ReplayLog, RunVerdict,
        },
        web,
    },
    faststr::FastStr,
    futures::{FutureExt, future::BoxFuture},
    http::HeaderValue,
    serde_json::json,
    std::{sync::Arc, time::Duration},
    volo_http::response::Response,
    xxhash_rust::xxh3,
};

/// Maximum length of an idempotency key, in bytes.
const MAX_KEY_LENGTH: usize = 255;

/// Sets the request's operation, or answers or refuses the request.
pub fn filter<'a>(
    traffic: &'a Arc<Traffic>,
    call: &'a mut CallContext,
) -> BoxFuture<'a, Result<(), FilterEnd>> {
    async move {
        match call.kind.clone() {
            CallKind::Models => Ok(()),
            CallKind::Ticket => Err(answered(ticket_response(traffic))),
            CallKind::CancelOperation(key) => cancel(traffic, call, key).await,
            CallKind::Model(_) | CallKind::Plain { .. } => admit(traffic, call).await,
        }
    }
    .boxed()
}

fn answered(response: Response) -> FilterEnd {
    FilterEnd::Answered(Box::new(response))
}

fn ticket_response(traffic: &Traffic) -> Response {
    let ticket = traffic.tickets.issue(traffic.uptime()).to_string();
    let mut response = web::json_reply(200, &json!({ "ticket": ticket }));
    add_ticket(&mut response, &ticket);
    response
}

/// Adds a ticket header to a response.
pub fn add_ticket(response: &mut Response, ticket: &str) {
    if let Ok(value) = HeaderValue::from_str(ticket) {
        response.headers_mut().insert(TICKET_HEADER, value);
    }
}

async fn admit(traffic: &Arc<Traffic>, call: &mut CallContext) -> Result<(), FilterEnd> {
    let Some(key) = operation_key(call)? else {
        // A request without a key is an operation of its own and is sent to a backend server once.
        call.operation = Some(CallOperation {
            answer: new_answer(&call.kind),
            is_first: true,
            is_keyed: false,
        });
        return Ok(());
    };
    let repeatable = call.route.as_ref().is_some_and(|route| route.repeatable);
    match traffic.tickets.owner(&key, traffic.uptime()) {
        KeyOwner::Own => {}
        KeyOwner::Other(ticket) => match forward_to_owner(traffic, call, &ticket).await {
            Forwarded::Answered(response) => return Err(answered(*response)),
            // A repeatable call runs here instead; any other call may run only at its owner.
            Forwarded::Refused(_) if repeatable => {}
            Forwarded::Refused(refusal) => return Err(refusal.into()),
        },
        KeyOwner::Gone if repeatable => {}
        KeyOwner::Gone => {
            return Err(operation_lost("the host that this ticket names was replaced").into());
        }
        KeyOwner::OwnExpired => return Err(operation_lost("this ticket is too old").into()),
        KeyOwner::Caller if repeatable => {
            if let Some(home_host) = traffic.home_of(&call.tenant.name, &key)
                && call.header(FORWARDED_HEADER).is_none()
            {
                return forward_to_home_host(traffic, call, home_host).await;
            }
        }
        KeyOwner::Caller => return Err(answered(ticket_required_response(traffic))),
    }
    admit_to_table(traffic, call, key)
}

fn operation_key(call: &CallContext) -> Result<Option<FastStr>, Refusal> {
    if call.headers.get(KEY_HEADER).is_none() {
        return Ok(None);
    }
    let has_valid_length = |key: &&str| !key.is_empty() && key.len() <= MAX_KEY_LENGTH;
    match call.header(KEY_HEADER).filter(has_valid_length) {
        Some(key) => Ok(Some(FastStr::new(key))),
        None => {
            let text = format!("{KEY_HEADER}: expected 1 to {MAX_KEY_LENGTH} characters");
            Err(Refusal::not_run(RefusalCode::InvalidRequest, text))
        }
    }
}

fn operation_lost(text: &str) -> Refusal {
    Refusal::new(RunVerdict::MayHaveRun, RefusalCode::OperationLost, text)
}

// A key chosen by the caller names no owner, so no host could be sure that it alone runs the call.
fn ticket_required_response(traffic: &Traffic) -> Response {
    let ticket = traffic.tickets.issue(traffic.uptime()).to_string();
    let text = format!(
        "this call may not be repeated: send it again with the ticket from the {TICKET_HEADER} \
         header as its {KEY_HEADER}"
    );
    let refusal = Refusal::not_run(RefusalCode::TicketRequired, text);
    let mut response = super::chain::refusal_response(&refusal);
    add_ticket(&mut response, &ticket);
    response
}

fn admit_to_table(
    traffic: &Traffic,
    call: &mut CallContext,
    key: FastStr,
) -> Result<(), FilterEnd> {
    let name = OperationName {
        tenant: call.tenant.name.clone(),
        key,
    };
    let request_hash = hash_request(call);
    let mut table = traffic.operations.lock().expect("operation table");
    let admission = table.admit(name, request_hash, || new_answer(&call.kind));
    drop(table);
    let (answer, is_first) = match admission {
        Admission::New(answer) => (answer, true),
        Admission::Known(answer) => (answer, false),
        Admission::Conflict => {
            let text = format!("{KEY_HEADER}: was used with another request");
            return Err(Refusal::not_run(RefusalCode::KeyConflict, text).into());
        }
        Admission::Full => {
            let text = "too many operations are remembered";
            let refusal = Refusal::not_run(RefusalCode::Overloaded, text);
            return Err(refusal.after(Duration::from_secs(5)).into());
        }
    };
    call.operation = Some(CallOperation {
        answer,
        is_first,
        is_keyed: true,
    });
    Ok(())
}

// Hash of method, path and body, by which two requests with one key are compared.
fn hash_request(call: &CallContext) -> u128 {
    let mut hasher = xxh3::Xxh3::new();
    hasher.update(call.method.as_str().as_bytes());
    hasher.update(b"\n");
    hasher.update(call.target.as_bytes());
    hasher.update(b"\n");
    hasher.update(&call.body);
    hasher.digest128()
}

fn new_answer(kind: &CallKind) -> OperationAnswer {
    match kind {
        CallKind::Plain { .. } => OperationAnswer::Plain(ReplayLog::new()),
        _ => OperationAnswer::Model {
            log: ReplayLog::new(),
            cancel: Arc::new(OnceSignal::default()),
        },
    }
}

// Result of forwarding a request to the owner of its ticket.
enum Forwarded {
    Answered(Box<Response>),
    Refused(Refusal),
}

// Forwards to the host that owns the ticket: only that host may run the operation, or state that it
// did not run.
async fn forward_to_owner(
    traffic: &Arc<Traffic>,
    call: &CallContext,
    ticket: &OperationTicket,
) -> Forwarded {
    if call.header(FORWARDED_HEADER).is_some() {
        return Forwarded::Refused(operation_lost(
            "the ticket's host is not the one it was passed to",
        ));
    }
    let peer = traffic
        .snapshot
        .load()
        .peers
        .iter()
        .find(|peer| peer.name == ticket.host)
        .cloned();
    let Some(peer) = peer else {
        return Forwarded::Refused(operation_lost(
            "the host that this ticket names is not known",
        ));
    };
    match plain::forward_to_peer(traffic, call, peer.callers).await {
        Ok(response) => Forwarded::Answered(Box::new(response)),
        // The owner may have run the operation for an earlier duplicate of this request.
        Err(failure) => {
            let text = format!("host {} does not answer: {failure}", ticket.host);
            Forwarded::Refused(operation_lost(&text).after(Duration::from_secs(1)))
        }
    }
}

// Sends duplicates of a repeatable operation to the same host of the zone; if that host does not
// respond, the operation is handled here.
async fn forward_to_home_host(
    traffic: &Arc<Traffic>,
    call: &mut CallContext,
    home_host: std::net::SocketAddr,
) -> Result<(), FilterEnd> {
    match plain::forward_to_peer(traffic, call, home_host).await {
        Ok(response) => Err(answered(response)),
        Err(_) => {
            let key = operation_key(call)?.unwrap_or_default();
            admit_to_table(traffic, call, key)
        }
    }
}

async fn cancel(
    traffic: &Arc<Traffic>,
    call: &mut CallContext,
    key: FastStr,
) -> Result<(), FilterEnd> {
    if let KeyOwner::Other(ticket) = traffic.tickets.owner(&key, traffic.uptime()) {
        return Err(match forward_to_owner(traffic, call, &ticket).await {
            Forwarded::Answered(response) => answered(*response),
            Forwarded::Refused(refusal) => refusal.into(),
        });
    }
    if let Some(home_host) = traffic.home_of(&call.tenant.name, &key)
        && call.header(FORWARDED_HEADER).is_none()
        && key.parse::<OperationTicket>().is_err()
    {
        return forward_to_home_host(traffic, call, home_host).await;
    }
    let name = OperationName {
        tenant: call.tenant.name.clone(),
        key,
    };
    let answer = traffic
        .operations
        .lock()
        .expect("operation table")
        .find(&name)
        .cloned();
    match answer {
        Some(OperationAnswer::Model { cancel, .. }) => {
            cancel.set();
            Err(answered(web::json_reply(200, &json!({"cancelled": true}))))
        }
        // A plain call cannot be cancelled once it has been sent.
        Some(OperationAnswer::Plain(_)) => {
            Err(answered(web::json_reply(200, &json!({"cancelled": false}))))
        }
        None => Err(Refusal::new(
            RunVerdict::MayHaveRun,
            RefusalCode::OperationLost,
            "no operation of this key is known",
        )
        .into()),
    }
}

//! Finds out whether a request is a new operation, a duplicate of one, or another host's.

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

/// Longest key.
const KEY_LENGTH_MAX: usize = 255;

/// The filter.
pub fn filter<'a>(
    traffic: &'a Arc<Traffic>,
    call: &'a mut CallContext,
) -> BoxFuture<'a, Result<(), FilterEnd>> {
    async move {
        match call.kind.clone() {
            CallKind::Models => Ok(()),
            CallKind::Ticket => Err(answered(give_ticket(traffic))),
            CallKind::CancelOperation(key) => cancel(traffic, call, key).await,
            CallKind::Model(_) | CallKind::Plain { .. } => admit(traffic, call).await,
        }
    }
    .boxed()
}

fn answered(response: Response) -> FilterEnd {
    FilterEnd::Answered(Box::new(response))
}

fn give_ticket(traffic: &Traffic) -> Response {
    let ticket = traffic.tickets.issue(traffic.uptime()).to_string();
    let mut response = web::json_reply(200, &json!({ "ticket": ticket }));
    add_ticket(&mut response, &ticket);
    response
}

/// Puts a ticket in an answer's header.
pub fn add_ticket(response: &mut Response, ticket: &str) {
    if let Ok(value) = HeaderValue::from_str(ticket) {
        response.headers_mut().insert(TICKET_HEADER, value);
    }
}

async fn admit(traffic: &Arc<Traffic>, call: &mut CallContext) -> Result<(), FilterEnd> {
    let Some(key) = read_key(call)? else {
        // Without a key a request is an operation of its own, sent to a backend server once.
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
        KeyOwner::Other(ticket) => match forward(traffic, call, &ticket).await {
            Forwarded::Answered(response) => return Err(answered(*response)),
            // Work that may run twice goes on here; anything else only its owner may run.
            Forwarded::Lost(_) if repeatable => {}
            Forwarded::Lost(refusal) => return Err(refusal.into()),
        },
        KeyOwner::Gone if repeatable => {}
        KeyOwner::Gone => {
            return Err(lost("the host that this ticket names was replaced").into());
        }
        KeyOwner::OwnExpired => return Err(lost("this ticket is too old").into()),
        KeyOwner::Caller if repeatable => {
            if let Some(home) = traffic.home_of(&call.tenant.name, &key)
                && call.header(FORWARDED_HEADER).is_none()
            {
                return forward_to_home(traffic, call, home).await;
            }
        }
        KeyOwner::Caller => return Err(answered(demand_ticket(traffic))),
    }
    look_up(traffic, call, key)
}

fn read_key(call: &CallContext) -> Result<Option<FastStr>, Refusal> {
    if call.headers.get(KEY_HEADER).is_none() {
        return Ok(None);
    }
    let fits = |key: &&str| !key.is_empty() && key.len() <= KEY_LENGTH_MAX;
    match call.header(KEY_HEADER).filter(fits) {
        Some(key) => Ok(Some(FastStr::new(key))),
        None => {
            let text = format!("{KEY_HEADER}: expected 1 to {KEY_LENGTH_MAX} characters");
            Err(Refusal::not_run(RefusalCode::InvalidRequest, text))
        }
    }
}

fn lost(text: &str) -> Refusal {
    Refusal::new(RunVerdict::MayHaveRun, RefusalCode::OperationLost, text)
}

// A key that a caller made up does not say who may run it, so no host can be sure to be the only one.
fn demand_ticket(traffic: &Traffic) -> Response {
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

fn look_up(traffic: &Traffic, call: &mut CallContext, key: FastStr) -> Result<(), FilterEnd> {
    let name = OperationName {
        tenant: call.tenant.name.clone(),
        key,
    };
    let print = fingerprint(call);
    let mut table = traffic.operations.lock().expect("operation table");
    let admission = table.admit(name, print, || new_answer(&call.kind));
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

// What makes two requests the same: method, path and body.
fn fingerprint(call: &CallContext) -> u128 {
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

// What became of a request that was passed to the owner of its ticket.
enum Forwarded {
    Answered(Box<Response>),
    Lost(Refusal),
}

// Another host owns the ticket: only it may run the operation, or say that it did not.
async fn forward(
    traffic: &Arc<Traffic>,
    call: &CallContext,
    ticket: &OperationTicket,
) -> Forwarded {
    if call.header(FORWARDED_HEADER).is_some() {
        return Forwarded::Lost(lost("the ticket's host is not the one it was passed to"));
    }
    let peer = traffic
        .snapshot
        .load()
        .peers
        .iter()
        .find(|peer| peer.name == ticket.host)
        .cloned();
    let Some(peer) = peer else {
        return Forwarded::Lost(lost("the host that this ticket names is not known"));
    };
    match plain::pass_to_peer(traffic, call, peer.callers).await {
        Ok(response) => Forwarded::Answered(Box::new(response)),
        // The owner may have run it for an earlier copy of this request.
        Err(failure) => {
            let text = format!("host {} does not answer: {failure}", ticket.host);
            Forwarded::Lost(lost(&text).after(Duration::from_secs(1)))
        }
    }
}

// Duplicates of a repeatable operation meet at one host of the zone; if it is lost, here.
async fn forward_to_home(
    traffic: &Arc<Traffic>,
    call: &mut CallContext,
    home: std::net::SocketAddr,
) -> Result<(), FilterEnd> {
    match plain::pass_to_peer(traffic, call, home).await {
        Ok(response) => Err(answered(response)),
        Err(_) => {
            let key = read_key(call)?.unwrap_or_default();
            look_up(traffic, call, key)
        }
    }
}

async fn cancel(
    traffic: &Arc<Traffic>,
    call: &mut CallContext,
    key: FastStr,
) -> Result<(), FilterEnd> {
    if let KeyOwner::Other(ticket) = traffic.tickets.owner(&key, traffic.uptime()) {
        return Err(match forward(traffic, call, &ticket).await {
            Forwarded::Answered(response) => answered(*response),
            Forwarded::Lost(refusal) => refusal.into(),
        });
    }
    if let Some(home) = traffic.home_of(&call.tenant.name, &key)
        && call.header(FORWARDED_HEADER).is_none()
        && key.parse::<OperationTicket>().is_err()
    {
        return forward_to_home(traffic, call, home).await;
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
        // A plain call that was sent cannot be called back.
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

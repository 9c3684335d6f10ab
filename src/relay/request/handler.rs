//! From a caller's request to its one answer.

use {
    super::{
        answer::{self, RelayAnswer},
        call::{self, RelayCall},
        judge, plain, stream,
    },
    crate::{
        event,
        operation::{Refusal, RefusalCode, RunVerdict},
        relay::{
            config::{CallerLimits, RelayRoute},
            parts::{accounts::UseCharge, shared::RelayParts},
            policy::route::RouteTable,
        },
    },
    http::{Request, header, request::Parts},
    hyper::body::Incoming,
    std::{rc::Rc, time::Duration},
    tokio::time::Instant,
};

/// When a caller is to come back to a host that has no configuration yet.
const COME_BACK: Duration = Duration::from_millis(300);

/// Answers a caller's request.
pub async fn answer_caller(parts: Rc<RelayParts>, request: Request<Incoming>) -> RelayAnswer {
    let arrived = Instant::now();
    let (head, body) = request.into_parts();
    let id = (parts.dialect.read_request)(&head.headers).id;
    let path = head.uri.path().to_owned();
    let route = parts
        .routes()
        .and_then(|routes| find_route(&routes, &head).ok());
    let result = relay(&parts, head, body).await;
    let mut answer = match result {
        Ok(answer) => answer,
        Err(refusal) => {
            event::emit(
                &event::REQUEST_REFUSED,
                &[
                    ("request", &id),
                    ("path", &path),
                    ("code", &refusal.code.as_str()),
                    ("verdict", &refusal.verdict),
                    ("after_ms", &arrived.elapsed().as_millis()),
                    ("why", &refusal.message),
                ],
            );
            answer::refused(&refusal)
        }
    };
    let status = answer.status().as_u16();
    let route = route.as_deref();
    parts.metrics.answered(route, status, arrived.elapsed());
    if parts.gate.is_stopping() {
        let close = http::HeaderValue::from_static("close");
        answer.headers_mut().insert(header::CONNECTION, close);
    }
    answer
}

async fn relay(
    parts: &Rc<RelayParts>,
    head: Parts,
    body: Incoming,
) -> Result<RelayAnswer, Refusal> {
    let entry = parts.gate.enter()?;
    let routes = parts.routes().ok_or_else(not_configured)?;
    let limits = &routes.config().limits;
    check_headers(&head, limits)?;
    let route = find_route(&routes, &head)?;
    let shown = (parts.dialect.read_request)(&head.headers).key;
    parts.identify(&route, shown)?;
    let service = routes.draw_service(&route).ok_or_else(|| {
        let text = format!("route {} leads to no service", route.name);
        Refusal::not_run(RefusalCode::NoBackend, text).after(COME_BACK)
    })?;
    let call = call::read_call(
        head,
        body,
        route,
        routes.config(),
        &parts.dialect,
        &parts.clock,
    )
    .await?;
    // Again: the body may have taken longer than a key was in force.
    let account = parts.identify(&call.route, call.marks.key)?;
    let call = call.of_account(account);
    let call = judge::admit(parts, call, &service.name).await?;
    let charge = charge(parts, &call).await?;
    parts.count_request(&service.name);
    let call = Rc::new(with_waited(parts, call));
    let account = call.account.clone();
    let name = service.name.clone();
    let answer = match is_engine_stream(&call, service.engine.is_some()) {
        true => stream::relay_stream(parts.clone(), call, name).await,
        false => plain::relay_plain(parts.clone(), call, name).await,
    };
    if let (Err(refusal), Some(account), Some(charge)) = (&answer, account, charge)
        && refusal.verdict == RunVerdict::NotRun
    {
        parts.give_back(&account.name, charge);
    }
    // In progress until the caller has its last byte.
    Ok(answer?.map(|body| answer::kept_with(body, entry)))
}

// What the request uses of its account's limit.
async fn charge(parts: &RelayParts, call: &RelayCall) -> Result<Option<UseCharge>, Refusal> {
    let Some(account) = &call.account else {
        return Ok(None);
    };
    let tokens = call.marks.prompt_tokens + call.marks.answer_limit;
    let target = call.route.latency_target;
    parts.let_in(account, tokens, target).await
}

// A caller that was refused before is known by the time that it still has.
fn with_waited(parts: &RelayParts, call: RelayCall) -> RelayCall {
    let Some(left) = call.marks.time_left else {
        return call;
    };
    let mut waits = parts.waits.borrow_mut();
    let waited = waits.waited(&call.route.name, left);
    call.with_waited(waited)
}

fn is_engine_stream(call: &RelayCall, has_engines: bool) -> bool {
    call.route.kind.is_stream() && has_engines
}

fn not_configured() -> Refusal {
    let text = "this host has no configuration yet";
    Refusal::not_run(RefusalCode::NotConfigured, text).after(COME_BACK)
}

fn check_headers(head: &Parts, limits: &CallerLimits) -> Result<(), Refusal> {
    let headers = head.headers.iter();
    let size: usize = headers
        .map(|(name, value)| name.as_str().len() + value.len() + 4)
        .sum();
    if size > limits.header_bytes {
        let text = format!(
            "the headers have {size} bytes, more than {}",
            limits.header_bytes
        );
        return Err(Refusal::not_run(RefusalCode::HeadersTooLarge, text));
    }
    Ok(())
}

fn find_route(routes: &RouteTable, head: &Parts) -> Result<Rc<RelayRoute>, Refusal> {
    let named = head.headers.get(header::HOST);
    let host = named.and_then(|value| value.to_str().ok());
    let host = host.or_else(|| head.uri.host()).unwrap_or_default();
    routes.find(host, head.uri.path()).ok_or_else(|| {
        let text = format!("no route for host {host:?} and path {:?}", head.uri.path());
        Refusal::not_run(RefusalCode::UnknownRoute, text)
    })
}

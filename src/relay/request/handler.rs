//! Handles a client's request: checks, routing, account limits, relaying and the response.

use {
    super::{
        client_request::{self, ClientRequest},
        plain,
        response::{self, RelayResponse},
        send_check, stream, take_up,
    },
    crate::{
        engine::EngineRole,
        event,
        host::GateEntry,
        operation::{Refusal, RefusalCode, RunVerdict},
        relay::{
            config::{CallerLimits, RelayRoute, RelayService},
            parts::{accounts::UseCharge, shared::RelayParts},
            policy::{regions::AllowedZones, route::RouteTable},
        },
        web,
    },
    faststr::FastStr,
    http::{Request, header, request::Parts},
    http_body::Body,
    hyper::body::Incoming,
    std::{ops::RangeInclusive, rc::Rc, time::Duration},
    tokio::{task, time::Instant},
};

/// `Retry-After` while the host has no configuration yet, and on a route without a service.
const RETRY_AFTER: Duration = Duration::from_millis(300);

/// `Retry-After` while no server is listed in the allowed regions, random so that callers do not return together.
const NO_REGION_RETRY_AFTER: RangeInclusive<Duration> =
    Duration::from_millis(700)..=Duration::from_millis(1_300);

/// `Retry-After` while a newer configuration is on its way, random so that callers do not return together.
const CONFIG_RETRY_AFTER: RangeInclusive<Duration> =
    Duration::from_millis(300)..=Duration::from_millis(900);

/// How long before the end of the time in which a change has to be in force a host stops to decide by the earlier
/// configuration: the host learned of the change later than it was accepted, and requests take a while to reach their
/// servers.
const CONFIG_LAG_MARGIN: Duration = Duration::from_millis(500);

/// How long the rest of a refused request's body is read on.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

/// Handles a client's request. A refusal is logged and becomes a response.
pub async fn handle_request(parts: Rc<RelayParts>, request: Request<Incoming>) -> RelayResponse {
    let arrived = Instant::now();
    let (head, mut body) = request.into_parts();
    let id = (parts.dialect.read_request)(&head.headers).id;
    let path = head.uri.path().to_owned();
    let route = parts
        .routes()
        .and_then(|routes| find_route(&routes, &head).ok());
    let result = relay(&parts, head, &mut body).await;
    let mut response = match result {
        Ok(response) => response,
        Err(refusal) => {
            event::emit(
                &event::REQUEST_REFUSED,
                &[
                    ("request", &id),
                    ("path", &path),
                    ("code", &refusal.code.as_str()),
                    ("status", &response::refusal_status(&refusal).as_u16()),
                    ("verdict", &refusal.verdict),
                    ("after_ms", &arrived.elapsed().as_millis()),
                    ("why", &refusal.message),
                ],
            );
            discard_rest(body);
            response::refusal_response(&refusal)
        }
    };
    let status = response.status().as_u16();
    let route = route.as_deref();
    parts.metrics.answered(route, status, arrived.elapsed());
    if parts.gate.is_stopping() {
        let close = http::HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

// Reads on what is left of a refused request's body, so that its caller gets to read the refusal: closing a connection with
// unread bytes resets it.
fn discard_rest(body: Incoming) {
    if body.is_end_stream() {
        return;
    }
    task::spawn_local(async move {
        let discarding = web::discard(body);
        if tokio::time::timeout(DISCARD_TIMEOUT, discarding)
            .await
            .is_err()
        {
            log::debug!("a refused request's body did not end in time");
        }
    });
}

async fn relay(
    parts: &Rc<RelayParts>,
    head: Parts,
    body: &mut Incoming,
) -> Result<RelayResponse, Refusal> {
    let entry = enter_gate(parts).await?;
    let preparing = parts.until_given_up(prepare(parts, head, body)).await;
    let prepared = preparing.unwrap_or_else(|| Err(parts.stopped_refusal(RunVerdict::NotRun)))?;
    let PreparedRequest {
        request,
        service,
        uses_engines,
        charge,
    } = prepared;
    let account = request.account.clone();
    let sent = request.clone();
    let response = match uses_engines {
        true => stream::relay_stream(parts.clone(), request, service).await,
        false => plain::relay_plain(parts.clone(), request, service).await,
    };
    // The reason of a refusal may know nothing of the request's other sends.
    let response = response.map_err(|refusal| refusal.with_least(sent.verdict()));
    if let (Err(refusal), Some(account), Some(charge)) = (&response, account, charge)
        && refusal.verdict == RunVerdict::NotRun
    {
        parts.refund(&account.name, charge);
    }
    // Counts as in progress until the client has received the last byte.
    Ok(response?.map(|body| response::guarded_body(body, entry)))
}

// A request that was read and admitted, and is sent to no server yet.
struct PreparedRequest {
    request: Rc<ClientRequest>,
    service: FastStr,
    uses_engines: bool,
    charge: Option<UseCharge>,
}

async fn prepare(
    parts: &Rc<RelayParts>,
    head: Parts,
    body: &mut Incoming,
) -> Result<PreparedRequest, Refusal> {
    parts.refreshed().await;
    let routes = parts.routes().ok_or_else(not_configured)?;
    check_config_lag(parts)?;
    let limits = &routes.config().limits;
    check_headers(&head, limits)?;
    let route = find_route(&routes, &head).map_err(|refusal| unless_behind(parts, refusal))?;
    let marks = (parts.dialect.read_request)(&head.headers);
    let timeout = client_request::request_timeout(&marks, &route);
    parts.check_stop(timeout, route.kind)?;
    parts
        .identify(&route, marks.key)
        .map_err(|refusal| unless_behind(parts, refusal))?;
    let service = routes.draw_service(&route).ok_or_else(|| {
        let text = format!("route {} leads to no service", route.name);
        Refusal::not_run(RefusalCode::NoBackend, text).after(RETRY_AFTER)
    })?;
    let request = client_request::read_request(
        head,
        body,
        route,
        routes.config(),
        &parts.dialect,
        &parts.caller_budget,
        &parts.clock,
    )
    .await?;
    // Checked again, because a stop may have begun while the body was read.
    parts.check_stop(request.time_left(), request.route.kind)?;
    // Checked again, because the key may have expired while the body was read.
    let account = parts
        .identify(&request.route, request.marks.key)
        .map_err(|refusal| unless_behind(parts, refusal))?;
    let request = request.with_account(account);
    let service = take_up::bind_taken_up(parts, &request, &routes, service).await?;
    let request = restrict_zones(parts, request, &service)?;
    let request = send_check::admit(parts, request, &service.name).await?;
    let charge = charge(parts, &request).await?;
    parts.count_request(&service.name);
    let request = with_prior_wait(parts, request);
    let uses_engines = uses_engines(&request, service.engine.is_some());
    let class = routes.priority_class(&service.name, request.priority());
    let request = Rc::new(request.with_priority_class(class.filter(|_| uses_engines)));
    Ok(PreparedRequest {
        request,
        service: service.name.clone(),
        uses_engines,
        charge,
    })
}

// At the limit on requests in progress, one whose body has stopped gives way.
async fn enter_gate(parts: &RelayParts) -> Result<GateEntry, Refusal> {
    let entered = parts.gate.enter();
    let is_full = matches!(&entered, Err(refusal) if refusal.code == RefusalCode::Overloaded);
    if !is_full || !parts.caller_budget.evict_stalled_body() {
        return entered;
    }
    // The evicted request ends when its task runs.
    task::yield_now().await;
    parts.gate.enter()
}

// Restricts the request to the zones that its route and its account allow. Refused at once if no server there can take
// it.
fn restrict_zones(
    parts: &RelayParts,
    request: ClientRequest,
    service: &RelayService,
) -> Result<ClientRequest, Refusal> {
    let account = request.account.as_deref();
    let of_account = account.and_then(|account| account.allowed_regions.as_deref());
    let lists = [request.route.allowed_regions.as_deref(), of_account];
    let allowed = AllowedZones::within(&parts.settings.regions, &lists);
    if !allowed.is_restricted() {
        return Ok(request);
    }
    let request = request.with_allowed_zones(allowed);
    match region_refusal(parts, &request, service) {
        Some(refusal) => {
            parts.metrics.services.region_refused(&service.name);
            Err(refusal)
        }
        None => Ok(request),
    }
}

// The refusal of a request that no server in its zones can take now.
fn region_refusal(
    parts: &RelayParts,
    request: &ClientRequest,
    service: &RelayService,
) -> Option<Refusal> {
    let name = &service.name;
    let role = uses_engines(request, service.engine.is_some()).then_some(EngineRole::Decode);
    let origin = request.origin(&parts.settings.zone);
    let book = parts.book.borrow();
    if !book.has_server(name, role, origin) {
        let text = format!("no server of {name} in the regions that its route and account allow");
        let wait = rand::random_range(NO_REGION_RETRY_AFTER);
        return Some(Refusal::not_run(RefusalCode::NoBackend, text).after(wait));
    }
    let wait = book.rotation_wait(name, role, origin, parts.now())?;
    drop(book);
    Some(parts.out_of_rotation(name, RunVerdict::NotRun, wait, request.priority()))
}

// Charges the request to its account's limit.
async fn charge(parts: &RelayParts, request: &ClientRequest) -> Result<Option<UseCharge>, Refusal> {
    let Some(account) = &request.account else {
        return Ok(None);
    };
    let tokens = request.marks.prompt_tokens + request.marks.answer_limit;
    let target = request.route.latency_target;
    parts.admit(account, tokens, target).await
}

// Estimates how long the client waited in earlier tries from the time that it has left. Of a stream that it takes up the client
// had events meanwhile, and waits for the next one from now on.
fn with_prior_wait(parts: &RelayParts, request: ClientRequest) -> ClientRequest {
    let time_left = request.marks.time_left;
    let Some(left) = time_left.filter(|_| !request.is_taken_up()) else {
        return request;
    };
    let mut waits = parts.caller_waits.borrow_mut();
    let prior_wait = waits.observe(&request.route.name, left);
    request.with_prior_wait(prior_wait)
}

fn uses_engines(request: &ClientRequest, has_engines: bool) -> bool {
    request.route.kind.is_stream() && has_engines
}

fn not_configured() -> Refusal {
    let text = "this host has no configuration yet";
    Refusal::not_run(RefusalCode::NotConfigured, text).after(RETRY_AFTER)
}

// Refuses to decide by a configuration that should have been replaced by now. Other hosts that have the newer one serve
// the caller when it comes back; forwarding the request to them would take the link that the configuration arrives on.
fn check_config_lag(parts: &RelayParts) -> Result<(), Refusal> {
    let bound = parts.settings.bounds.change_time;
    let longest = bound.saturating_sub(CONFIG_LAG_MARGIN);
    match parts.config_lag() {
        Some(lag) if lag >= longest => Err(config_behind(lag)),
        _ => Ok(()),
    }
}

// The newer configuration that is on its way may contain the route or the key that this one lacks.
fn unless_behind(parts: &RelayParts, refusal: Refusal) -> Refusal {
    let is_final = !matches!(
        refusal.code,
        RefusalCode::UnknownRoute | RefusalCode::UnknownCaller
    );
    match parts.config_lag() {
        Some(lag) if !is_final => config_behind(lag),
        _ => refusal,
    }
}

fn config_behind(lag: Duration) -> Refusal {
    let text = format!(
        "a newer configuration is on its way to this host, for {} ms so far",
        lag.as_millis()
    );
    let wait = rand::random_range(CONFIG_RETRY_AFTER);
    Refusal::not_run(RefusalCode::NotConfigured, text).after(wait)
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
    let host_header = head.headers.get(header::HOST);
    let host = host_header.and_then(|value| value.to_str().ok());
    let host = host.or_else(|| head.uri.host()).unwrap_or_default();
    routes.find(host, head.uri.path()).ok_or_else(|| {
        let text = format!("no route for host {host:?} and path {:?}", head.uri.path());
        Refusal::not_run(RefusalCode::UnknownRoute, text)
    })
}

//! Reads a request within size and time limits and determines its kind.

use {
    super::{
        call::{ANONYMOUS, CallContext, CallKind, CallTenant},
        completion::{CompletionCall, CompletionStyle},
    },
    crate::{
        host::Traffic,
        operation::{Refusal, RefusalCode},
        web::{self, BodyFailure},
    },
    bytes::Bytes,
    faststr::FastStr,
    http::{Method, header, request::Parts},
    std::sync::Arc,
    volo_http::request::Request,
};

/// Maximum total size of a request's header fields, in bytes.
const HEADER_BYTES_LIMIT: usize = 16 << 10;

/// Reads and validates a request; an invalid one is refused before any filter runs.
pub async fn receive(
    traffic: &Traffic,
    request: Request,
    id: FastStr,
) -> Result<CallContext, Refusal> {
    let (parts, body) = request.into_parts();
    let limit = traffic.settings.body_limit as usize;
    let time = traffic.settings.body_time;
    if let Err(refusal) = check_headers(traffic, &parts) {
        // The body is discarded under the same timeout as an accepted one is read, so that slow
        // senders gain no time.
        let _ = tokio::time::timeout(time, web::discard(body)).await;
        return Err(refusal);
    }
    let body = web::read_body(body, limit, time)
        .await
        .map_err(|failure| body_refusal(failure, limit))?;
    let kind = read_kind(traffic, &parts, &body)?;
    let target = parts
        .uri
        .path_and_query()
        .map_or("/", |target| target.as_str());
    Ok(CallContext {
        id,
        target: FastStr::new(target),
        method: parts.method,
        headers: parts.headers,
        body,
        kind,
        tenant: CallTenant {
            name: ANONYMOUS,
            object: None,
        },
        route: None,
        operation: None,
        permits: Vec::new(),
    })
}

fn check_headers(traffic: &Traffic, parts: &Parts) -> Result<(), Refusal> {
    let size: usize = parts
        .headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len())
        .sum();
    if size > HEADER_BYTES_LIMIT {
        let text = format!("headers: {size} bytes; at most {HEADER_BYTES_LIMIT} are allowed");
        return Err(Refusal::not_run(RefusalCode::TooLarge, text));
    }
    let content_length = parts
        .headers
        .get(header::CONTENT_LENGTH)
        .and_then(|value| value.to_str().ok()?.parse::<u64>().ok());
    let limit = traffic.settings.body_limit;
    match content_length {
        Some(length) if length > limit => Err(too_large(limit as usize)),
        _ => Ok(()),
    }
}

fn too_large(limit: usize) -> Refusal {
    let text = format!("body: more than the {limit} bytes that are allowed");
    Refusal::not_run(RefusalCode::TooLarge, text)
}

fn body_refusal(failure: BodyFailure, limit: usize) -> Refusal {
    match failure {
        BodyFailure::TooLarge => too_large(limit),
        BodyFailure::TooSlow => {
            Refusal::not_run(RefusalCode::SlowCaller, "body: took too long to arrive")
        }
        BodyFailure::Broken => Refusal::not_run(RefusalCode::InvalidRequest, "body: broke off"),
    }
}

fn read_kind(traffic: &Traffic, parts: &Parts, body: &Bytes) -> Result<CallKind, Refusal> {
    let path = parts.uri.path();
    let expect_method = |method: Method| match parts.method == method {
        true => Ok(()),
        false => {
            let text = format!("{path} takes {method}, not {}", parts.method);
            Err(Refusal::not_run(RefusalCode::WrongMethod, text))
        }
    };
    if let Some(key) = path.strip_prefix("/v1/operations/") {
        expect_method(Method::DELETE)?;
        return Ok(CallKind::CancelOperation(FastStr::new(key)));
    }
    match path {
        "/v1/completions" => {
            expect_method(Method::POST)?;
            let call = CompletionCall::read(CompletionStyle::Text, body)?;
            Ok(CallKind::Model(Arc::new(call)))
        }
        "/v1/chat/completions" => {
            expect_method(Method::POST)?;
            let call = CompletionCall::read(CompletionStyle::Chat, body)?;
            Ok(CallKind::Model(Arc::new(call)))
        }
        "/v1/models" => expect_method(Method::GET).map(|()| CallKind::Models),
        "/v1/tickets" => expect_method(Method::POST).map(|()| CallKind::Ticket),
        _ => read_plain(traffic, parts),
    }
}

// Selects the service with the longest matching path prefix.
fn read_plain(traffic: &Traffic, parts: &Parts) -> Result<CallKind, Refusal> {
    let snapshot = traffic.snapshot.load();
    let path = parts.uri.path();
    let service = snapshot
        .objects
        .services
        .values()
        .filter_map(|service| {
            let rest = path.strip_prefix(service.spec.path.as_str())?;
            (rest.is_empty() || rest.starts_with('/')).then_some((service, rest))
        })
        .max_by_key(|(service, _)| service.spec.path.len());
    let Some((service, rest)) = service else {
        if snapshot.generation == 0 {
            let text = "this host has no configuration yet";
            return Err(Refusal::not_run(RefusalCode::NotConfigured, text));
        }
        let text = format!("no service has the path {path}");
        return Err(Refusal::not_run(RefusalCode::UnknownRoute, text));
    };
    let rest = if rest.is_empty() { "/" } else { rest };
    let path = match parts.uri.query() {
        Some(query) => format!("{rest}?{query}"),
        None => rest.to_owned(),
    };
    Ok(CallKind::Plain {
        service: Arc::new(service.clone()),
        path: FastStr::from_string(path),
    })
}

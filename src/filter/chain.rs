//! The filter chain: the ordered list of filters and the handling of their results.

use {
    super::{
        call::{CallContext, FilterEnd, REQUEST_HEADER, VERDICT_HEADER},
        completion, dispatch, identify, limit, operation, receive, route,
    },
    crate::{event, host::Traffic, operation::Refusal, web},
    faststr::FastStr,
    futures::future::BoxFuture,
    http::{HeaderValue, header},
    std::sync::Arc,
    volo_http::{request::Request, response::Response},
};

/// A filter: returns `Ok` to continue with the next filter, or an error that ends the request.
pub type Filter =
    for<'a> fn(&'a Arc<Traffic>, &'a mut CallContext) -> BoxFuture<'a, Result<(), FilterEnd>>;

/// The filters, in order; `receive` comes before them and `dispatch` after.
pub const FILTERS: [(&str, Filter); 4] = [
    ("identify", identify::filter),
    ("route", route::filter),
    ("limit", limit::filter),
    ("operation", operation::filter),
];

/// Handles one request from a caller.
pub async fn answer(traffic: Arc<Traffic>, request: Request) -> Response {
    let id = traffic.next_request_id();
    let mut response = match run_filters(&traffic, request, &id).await {
        Ok(response) => response,
        Err(FilterEnd::Answered(response)) => *response,
        Err(FilterEnd::Refused(refusal)) => {
            event::emit(
                &event::REQUEST_REFUSED,
                &[
                    ("request", &id),
                    ("code", &refusal.code.as_str()),
                    ("verdict", &refusal.verdict),
                    ("why", &refusal.message),
                ],
            );
            traffic.metrics.refused(refusal.code, refusal.verdict);
            refusal_response(&refusal)
        }
    };
    if let Ok(value) = HeaderValue::from_str(&id) {
        response.headers_mut().insert(REQUEST_HEADER, value);
    }
    response
}

async fn run_filters(
    traffic: &Arc<Traffic>,
    request: Request,
    id: &FastStr,
) -> Result<Response, FilterEnd> {
    let entry = Arc::new(traffic.gate.enter()?);
    let mut call = receive::receive(traffic, request, id.clone()).await?;
    for (_, filter) in FILTERS {
        filter(traffic, &mut call).await?;
    }
    dispatch::dispatch(traffic, call, entry).await
}

/// Converts a refusal to an HTTP response with its status, verdict, `Retry-After` and body.
pub fn refusal_response(refusal: &Refusal) -> Response {
    let body = completion::error_body(refusal);
    let mut response = web::json_reply(refusal.code.status(), &body);
    let headers = response.headers_mut();
    let verdict = HeaderValue::from_static(refusal.verdict.as_str());
    headers.insert(VERDICT_HEADER, verdict);
    if let Some(wait) = refusal.retry_after {
        let seconds = wait.as_secs_f64().ceil() as u64;
        headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}

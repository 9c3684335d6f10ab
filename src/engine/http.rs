//! Engine calls over HTTP.

use {
    super::{
        link::{CallFailure, CallResult, EngineLink, ItemStream, ResumeOrder},
        wire,
    },
    crate::web::{self, WebClient, WebFailure},
    bytes::Bytes,
    faststr::FastStr,
    futures::{FutureExt, StreamExt},
    http::Method,
    serde::Serialize,
    std::{net::SocketAddr, time::Duration},
    volo_http::{client::sse::SseExt, response::Response},
};

/// Longest wait for a prefill, which may queue at the engine.
pub const PREFILL_TIMEOUT: Duration = Duration::from_secs(30);

/// Longest wait for a short call.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// A link to the engine at `address`.
pub fn http_link(client: &WebClient, address: SocketAddr) -> EngineLink {
    let (prefill, decode, resume, cancel) = (
        client.clone(),
        client.clone(),
        client.clone(),
        client.clone(),
    );
    EngineLink {
        prefill: Box::new(move |order| {
            let client = prefill.clone();
            async move {
                let path = "/v1/prefill";
                client
                    .json(Method::POST, address, path, Some(&order), PREFILL_TIMEOUT)
                    .await
                    .map_err(call_failure)
            }
            .boxed()
        }),
        decode: Box::new(move |order| {
            let client = decode.clone();
            async move { post_stream(&client, address, "/v1/decode", &order).await }.boxed()
        }),
        resume: Box::new(move |order| {
            let client = resume.clone();
            async move { resume_stream(&client, address, order).await }.boxed()
        }),
        cancel: Box::new(move |attempt| {
            let client = cancel.clone();
            async move { cancel_attempt(&client, address, &attempt).await }.boxed()
        }),
    }
}

async fn cancel_attempt(
    client: &WebClient,
    address: SocketAddr,
    attempt: &FastStr,
) -> CallResult<()> {
    let path = format!("/v1/attempts/{attempt}");
    client
        .json::<(), serde_json::Value>(Method::DELETE, address, &path, None, CALL_TIMEOUT)
        .await
        .map(|_| ())
        .map_err(call_failure)
}

async fn post_stream<A: Serialize>(
    client: &WebClient,
    address: SocketAddr,
    path: &str,
    order: &A,
) -> CallResult<ItemStream> {
    let content = serde_json::to_vec(order).map_err(CallFailure::unreachable)?;
    let response = open_stream(client, Method::POST, address, path, content.into()).await?;
    read_items(response)
}

// A stream of another tenant's attempt is not read, whatever id a caller shows.
async fn resume_stream(
    client: &WebClient,
    address: SocketAddr,
    order: ResumeOrder,
) -> CallResult<ItemStream> {
    let ResumeOrder {
        attempt,
        from,
        tenant,
    } = order;
    let path = format!("/v1/attempts/{attempt}/stream?from={from}");
    let response = open_stream(client, Method::GET, address, &path, Bytes::new()).await?;
    let owner = response.headers().get(wire::TENANT_HEADER);
    match owner.is_some_and(|owner| owner.as_bytes() == tenant.as_bytes()) {
        true => read_items(response),
        false => Err(CallFailure::unanswered("the attempt is not this tenant's")),
    }
}

async fn open_stream(
    client: &WebClient,
    method: Method,
    address: SocketAddr,
    path: &str,
    content: Bytes,
) -> CallResult<Response> {
    let sent = client.send(method, address, path, web::json_headers(), content);
    let response = tokio::time::timeout(CALL_TIMEOUT, sent)
        .await
        .map_err(|_| CallFailure::unanswered("no answer in time"))?
        .map_err(call_failure)?;
    if response.status().is_success() {
        return Ok(response);
    }
    match web::read_answer(response, CALL_TIMEOUT).await {
        Err(failure) => Err(call_failure(failure)),
        Ok(_) => Err(CallFailure::unanswered("an unexpected status")),
    }
}

// The stream's items; a broken connection is the last of them.
fn read_items(response: Response) -> CallResult<ItemStream> {
    let reader = response.into_sse().map_err(CallFailure::unanswered)?;
    let items = futures::stream::unfold(Some(reader), |reader| async move {
        let mut reader = reader?;
        let item = match reader.read().await {
            Ok(Some(event)) => parse_item(event.data()),
            Ok(None) => return None,
            Err(error) => Err(CallFailure::unanswered(error)),
        };
        let rest = item.is_ok().then_some(reader);
        Some((item, rest))
    });
    Ok(items.boxed())
}

fn parse_item(data: Option<&str>) -> CallResult<wire::StreamItem> {
    let text = data.unwrap_or_default();
    serde_json::from_str(text).map_err(|error| CallFailure::unanswered(format!("item: {error}")))
}

/// What a failed HTTP call says of the order: a refusal in the engine's words is proof of not run.
pub fn call_failure(failure: WebFailure) -> CallFailure {
    match failure {
        WebFailure::Unreachable(detail) => CallFailure::unreachable(detail),
        WebFailure::Unanswered(detail) | WebFailure::Malformed(detail) => {
            CallFailure::unanswered(detail)
        }
        WebFailure::Status(status, body) => match serde_json::from_str(&body) {
            Ok(refusal) => CallFailure::refused(refusal),
            Err(_) => CallFailure::unanswered(format!("status {status}")),
        },
    }
}

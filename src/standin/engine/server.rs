//! A stand-in engine behind a socket; `docs/interface.md` describes its calls.

use {
    super::{
        core::{EngineCore, FetchKv},
        params::EngineParams,
    },
    crate::{
        engine::{self, CallFailure, EngineRefusal, ItemStream, RefusalCause},
        web::{self, WebClient},
    },
    bytes::Bytes,
    faststr::FastStr,
    futures::{FutureExt, StreamExt},
    http::Method,
    serde::{Serialize, de::DeserializeOwned},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::net::TcpListener,
    volo_http::{request::Request, response::Response},
};

const BODY_LIMIT: usize = 4 << 20;
const BODY_TIME: Duration = Duration::from_secs(5);

/// Starts a stand-in engine behind a listening socket, on the current runtime.
pub fn start_engine(
    name: FastStr,
    role: engine::EngineRole,
    models: Vec<FastStr>,
    params: EngineParams,
    listener: TcpListener,
) -> Arc<EngineCore> {
    let core = EngineCore::start(name, role, models, params, http_fetch());
    let served = core.clone();
    let handler: web::WebHandler = Arc::new(move |request| answer(served.clone(), request).boxed());
    tokio::spawn(web::serve(listener, handler, None));
    core
}

// Fetches KV caches from other engines over HTTP.
fn http_fetch() -> FetchKv {
    let client = WebClient::new(engine::CALL_TIMEOUT);
    Arc::new(move |source, handle| {
        let client = client.clone();
        async move {
            let address: SocketAddr = source.parse().map_err(|_| RefusalCause::Invalid)?;
            let path = format!("/v1/kv/{handle}");
            client
                .json::<(), _>(Method::GET, address, &path, None, engine::PREFILL_TIMEOUT)
                .await
                .map_err(|failure| match engine::call_failure(failure).cause() {
                    Some(cause) => cause,
                    None => RefusalCause::Expired,
                })
        }
        .boxed()
    })
}

async fn answer(core: Arc<EngineCore>, request: Request) -> Response {
    let (parts, body) = request.into_parts();
    let path = parts.uri.path().to_owned();
    let query = parts.uri.query().unwrap_or_default().to_owned();
    let steps: Vec<&str> = path.trim_matches('/').split('/').collect();
    let Ok(content) = web::read_body(body, BODY_LIMIT, BODY_TIME).await else {
        return refusal(CallFailure::refused(invalid()));
    };
    match (parts.method, steps.as_slice()) {
        (Method::POST, ["v1", "prefill"]) => match parse(&content) {
            Ok(order) => outcome(core.prefill(order).await),
            Err(refused) => *refused,
        },
        (Method::POST, ["v1", "decode"]) => match parse(&content) {
            Ok(order) => match core.decode(order) {
                Ok(log) => stream(log.read(0)),
                Err(failure) => refusal(failure),
            },
            Err(refused) => *refused,
        },
        (Method::POST, ["v1", "sweep"]) => match parse(&content) {
            Ok(order) => web::json_reply(200, &core.sweep(&order)),
            Err(refused) => *refused,
        },
        (Method::POST, ["v1", "orders"]) => match parse(&content) {
            Ok(order) => outcome(core.order(&order)),
            Err(refused) => *refused,
        },
        (Method::GET, ["v1", "kv", handle]) => match core.export(&FastStr::new(handle)).await {
            Ok(export) => web::json_reply(200, &export),
            Err(cause) => refusal(CallFailure::refused(EngineRefusal { cause, load: None })),
        },
        (Method::GET, ["v1", "attempts", attempt, "stream"]) => {
            resume(&core, &FastStr::new(attempt), &query)
        }
        (Method::DELETE, ["v1", "attempts", attempt]) => {
            core.cancel(&FastStr::new(attempt));
            web::json_reply(200, &serde_json::json!({"cancelled": attempt}))
        }
        (Method::GET, ["v1", "load"]) => web::json_reply(200, &core.load()),
        (Method::GET, ["v1", "counts"]) => web::json_reply(200, &core.counts()),
        _ => web::text_reply(404, "no such call"),
    }
}

fn resume(core: &EngineCore, attempt: &FastStr, query: &str) -> Response {
    let from = query
        .strip_prefix("from=")
        .and_then(|value| value.parse().ok())
        .unwrap_or(0);
    match core.find(attempt) {
        Some(log) => {
            let tenant = http::HeaderValue::from_str(&log.tenant);
            let mut response = stream(log.read(from));
            if let Ok(tenant) = tenant {
                response.headers_mut().insert(engine::TENANT_HEADER, tenant);
            }
            response
        }
        None => web::text_reply(404, "no such attempt"),
    }
}

fn stream(items: ItemStream) -> Response {
    let chunks = items.filter_map(|item| {
        std::future::ready(item.ok().and_then(|item| {
            let json = serde_json::to_string(&item).ok()?;
            Some(Bytes::from(format!("data: {json}\n\n")))
        }))
    });
    web::body_reply(200, "text/event-stream", web::stream_body(chunks))
}

fn parse<T: DeserializeOwned>(content: &[u8]) -> Result<T, Box<Response>> {
    serde_json::from_slice(content).map_err(|_| Box::new(refusal(CallFailure::refused(invalid()))))
}

fn invalid() -> EngineRefusal {
    EngineRefusal {
        cause: RefusalCause::Invalid,
        load: None,
    }
}

fn outcome<T: Serialize>(result: engine::CallResult<T>) -> Response {
    match result {
        Ok(reply) => web::json_reply(200, &reply),
        Err(failure) => refusal(failure),
    }
}

fn refusal(failure: CallFailure) -> Response {
    match failure.refusal {
        Some(refusal) => {
            let status = match refusal.cause {
                RefusalCause::Full => 429,
                RefusalCause::Leaving => 503,
                RefusalCause::Invalid => 400,
                RefusalCause::Expired => 410,
                RefusalCause::Cancelled | RefusalCause::WrongEngine | RefusalCause::Fenced => 409,
            };
            web::json_reply(status, &refusal)
        }
        None => web::text_reply(500, failure.detail),
    }
}

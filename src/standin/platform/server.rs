//! The stand-in platform behind a socket; `docs/interface.md` describes its calls.

use {
    super::core::{PlatformCore, StoreRefusal},
    crate::{object::AnyObject, store, web},
    bytes::Bytes,
    futures::FutureExt,
    http::Method,
    std::{collections::HashMap, sync::Arc, time::Duration},
    tokio::net::TcpListener,
    volo_http::{request::Request, response::Response},
};

const BODY_LIMIT: usize = 2 << 20;
const BODY_TIME: Duration = Duration::from_secs(5);

/// Serves a stand-in platform on a listening socket, on the current runtime.
pub fn serve_platform(core: Arc<PlatformCore>, listener: TcpListener) {
    let handler: web::WebHandler = Arc::new(move |request| answer(core.clone(), request).boxed());
    tokio::spawn(web::serve(listener, handler, None));
}

async fn answer(core: Arc<PlatformCore>, request: Request) -> Response {
    let faults = core.faults();
    tokio::time::sleep(faults.delay).await;
    if faults.down {
        // Holds the call until the outage ends, like a store that hangs.
        while core.faults().down {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        return web::text_reply(503, "the platform is back");
    }
    let is_write = request.method() != Method::GET;
    let response = answer_call(&core, request).await;
    if is_write && faults.lose_answers {
        return web::text_reply(504, "no answer in time");
    }
    response
}

async fn answer_call(core: &Arc<PlatformCore>, request: Request) -> Response {
    let (parts, content) = request.into_parts();
    let Some(rest) = parts.uri.path().strip_prefix(store::OBJECTS_PATH) else {
        return web::text_reply(404, "no such path");
    };
    let query = read_query(parts.uri.query().unwrap_or_default());
    let steps: Vec<&str> = rest.split('/').filter(|step| !step.is_empty()).collect();
    match (&parts.method, steps.as_slice()) {
        (&Method::GET, []) if query.contains_key("watch") => watch(core.clone(), &query),
        (&Method::GET, []) => web::json_reply(200, &core.list()),
        (&Method::GET, [kind, name]) => match core.get(kind, name) {
            Some(object) => web::json_reply(200, &object),
            None => web::text_reply(404, "no such object"),
        },
        (&Method::PUT, [kind, name]) => {
            let Ok(bytes) = web::read_body(content, BODY_LIMIT, BODY_TIME).await else {
                return web::text_reply(413, "the object is too large");
            };
            match serde_json::from_slice::<AnyObject>(&bytes) {
                Ok(object) if object.kind == *kind && object.metadata.name == *name => {
                    outcome(core.put(object))
                }
                Ok(_) => web::text_reply(400, "the path names another object"),
                Err(error) => web::text_reply(400, error.to_string()),
            }
        }
        (&Method::DELETE, [kind, name]) => {
            let version = number(&query, "resourceVersion");
            outcome(core.delete(kind, name, version))
        }
        _ => web::text_reply(405, "no such call"),
    }
}

fn watch(core: Arc<PlatformCore>, query: &HashMap<String, String>) -> Response {
    let since = number(query, "resourceVersion");
    let time = Duration::from_secs(number(query, "timeoutSeconds").max(1));
    if !core.may_watch(since) {
        return web::text_reply(410, "too old");
    }
    let line = async move {
        let version = core.changed(since, time).await;
        let text = version.map_or(String::new(), |version| {
            format!("{{\"resourceVersion\":{version}}}\n")
        });
        Bytes::from(text)
    };
    let chunks = futures::stream::once(line);
    web::body_reply(200, "application/json", web::stream_body(chunks))
}

fn outcome(result: Result<AnyObject, StoreRefusal>) -> Response {
    match result {
        Ok(object) => web::json_reply(200, &object),
        Err(StoreRefusal::Conflict(text)) => web::text_reply(409, text),
        Err(StoreRefusal::NotFound) => web::text_reply(404, "no such object"),
        Err(StoreRefusal::TooLarge) => web::text_reply(413, "the object is too large"),
    }
}

fn read_query(query: &str) -> HashMap<String, String> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .map(|(key, value)| (key.to_owned(), value.to_owned()))
        .collect()
}

fn number(query: &HashMap<String, String>, key: &str) -> u64 {
    query
        .get(key)
        .and_then(|value| value.parse().ok())
        .unwrap_or(0)
}

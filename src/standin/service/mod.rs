//! A stand-in plain service that counts how often each call ran.

use {
    crate::{filter::VERDICT_HEADER, operation::RunVerdict, route, web},
    faststr::FastStr,
    futures::FutureExt,
    http::{HeaderValue, header},
    serde_json::json,
    std::{
        collections::HashMap,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::net::TcpListener,
    volo_http::{request::Request, response::Response},
};

const BODY_LIMIT: usize = 1 << 20;
const BODY_TIME: Duration = Duration::from_secs(5);

/// A stand-in plain service; a call is its method, path and body.
#[derive(Debug, Default)]
pub struct ServiceCore {
    name: FastStr,
    runs: Mutex<HashMap<String, u64>>,
    delay_ms: AtomicU64,
    lose_answers: AtomicBool,
    // What its answers name as the calls a second that it takes; empty for none.
    limit: Mutex<String>,
    is_leaving: AtomicBool,
    // The seconds for which it turns all away and asks for a backoff; empty where it does not.
    backoff: Mutex<String>,
    // Calls that came, run or not.
    arrivals: AtomicU64,
}

impl ServiceCore {
    /// A service that has run nothing.
    pub fn new(name: FastStr) -> Arc<Self> {
        Arc::new(Self {
            name,
            ..Self::default()
        })
    }

    /// How often each call ran.
    pub fn runs(&self) -> HashMap<String, u64> {
        self.runs.lock().expect("service runs").clone()
    }

    /// Waits this long before each answer, after the call ran.
    pub fn set_delay(&self, delay: Duration) {
        let millis = delay.as_millis() as u64;
        self.delay_ms.store(millis, Ordering::Relaxed);
    }

    /// Runs calls and does not answer them.
    pub fn set_lose_answers(&self, lose: bool) {
        self.lose_answers.store(lose, Ordering::Relaxed);
    }

    /// Names this many calls a second in its answers from now on; none where the text is empty.
    pub fn set_limit(&self, per_second: &str) {
        *self.limit.lock().expect("service limit") = per_second.to_owned();
    }

    /// Says in its answers that it is leaving, or no more.
    pub fn set_leaving(&self, is_leaving: bool) {
        self.is_leaving.store(is_leaving, Ordering::Relaxed);
    }

    /// Turns all calls away and asks for a backoff of so many seconds; not any more where the text is empty.
    pub fn set_backoff(&self, seconds: &str) {
        *self.backoff.lock().expect("service backoff") = seconds.to_owned();
    }

    /// Calls that came, run or not.
    pub fn arrivals(&self) -> u64 {
        self.arrivals.load(Ordering::Relaxed)
    }

    async fn answer(self: Arc<Self>, request: Request) -> Response {
        self.arrivals.fetch_add(1, Ordering::Relaxed);
        let mut reply = self.answer_call(request).await;
        if self.is_leaving.load(Ordering::Relaxed) {
            let said = HeaderValue::from_static("1");
            reply
                .headers_mut()
                .insert(route::SERVER_HEADERS.leaving, said);
        }
        reply
    }

    // The answer that turns a call away, where it does so.
    fn turned_away(&self) -> Option<Response> {
        let seconds = self.backoff.lock().expect("service backoff").clone();
        if seconds.is_empty() {
            return None;
        }
        let mut reply = web::text_reply(503, "no more calls for now");
        let headers = reply.headers_mut();
        match HeaderValue::from_str(&seconds) {
            Ok(value) => drop(headers.insert(header::RETRY_AFTER, value)),
            Err(error) => log::warn!("the backoff {seconds:?} cannot be named: {error}"),
        }
        let verdict = HeaderValue::from_static(RunVerdict::NotRun.as_str());
        headers.insert(VERDICT_HEADER, verdict);
        Some(reply)
    }

    async fn answer_call(&self, request: Request) -> Response {
        if let Some(reply) = self.turned_away() {
            return reply;
        }
        let (parts, content) = request.into_parts();
        let Ok(bytes) = web::read_body(content, BODY_LIMIT, BODY_TIME).await else {
            return web::text_reply(413, "too large or too slow");
        };
        let text = String::from_utf8_lossy(&bytes);
        let call = format!("{} {} {text}", parts.method, parts.uri.path());
        let run = {
            let mut runs = self.runs.lock().expect("service runs");
            let count = runs.entry(call).or_default();
            *count += 1;
            *count
        };
        let delay = Duration::from_millis(self.delay_ms.load(Ordering::Relaxed));
        tokio::time::sleep(delay).await;
        if self.lose_answers.load(Ordering::Relaxed) {
            std::future::pending::<()>().await;
        }
        let answer = json!({
            "service": self.name,
            "method": parts.method.as_str(),
            "path": parts.uri.path(),
            "received": text,
            "run": run,
        });
        let mut reply = web::json_reply(200, &answer);
        let limit = self.limit.lock().expect("service limit").clone();
        match HeaderValue::from_str(&limit) {
            Ok(value) if !limit.is_empty() => {
                reply
                    .headers_mut()
                    .insert(route::SERVER_HEADERS.limit, value);
            }
            Ok(_) => {}
            Err(error) => log::warn!("the limit {limit:?} cannot be named: {error}"),
        }
        reply
    }
}

/// Serves a stand-in service on a listening socket, on the current runtime.
pub fn serve_service(core: Arc<ServiceCore>, listener: TcpListener) {
    let handler: web::WebHandler = Arc::new(move |request| core.clone().answer(request).boxed());
    tokio::spawn(web::serve(listener, handler, None));
}

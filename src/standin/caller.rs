//! A caller as the demo, the bench of the sockets and the tests need one.

use {
    crate::{
        filter::{KEY_HEADER, LAST_EVENT_HEADER, TICKET_HEADER, VERDICT_HEADER},
        web::{self, WebClient, WebFailure},
    },
    bytes::Bytes,
    http::{HeaderMap, HeaderName, HeaderValue, Method, header},
    serde_json::{Value, json},
    std::{net::SocketAddr, time::Duration},
    volo_http::{
        body::Body,
        client::sse::{SseExt, SseReader},
        response::Response,
    },
};

/// Longest wait of a caller for one answer.
const PATIENCE: Duration = Duration::from_secs(60);

/// An answer that was read whole.
#[derive(Debug, Clone)]
pub struct CallerReply {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    /// The body, as JSON if it is.
    pub body: Value,
}

impl CallerReply {
    /// A header's value; empty when there is none.
    pub fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name);
        value
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
    }

    /// The verdict of a refusal; empty for an answer.
    pub fn verdict(&self) -> &str {
        self.header(VERDICT_HEADER)
    }

    /// The ticket that came along.
    pub fn ticket(&self) -> &str {
        self.header(TICKET_HEADER)
    }

    /// The text of a whole completion.
    pub fn text(&self) -> &str {
        self.body["choices"][0]["text"].as_str().unwrap_or_default()
    }
}

/// One event of a streamed completion.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamedEvent {
    /// A token and its event's id.
    Token {
        /// The event's id.
        id: String,
        /// The token's text.
        text: String,
    },
    /// The answer is whole.
    Done,
    /// The answer broke off with this error.
    Error(Value),
    /// The connection ended without an end of the answer.
    Cut,
}

/// A streamed completion that is being read.
pub struct StreamedAnswer {
    reader: SseReader<Body>,
}

impl StreamedAnswer {
    /// The next event.
    pub async fn next(&mut self) -> StreamedEvent {
        loop {
            let Ok(Some(event)) = self.reader.read().await else {
                return StreamedEvent::Cut;
            };
            let data = event.data().unwrap_or_default();
            if data == "[DONE]" {
                return StreamedEvent::Done;
            }
            let Ok(value) = serde_json::from_str::<Value>(data) else {
                return StreamedEvent::Cut;
            };
            if !value["error"].is_null() {
                return StreamedEvent::Error(value);
            }
            if let (Some(id), Some(text)) = (event.id(), value["choices"][0]["text"].as_str()) {
                return StreamedEvent::Token {
                    id: id.to_owned(),
                    text: text.to_owned(),
                };
            }
        }
    }

    /// Reads to the end; gives the text so far, the last event's id and the end.
    pub async fn finish(&mut self) -> (String, String, StreamedEvent) {
        let (mut whole, mut last) = (String::new(), String::new());
        loop {
            match self.next().await {
                StreamedEvent::Token { id, text } => {
                    whole.push_str(&text);
                    last = id;
                }
                end => return (whole, last, end),
            }
        }
    }
}

/// A caller of one tenant.
#[derive(Debug, Clone)]
pub struct Caller {
    client: WebClient,
    key: String,
}

impl Caller {
    /// A caller who shows this key.
    pub fn new(key: &str) -> Self {
        Self {
            client: WebClient::new(Duration::from_secs(2)),
            key: key.to_owned(),
        }
    }

    fn headers(&self, extra: &[(&str, &str)]) -> HeaderMap {
        let mut headers = web::json_headers();
        let bearer = format!("Bearer {}", self.key);
        if let Ok(value) = HeaderValue::from_str(&bearer) {
            headers.insert(header::AUTHORIZATION, value);
        }
        for (name, value) in extra {
            let name = HeaderName::from_bytes(name.as_bytes());
            if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(value)) {
                headers.insert(name, value);
            }
        }
        headers
    }

    /// Sends a request and reads the whole answer.
    pub async fn call(
        &self,
        host: SocketAddr,
        method: Method,
        path: &str,
        extra: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Result<CallerReply, WebFailure> {
        let headers = self.headers(extra);
        let response = self
            .client
            .send(method, host, path, headers, body.into())
            .await?;
        read_reply(response).await
    }

    /// Sends a call of a plain service; with a key if there is one.
    pub async fn plain(
        &self,
        host: SocketAddr,
        path: &str,
        key: Option<&str>,
        body: &str,
    ) -> Result<CallerReply, WebFailure> {
        let extra: Vec<(&str, &str)> = key.map(|key| (KEY_HEADER, key)).into_iter().collect();
        self.call(host, Method::POST, path, &extra, body.to_owned())
            .await
    }

    /// Asks for a whole completion.
    pub async fn complete(
        &self,
        host: SocketAddr,
        model: &str,
        prompt: &str,
        key: Option<&str>,
    ) -> Result<CallerReply, WebFailure> {
        let extra: Vec<(&str, &str)> = key.map(|key| (KEY_HEADER, key)).into_iter().collect();
        let body = json!({"model": model, "prompt": prompt}).to_string();
        self.call(host, Method::POST, "/v1/completions", &extra, body)
            .await
    }

    /// Asks for a streamed completion; a refusal comes as the error.
    pub async fn stream(
        &self,
        host: SocketAddr,
        model: &str,
        prompt: &str,
        key: Option<&str>,
        last_event: Option<&str>,
    ) -> Result<StreamedAnswer, StreamFailure> {
        let key = key.map(|key| (KEY_HEADER, key));
        let last_event = last_event.map(|id| (LAST_EVENT_HEADER, id));
        let extra: Vec<(&str, &str)> = key.into_iter().chain(last_event).collect();
        let body = json!({"model": model, "prompt": prompt, "stream": true}).to_string();
        let headers = self.headers(&extra);
        let response = self
            .client
            .send(Method::POST, host, "/v1/completions", headers, body.into())
            .await
            .map_err(StreamFailure::Web)?;
        if !response.status().is_success() {
            let reply = read_reply(response).await.map_err(StreamFailure::Web)?;
            return Err(StreamFailure::Refused(Box::new(reply)));
        }
        let reader = response
            .into_sse()
            .map_err(|error| StreamFailure::Web(WebFailure::Malformed(error.to_string())))?;
        Ok(StreamedAnswer { reader })
    }
}

/// Why a streamed completion did not begin.
#[derive(Debug)]
pub enum StreamFailure {
    /// The host refused.
    Refused(Box<CallerReply>),
    /// The call failed.
    Web(WebFailure),
}

async fn read_reply(response: Response) -> Result<CallerReply, WebFailure> {
    let (parts, content) = response.into_parts();
    let bytes = web::read_body(content, web::ANSWER_LIMIT, PATIENCE)
        .await
        .map_err(|failure| WebFailure::Unanswered(format!("{failure:?}")))?;
    let body = serde_json::from_slice(&bytes)
        .unwrap_or_else(|_| Value::String(String::from_utf8_lossy(&bytes).into_owned()));
    Ok(CallerReply {
        status: parts.status.as_u16(),
        headers: parts.headers,
        body,
    })
}

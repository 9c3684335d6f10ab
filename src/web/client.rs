//! One HTTP client for all calls outward; it sends each request once and never again by itself.

use {
    super::body,
    bytes::Bytes,
    http::{HeaderMap, Method, StatusCode, header},
    serde::{Serialize, de::DeserializeOwned},
    std::{fmt, net::SocketAddr, time::Duration},
    volo_http::{body::Body, client::Client, error::client::ErrorKind, response::Response},
};

/// Bytes that an answer read as a whole may have.
pub const ANSWER_LIMIT: usize = 8 << 20;

/// Why an HTTP call gave no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WebFailure {
    /// No connection was made; no byte was sent.
    Unreachable(String),
    /// The request was handed over and its answer did not come whole.
    Unanswered(String),
    /// The answer came and was not what it should be.
    Malformed(String),
    /// The answer's status says no; the body says why.
    Status(u16, String),
}

impl fmt::Display for WebFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable(detail) => write!(f, "unreachable: {detail}"),
            Self::Unanswered(detail) => write!(f, "unanswered: {detail}"),
            Self::Malformed(detail) => write!(f, "malformed answer: {detail}"),
            Self::Status(status, body) => write!(f, "status {status}: {body}"),
        }
    }
}

impl std::error::Error for WebFailure {}

/// Calls other processes over HTTP; cheap to clone.
#[derive(Clone)]
pub struct WebClient {
    client: Client,
}

impl fmt::Debug for WebClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("WebClient")
    }
}

impl WebClient {
    /// A client that gives up a connection attempt after `connect_timeout`.
    pub fn new(connect_timeout: Duration) -> Self {
        let mut builder = Client::builder();
        builder.set_connect_timeout(connect_timeout);
        let client = builder.build().expect("client without TLS settings");
        Self { client }
    }

    /// Sends a request and gives the answer, whose body still streams.
    pub async fn send(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        headers: HeaderMap,
        content: Bytes,
    ) -> Result<Response, WebFailure> {
        let mut request = self.client.request(method, path).address(address);
        *request.headers_mut() = headers;
        request
            .headers_mut()
            .entry(header::HOST)
            .or_insert_with(|| host_value(address));
        request
            .data(content)
            .send()
            .await
            .map_err(|error| match error.kind() {
                ErrorKind::Connect | ErrorKind::Builder => {
                    WebFailure::Unreachable(error.to_string())
                }
                _ => WebFailure::Unanswered(error.to_string()),
            })
    }

    /// Sends a JSON body, or none, and reads a JSON answer within `time`.
    pub async fn json<A: Serialize, R: DeserializeOwned>(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        content: Option<&A>,
        time: Duration,
    ) -> Result<R, WebFailure> {
        let bytes = match content {
            Some(content) => encode(content)?,
            None => Bytes::new(),
        };
        let call = async {
            let response = self
                .send(method, address, path, json_headers(), bytes)
                .await?;
            read_answer(response, time).await
        };
        let answer = tokio::time::timeout(time, call)
            .await
            .map_err(|_| WebFailure::Unanswered("no answer in time".into()))??;
        serde_json::from_slice(&answer).map_err(|error| WebFailure::Malformed(error.to_string()))
    }
}

fn encode<A: Serialize>(content: &A) -> Result<Bytes, WebFailure> {
    serde_json::to_vec(content)
        .map(Bytes::from)
        .map_err(|error| WebFailure::Unreachable(format!("not encodable: {error}")))
}

/// Headers of a JSON body.
pub fn json_headers() -> HeaderMap {
    let mut headers = HeaderMap::new();
    let value = http::HeaderValue::from_static("application/json");
    headers.insert(header::CONTENT_TYPE, value);
    headers
}

fn host_value(address: SocketAddr) -> http::HeaderValue {
    http::HeaderValue::from_str(&address.to_string()).expect("an address is a header value")
}

/// Reads an answer's whole body; a status that says no is a failure.
pub async fn read_answer(response: Response, time: Duration) -> Result<Bytes, WebFailure> {
    let status = response.status();
    let (_, content): (_, Body) = response.into_parts();
    let bytes = body::read_body(content, ANSWER_LIMIT, time)
        .await
        .map_err(|failure| WebFailure::Unanswered(format!("body: {failure:?}")))?;
    match status {
        StatusCode::OK | StatusCode::CREATED | StatusCode::ACCEPTED => Ok(bytes),
        _ => {
            let text = String::from_utf8_lossy(&bytes).into_owned();
            Err(WebFailure::Status(status.as_u16(), text))
        }
    }
}

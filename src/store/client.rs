//! Calls to the platform's object API, in the manner of the Kubernetes API conventions.

use {
    crate::{
        object::{AnyObject, kind},
        web::{self, WebClient, WebFailure},
    },
    bytes::Bytes,
    faststr::FastStr,
    http::{Method, StatusCode},
    http_body_util::BodyExt,
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    std::{fmt, net::SocketAddr, time::Duration},
};

/// Where the objects are.
pub const OBJECTS_PATH: &str = "/apis/bayplank/v1/objects";

/// All objects at one version of the store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct ObjectList {
    /// Version of the store that the list shows.
    pub resource_version: u64,
    /// The objects.
    pub items: Vec<AnyObject>,
}

/// Why a call to the platform did not succeed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreFailure {
    /// Another write came first, or the object is there already.
    Conflict(String),
    /// There is no such object.
    NotFound,
    /// The watch fell too far behind; read the list again.
    Gone,
    /// The platform understood and said no.
    Refused(String),
    /// Nothing was sent.
    Unreachable(String),
    /// The answer has more than this number of bytes.
    TooLarge(usize),
    /// A write may or may not have taken effect, or a read brought nothing.
    Unknown(String),
}

impl StoreFailure {
    /// Whether the store answered at all, be it that the call failed.
    pub fn is_answer(&self) -> bool {
        match self {
            Self::Conflict(_)
            | Self::NotFound
            | Self::Gone
            | Self::Refused(_)
            | Self::TooLarge(_) => true,
            Self::Unreachable(_) | Self::Unknown(_) => false,
        }
    }
}

impl fmt::Display for StoreFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Conflict(text) => write!(f, "conflict: {text}"),
            Self::NotFound => f.write_str("not found"),
            Self::Gone => f.write_str("the watch fell behind"),
            Self::Refused(text) => write!(f, "refused: {text}"),
            Self::TooLarge(limit) => write!(f, "the answer has more than {limit} bytes"),
            Self::Unreachable(text) => write!(f, "unreachable: {text}"),
            Self::Unknown(text) => write!(f, "unanswered: {text}"),
        }
    }
}

impl std::error::Error for StoreFailure {}

impl From<WebFailure> for StoreFailure {
    fn from(failure: WebFailure) -> Self {
        match failure {
            WebFailure::Unreachable(text) => Self::Unreachable(text),
            WebFailure::Unanswered(text) | WebFailure::Malformed(text) => Self::Unknown(text),
            WebFailure::Status(404, _) => Self::NotFound,
            WebFailure::Status(409, text) => Self::Conflict(text),
            WebFailure::Status(410, _) => Self::Gone,
            WebFailure::Status(status, text) if status >= 500 => {
                Self::Unknown(format!("status {status}: {text}"))
            }
            WebFailure::Status(status, text) => Self::Refused(format!("status {status}: {text}")),
        }
    }
}

/// Calls the platform; cheap to clone.
#[derive(Debug, Clone)]
pub struct StoreClient {
    client: WebClient,
    address: SocketAddr,
    timeout: Duration,
}

impl StoreClient {
    /// A client of the platform at `address` that waits `timeout` for an answer.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self {
            client: WebClient::new(timeout),
            address,
            timeout,
        }
    }

    /// Reads all objects.
    pub async fn list(&self) -> Result<ObjectList, StoreFailure> {
        self.call::<(), _>(Method::GET, OBJECTS_PATH, None).await
    }

    /// Reads one object.
    pub async fn get(&self, kind: &str, name: &str) -> Result<AnyObject, StoreFailure> {
        self.call::<(), _>(Method::GET, &object_path(kind, name), None)
            .await
    }

    /// Creates an object, or changes it if it still has the version that it shows.
    pub async fn put(&self, object: &AnyObject) -> Result<AnyObject, StoreFailure> {
        let path = object_path(&object.kind, &object.metadata.name);
        self.call(Method::PUT, &path, Some(object)).await
    }

    /// Deletes an object if it still has this version.
    pub async fn delete(
        &self,
        kind: &str,
        name: &str,
        version: u64,
    ) -> Result<AnyObject, StoreFailure> {
        let path = format!("{}?resourceVersion={version}", object_path(kind, name));
        self.call::<(), _>(Method::DELETE, &path, None).await
    }

    async fn call<A: Serialize, R: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        content: Option<&A>,
    ) -> Result<R, StoreFailure> {
        let answer = self
            .client
            .json(method, self.address, path, content, self.timeout)
            .await?;
        Ok(answer)
    }

    /// Waits until an object other than a lease changes after version `since`; the time bounds the wait.
    pub async fn changed(&self, since: u64, time: Duration) -> Result<(), StoreFailure> {
        let seconds = time.as_secs().max(1);
        let selector = format!("kind!={}", kind::LEASE);
        let path = format!(
            "{OBJECTS_PATH}?watch=true&fieldSelector={selector}&resourceVersion={since}\
             &timeoutSeconds={seconds}"
        );
        let sent = self.client.send(
            Method::GET,
            self.address,
            &path,
            web::json_headers(),
            Bytes::new(),
        );
        let response = tokio::time::timeout(self.timeout, sent)
            .await
            .map_err(|_| StoreFailure::Unknown("the watch did not begin in time".into()))??;
        match response.status() {
            StatusCode::OK => {}
            StatusCode::GONE => return Err(StoreFailure::Gone),
            status => return Err(StoreFailure::Unknown(format!("status {status}"))),
        }
        let mut content = response.into_body();
        // The first line is enough: the list that is read next tells the rest.
        match tokio::time::timeout(time + self.timeout, content.frame()).await {
            Ok(Some(Ok(_)) | None) => Ok(()),
            Ok(Some(Err(error))) => Err(StoreFailure::Unknown(error.to_string())),
            Err(_) => Err(StoreFailure::Unknown("the watch went silent".into())),
        }
    }
}

fn object_path(kind: &str, name: &str) -> FastStr {
    FastStr::from_string(format!("{OBJECTS_PATH}/{kind}/{name}"))
}

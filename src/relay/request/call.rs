//! A caller's request, read whole, and the requests to backend servers that are made of it.

use {
    crate::{
        account::ClientAccount,
        clock::HostClock,
        operation::{Refusal, RefusalCode},
        relay::{
            backend::BackendInfo,
            config::{CallerLimits, RelayConfig, RelayRoute},
            dialect::{CallDialect, RequestMetadata, RequestTarget},
            policy::digest::RequestDigest,
        },
        web,
    },
    bytes::{Bytes, BytesMut},
    http::{HeaderMap, Method, Request, request::Parts},
    http_body_util::{BodyExt, Full},
    hyper::body::Incoming,
    std::{cell::OnceCell, rc::Rc, time::Duration},
};

/// A caller's request.
#[derive(Debug)]
pub struct RelayCall {
    /// Its method.
    pub method: Method,
    /// Its path and query, as they came.
    pub target: String,
    /// Its headers, less what speaks of the connection and what only this host may set.
    pub headers: HeaderMap,
    /// Its whole body.
    pub body: Bytes,
    /// What it says of itself.
    pub marks: RequestMetadata,
    /// Its route.
    pub route: Rc<RelayRoute>,
    /// The client account that it is for, if a key in force was shown.
    pub account: Option<Rc<ClientAccount>>,
    /// Version of the configuration that the route is of.
    pub config_version: u64,
    /// When its head had arrived, on the host's clock.
    pub arrived: Duration,
    /// How long its caller had waited before, with an earlier try.
    pub waited: Duration,
    /// When its caller has to have an answer, on the host's clock.
    pub until: Duration,
    /// For how long the host had been suspended when the call was let in.
    pub suspended: Duration,
    /// Servers ended under it before.
    pub is_suspected: bool,
    /// It is held to end its servers, and is tried once.
    pub is_on_trial: bool,
    clock: HostClock,
    digest: OnceCell<RequestDigest>,
}

impl RelayCall {
    /// How urgent it is, 0 the most: its account's priority goes before its route's.
    pub fn priority(&self) -> u8 {
        let account = self.account.as_ref().and_then(|account| account.priority);
        account.unwrap_or(self.route.priority)
    }

    /// The name of its account, empty where there is none.
    pub fn account_name(&self) -> &str {
        self.account.as_ref().map_or("", |account| &account.name)
    }

    /// The same call, of this client account.
    pub fn of_account(self, account: Option<Rc<ClientAccount>>) -> Self {
        let digest = OnceCell::new();
        Self {
            account,
            digest,
            ..self
        }
    }

    /// The same call, of a caller that had waited for so long.
    pub fn with_waited(self, waited: Duration) -> Self {
        Self { waited, ..self }
    }

    /// The same call, under which servers ended before.
    pub fn suspected(self) -> Self {
        Self {
            is_suspected: true,
            ..self
        }
    }

    /// The same call, to be sent once.
    pub fn on_trial(self) -> Self {
        Self {
            is_on_trial: true,
            ..self
        }
    }

    /// Which request it is, whatever its id; worked out when it is first asked for.
    pub fn digest(&self) -> RequestDigest {
        *self
            .digest
            .get_or_init(|| RequestDigest::of(self.account_name(), &self.target, &self.body))
    }

    /// What is left of its time.
    pub fn time_left(&self) -> Duration {
        self.until.saturating_sub(self.clock.now())
    }

    /// Time since its arrival.
    pub fn age(&self) -> Duration {
        self.clock.now().saturating_sub(self.arrived)
    }

    /// The request to a backend server; `prepare` adds what the kind of backend server needs.
    pub fn request_to(
        &self,
        backend: &BackendInfo,
        dialect: &CallDialect,
        prepare: impl FnOnce(&mut HeaderMap),
    ) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.target.parse().expect("the target of a request read");
        *request.headers_mut() = self.headers.clone();
        let address = RequestTarget {
            backend: &backend.id,
            time_left: self.time_left(),
            account: self.account.as_ref().map(|account| account.name.as_str()),
        };
        (dialect.set_target)(request.headers_mut(), address);
        prepare(request.headers_mut());
        request
    }
}

/// Reads a request's body within the limits and puts the call together.
pub async fn read_call(
    parts: Parts,
    body: Incoming,
    route: Rc<RelayRoute>,
    config: &RelayConfig,
    dialect: &CallDialect,
    clock: &HostClock,
) -> Result<RelayCall, Refusal> {
    let arrived = clock.now();
    let marks = (dialect.read_request)(&parts.headers);
    let patience = match marks.time_left {
        Some(left) => left.min(route.time_limit),
        None => route.time_limit,
    };
    let until = arrived + patience;
    let reading = read_body(body, &config.limits);
    let body = tokio::time::timeout(patience, reading)
        .await
        .unwrap_or_else(|_| Err(slow_body()))?;
    let target = parts
        .uri
        .path_and_query()
        .map_or("/", |target| target.as_str());
    let mut headers = parts.headers;
    web::strip_hop_headers(&mut headers);
    (dialect.strip_request)(&mut headers);
    Ok(RelayCall {
        method: parts.method,
        target: target.to_owned(),
        headers,
        body,
        marks,
        route,
        account: None,
        config_version: config.version,
        arrived,
        waited: Duration::ZERO,
        until,
        suspended: clock.suspended(),
        is_suspected: false,
        is_on_trial: false,
        clock: clock.clone(),
        digest: OnceCell::new(),
    })
}

async fn read_body(mut body: Incoming, limits: &CallerLimits) -> Result<Bytes, Refusal> {
    let mut whole = BytesMut::new();
    loop {
        let frame = tokio::time::timeout(limits.idle_time, body.frame())
            .await
            .map_err(|_| slow_body())?;
        let Some(frame) = frame else {
            return Ok(whole.freeze());
        };
        let frame = frame.map_err(|error| {
            let text = format!("the body broke off: {error}");
            Refusal::not_run(RefusalCode::InvalidRequest, text)
        })?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if whole.len() + data.len() > limits.body_bytes {
            let text = format!("the body has more than {} bytes", limits.body_bytes);
            return Err(Refusal::not_run(RefusalCode::TooLarge, text));
        }
        whole.extend_from_slice(&data);
    }
}

fn slow_body() -> Refusal {
    Refusal::not_run(RefusalCode::SlowCaller, "the body took too long to arrive")
}

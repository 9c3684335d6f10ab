//! A client's request with its buffered body, and the requests to backend servers that are built from it.

use {
    super::request_body,
    crate::{
        account::ClientAccount,
        clock::HostClock,
        operation::{Refusal, RunVerdict},
        relay::{
            backend::BackendInfo,
            config::{RelayConfig, RelayRoute},
            dialect::{CallDialect, RequestMetadata, RequestTarget},
            policy::{
                attempt_budget::AttemptBudget,
                crash_suspect::CrashSuspect,
                digest::{PartDigest, RequestDigest},
                priority_loads::PriorityClass,
                regions::{AllowedServers, AllowedZones, RequestOrigin},
                stream_origins::StreamKey,
            },
            software_version::SoftwareVersion,
        },
        web::{self, AnswerId, CallerBudget, HeldBytes},
    },
    bytes::Bytes,
    http::{HeaderMap, Method, Request, request::Parts},
    http_body_util::Full,
    hyper::body::Incoming,
    std::{
        cell::{Cell, OnceCell, RefCell},
        rc::Rc,
        time::Duration,
    },
};

/// That a request waited longer for memory because more urgent requests were waiting.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldBack {
    /// Priority class of the most urgent of them.
    pub for_priority: u8,
    /// Until when, counted from the request's arrival.
    pub until: Duration,
}

/// A client's request.
#[derive(Debug)]
pub struct ClientRequest {
    /// HTTP method.
    pub method: Method,
    /// Path and query as received.
    pub target: String,
    /// Headers, without hop-by-hop headers and those that only this host may set.
    pub headers: HeaderMap,
    /// Full body.
    pub body: Bytes,
    /// What its headers say about it.
    pub marks: RequestMetadata,
    /// Route that it matched.
    pub route: Rc<RelayRoute>,
    /// Client account, if the request carries a valid API key.
    pub account: Option<Rc<ClientAccount>>,
    /// Version of the configuration that the route is from.
    pub config_version: u64,
    /// When its head was received, on the host's clock.
    pub received_at: Duration,
    /// The zones whose servers may run it.
    pub allowed_zones: AllowedZones,
    /// How long its client waited before, in earlier tries.
    pub prior_wait: Duration,
    /// Deadline of the response, on the host's clock.
    pub deadline: Duration,
    /// Its priority class, if model engines run it whose requests have different priorities.
    pub priority_class: Option<PriorityClass>,
    /// How it held back for more urgent requests.
    pub held_back: Cell<Option<HeldBack>>,
    /// The servers that it was sent to, and how many more it may be sent to.
    pub budget: RefCell<AttemptBudget>,
    /// Whether servers ended while running this request before.
    pub is_crash_suspect: bool,
    /// Whether it is known to crash its servers and is sent once, as a trial.
    pub is_crash_trial: bool,
    // The software version of the servers that may run it from now on, once its client has an event.
    bound_software: OnceCell<SoftwareVersion>,
    // Whether its client has got an event from here.
    has_sent_event: Cell<bool>,
    // The bytes of the body, taken from the budget of all callers.
    _held: HeldBytes,
    clock: HostClock,
    digest: OnceCell<RequestDigest>,
    suspects: OnceCell<Vec<CrashSuspect>>,
}

impl ClientRequest {
    /// Priority, 0 being the most urgent. The account's priority overrides the route's.
    pub fn priority(&self) -> u8 {
        let account = self.account.as_ref().and_then(|account| account.priority);
        account.unwrap_or(self.route.priority)
    }

    /// Name of its account, empty if it has none.
    pub fn account_name(&self) -> &str {
        self.account.as_ref().map_or("", |account| &account.name)
    }

    /// Id of the request that began the stream that this one takes up; empty if it takes up none.
    pub fn resumes(&self) -> &str {
        self.marks.resumes.as_deref().unwrap_or_default()
    }

    /// Sets the client account.
    pub fn with_account(self, account: Option<Rc<ClientAccount>>) -> Self {
        let digest = OnceCell::new();
        let suspects = OnceCell::new();
        Self {
            account,
            digest,
            suspects,
            ..self
        }
    }

    /// Sets the zones whose servers may run it.
    pub fn with_allowed_zones(self, allowed_zones: AllowedZones) -> Self {
        Self {
            allowed_zones,
            ..self
        }
    }

    /// The zone from which a server is chosen, and the zones that the request may reach.
    pub fn origin<'a>(&'a self, zone: &'a str) -> RequestOrigin<'a> {
        RequestOrigin {
            zone,
            allowed: Some(&self.allowed_zones),
            software: self.bound_software.get(),
        }
    }

    /// The id by which answers of servers name it; none if its client gave it none.
    pub fn answer_id(&self) -> Option<AnswerId> {
        let id = &self.marks.id;
        (!id.is_empty()).then(|| AnswerId::of(id))
    }

    /// Whether it ran, from all of its sends so far. One whose outcome is open may have run.
    pub fn verdict(&self) -> RunVerdict {
        self.budget.borrow().verdict()
    }

    /// The servers that it may reach now.
    pub fn allowed_servers(&self) -> AllowedServers {
        AllowedServers {
            zones: self.allowed_zones.clone(),
            software: self.bound_software.get().cloned(),
        }
    }

    /// Whether it takes up a stream of which its client has events.
    pub fn is_taken_up(&self) -> bool {
        let last_event = self.marks.last_event.as_deref();
        self.route.kind.is_stream() && last_event.is_some_and(|last| !last.is_empty())
    }

    /// The stream that it takes up or begins.
    pub fn stream_key(&self) -> StreamKey {
        let began = match self.is_taken_up() {
            true => self.resumes(),
            false => &self.marks.id,
        };
        StreamKey::of(self.account_name(), &self.target, began)
    }

    /// The software version that wrote the events which its client has.
    pub fn bound_software(&self) -> Option<&SoftwareVersion> {
        self.bound_software.get()
    }

    /// Records that its client gets an event, and returns whether it is the first one from here.
    pub fn is_first_event(&self) -> bool {
        !self.has_sent_event.replace(true)
    }

    /// Records the version that writes its stream. Only servers of this version may run it from now on.
    pub fn bind_software(&self, software: &SoftwareVersion) {
        let bound = self.bound_software.get_or_init(|| software.clone());
        assert_eq!(
            bound, software,
            "a stream is written by one software version"
        );
    }

    /// Sets how long the client waited before.
    pub fn with_prior_wait(self, prior_wait: Duration) -> Self {
        Self { prior_wait, ..self }
    }

    /// Sets the priority class.
    pub fn with_priority_class(self, priority_class: Option<PriorityClass>) -> Self {
        Self {
            priority_class,
            ..self
        }
    }

    /// Records that the request holds back for more urgent ones, and returns whether it is the first time.
    pub fn hold_back(&self, held_back: HeldBack) -> bool {
        self.held_back.replace(Some(held_back)).is_none()
    }

    /// Marks the request as one under which servers ended before.
    pub fn as_crash_suspect(self) -> Self {
        Self {
            is_crash_suspect: true,
            ..self
        }
    }

    /// Marks the request as a trial, which is sent once.
    pub fn as_crash_trial(self) -> Self {
        Self {
            is_crash_trial: true,
            ..self
        }
    }

    /// Digest of the account, target and body, which recognizes the request whatever its id. Computed on first use.
    pub fn digest(&self) -> RequestDigest {
        *self
            .digest
            .get_or_init(|| RequestDigest::of(self.account_name(), &self.target, &self.body))
    }

    /// What may be the cause if a server crashes under it: the request itself, or a part of its prompt that others share.
    pub fn suspects(&self) -> &[CrashSuspect] {
        self.suspects.get_or_init(|| {
            let parts = self.marks.shared_parts.iter();
            let parts = parts.map(|id| PartDigest::of(id).into());
            std::iter::once(self.digest().into()).chain(parts).collect()
        })
    }

    /// Time left until the deadline.
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_sub(self.clock.now())
    }

    /// Time for which its client may still come back.
    pub fn client_time_left(&self) -> Duration {
        let time = self.marks.time_left.unwrap_or(self.route.time_limit);
        time.saturating_sub(self.age())
    }

    /// Time since it was received.
    pub fn age(&self) -> Duration {
        self.clock.now().saturating_sub(self.received_at)
    }

    /// Builds the request to a backend server. `prepare` adds the headers that its kind needs.
    pub fn backend_request(
        &self,
        backend: &BackendInfo,
        dialect: &CallDialect,
        prepare: impl FnOnce(&mut HeaderMap),
    ) -> Request<Full<Bytes>> {
        assert!(
            self.allowed_zones.contains(&backend.zone),
            "a request reaches only servers in the regions that its route and its account allow, not {} in {}",
            backend.id,
            backend.zone
        );
        assert!(
            self.origin(&backend.zone).allows_server(backend),
            "a stream that {:?} began goes on at no other software version, as {} has with {}",
            self.bound_software(),
            backend.id,
            backend.software
        );
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self
            .target
            .parse()
            .expect("the target was parsed when the request was read");
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

/// Time until the deadline of a request that arrives now.
pub fn request_timeout(marks: &RequestMetadata, route: &RelayRoute) -> Duration {
    match marks.time_left {
        Some(left) => left.min(route.time_limit),
        None => route.time_limit,
    }
}

/// Reads a request's body within the limits and the budget of all callers.
pub async fn read_request(
    head: Parts,
    body: &mut Incoming,
    route: Rc<RelayRoute>,
    config: &RelayConfig,
    dialect: &CallDialect,
    budget: &Rc<CallerBudget>,
    clock: &HostClock,
) -> Result<ClientRequest, Refusal> {
    let received_at = clock.now();
    let marks = (dialect.read_request)(&head.headers);
    let timeout = request_timeout(&marks, &route);
    let deadline = received_at + timeout;
    let reading = request_body::read_body(body, &config.limits, budget);
    let (body, held) = tokio::time::timeout(timeout, reading)
        .await
        .unwrap_or_else(|_| Err(request_body::slow_body()))?;
    let target = head
        .uri
        .path_and_query()
        .map_or("/", |target| target.as_str());
    let mut headers = head.headers;
    web::strip_hop_headers(&mut headers);
    (dialect.strip_request)(&mut headers);
    let budget = RefCell::new(AttemptBudget::new(
        route.attempts,
        route.kind.is_repeatable(),
    ));
    Ok(ClientRequest {
        method: head.method,
        target: target.to_owned(),
        headers,
        body,
        _held: held,
        marks,
        route,
        account: None,
        config_version: config.version,
        received_at,
        allowed_zones: AllowedZones::default(),
        prior_wait: Duration::ZERO,
        priority_class: None,
        held_back: Cell::default(),
        deadline,
        budget,
        is_crash_suspect: false,
        is_crash_trial: false,
        bound_software: OnceCell::new(),
        has_sent_event: Cell::new(false),
        clock: clock.clone(),
        digest: OnceCell::new(),
        suspects: OnceCell::new(),
    })
}

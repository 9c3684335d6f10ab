//! What a relaying host counts: requests by route and end, times by route, and what it holds.

use {
    super::metric_labels::{
        self, AccountLabels, CauseLabels, EndLabels, LimitEnd, RouteLabels, ServiceLabels,
        StoreCause,
    },
    crate::relay::config::RelayRoute,
    faststr::FastStr,
    prometheus_client::{
        encoding::text,
        metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
        registry::{Registry, Unit},
    },
    std::{cell::RefCell, collections::HashSet, fmt, time::Duration},
};

type RouteHistogram = Family<RouteLabels, Histogram, fn() -> Histogram>;

/// All metrics of a relaying host.
pub struct RelayMetrics {
    registry: Registry,
    known: RefCell<HashSet<FastStr>>,
    known_accounts: RefCell<HashSet<FastStr>>,
    known_services: RefCell<HashSet<FastStr>>,
    account_requests: Family<AccountLabels, Counter>,
    account_units: Family<AccountLabels, Counter>,
    answers: Family<EndLabels, Counter>,
    head_time: RouteHistogram,
    reserve_time: RouteHistogram,
    prefill_time: RouteHistogram,
    /// Requests in progress.
    pub in_flight: Gauge,
    /// Requests that wait for memory at an engine.
    pub waiting: Gauge,
    /// Connections to backend servers.
    pub connections: Gauge,
    /// Version of the configuration in force.
    pub config_version: Gauge,
    /// Backend servers that may be used.
    pub backends: Gauge,
    /// Repeats that were sent to backend servers.
    pub repeats: Counter,
    /// Backend servers that were passed over after failures.
    pub ejections: Counter,
    /// Sends that found all of this host's connections to their backend server in use.
    pub connection_limits: Counter,
    /// Calls to the store that failed.
    pub store_failures: Counter,
    /// Lists of the store that were left, since they show an older revision than is known.
    pub older_lists: Counter,
    store_calls: Family<CauseLabels, Counter>,
    ended_under: Family<ServiceLabels, Counter>,
    fatal_refused: Family<ServiceLabels, Counter>,
    held_back: Family<ServiceLabels, Counter>,
    held_off: Family<ServiceLabels, Counter>,
    left_service: Family<ServiceLabels, Counter>,
    backed_off: Family<ServiceLabels, Counter>,
    /// Requests that are held to end their servers.
    pub fatal_requests: Gauge,
    /// Connections to backend servers that were opened.
    pub connections_opened: Gauge,
    /// Sends to backend servers over a connection that was open already.
    pub connections_reused: Gauge,
    /// How old the host's view of the store may be, milliseconds; -1 before it knows everything.
    pub news_age: Gauge,
    /// How long ago the store last answered this host, whatever it was asked, milliseconds; -1 where it never did.
    pub store_heard: Gauge,
    /// The latest era of the store that this host knows of; it rises when the store was restored from a copy.
    pub store_era: Gauge,
    /// Answers of the store that named no era, none that can be read, or an earlier one.
    pub doubtful_eras: Gauge,
    /// Answers to other hosts that asked for news.
    pub news_told: Counter,
    /// How long ago the configuration was surely the newest, milliseconds; -1 where that was never so.
    pub proof_age: Gauge,
    /// Requests refused since this host could not tell whether their key is in force.
    pub unsure_keys: Counter,
    /// Requests for which the zone's ledger was asked.
    pub ledger_asks: Counter,
    /// Of these, those that it did not answer in time.
    pub ledger_silences: Counter,
    /// Answers that name a limit which is none.
    pub unreadable_limits: Counter,
    /// Answers that say something else where they may say that their server leaves or wants a backoff.
    pub unreadable_marks: Counter,
    /// Backend servers that take no new requests of this host by what their answers said.
    pub servers_unavailable: Gauge,
    /// Backend servers that name a limit.
    pub servers_limited: Gauge,
}

impl fmt::Debug for RelayMetrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("RelayMetrics")
    }
}

// From the fastest plain call to the longest wait of a caller, seconds.
fn time_buckets() -> Histogram {
    Histogram::new([
        0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.45, 0.6, 0.9, 1.4, 2.0, 3.0, 5.0, 14.0,
    ])
}

impl Default for RelayMetrics {
    fn default() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("bayplank_relay"),
            known: RefCell::default(),
            known_accounts: RefCell::default(),
            known_services: RefCell::default(),
            account_requests: Family::default(),
            account_units: Family::default(),
            answers: Family::default(),
            head_time: Family::new_with_constructor(time_buckets),
            reserve_time: Family::new_with_constructor(time_buckets),
            prefill_time: Family::new_with_constructor(time_buckets),
            in_flight: Gauge::default(),
            waiting: Gauge::default(),
            connections: Gauge::default(),
            config_version: Gauge::default(),
            backends: Gauge::default(),
            repeats: Counter::default(),
            ejections: Counter::default(),
            connection_limits: Counter::default(),
            store_failures: Counter::default(),
            older_lists: Counter::default(),
            store_calls: Family::default(),
            ended_under: Family::default(),
            fatal_refused: Family::default(),
            held_back: Family::default(),
            held_off: Family::default(),
            left_service: Family::default(),
            backed_off: Family::default(),
            fatal_requests: Gauge::default(),
            connections_opened: Gauge::default(),
            connections_reused: Gauge::default(),
            news_age: Gauge::default(),
            store_heard: Gauge::default(),
            store_era: Gauge::default(),
            doubtful_eras: Gauge::default(),
            news_told: Counter::default(),
            proof_age: Gauge::default(),
            unsure_keys: Counter::default(),
            ledger_asks: Counter::default(),
            ledger_silences: Counter::default(),
            unreadable_limits: Counter::default(),
            unreadable_marks: Counter::default(),
            servers_unavailable: Gauge::default(),
            servers_limited: Gauge::default(),
        };
        metrics.register();
        metrics
    }
}

impl RelayMetrics {
    fn register(&mut self) {
        let r = &mut self.registry;
        r.register(
            "answers",
            "Answers by route and status",
            self.answers.clone(),
        );
        r.register(
            "account_requests",
            "Requests by account and what became of them at its limit",
            self.account_requests.clone(),
        );
        r.register(
            "account_units",
            "Units of these requests",
            self.account_units.clone(),
        );
        r.register(
            "store_calls",
            "Calls to the store by cause",
            self.store_calls.clone(),
        );
        r.register(
            "ended_under",
            "Requests under which a backend server ended, by service",
            self.ended_under.clone(),
        );
        r.register(
            "fatal_refused",
            "Requests refused since backend servers end under them, by service",
            self.fatal_refused.clone(),
        );
        r.register(
            "held_back",
            "Requests refused since rate-limited servers had no permit for them, by service",
            self.held_back.clone(),
        );
        r.register(
            "held_off",
            "Requests refused since all servers were leaving or waiting for a backoff to end, by service",
            self.held_off.clone(),
        );
        r.register(
            "servers_leaving",
            "Backend servers whose answers said that they are leaving, by service",
            self.left_service.clone(),
        );
        r.register(
            "server_backoffs",
            "Backoffs that backend servers asked this host for, by service",
            self.backed_off.clone(),
        );
        let times = [
            ("head", "Arrival to the head of the answer", &self.head_time),
            ("reserve", "Wait for an engine's memory", &self.reserve_time),
            ("prefill", "Prefill, with its wait", &self.prefill_time),
        ];
        for (name, help, family) in times {
            r.register_with_unit(name, help, Unit::Seconds, family.clone());
        }
        let gauges = [
            ("in_flight", "Requests in progress", &self.in_flight),
            ("waiting", "Requests waiting for memory", &self.waiting),
            (
                "connections",
                "Connections to backend servers",
                &self.connections,
            ),
            (
                "config_version",
                "Configuration in force",
                &self.config_version,
            ),
            ("backends", "Backend servers in use", &self.backends),
            (
                "servers_limited",
                "Backend servers that name a limit, as far as this host knows",
                &self.servers_limited,
            ),
            (
                "servers_unavailable",
                "Backend servers that are leaving or wait for a backoff to end, by their answers",
                &self.servers_unavailable,
            ),
            (
                "fatal_requests",
                "Requests that are held to end their servers",
                &self.fatal_requests,
            ),
            (
                "connections_opened",
                "Connections opened to backend servers since the start",
                &self.connections_opened,
            ),
            (
                "connections_reused",
                "Sends over connections that were open already, since the start",
                &self.connections_reused,
            ),
            (
                "news_age_ms",
                "Age of the host's view of the store",
                &self.news_age,
            ),
            (
                "store_heard_ms",
                "Time since the store last answered this host",
                &self.store_heard,
            ),
            (
                "store_era",
                "Latest era of the store; it rises when the store was restored from a copy",
                &self.store_era,
            ),
            (
                "doubtful_eras",
                "Answers of the store without an era that can be read, or of an earlier one",
                &self.doubtful_eras,
            ),
            (
                "proof_age_ms",
                "Time since the configuration was surely the newest",
                &self.proof_age,
            ),
        ];
        for (name, help, gauge) in gauges {
            r.register(name, help, gauge.clone());
        }
        let counters = [
            ("repeats", "Repeats sent", &self.repeats),
            ("ejections", "Backend servers passed over", &self.ejections),
            (
                "connection_limits",
                "Sends that found all connections to their backend server in use",
                &self.connection_limits,
            ),
            (
                "store_failures",
                "Failed calls to the store",
                &self.store_failures,
            ),
            (
                "older_lists",
                "Lists of the store left since they show an older revision than is known",
                &self.older_lists,
            ),
            (
                "news_told",
                "Answers to other hosts that asked for news",
                &self.news_told,
            ),
            (
                "unsure_keys",
                "Requests refused since nobody could tell whether their key is in force",
                &self.unsure_keys,
            ),
            (
                "ledger_asks",
                "Requests for which the zone's ledger was asked",
                &self.ledger_asks,
            ),
            (
                "ledger_silences",
                "Questions that the zone's ledger did not answer in time",
                &self.ledger_silences,
            ),
            (
                "unreadable_limits",
                "Answers of backend servers that name a limit which is none",
                &self.unreadable_limits,
            ),
            (
                "unreadable_marks",
                "Answers with an unreadable word on leaving or on a backoff",
                &self.unreadable_marks,
            ),
        ];
        for (name, help, counter) in counters {
            r.register(name, help, counter.clone());
        }
    }

    /// A backend server of a service ended under a request.
    pub fn ended_under(&self, service: &FastStr) {
        self.ended_under.get_or_create(&self.service(service)).inc();
    }

    /// A request was refused since servers of the service that are rate-limited had no permit for it.
    pub fn held_back(&self, service: &FastStr) {
        self.held_back.get_or_create(&self.service(service)).inc();
    }

    /// A request was refused since all servers of the service take no new requests.
    pub fn held_off(&self, service: &FastStr) {
        self.held_off.get_or_create(&self.service(service)).inc();
    }

    /// A backend server of a service said that it is leaving.
    pub fn left_service(&self, service: &FastStr) {
        self.left_service
            .get_or_create(&self.service(service))
            .inc();
    }

    /// A backend server of a service asked this host to back off.
    pub fn backed_off(&self, service: &FastStr) {
        self.backed_off.get_or_create(&self.service(service)).inc();
    }

    /// A request was refused since backend servers of the service end under it.
    pub fn fatal_refused(&self, service: &FastStr) {
        self.fatal_refused
            .get_or_create(&self.service(service))
            .inc();
    }

    fn service(&self, service: &FastStr) -> ServiceLabels {
        ServiceLabels {
            service: metric_labels::bounded_label(
                &self.known_services,
                service,
                metric_labels::SERVICE_LABELS_MAX,
            ),
        }
    }

    /// The store was called so many times.
    pub fn store_called(&self, cause: StoreCause, calls: u32) {
        let labels = CauseLabels { cause };
        self.store_calls
            .get_or_create(&labels)
            .inc_by(u64::from(calls));
    }

    /// Calls to the store for this cause since the start.
    pub fn store_calls(&self, cause: StoreCause) -> u64 {
        self.store_calls.get_or_create(&CauseLabels { cause }).get()
    }

    /// A request of so many units met its account's limit.
    pub fn limited(&self, account: &FastStr, units: f64, end: LimitEnd) {
        let labels = AccountLabels {
            account: metric_labels::bounded_label(
                &self.known_accounts,
                account,
                metric_labels::ACCOUNT_LABELS_MAX,
            ),
            end,
        };
        self.account_requests.get_or_create(&labels).inc();
        self.account_units
            .get_or_create(&labels)
            .inc_by(units as u64);
    }

    /// An answer went to its caller.
    pub fn answered(&self, route: Option<&RelayRoute>, status: u16, head_time: Duration) {
        let name = route.map_or_else(String::new, |route| self.label(route));
        let labels = EndLabels {
            route: name,
            status,
        };
        self.answers.get_or_create(&labels).inc();
        if let Some(route) = route {
            self.observe(&self.head_time, route, head_time);
        }
    }

    /// An engine's memory was reserved after this wait.
    pub fn reserved(&self, route: &RelayRoute, wait: Duration) {
        self.observe(&self.reserve_time, route, wait);
    }

    /// A prompt was computed in this time.
    pub fn computed(&self, route: &RelayRoute, time: Duration) {
        self.observe(&self.prefill_time, route, time);
    }

    fn observe(&self, family: &RouteHistogram, route: &RelayRoute, time: Duration) {
        let labels = RouteLabels {
            route: self.label(route),
        };
        family.get_or_create(&labels).observe(time.as_secs_f64());
    }

    fn label(&self, route: &RelayRoute) -> String {
        metric_labels::bounded_label(&self.known, &route.name, metric_labels::ROUTE_LABELS_MAX)
    }

    /// The metrics as a page of the OpenMetrics text format.
    pub fn page(&self) -> String {
        let mut page = String::new();
        if let Err(error) = text::encode(&mut page, &self.registry) {
            log::error!("the metrics cannot be written: {error}");
        }
        page
    }
}

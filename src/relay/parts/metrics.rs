//! Metrics of a relaying host: responses and latencies by route, and the state of the host.

use {
    super::{
        attempt_metrics::AttemptMetrics,
        link_metrics::LinkMetrics,
        metric_labels::{
            self, AccountLabels, CauseLabels, EndLabels, LimitEnd, ResponseEndLabels, RouteLabels,
            StoreCause,
        },
        origin_metrics::OriginMetrics,
        piece_metrics::PieceMetrics,
        place_metrics::PlaceMetrics,
        priority_metrics::PriorityMetrics,
        service_metrics::ServiceMetrics,
    },
    crate::{
        relay::{config::RelayRoute, policy::response_end::ResponseEnd},
        web::BudgetMetrics,
    },
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
    known_routes: RefCell<HashSet<FastStr>>,
    known_accounts: RefCell<HashSet<FastStr>>,
    account_requests: Family<AccountLabels, Counter>,
    account_units: Family<AccountLabels, Counter>,
    answers: Family<EndLabels, Counter>,
    response_ends: Family<ResponseEndLabels, Counter>,
    head_time: RouteHistogram,
    reserve_time: RouteHistogram,
    prefill_time: RouteHistogram,
    /// Metrics by service.
    pub services: ServiceMetrics,
    /// Metrics by priority.
    pub priorities: PriorityMetrics,
    /// Requests in progress.
    pub in_flight: Gauge,
    /// Requests that wait for memory of an engine.
    pub waiting: Gauge,
    /// Connections to backend servers.
    pub connections: Gauge,
    /// Version of the active configuration.
    pub config_version: Gauge,
    /// Backend servers that may be used.
    pub backends: Gauge,
    /// Retries that were sent to backend servers.
    pub repeats: Counter,
    /// Ejections of backend servers after failures.
    pub ejections: Counter,
    /// Requests for which all of this host's connections to the backend server were in use.
    pub connection_limits: Counter,
    /// Calls to the store that failed.
    pub store_failures: Counter,
    /// Requests that were not sent, since their server took no new ones any more when they would have been.
    pub withheld_sends: Counter,
    /// Times during which this process did not run.
    pub stalls: Counter,
    /// Lists from the store that were ignored because their revision is older than the known one.
    pub older_lists: Counter,
    store_calls: Family<CauseLabels, Counter>,
    /// Requests and prompt parts that are judged fatal.
    pub fatal_requests: Gauge,
    /// Prompt parts that are judged fatal.
    pub fatal_parts: Gauge,
    /// Connections opened to backend servers.
    pub connections_opened: Gauge,
    /// Requests sent to backend servers over an existing connection.
    pub connections_reused: Gauge,
    /// Maximum age of the host's view of the store in milliseconds; -1 until the view is complete.
    pub news_age: Gauge,
    /// Time since the store's last response of any kind in milliseconds; -1 if there was none.
    pub store_heard: Gauge,
    /// The latest known era of the store, which increases when the store is restored from a backup.
    pub store_era: Gauge,
    /// Responses of the store with a missing, unreadable or earlier era.
    pub doubtful_eras: Gauge,
    /// Responses to other hosts that requested updates.
    pub news_told: Counter,
    /// Time since the configuration was last confirmed to be the latest in milliseconds; -1 if it never was.
    pub proof_age: Gauge,
    /// Requests refused because this host could not verify their key.
    pub unsure_keys: Counter,
    /// Queries to the zone's ledger.
    pub ledger_asks: Counter,
    /// Queries that the ledger did not answer in time.
    pub ledger_silences: Counter,
    /// Responses with an unreadable limit.
    pub unreadable_limits: Counter,
    /// Responses with an unreadable leaving or backoff header.
    pub unreadable_marks: Counter,
    /// Backend servers whose responses said that they accept no new requests from this host.
    pub servers_unavailable: Gauge,
    /// Evacuated availability zones.
    pub zones_evacuated: Gauge,
    /// Cold backend servers.
    pub servers_cold: Gauge,
    /// Backend servers with a rate limit.
    pub servers_limited: Gauge,
    /// Backend servers that attempts used.
    pub attempts: AttemptMetrics,
    /// Places of contended backend servers.
    pub places: PlaceMetrics,
    /// What callers take of the host's memory.
    pub callers: BudgetMetrics,
    /// Bytes of answers to this host's own calls.
    pub answer_bytes: Gauge,
    /// Lost links and carried connections.
    pub links: LinkMetrics,
    /// Configurations in pieces.
    pub pieces: PieceMetrics,
    /// Software versions and streams that are taken up.
    pub origins: OriginMetrics,
}

impl fmt::Debug for RelayMetrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("RelayMetrics")
    }
}

// Buckets in seconds, from the fastest plain call to the longest wait of a caller.
fn time_buckets() -> Histogram {
    Histogram::new([
        0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.45, 0.6, 0.9, 1.4, 2.0, 3.0, 5.0, 14.0,
    ])
}

impl Default for RelayMetrics {
    fn default() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("bayplank_relay"),
            known_routes: RefCell::default(),
            known_accounts: RefCell::default(),
            account_requests: Family::default(),
            account_units: Family::default(),
            answers: Family::default(),
            response_ends: Family::default(),
            head_time: Family::new_with_constructor(time_buckets),
            reserve_time: Family::new_with_constructor(time_buckets),
            prefill_time: Family::new_with_constructor(time_buckets),
            services: ServiceMetrics::default(),
            priorities: PriorityMetrics::default(),
            in_flight: Gauge::default(),
            waiting: Gauge::default(),
            connections: Gauge::default(),
            config_version: Gauge::default(),
            backends: Gauge::default(),
            repeats: Counter::default(),
            ejections: Counter::default(),
            connection_limits: Counter::default(),
            store_failures: Counter::default(),
            withheld_sends: Counter::default(),
            stalls: Counter::default(),
            older_lists: Counter::default(),
            store_calls: Family::default(),
            fatal_requests: Gauge::default(),
            fatal_parts: Gauge::default(),
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
            zones_evacuated: Gauge::default(),
            servers_cold: Gauge::default(),
            servers_limited: Gauge::default(),
            attempts: AttemptMetrics::default(),
            places: PlaceMetrics::default(),
            callers: BudgetMetrics::default(),
            answer_bytes: Gauge::default(),
            links: LinkMetrics::default(),
            pieces: PieceMetrics::default(),
            origins: OriginMetrics::default(),
        };
        metrics.register();
        metrics
    }
}

impl RelayMetrics {
    fn register(&mut self) {
        let r = &mut self.registry;
        self.services.register(r);
        self.priorities.register(r);
        self.attempts.register(r);
        self.places.register(r);
        self.callers.register(r);
        self.links.register(r);
        self.pieces.register(r);
        self.origins.register(r);
        r.register(
            "answers",
            "Answers by route and status",
            self.answers.clone(),
        );
        r.register(
            "response_ends",
            "Responses of backend servers by how their end was marked and what decided that they ended",
            self.response_ends.clone(),
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
                "servers_cold",
                "Cold backend servers, whose requests are limited by the configuration",
                &self.servers_cold,
            ),
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
                "zones_evacuated",
                "Availability zones to whose backend servers nothing is sent, as operators wrote",
                &self.zones_evacuated,
            ),
            (
                "fatal_requests",
                "Requests and parts of prompts that are held to end their servers",
                &self.fatal_requests,
            ),
            (
                "fatal_parts",
                "Parts of prompts that are held to end their servers",
                &self.fatal_parts,
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
                "call_answer_held_bytes",
                "Bytes of answers to this host's own calls that are held",
                &self.answer_bytes,
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
                "withheld_sends",
                "Requests not sent since their backend server took no new ones any more by then",
                &self.withheld_sends,
            ),
            (
                "stalls",
                "Times during which this process did not run",
                &self.stalls,
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

    /// Counts calls to the store.
    pub fn store_called(&self, cause: StoreCause, calls: u32) {
        let labels = CauseLabels { cause };
        self.store_calls
            .get_or_create(&labels)
            .inc_by(u64::from(calls));
    }

    /// Returns the number of calls to the store for this reason since the start.
    pub fn store_calls(&self, cause: StoreCause) -> u64 {
        self.store_calls.get_or_create(&CauseLabels { cause }).get()
    }

    /// Counts the outcome of a request at its account's limit, and its units.
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

    /// Counts a response to a caller, and the time from the arrival of the request to the response headers.
    pub fn answered(&self, route: Option<&RelayRoute>, status: u16, head_time: Duration) {
        let name = route.map_or_else(String::new, |route| self.route_label(route));
        let labels = EndLabels {
            route: name,
            status,
        };
        self.answers.get_or_create(&labels).inc();
        if let Some(route) = route {
            self.observe(&self.head_time, route, head_time);
        }
    }

    /// Counts a response of a backend server that ended.
    pub fn response_ended(&self, end: ResponseEnd) {
        let labels = ResponseEndLabels {
            framing: end.framing.as_str(),
            cause: end.cause.as_str(),
        };
        self.response_ends.get_or_create(&labels).inc();
    }

    /// Records the wait for the reservation of an engine's memory.
    pub fn reserved(&self, route: &RelayRoute, wait: Duration) {
        self.observe(&self.reserve_time, route, wait);
    }

    /// Records the duration of a prefill, including its wait.
    pub fn computed(&self, route: &RelayRoute, time: Duration) {
        self.observe(&self.prefill_time, route, time);
    }

    fn observe(&self, family: &RouteHistogram, route: &RelayRoute, time: Duration) {
        let labels = RouteLabels {
            route: self.route_label(route),
        };
        family.get_or_create(&labels).observe(time.as_secs_f64());
    }

    fn route_label(&self, route: &RelayRoute) -> String {
        metric_labels::bounded_label(
            &self.known_routes,
            &route.name,
            metric_labels::ROUTE_LABELS_MAX,
        )
    }

    /// Returns the metrics in the OpenMetrics text format.
    pub fn page(&self) -> String {
        let mut page = String::new();
        if let Err(error) = text::encode(&mut page, &self.registry) {
            log::error!("failed to encode the metrics: {error}");
        }
        page
    }
}

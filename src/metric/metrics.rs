//! The metrics and their labels.

use {
    crate::{
        operation::{RefusalCode, RequestEnd, RequestStats, RunVerdict},
        route::RouteTuning,
    },
    faststr::FastStr,
    prometheus_client::{
        encoding::{EncodeLabelSet, text},
        metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
        registry::Registry,
    },
    std::{fmt, sync::Mutex, time::Duration},
};

/// Tenants that have metrics of their own; the rest share the name "other".
const TENANT_LABELS_MAX: usize = 1_024;

/// Whose requests a series counts.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RequestLabels {
    /// The tenant.
    pub tenant: String,
    /// The class that the intent gives.
    pub class: String,
}

/// How requests ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct EndLabels {
    /// `answered`, or the refusal's code.
    pub end: String,
    /// Whether it may have run.
    pub verdict: String,
}

type RequestHistogram = Family<RequestLabels, Histogram, fn() -> Histogram>;

/// All metrics of a host.
pub struct HostMetrics {
    registry: Mutex<Registry>,
    known: Mutex<std::collections::HashSet<FastStr>>,
    first_token: RequestHistogram,
    between_tokens: RequestHistogram,
    whole: RequestHistogram,
    ends: Family<EndLabels, Counter>,
    goodput: Family<RequestLabels, Counter>,
    computed_tokens: Counter,
    wasted_tokens: Counter,
    /// Requests in progress.
    pub in_flight: Gauge,
    /// Cancels not acknowledged.
    pub open_cancels: Gauge,
    /// Requests that wait for engines.
    pub waiting: Gauge,
    /// Generation of the configuration in force.
    pub generation: Gauge,
    /// Calls to the platform.
    pub platform_calls: Counter,
    /// Bytes sent to other entry hosts.
    pub peer_sent: Counter,
    /// Bytes received from other entry hosts.
    pub peer_received: Counter,
    /// Calls to read engines' load.
    pub load_reads: Counter,
}

impl fmt::Debug for HostMetrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("HostMetrics")
    }
}

fn first_token_buckets() -> Histogram {
    Histogram::new([
        0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1.0, 1.2, 1.4, 1.7, 2.0, 3.0, 5.0, 10.0,
    ])
}

fn gap_buckets() -> Histogram {
    Histogram::new([
        0.01, 0.02, 0.03, 0.04, 0.05, 0.056, 0.07, 0.1, 0.2, 0.5, 1.0,
    ])
}

fn whole_buckets() -> Histogram {
    Histogram::new([
        0.005, 0.02, 0.1, 0.5, 1.0, 2.0, 4.0, 8.0, 16.0, 32.0, 64.0, 128.0,
    ])
}

impl Default for HostMetrics {
    fn default() -> Self {
        let metrics = Self {
            registry: Mutex::new(Registry::with_prefix("bayplank")),
            known: Mutex::default(),
            first_token: Family::new_with_constructor(first_token_buckets),
            between_tokens: Family::new_with_constructor(gap_buckets),
            whole: Family::new_with_constructor(whole_buckets),
            ends: Family::default(),
            goodput: Family::default(),
            computed_tokens: Counter::default(),
            wasted_tokens: Counter::default(),
            in_flight: Gauge::default(),
            open_cancels: Gauge::default(),
            waiting: Gauge::default(),
            generation: Gauge::default(),
            platform_calls: Counter::default(),
            peer_sent: Counter::default(),
            peer_received: Counter::default(),
            load_reads: Counter::default(),
        };
        metrics.register();
        metrics
    }
}

impl HostMetrics {
    fn register(&self) {
        let mut registry = self.registry.lock().expect("registry");
        let r = &mut *registry;
        let help = "From a request's arrival to its first token, seconds";
        r.register("first_token_seconds", help, self.first_token.clone());
        let help = "Between two tokens, seconds";
        r.register("between_tokens_seconds", help, self.between_tokens.clone());
        let help = "From a request's arrival to its end, seconds";
        r.register("request_seconds", help, self.whole.clone());
        r.register(
            "requests_ended",
            "Requests by how they ended",
            self.ends.clone(),
        );
        let help = "Answered requests that met both targets";
        r.register("requests_in_target", help, self.goodput.clone());
        let help = "Prompt tokens computed";
        r.register("prefill_tokens", help, self.computed_tokens.clone());
        let help = "Prompt tokens computed and thrown away";
        r.register("prefill_tokens_wasted", help, self.wasted_tokens.clone());
        r.register("in_flight", "Requests in progress", self.in_flight.clone());
        r.register(
            "open_cancels",
            "Cancels not acknowledged",
            self.open_cancels.clone(),
        );
        r.register(
            "waiting",
            "Requests waiting for engines",
            self.waiting.clone(),
        );
        let help = "Generation of the configuration in force";
        r.register("config_generation", help, self.generation.clone());
        r.register(
            "platform_calls",
            "Calls to the platform",
            self.platform_calls.clone(),
        );
        let help = "Bytes sent to other entry hosts";
        r.register("peer_sent_bytes", help, self.peer_sent.clone());
        let help = "Bytes received from other entry hosts";
        r.register("peer_received_bytes", help, self.peer_received.clone());
        r.register(
            "load_reads",
            "Calls to read engines' load",
            self.load_reads.clone(),
        );
    }

    /// The page for `/metrics`.
    pub fn page(&self) -> String {
        let mut page = String::new();
        let registry = self.registry.lock().expect("registry");
        match text::encode(&mut page, &registry) {
            Ok(()) => page,
            Err(error) => format!("# not encodable: {error}\n"),
        }
    }

    // Bounds the number of series whatever keys callers show.
    fn labels(&self, tenant: &FastStr, class: &FastStr) -> RequestLabels {
        let mut known = self.known.lock().expect("known tenants");
        let named = known.contains(tenant) || known.len() < TENANT_LABELS_MAX;
        if named {
            known.insert(tenant.clone());
        }
        RequestLabels {
            tenant: if named {
                tenant.to_string()
            } else {
                "other".into()
            },
            class: class.to_string(),
        }
    }

    /// Counts a model request that ended.
    pub fn model_ended(
        &self,
        tenant: &FastStr,
        class: &FastStr,
        end: &RequestEnd,
        stats: &RequestStats,
        tuning: &RouteTuning,
    ) {
        let labels = self.labels(tenant, class);
        if let Some(first) = stats.first_token {
            let first = first.as_secs_f64();
            self.first_token.get_or_create(&labels).observe(first);
        }
        let gaps = self.between_tokens.get_or_create_owned(&labels);
        for gap in &stats.gaps {
            gaps.observe(gap.as_secs_f64());
        }
        let whole = stats.whole.as_secs_f64();
        self.whole.get_or_create(&labels).observe(whole);
        self.computed_tokens.inc_by(stats.computed_tokens);
        self.wasted_tokens.inc_by(stats.wasted_tokens);
        match end {
            RequestEnd::Answered { .. } => {
                self.ended("answered", RunVerdict::Ran);
                if stats.meets(tuning.first_token, tuning.between_tokens) {
                    self.goodput.get_or_create(&labels).inc();
                }
            }
            RequestEnd::Refused(refusal) => self.refused(refusal.code, refusal.verdict),
        }
    }

    /// Counts a plain call that was answered.
    pub fn plain_ended(&self, tenant: &FastStr, class: &FastStr, whole: Duration) {
        let labels = self.labels(tenant, class);
        let whole = whole.as_secs_f64();
        self.whole.get_or_create(&labels).observe(whole);
        self.ended("answered", RunVerdict::Ran);
    }

    /// Counts a refusal.
    pub fn refused(&self, code: RefusalCode, verdict: RunVerdict) {
        self.ended(code.as_str(), verdict);
    }

    fn ended(&self, end: &str, verdict: RunVerdict) {
        let labels = EndLabels {
            end: end.to_owned(),
            verdict: verdict.as_str().to_owned(),
        };
        self.ends.get_or_create(&labels).inc();
    }
}

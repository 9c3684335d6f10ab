//! A relaying host, started and stopped.

use {
    super::{
        config::CallerLimits,
        dialect::CallDialect,
        figures,
        link::{StoreKind, StoreLink},
        news::{
            self, entry,
            feed::StoreFeed,
            findings::FindingShare,
            follow::NewsFollower,
            link::{NewsAnswers, NewsLinks},
            permits::PermitLink,
            settle::LedgerLink,
            share::LoadShare,
        },
        parts::{metric_labels::StoreCause, shared::RelayParts},
        request::{
            answer::{self, RelayAnswer},
            handler,
        },
        roles::keeper,
        settings::RelaySettings,
        vital,
    },
    crate::{
        clock::HostClock,
        event,
        host::StopGate,
        metric::HostMetrics,
        operation::OnceSignal,
        web::{self, IngressHandler, IngressLimits},
    },
    bytes::Bytes,
    eyre::WrapErr,
    futures::FutureExt,
    http::{Response, StatusCode},
    std::{cell::Cell, net::SocketAddr, rc::Rc, sync::Arc, time::Duration},
    tokio::net::TcpListener,
};

/// Time for which a stopping host still lets requests in: the balancer takes it out after two failed
/// checks, a second apart.
const BALANCER_LAG: Duration = Duration::from_millis(2_600);

/// Part of the grace of a planned stop that is left for the end of the process.
const STOP_MARGIN: Duration = Duration::from_millis(300);

/// How long connections may take to write out their last bytes.
const CLOSE_TIME: Duration = Duration::from_millis(150);

/// Longest time that bytes sent to a caller may stay unacknowledged.
const CALLER_SILENCE: Duration = Duration::from_secs(5);

/// How much longer than operators allow a connection may be idle, or its headers take: what callers sent in
/// time may arrive a little later.
const IDLE_MARGIN: Duration = Duration::from_secs(1);

/// Path of the metrics, beside the balancer's question.
const METRICS_PATH: &str = "/metrics";

/// Path of the page of rate-limited backend servers, beside it too.
const LIMITS_PATH: &str = "/servers-limited";

/// Path of the page of backend servers that take no new requests of this host, beside it too.
const AVAILABILITY_PATH: &str = "/servers-unavailable";

/// How often it is looked whose backoff is over.
const AVAILABILITY_PERIOD: Duration = Duration::from_millis(500);

/// A running host.
#[derive(Debug)]
pub struct RelayHost {
    /// What its tasks share.
    pub parts: Rc<RelayParts>,
    store: Rc<StoreLink>,
    closing: Arc<OnceSignal>,
    checks_closing: Arc<OnceSignal>,
}

impl RelayHost {
    /// Opens the sockets and starts all tasks on the current thread.
    ///
    /// Port 0 takes a free one: the settings in its parts then name the port that was taken.
    pub fn start(
        mut settings: RelaySettings,
        dialect: CallDialect,
        store: StoreLink,
        clock: HostClock,
    ) -> eyre::Result<Self> {
        let callers = open("callers", &mut settings.callers)?;
        let checks = open("checks", &mut settings.checks)?;
        let peers = open("peers", &mut settings.peers)?;
        let metrics = open_metrics(&mut settings);
        event::emit(
            &event::HOST_STARTED,
            &[
                ("host", &settings.name),
                ("zone", &settings.zone),
                ("callers", &settings.callers),
                ("checks", &settings.checks),
                ("peers", &settings.peers),
                ("store", &settings.store),
            ],
        );
        let gate = StopGate::new(settings.requests_limit);
        let parts = RelayParts::new(settings, dialect, gate, clock, store.eras.clone());
        let noting = parts.clone();
        let store = store.with_note(Rc::new(move |is_answered| {
            noting.note_store_call(is_answered)
        }));
        let store = Rc::new(store);
        let host = Self {
            parts: parts.clone(),
            store: store.clone(),
            closing: Arc::default(),
            checks_closing: Arc::default(),
        };
        host.share_news(peers);
        vital::spawn_vital("own entry", entry::keep_entry(parts.clone(), store.clone()));
        vital::spawn_vital("figures", figures::log_figures(parts.clone()));
        vital::spawn_vital("availability", keep_availability(parts.clone()));
        vital::spawn_vital("engine roles", keeper::keep_roles(parts, store));
        host.serve(callers, host.caller_handler(), host.closing.clone());
        host.serve(checks, host.check_handler(), host.checks_closing.clone());
        if let Some(metrics) = metrics {
            host.serve(metrics, host.metrics_handler(), host.checks_closing.clone());
        }
        Ok(host)
    }

    // Reads the store or follows other hosts, and answers those that follow this one.
    fn share_news(&self, listener: TcpListener) {
        let metrics = Arc::new(HostMetrics::default());
        let feed = StoreFeed::start(self.parts.clone(), self.store.clone());
        let clock = self.parts.clock.clone();
        let links = Rc::new(NewsLinks::new(metrics.clone(), clock.clone()));
        let follower = NewsFollower::start(self.parts.clone(), feed, links.clone());
        LedgerLink::start(self.parts.clone(), follower.clone(), links.clone());
        let permits = PermitLink::start(self.parts.clone(), links.clone());
        let findings = FindingShare::start(self.parts.clone(), follower.clone(), links.clone());
        let share = LoadShare::start(self.parts.clone(), follower, links);
        let parts = self.parts.clone();
        let (charged, settled) = (parts.clone(), parts.clone());
        let tried = parts.clone();
        let answers = NewsAnswers {
            clock,
            permits: Box::new(move |ask, is_passed_on| {
                permits.clone().answer(ask, is_passed_on).boxed_local()
            }),
            charges: Box::new(move |account, units| charged.answer_charge(account, units)),
            sums: Box::new(move |theirs| settled.answer_sums(&theirs)),
            findings: Box::new(move |told, is_zone| findings.take_told(&told, is_zone)),
            trials: Box::new(move |digest| tried.grant_trial(digest)),
            news: Box::new(move |held| news::tell_news(parts.clone(), held).boxed_local()),
            loads: Box::new(move |reporter, loads, view| share.answer(reporter, loads, view)),
        };
        vital::spawn_vital(
            "answers to hosts",
            news::serve_news(listener, answers, metrics),
        );
    }

    fn serve(&self, listener: TcpListener, handler: IngressHandler, closing: Arc<OnceSignal>) {
        let limits = Rc::new(IngressLimits {
            header_time: Cell::new(idle_limit(&CallerLimits::default())),
            silence_limit: CALLER_SILENCE,
        });
        let serving = web::serve_callers(listener, handler, limits.clone(), closing);
        vital::spawn_vital("callers", serving);
        vital::spawn_vital("limits", follow_limits(self.parts.clone(), limits));
    }

    fn caller_handler(&self) -> IngressHandler {
        let parts = self.parts.clone();
        Rc::new(move |request| handler::answer_caller(parts.clone(), request).boxed_local())
    }

    fn check_handler(&self) -> IngressHandler {
        let parts = self.parts.clone();
        Rc::new(move |request| {
            let answer = check(&parts, request.uri().path());
            async move { answer }.boxed_local()
        })
    }

    fn metrics_handler(&self) -> IngressHandler {
        let parts = self.parts.clone();
        Rc::new(move |request| {
            let answer = match request.uri().path() {
                METRICS_PATH => page(200, parts.metrics_page()),
                _ => page(404, "no such page"),
            };
            async move { answer }.boxed_local()
        })
    }

    /// Stops as planned: what is in progress is finished, within the grace of a stop.
    pub async fn drain(&self) {
        let gate = &self.parts.gate;
        gate.begin_stop();
        event::emit(&event::HOST_STOPPING, &[("in_flight", &gate.in_flight())]);
        let grace = self.parts.settings.bounds.stop_grace;
        let finishing = async {
            tokio::time::sleep(BALANCER_LAG).await;
            self.closing.set();
            gate.emptied().await;
        };
        let in_time = tokio::time::timeout(grace.saturating_sub(STOP_MARGIN), finishing).await;
        if in_time.is_err() {
            log::warn!("{} requests did not end within the grace", gate.in_flight());
        }
        self.parts.metrics.store_called(StoreCause::Entry, 1);
        let leaving = (self.store.delete)(StoreKind::Hosts, &self.parts.settings.name);
        let closing = async {
            tokio::time::sleep(CLOSE_TIME).await;
        };
        let (left, ()) = tokio::join!(tokio::time::timeout(CLOSE_TIME, leaving), closing);
        if let Ok(Err(failure)) = left {
            log::debug!("the host's entry stays: {failure}");
        }
        figures::log_once(&self.parts);
        event::emit(&event::HOST_STOPPED, &[]);
    }
}

fn idle_limit(limits: &CallerLimits) -> Duration {
    limits.idle_time.max(limits.header_time) + IDLE_MARGIN
}

async fn keep_availability(parts: Rc<RelayParts>) {
    loop {
        tokio::time::sleep(AVAILABILITY_PERIOD).await;
        parts.evict_availability();
    }
}

// New connections are bounded as the configuration in force says.
async fn follow_limits(parts: Rc<RelayParts>, limits: Rc<IngressLimits>) {
    loop {
        let news = parts.news.notified();
        tokio::pin!(news);
        news.as_mut().enable();
        if let Some(routes) = parts.routes() {
            limits.header_time.set(idle_limit(&routes.config().limits));
        }
        news.await;
    }
}

// Collectors of metrics are no reason not to serve.
fn open_metrics(settings: &mut RelaySettings) -> Option<TcpListener> {
    let mut address = settings.metrics?;
    match open("metrics", &mut address) {
        Ok(listener) => {
            settings.metrics = Some(address);
            Some(listener)
        }
        Err(error) => {
            log::warn!("{error:#}; they are on the address for checks only");
            settings.metrics = None;
            None
        }
    }
}

fn open(key: &str, address: &mut SocketAddr) -> eyre::Result<TcpListener> {
    let listener =
        web::bind(*address).wrap_err_with(|| format!("{key}: {address} cannot be listened on"))?;
    *address = listener.local_addr().wrap_err("the address listened on")?;
    Ok(listener)
}

// What the balancer and operators are told.
fn check(parts: &RelayParts, path: &str) -> RelayAnswer {
    match path {
        METRICS_PATH => page(200, parts.metrics_page()),
        LIMITS_PATH => page(200, parts.limits_page()),
        AVAILABILITY_PATH => page(200, parts.availability_page()),
        _ if path != parts.settings.ready_path => page(404, "no such page"),
        _ if parts.gate.is_stopping() => page(503, "stopping"),
        _ if parts.routes().is_none() => page(503, "no configuration yet"),
        _ if !parts.knows_crashes() => page(503, "not told yet which requests end servers"),
        _ => page(200, "ready"),
    }
}

fn page(status: u16, text: impl Into<Bytes>) -> RelayAnswer {
    let mut answer = Response::new(answer::whole_body(text.into()));
    *answer.status_mut() = StatusCode::from_u16(status).expect("a status");
    answer
}

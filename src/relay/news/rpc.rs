//! Calls between hosts: client and server of the `NewsPeer` interface, `capnp-rpc` over TCP.

use {
    super::{
        crash_message, limit_message,
        message::{self, ClusterNews, HeldNews, ReportedView},
        origin_message,
        piece_message::{self, PieceAnswer, PieceRequest},
        place_message,
    },
    crate::{
        account::{AccountKey, LedgerSums},
        clock::HostClock,
        metric::HostMetrics,
        news_capnp::news_peer,
        peer::{self, PeerAdmission, PeerLinks},
        relay::{
            admission::places::place_request::{PlaceAnswer, PlaceMessage},
            parts::origins::OriginAnswer,
            policy::{
                crash_suspect::CrashSuspect,
                loads::{LoadReport, LoadReporter},
                permit_allocator::{PermitGrant, PermitRequest},
                shared_findings::SharedFindings,
                stream_origins::{StreamKey, StreamRecord},
            },
        },
        store::StorePosition,
        web::StreamOpener,
    },
    capnp::{Error, capability::Rc as CapRc},
    faststr::FastStr,
    futures::future::LocalBoxFuture,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::net::TcpListener,
};

/// Longest retry delay in a ledger's response, in milliseconds; `u32::MAX` is reserved for "unknown".
const MAX_WAIT_MS: u32 = 3_600_000;

/// Maximum size of a message, in bytes: more than the whole configuration, which hosts of earlier versions send in one.
pub const MESSAGE_BYTES: usize = 4 << 20;

/// Answers a host that follows this one, once there is something newer or the wait is over.
pub type FollowHandler = dyn Fn(HeldNews) -> LocalBoxFuture<'static, ClusterNews>;

/// Accepts a load report and how current the reporter's view is; returns the sum of the others' reports.
pub type ReportHandler = dyn Fn(LoadReporter, LoadReport, ReportedView) -> LoadReport;

/// Admits a request of a client account, or returns its retry delay; none if the account is unknown.
pub type ChargeHandler = dyn Fn(AccountKey, u32) -> Option<Result<(), Duration>>;

/// Accepts findings of another host; the flag is set if it sends them on behalf of its whole zone.
pub type FindingsHandler = dyn Fn(SharedFindings, bool);

/// Decides whether a request that is considered fatal to servers may be tried.
pub type TrialHandler = dyn Fn(CrashSuspect) -> bool;

/// Accepts the totals of another ledger; returns those of this host's ledger and those known of others.
pub type ExchangeHandler = dyn Fn(LedgerSums) -> Vec<LedgerSums>;

/// Allocates permits at a rate-limited server, or forwards the request; the flag is set if it was forwarded already.
pub type PermitHandler = dyn Fn(PermitRequest, bool) -> LocalBoxFuture<'static, PermitGrant>;

/// Leases places of contended servers, or forwards the message; the flag is set if it was forwarded already.
pub type PlaceHandler = dyn Fn(PlaceMessage, bool) -> LocalBoxFuture<'static, PlaceAnswer>;

/// Hands out pieces of the configuration.
pub type PieceHandler = dyn Fn(&PieceRequest) -> PieceAnswer;

/// Accepts streams that another host began.
pub type StreamsHandler = dyn Fn(Vec<StreamRecord>);

/// Answers how a stream began, and which software versions of a service were seen.
pub type OriginHandler = dyn Fn(StreamKey, FastStr) -> LocalBoxFuture<'static, OriginAnswer>;

/// Handlers of the calls of other hosts.
pub struct NewsHandlers {
    /// The clock from which ages in messages are computed.
    pub clock: HostClock,
    /// Answers hosts that follow this one.
    pub follow: Box<FollowHandler>,
    /// Accepts load reports.
    pub reports: Box<ReportHandler>,
    /// Charges requests to the accounts in this host's ledger.
    pub charges: Box<ChargeHandler>,
    /// Exchanges totals with the ledgers of other hosts.
    pub exchange: Box<ExchangeHandler>,
    /// Accepts findings: crash records and rate limits of servers.
    pub findings: Box<FindingsHandler>,
    /// Decides whether a request may be tried.
    pub trials: Box<TrialHandler>,
    /// Allocates permits at rate-limited servers.
    pub permits: Box<PermitHandler>,
    /// Leases places of contended servers.
    pub places: Box<PlaceHandler>,
    /// Hands out pieces of the configuration.
    pub pieces: Box<PieceHandler>,
    /// Accepts streams that other hosts began.
    pub streams: Box<StreamsHandler>,
    /// Answers hosts that take streams up.
    pub origins: Box<OriginHandler>,
}

struct NewsServer {
    handlers: NewsHandlers,
}

impl news_peer::Server for NewsServer {
    async fn follow(
        self: CapRc<Self>,
        params: news_peer::FollowParams,
        mut results: news_peer::FollowResults,
    ) -> Result<(), Error> {
        let held = message::read_held(params.get()?.get_held()?)?;
        let reads_parts = held.reads_parts;
        let news = (self.handlers.follow)(held).await;
        message::write_news(results.get().init_news(), &news, reads_parts)
    }

    async fn share(
        self: CapRc<Self>,
        params: news_peer::ShareParams,
        mut results: news_peer::ShareResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let name = FastStr::new(params.get_reporter()?.to_str()?);
        let reporter = match params.get_is_zone() {
            true => LoadReporter::Zone(name),
            false => LoadReporter::Host(name),
        };
        let report = message::read_report(params.get_report()?)?;
        let view = ReportedView {
            age: message::from_ms(params.get_age_ms()),
            known_version: params.get_config_version(),
            backends_position: StorePosition::of_number(params.get_backends_revision()),
        };
        let others = (self.handlers.reports)(reporter, report, view);
        message::write_report(results.get().init_others(), &others);
        Ok(())
    }

    async fn charge(
        self: CapRc<Self>,
        params: news_peer::ChargeParams,
        mut results: news_peer::ChargeResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let account = AccountKey(params.get_account());
        let answer = (self.handlers.charges)(account, params.get_units());
        let answer = answer.ok_or_else(|| Error::failed("the account is not known here".into()))?;
        let mut results = results.get();
        match answer {
            Ok(()) => results.set_is_let_in(true),
            Err(wait) => results.set_wait_ms(message::to_ms(Some(wait)).min(MAX_WAIT_MS)),
        }
        Ok(())
    }

    async fn exchange(
        self: CapRc<Self>,
        params: news_peer::ExchangeParams,
        mut results: news_peer::ExchangeResults,
    ) -> Result<(), Error> {
        let theirs = message::read_sums(params.get()?.get_sums()?)?;
        let all = (self.handlers.exchange)(theirs);
        write_all_sums(results.get(), &all);
        Ok(())
    }

    async fn tell_findings(
        self: CapRc<Self>,
        params: news_peer::TellFindingsParams,
        _results: news_peer::TellFindingsResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let findings = SharedFindings {
            crashes: crash_message::read_marks(params.get_marks()?)?,
            limits: limit_message::read_updates(params.get_limits()?)?,
        };
        (self.handlers.findings)(findings, params.get_is_zone());
        Ok(())
    }

    async fn allow_trial(
        self: CapRc<Self>,
        params: news_peer::AllowTrialParams,
        mut results: news_peer::AllowTrialResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let is_allowed = (self.handlers.trials)(crash_message::read_trial(params));
        results.get().set_is_allowed(is_allowed);
        Ok(())
    }

    async fn deal(
        self: CapRc<Self>,
        params: news_peer::DealParams,
        mut results: news_peer::DealResults,
    ) -> Result<(), Error> {
        let now = self.handlers.clock.now();
        let params = params.get()?;
        let permit_request = limit_message::read_permit_request(params, now)?;
        let grant = (self.handlers.permits)(permit_request, params.get_is_passed_on()).await;
        limit_message::write_grant(results.get(), &grant, self.handlers.clock.now());
        Ok(())
    }

    async fn lease(
        self: CapRc<Self>,
        params: news_peer::LeaseParams,
        mut results: news_peer::LeaseResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let received = place_message::read_place_message(params)?;
        let answer = (self.handlers.places)(received, params.get_is_passed_on()).await;
        place_message::write_place_answer(results.get(), &answer);
        Ok(())
    }

    async fn fetch(
        self: CapRc<Self>,
        params: news_peer::FetchParams,
        mut results: news_peer::FetchResults,
    ) -> Result<(), Error> {
        let request = piece_message::read_request(params.get()?)?;
        let answer = (self.handlers.pieces)(&request);
        piece_message::write_answer(results.get(), &answer);
        Ok(())
    }

    async fn tell_streams(
        self: CapRc<Self>,
        params: news_peer::TellStreamsParams,
        _results: news_peer::TellStreamsResults,
    ) -> Result<(), Error> {
        let records = origin_message::read_stream_records(params.get()?.get_streams()?)?;
        (self.handlers.streams)(records);
        Ok(())
    }

    async fn find_stream(
        self: CapRc<Self>,
        params: news_peer::FindStreamParams,
        mut results: news_peer::FindStreamResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let key = StreamKey(params.get_key());
        let service = FastStr::new(params.get_service()?.to_str()?);
        let answer = (self.handlers.origins)(key, service).await;
        origin_message::write_origin_answer(results.get(), &answer);
        Ok(())
    }
}

/// Serves the calls of other hosts on a listening socket for as long as the host runs.
pub async fn serve_news(
    listener: TcpListener,
    handlers: NewsHandlers,
    metrics: Arc<HostMetrics>,
    admission: PeerAdmission,
) {
    let client: news_peer::Client = capnp_rpc::new_client(NewsServer { handlers });
    peer::serve_peers(listener, client.client, metrics, admission).await;
}

fn write_all_sums(mut results: news_peer::exchange_results::Builder<'_>, all: &[LedgerSums]) {
    let mut list = results.reborrow().init_sums(all.len() as u32);
    for (index, sums) in all.iter().enumerate() {
        message::write_sums(list.reborrow().get(index as u32), sums);
    }
}

/// Client for calls to other hosts, with one connection per host.
pub struct NewsClient {
    links: PeerLinks<news_peer::Client>,
    // The clock from which ages in messages are computed.
    clock: HostClock,
}

impl NewsClient {
    /// Creates a client without connections, which will be opened by `opener`.
    pub fn new(metrics: Arc<HostMetrics>, clock: HostClock, opener: StreamOpener) -> Self {
        Self {
            links: PeerLinks::new(metrics, opener, MESSAGE_BYTES),
            clock,
        }
    }

    /// Number of bytes received from all hosts.
    pub fn received_bytes(&self) -> u64 {
        self.links.received_bytes()
    }

    /// Requests what is newer than `held` from a host; times out `timeout` after the hold time in the request.
    pub async fn follow(
        &self,
        address: SocketAddr,
        held: HeldNews,
        timeout: Duration,
    ) -> Result<ClusterNews, Error> {
        let time = held.wait + timeout;
        self.links
            .call(address, time, |client| async move {
                let mut request = client.follow_request();
                message::write_held(request.get().init_held(), &held);
                let response = request.send().promise.await?;
                message::read_news(response.get()?.get_news()?)
            })
            .await
    }

    /// Charges units to an account in the ledger of a host: returns whether they are admitted, or the retry delay.
    pub async fn charge(
        &self,
        address: SocketAddr,
        account: AccountKey,
        units: u32,
        timeout: Duration,
    ) -> Result<Result<(), Duration>, Error> {
        self.links
            .call(address, timeout, |client| async move {
                let mut request = client.charge_request();
                request.get().set_account(account.0);
                request.get().set_units(units);
                let response = request.send().promise.await?;
                let answer = response.get()?;
                let wait = Duration::from_millis(u64::from(answer.get_wait_ms()));
                Ok(match answer.get_is_let_in() {
                    true => Ok(()),
                    false => Err(wait),
                })
            })
            .await
    }

    /// Sends the totals of this host's ledger to a host; returns those that it knows.
    pub async fn exchange(
        &self,
        address: SocketAddr,
        sums: &LedgerSums,
        timeout: Duration,
    ) -> Result<Vec<LedgerSums>, Error> {
        self.links
            .call(address, timeout, |client| async move {
                let mut request = client.exchange_request();
                message::write_sums(request.get().init_sums(), sums);
                let response = request.send().promise.await?;
                let all = response.get()?.get_sums()?;
                all.iter().map(message::read_sums).collect()
            })
            .await
    }

    /// Sends findings to a host.
    pub async fn tell_findings(
        &self,
        address: SocketAddr,
        findings: &SharedFindings,
        is_zone: bool,
        timeout: Duration,
    ) -> Result<(), Error> {
        self.links
            .call(address, timeout, |client| async move {
                let mut request = client.tell_findings_request();
                let mut params = request.get();
                params.set_is_zone(is_zone);
                let SharedFindings { crashes, limits } = findings;
                let list = params.reborrow().init_marks(crashes.len() as u32);
                crash_message::write_marks(list, crashes);
                limit_message::write_updates(params.init_limits(limits.len() as u32), limits);
                request.send().promise.await?;
                Ok(())
            })
            .await
    }

    /// Asks a host whether a suspect that is considered fatal to servers may be tried.
    pub async fn allow_trial(
        &self,
        address: SocketAddr,
        suspect: CrashSuspect,
        timeout: Duration,
    ) -> Result<bool, Error> {
        self.links
            .call(address, timeout, |client| async move {
                let mut request = client.allow_trial_request();
                crash_message::write_trial(request.get(), suspect);
                let response = request.send().promise.await?;
                Ok(response.get()?.get_is_allowed())
            })
            .await
    }

    /// Requests permits at a rate-limited server from a host.
    pub async fn deal(
        &self,
        address: SocketAddr,
        permit_request: &PermitRequest,
        is_forwarded: bool,
        timeout: Duration,
    ) -> Result<PermitGrant, Error> {
        self.links
            .call(address, timeout, |client| async move {
                let mut request = client.deal_request();
                limit_message::write_permit_request(
                    request.get(),
                    permit_request,
                    self.clock.now(),
                );
                request.get().set_is_passed_on(is_forwarded);
                let response = request.send().promise.await?;
                limit_message::read_grant(response.get()?, self.clock.now())
            })
            .await
    }

    /// Requests a place at a contended server from a host, and gives others back.
    pub async fn lease(
        &self,
        address: SocketAddr,
        places: &PlaceMessage,
        is_forwarded: bool,
        timeout: Duration,
    ) -> Result<PlaceAnswer, Error> {
        self.links
            .call(address, timeout, |client| async move {
                let mut request = client.lease_request();
                request.get().set_is_passed_on(is_forwarded);
                place_message::write_place_message(request.get(), places);
                let response = request.send().promise.await?;
                Ok(place_message::read_place_answer(response.get()?))
            })
            .await
    }

    /// Requests pieces of a configuration from a host.
    pub async fn fetch(
        &self,
        address: SocketAddr,
        wanted: &PieceRequest,
        timeout: Duration,
    ) -> Result<PieceAnswer, Error> {
        self.links
            .call(address, timeout, |client| async move {
                let mut request = client.fetch_request();
                piece_message::write_request(request.get(), wanted);
                let response = request.send().promise.await?;
                piece_message::read_answer(response.get()?)
            })
            .await
    }

    /// Tells a host of streams that this host began.
    pub async fn tell_streams(
        &self,
        address: SocketAddr,
        records: &[StreamRecord],
        timeout: Duration,
    ) -> Result<(), Error> {
        self.links
            .call(address, timeout, |client| async move {
                let mut request = client.tell_streams_request();
                origin_message::write_stream_records(request.get(), records);
                request.send().promise.await?;
                Ok(())
            })
            .await
    }

    /// Asks a host how a stream began, and which software versions of a service it has seen.
    pub async fn find_stream(
        &self,
        address: SocketAddr,
        key: StreamKey,
        service: &str,
        timeout: Duration,
    ) -> Result<OriginAnswer, Error> {
        self.links
            .call(address, timeout, |client| async move {
                let mut request = client.find_stream_request();
                request.get().set_key(key.0);
                request.get().set_service(service);
                let response = request.send().promise.await?;
                origin_message::read_origin_answer(response.get()?)
            })
            .await
    }

    /// Sends a load report, and how current this host's view is, to a host; returns the sum of the others' reports.
    pub async fn share(
        &self,
        address: SocketAddr,
        reporter: &LoadReporter,
        report: &LoadReport,
        view: ReportedView,
        timeout: Duration,
    ) -> Result<LoadReport, Error> {
        self.links
            .call(address, timeout, |client| async move {
                let mut request = client.share_request();
                let mut params = request.get();
                let (name, is_zone) = match reporter {
                    LoadReporter::Host(name) => (name, false),
                    LoadReporter::Zone(name) => (name, true),
                };
                params.set_reporter(name.as_str());
                params.set_is_zone(is_zone);
                params.set_age_ms(message::to_ms(view.age));
                params.set_config_version(view.known_version);
                params.set_backends_revision(view.backends_position.number());
                message::write_report(params.init_report(), report);
                let response = request.send().promise.await?;
                message::read_report(response.get()?.get_others()?)
            })
            .await
    }
}

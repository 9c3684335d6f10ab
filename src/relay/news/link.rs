//! Asking other hosts for news, and answering them: `capnp-rpc` over TCP.

use {
    super::{
        crash_message, limit_message,
        message::{self, ClusterNews, HeldNews, ReportedView},
    },
    crate::{
        account::{AccountKey, LedgerSums},
        clock::HostClock,
        metric::HostMetrics,
        news_capnp::news_peer,
        peer::{self, PeerLinks},
        relay::policy::{
            digest::RequestDigest,
            loads::{LoadReport, LoadReporter},
            permit_allocator::{PermitGrant, PermitRequest},
            shared_findings::SharedFindings,
        },
        store::StorePosition,
    },
    capnp::{Error, capability::Rc as CapRc},
    faststr::FastStr,
    futures::future::LocalBoxFuture,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::net::TcpListener,
};

/// Longest wait that a ledger's answer tells, milliseconds; the largest number stands for none at all.
const WAIT_MOST_MS: u32 = 3_600_000;

/// Gives the news for an asker, once there are some or its wait is over.
pub type NewsAnswer = dyn Fn(HeldNews) -> LocalBoxFuture<'static, ClusterNews>;

/// Takes a report, and how new the reporter's view is; gives what the others report together.
pub type LoadAnswer = dyn Fn(LoadReporter, LoadReport, ReportedView) -> LoadReport;

/// Lets a request of an account in, or says when its caller is to come back; none where the account is not known.
pub type ChargeCall = dyn Fn(AccountKey, u32) -> Option<Result<(), Duration>>;

/// Takes what another host told, and whether it tells that for its whole zone.
pub type FindingsTold = dyn Fn(SharedFindings, bool);

/// Whether a request that is held to end its servers may be tried.
pub type TrialCall = dyn Fn(RequestDigest) -> bool;

/// Takes the sums of another ledger; gives this host's, and those that it knows of others.
pub type SumsCall = dyn Fn(LedgerSums) -> Vec<LedgerSums>;

/// Allocates permits at a rate-limited server, or has them allocated; whether the question was passed on already.
pub type DealCall = dyn Fn(PermitRequest, bool) -> LocalBoxFuture<'static, PermitGrant>;

/// What a host answers to others.
pub struct NewsAnswers {
    /// The clock of ages that are told.
    pub clock: HostClock,
    /// To those that follow it.
    pub news: Box<NewsAnswer>,
    /// To those that report to it.
    pub loads: Box<LoadAnswer>,
    /// To those whose books it keeps.
    pub charges: Box<ChargeCall>,
    /// To others that keep books.
    pub sums: Box<SumsCall>,
    /// To those that saw servers end, or name a limit.
    pub findings: Box<FindingsTold>,
    /// To those that would try a request.
    pub trials: Box<TrialCall>,
    /// To those that would send to rate-limited servers.
    pub permits: Box<DealCall>,
}

struct NewsServer {
    answers: NewsAnswers,
}

impl news_peer::Server for NewsServer {
    async fn follow(
        self: CapRc<Self>,
        params: news_peer::FollowParams,
        mut results: news_peer::FollowResults,
    ) -> Result<(), Error> {
        let held = message::read_held(params.get()?.get_held()?)?;
        let news = (self.answers.news)(held).await;
        message::write_news(results.get().init_news(), &news)
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
            config_version: params.get_config_version(),
            backends_position: StorePosition::of_number(params.get_backends_revision()),
        };
        let others = (self.answers.loads)(reporter, report, view);
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
        let answer = (self.answers.charges)(account, params.get_units());
        let answer = answer.ok_or_else(|| Error::failed("the account is not known here".into()))?;
        let mut results = results.get();
        match answer {
            Ok(()) => results.set_is_let_in(true),
            Err(wait) => results.set_wait_ms(message::to_ms(Some(wait)).min(WAIT_MOST_MS)),
        }
        Ok(())
    }

    async fn exchange(
        self: CapRc<Self>,
        params: news_peer::ExchangeParams,
        mut results: news_peer::ExchangeResults,
    ) -> Result<(), Error> {
        let theirs = message::read_sums(params.get()?.get_sums()?)?;
        let all = (self.answers.sums)(theirs);
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
            limits: limit_message::read_marks(params.get_limits()?)?,
        };
        (self.answers.findings)(findings, params.get_is_zone());
        Ok(())
    }

    async fn allow_trial(
        self: CapRc<Self>,
        params: news_peer::AllowTrialParams,
        mut results: news_peer::AllowTrialResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let digest = crash_message::whole(params.get_high(), params.get_low());
        let is_allowed = (self.answers.trials)(digest);
        results.get().set_is_allowed(is_allowed);
        Ok(())
    }

    async fn deal(
        self: CapRc<Self>,
        params: news_peer::DealParams,
        mut results: news_peer::DealResults,
    ) -> Result<(), Error> {
        let now = self.answers.clock.now();
        let params = params.get()?;
        let ask = limit_message::read_ask(params, now)?;
        let grant = (self.answers.permits)(ask, params.get_is_passed_on()).await;
        limit_message::write_grant(results.get(), &grant, self.answers.clock.now());
        Ok(())
    }
}

/// Answers other hosts on a listening socket, for as long as the host runs.
pub async fn serve_news(listener: TcpListener, answers: NewsAnswers, metrics: Arc<HostMetrics>) {
    let client: news_peer::Client = capnp_rpc::new_client(NewsServer { answers });
    peer::serve_peers(listener, client.client, metrics).await;
}

fn write_all_sums(mut results: news_peer::exchange_results::Builder<'_>, all: &[LedgerSums]) {
    let mut list = results.reborrow().init_sums(all.len() as u32);
    for (index, sums) in all.iter().enumerate() {
        message::write_sums(list.reborrow().get(index as u32), sums);
    }
}

/// Connections to hosts that are asked for news.
pub struct NewsLinks {
    links: PeerLinks<news_peer::Client>,
    // The clock of ages that are told.
    clock: HostClock,
}

impl NewsLinks {
    /// No connections yet.
    pub fn new(metrics: Arc<HostMetrics>, clock: HostClock) -> Self {
        Self {
            links: PeerLinks::new(metrics),
            clock,
        }
    }

    /// Asks a host for what is newer than `held`; the answer is due `patience` after the wait.
    pub async fn follow(
        &self,
        address: SocketAddr,
        held: HeldNews,
        patience: Duration,
    ) -> Result<ClusterNews, Error> {
        let time = held.wait + patience;
        self.links
            .call(address, time, |client| async move {
                let mut request = client.follow_request();
                message::write_held(request.get().init_held(), &held);
                let response = request.send().promise.await?;
                message::read_news(response.get()?.get_news()?)
            })
            .await
    }

    /// Asks a host for an account's units: let in, or when to come back.
    pub async fn charge(
        &self,
        address: SocketAddr,
        account: AccountKey,
        units: u32,
        patience: Duration,
    ) -> Result<Result<(), Duration>, Error> {
        self.links
            .call(address, patience, |client| async move {
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

    /// Tells a host the sums of this one's ledger; gives those that it knows.
    pub async fn exchange(
        &self,
        address: SocketAddr,
        sums: &LedgerSums,
        patience: Duration,
    ) -> Result<Vec<LedgerSums>, Error> {
        self.links
            .call(address, patience, |client| async move {
                let mut request = client.exchange_request();
                message::write_sums(request.get().init_sums(), sums);
                let response = request.send().promise.await?;
                let all = response.get()?.get_sums()?;
                all.iter().map(message::read_sums).collect()
            })
            .await
    }

    /// Tells a host of findings.
    pub async fn tell_findings(
        &self,
        address: SocketAddr,
        findings: &SharedFindings,
        is_zone: bool,
        patience: Duration,
    ) -> Result<(), Error> {
        self.links
            .call(address, patience, |client| async move {
                let mut request = client.tell_findings_request();
                let mut params = request.get();
                params.set_is_zone(is_zone);
                let SharedFindings { crashes, limits } = findings;
                let list = params.reborrow().init_marks(crashes.len() as u32);
                crash_message::write_marks(list, crashes);
                limit_message::write_marks(params.init_limits(limits.len() as u32), limits);
                request.send().promise.await?;
                Ok(())
            })
            .await
    }

    /// Asks a host whether a request that is held to end its servers may be tried.
    pub async fn allow_trial(
        &self,
        address: SocketAddr,
        digest: RequestDigest,
        patience: Duration,
    ) -> Result<bool, Error> {
        self.links
            .call(address, patience, |client| async move {
                let mut request = client.allow_trial_request();
                let (high, low) = crash_message::halves(digest);
                request.get().set_high(high);
                request.get().set_low(low);
                let response = request.send().promise.await?;
                Ok(response.get()?.get_is_allowed())
            })
            .await
    }

    /// Asks a host for permits at a rate-limited server.
    pub async fn deal(
        &self,
        address: SocketAddr,
        ask: &PermitRequest,
        is_passed_on: bool,
        patience: Duration,
    ) -> Result<PermitGrant, Error> {
        self.links
            .call(address, patience, |client| async move {
                let mut request = client.deal_request();
                limit_message::write_ask(request.get(), ask, self.clock.now());
                request.get().set_is_passed_on(is_passed_on);
                let response = request.send().promise.await?;
                limit_message::read_grant(response.get()?, self.clock.now())
            })
            .await
    }

    /// Reports to a host, with how new one's own view is; gives what the others report together.
    pub async fn share(
        &self,
        address: SocketAddr,
        reporter: &LoadReporter,
        report: &LoadReport,
        view: ReportedView,
        patience: Duration,
    ) -> Result<LoadReport, Error> {
        self.links
            .call(address, patience, |client| async move {
                let mut request = client.share_request();
                let mut params = request.get();
                let (name, is_zone) = match reporter {
                    LoadReporter::Host(name) => (name, false),
                    LoadReporter::Zone(name) => (name, true),
                };
                params.set_reporter(name.as_str());
                params.set_is_zone(is_zone);
                params.set_age_ms(message::to_ms(view.age));
                params.set_config_version(view.config_version);
                params.set_backends_revision(view.backends_position.number());
                message::write_report(params.init_report(), report);
                let response = request.send().promise.await?;
                message::read_report(response.get()?.get_others()?)
            })
            .await
    }
}

//! Reports the load of this host's requests to the other hosts, and collects the load of theirs.

use {
    super::{follow::NewsFollower, message::ReportedView, rpc::NewsClient, targets::ZoneTargets},
    crate::{
        account::UseReport,
        relay::{
            critical_task,
            link::HostEntry,
            parts::shared::RelayParts,
            policy::loads::{LoadAggregator, LoadReport, LoadReporter},
        },
    },
    std::{cell::RefCell, rc::Rc, time::Duration},
};

/// How often a host reports. Requests run for some seconds, so the others' view of them is mostly accurate; more
/// frequent reports cost small hosts CPU time.
const REPORT_INTERVAL: Duration = Duration::from_millis(300);

/// Largest zone whose hosts report at that interval. In larger zones each host reports less often, so that the load on
/// the zone's head, which sums up the reports, stays the same.
const FULL_RATE_HOSTS: usize = 30;

/// Longest interval between two reports: if one is lost, the previous one must not expire before the next.
const MAX_REPORT_INTERVAL: Duration = Duration::from_millis(600);

/// Every how many intervals a zone reports to the others; few requests go to engines of another zone.
const ZONE_REPORT_INTERVALS: u32 = 3;

/// Timeout of a report: the response is immediate, and of little use if late.
const REPORT_TIMEOUT: Duration = Duration::from_millis(250);

/// The interval at which each host of a zone reports, by the number of hosts in the zone.
pub fn report_interval(hosts: usize) -> Duration {
    let factor = hosts as f64 / FULL_RATE_HOSTS as f64;
    REPORT_INTERVAL
        .mul_f64(factor.max(1.0))
        .min(MAX_REPORT_INTERVAL)
}

/// Reports this host's load, and collects the reports of others if this host is the head of its zone.
pub struct LoadReporting {
    parts: Rc<RelayParts>,
    follower: Rc<NewsFollower>,
    client: Rc<NewsClient>,
    board: RefCell<LoadAggregator>,
    targets: ZoneTargets,
}

impl LoadReporting {
    /// Starts the reporting task.
    pub fn start(
        parts: Rc<RelayParts>,
        follower: Rc<NewsFollower>,
        client: Rc<NewsClient>,
    ) -> Rc<Self> {
        let reporting = Rc::new(Self {
            parts,
            follower,
            client,
            board: RefCell::default(),
            targets: ZoneTargets::default(),
        });
        critical_task::spawn_critical("loads", reporting.clone().run());
        reporting
    }

    /// Answers a report of another host or zone.
    pub fn answer(
        &self,
        reporter: LoadReporter,
        report: LoadReport,
        view: ReportedView,
    ) -> LoadReport {
        if let LoadReporter::Host(name) = &reporter {
            self.follower.record_report(name, view);
        }
        if reporter != self.own_reporter() {
            self.parts.record_peer_contact();
        }
        let now = self.parts.now();
        let accounts = self.answer_accounts(&reporter, &report.accounts);
        let mut board = self.board.borrow_mut();
        board.record(reporter.clone(), report, now);
        let answer = match reporter {
            LoadReporter::Host(name) => board.total_without(&name, now),
            LoadReporter::Zone(_) => board.zone_total(now),
        };
        LoadReport {
            accounts,
            is_store_lost: self.parts.cluster.borrow().is_store_lost(),
            ..answer
        }
    }

    fn answer_accounts(&self, reporter: &LoadReporter, report: &UseReport) -> UseReport {
        match reporter {
            LoadReporter::Host(_) => self.parts.record_uses(&report.uses),
            LoadReporter::Zone(_) => UseReport::default(),
        }
    }

    async fn run(self: Rc<Self>) {
        for round in 0_u32.. {
            tokio::select! {
                () = tokio::time::sleep(self.interval()) => {}
                () = self.follower.probe_update() => {}
            }
            match self.follower.head() {
                Some(entry) => self.report_to(&entry).await,
                None => {
                    self.collect_own();
                    if round.is_multiple_of(ZONE_REPORT_INTERVALS) {
                        self.report_to_zones().await;
                    }
                }
            }
        }
    }

    fn interval(&self) -> Duration {
        let own = &self.parts.settings.zone;
        let cluster = self.parts.cluster.borrow();
        report_interval(cluster.hosts().filter(|entry| entry.zone == *own).count())
    }

    // How current this host's view of the store is.
    fn reported_view(&self) -> ReportedView {
        let cluster = self.parts.cluster.borrow();
        ReportedView {
            age: cluster.age(self.parts.now()),
            known_version: cluster.config.known_version(),
            backends_position: cluster.backends_position(),
        }
    }

    fn own_reporter(&self) -> LoadReporter {
        LoadReporter::Host(self.parts.name())
    }

    // Adds this host's own load to the sum of its zone.
    fn collect_own(&self) {
        let own = self.parts.load_report();
        let others = self.answer(self.own_reporter(), own, ReportedView::default());
        self.board.borrow_mut().remove_expired(self.parts.now());
        self.parts.apply_fleet_report(others);
    }

    async fn report_to(&self, entry: &HostEntry) {
        let own = self.parts.load_report();
        let uses = own.accounts.uses.clone();
        let reporter = self.own_reporter();
        let sent = self.client.share(
            entry.peers,
            &reporter,
            &own,
            self.reported_view(),
            REPORT_TIMEOUT,
        );
        match sent.await {
            Ok(others) => {
                self.parts.record_peer_contact();
                if !others.is_store_lost {
                    self.follower.record_store_back();
                }
                self.parts.apply_fleet_report(others);
            }
            Err(error) => {
                log::debug!("cannot report the load to host {}: {error}", entry.name);
                self.follower.record_unreported(&entry.name);
                self.parts.restore_uses(uses);
            }
        }
    }

    async fn report_to_zones(&self) {
        let reporter = LoadReporter::Zone(self.parts.settings.zone.clone());
        let own_zone = &self.parts.settings.zone;
        let now = self.parts.now();
        let targets = self
            .targets
            .other_zones(&self.parts.cluster.borrow(), own_zone, now);
        for entry in targets {
            let report = self.board.borrow_mut().zone_total(self.parts.now());
            let sent = self.client.share(
                entry.peers,
                &reporter,
                &report,
                ReportedView::default(),
                REPORT_TIMEOUT,
            );
            let answer = sent.await;
            let now = self.parts.now();
            self.targets.record_result(&entry.name, answer.is_ok(), now);
            match answer {
                Ok(theirs) => {
                    self.parts.record_peer_contact();
                    let mut board = self.board.borrow_mut();
                    board.record(LoadReporter::Zone(entry.zone), theirs, now);
                }
                Err(error) => {
                    log::debug!(
                        "cannot report the zone's load to host {}: {error}",
                        entry.name
                    );
                }
            }
        }
    }
}

//! Telling the other hosts what this one's requests take, and hearing what theirs take.

use {
    super::{follow::NewsFollower, link::NewsLinks, message::ReportedView, targets::ZoneTargets},
    crate::{
        account::UseReport,
        relay::{
            critical_task,
            link::HostEntry,
            parts::shared::RelayParts,
            policy::loads::{LoadBoard, LoadReport, LoadReporter},
        },
    },
    std::{cell::RefCell, rc::Rc, time::Duration},
};

/// How often a host reports. Requests run for some seconds, so that the others' view of them is mostly
/// right; a report more often costs small hosts processor time.
const REPORT_PERIOD: Duration = Duration::from_millis(300);

/// Hosts of a zone up to which each reports that often; with more of them each reports less often, so that
/// the one that adds up has no more to do.
const FULL_PACE_HOSTS: usize = 30;

/// Longest pause between two reports: one that is lost must not make the one before it too old to count.
const REPORT_PERIOD_LONGEST: Duration = Duration::from_millis(600);

/// How often a zone reports to the others: few requests go to engines of another zone.
const ZONE_PERIOD: u32 = 3;

/// Longest wait for the answer to a report; it is at once, or of little use.
const REPORT_PATIENCE: Duration = Duration::from_millis(250);

/// How often each host of a zone of so many reports.
pub fn report_period(hosts: usize) -> Duration {
    let factor = hosts as f64 / FULL_PACE_HOSTS as f64;
    REPORT_PERIOD
        .mul_f64(factor.max(1.0))
        .min(REPORT_PERIOD_LONGEST)
}

/// Reports of this host, and of others to it.
pub struct LoadShare {
    parts: Rc<RelayParts>,
    follower: Rc<NewsFollower>,
    links: Rc<NewsLinks>,
    board: RefCell<LoadBoard>,
    targets: ZoneTargets,
}

impl LoadShare {
    /// Starts to report.
    pub fn start(
        parts: Rc<RelayParts>,
        follower: Rc<NewsFollower>,
        links: Rc<NewsLinks>,
    ) -> Rc<Self> {
        let share = Rc::new(Self {
            parts,
            follower,
            links,
            board: RefCell::default(),
            targets: ZoneTargets::default(),
        });
        critical_task::spawn_critical("loads", share.clone().run());
        share
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
            self.parts.note_peer();
        }
        let now = self.parts.now();
        let accounts = self.answer_accounts(&reporter, &report.accounts);
        let mut board = self.board.borrow_mut();
        board.take(reporter.clone(), report, now);
        let answer = match reporter {
            LoadReporter::Host(name) => board.others_of(&name, now),
            LoadReporter::Zone(_) => board.of_zone(now),
        };
        LoadReport {
            accounts,
            is_store_lost: self.parts.cluster.borrow().is_store_lost(),
            ..answer
        }
    }

    fn answer_accounts(&self, reporter: &LoadReporter, report: &UseReport) -> UseReport {
        match reporter {
            LoadReporter::Host(_) => self.parts.answer_uses(&report.uses),
            LoadReporter::Zone(_) => UseReport::default(),
        }
    }

    async fn run(self: Rc<Self>) {
        for turn in 0_u32.. {
            tokio::select! {
                () = tokio::time::sleep(self.period()) => {}
                () = self.follower.probe_update() => {}
            }
            match self.follower.head() {
                Some(entry) => self.report_to(&entry).await,
                None => {
                    self.collect_own();
                    if turn.is_multiple_of(ZONE_PERIOD) {
                        self.report_to_zones().await;
                    }
                }
            }
        }
    }

    fn period(&self) -> Duration {
        let own = &self.parts.settings.zone;
        let cluster = self.parts.cluster.borrow();
        report_period(cluster.hosts().filter(|entry| entry.zone == *own).count())
    }

    // How new this host's view of the store is.
    fn view(&self) -> ReportedView {
        let cluster = self.parts.cluster.borrow();
        ReportedView {
            age: cluster.age(self.parts.now()),
            config_version: cluster.config_version(),
            backends_position: cluster.backends_position(),
        }
    }

    fn own_reporter(&self) -> LoadReporter {
        LoadReporter::Host(self.parts.name())
    }

    // This host adds up for its zone.
    fn collect_own(&self) {
        let own = self.parts.own_report();
        let others = self.answer(self.own_reporter(), own, ReportedView::default());
        self.board.borrow_mut().forget_old(self.parts.now());
        self.parts.take_others(others);
    }

    async fn report_to(&self, entry: &HostEntry) {
        let own = self.parts.own_report();
        let uses = own.accounts.uses.clone();
        let reporter = self.own_reporter();
        let sent = self
            .links
            .share(entry.peers, &reporter, &own, self.view(), REPORT_PATIENCE);
        match sent.await {
            Ok(others) => {
                self.parts.note_peer();
                if !others.is_store_lost {
                    self.follower.record_store_back();
                }
                self.parts.take_others(others);
            }
            Err(error) => {
                log::debug!("host {} took no report: {error}", entry.name);
                self.follower.record_unreported(&entry.name);
                self.parts.put_back_uses(uses);
            }
        }
    }

    async fn report_to_zones(&self) {
        let reporter = LoadReporter::Zone(self.parts.settings.zone.clone());
        let own_zone = &self.parts.settings.zone;
        let now = self.parts.now();
        let targets = self.targets.of(&self.parts.cluster.borrow(), own_zone, now);
        for entry in targets {
            let report = self.board.borrow().of_zone(self.parts.now());
            let sent = self.links.share(
                entry.peers,
                &reporter,
                &report,
                ReportedView::default(),
                REPORT_PATIENCE,
            );
            let answer = sent.await;
            let now = self.parts.now();
            self.targets.note(&entry.name, answer.is_ok(), now);
            match answer {
                Ok(theirs) => {
                    self.parts.note_peer();
                    let mut board = self.board.borrow_mut();
                    board.take(LoadReporter::Zone(entry.zone), theirs, now);
                }
                Err(error) => {
                    log::debug!("host {} took no report of a zone: {error}", entry.name);
                }
            }
        }
    }
}

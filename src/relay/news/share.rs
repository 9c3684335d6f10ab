//! Telling the other hosts what this one's requests take, and hearing what theirs take.

use {
    super::{follow::NewsFollower, link::NewsLinks},
    crate::{
        account::UseReport,
        relay::{
            link::HostEntry,
            parts::{accounts::LedgerAsk, shared::RelayParts},
            policy::{
                loads::{LoadBoard, LoadReport, LoadReporter},
                source,
            },
            vital,
        },
    },
    faststr::FastStr,
    futures::FutureExt,
    std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Duration},
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
    // Reports to other zones that failed in a row: the next host of that zone is then tried.
    zone_failures: RefCell<BTreeMap<FastStr, usize>>,
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
            zone_failures: RefCell::default(),
        });
        share.parts.accounts.set_ask(share.clone().ledger_ask());
        vital::spawn_vital("loads", share.clone().run());
        share
    }

    // The head of the zone keeps its books.
    fn ledger_ask(self: Rc<Self>) -> Rc<LedgerAsk> {
        Rc::new(move |account, units, patience| {
            let head = self.follower.head()?;
            let links = self.links.clone();
            let asking = async move {
                let answer = links.charge(head.peers, account, units, patience).await;
                if let Err(error) = &answer {
                    log::debug!("host {} gave no account: {error}", head.name);
                }
                answer.ok()
            };
            Some(asking.boxed_local())
        })
    }

    /// Answers a report of another host or zone.
    pub fn answer(
        &self,
        reporter: LoadReporter,
        report: LoadReport,
        age: Option<Duration>,
    ) -> LoadReport {
        if let LoadReporter::Host(name) = &reporter {
            self.follower.note_report(name, age);
        }
        let now = self.parts.now();
        let accounts = self.answer_accounts(&reporter, &report.accounts);
        let mut board = self.board.borrow_mut();
        board.take(reporter.clone(), report, now);
        let answer = match reporter {
            LoadReporter::Host(name) => board.others_of(&name, now),
            LoadReporter::Zone(_) => board.of_zone(now),
        };
        LoadReport { accounts, ..answer }
    }

    fn answer_accounts(&self, reporter: &LoadReporter, report: &UseReport) -> UseReport {
        match reporter {
            LoadReporter::Host(_) => self.parts.answer_uses(&report.uses),
            LoadReporter::Zone(zone) => {
                self.parts.take_sums(zone, report);
                self.parts.account_sums()
            }
        }
    }

    async fn run(self: Rc<Self>) {
        for turn in 0_u32.. {
            tokio::select! {
                () = tokio::time::sleep(self.period()) => {}
                () = self.follower.served() => {}
            }
            match self.follower.head() {
                Some(entry) => self.report_to(&entry).await,
                None => {
                    self.collect_own();
                    let is_near = self.parts.keep_books();
                    if is_near || turn.is_multiple_of(ZONE_PERIOD) {
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

    // How old this host's view of the store may be.
    fn age(&self) -> Option<Duration> {
        let cluster = self.parts.cluster.borrow();
        cluster.age(self.parts.now())
    }

    fn own_reporter(&self) -> LoadReporter {
        LoadReporter::Host(self.parts.name())
    }

    // This host adds up for its zone.
    fn collect_own(&self) {
        let own = self.parts.own_report();
        let others = self.answer(self.own_reporter(), own, None);
        self.board.borrow_mut().forget_old(self.parts.now());
        self.parts.take_others(others);
    }

    async fn report_to(&self, entry: &HostEntry) {
        let own = self.parts.own_report();
        let uses = own.accounts.uses.clone();
        let reporter = self.own_reporter();
        let sent = self
            .links
            .share(entry.peers, &reporter, &own, self.age(), REPORT_PATIENCE);
        match sent.await {
            Ok(others) => self.parts.take_others(others),
            Err(error) => {
                log::debug!("host {} took no report: {error}", entry.name);
                self.parts.put_back_uses(uses);
            }
        }
    }

    async fn report_to_zones(&self) {
        let reporter = LoadReporter::Zone(self.parts.settings.zone.clone());
        for (zone, entry) in self.zone_hosts() {
            let report = LoadReport {
                accounts: self.parts.account_sums(),
                ..self.board.borrow().of_zone(self.parts.now())
            };
            let sent = self
                .links
                .share(entry.peers, &reporter, &report, None, REPORT_PATIENCE);
            match sent.await {
                Ok(theirs) => {
                    self.parts.take_sums(&zone, &theirs.accounts);
                    let now = self.parts.now();
                    let mut board = self.board.borrow_mut();
                    board.take(LoadReporter::Zone(zone.clone()), theirs, now);
                    self.zone_failures.borrow_mut().remove(&zone);
                }
                Err(error) => {
                    log::debug!("host {} took no report of a zone: {error}", entry.name);
                    *self.zone_failures.borrow_mut().entry(zone).or_default() += 1;
                }
            }
        }
    }

    // The host of each other zone that is to be told.
    fn zone_hosts(&self) -> Vec<(FastStr, HostEntry)> {
        let own = &self.parts.settings.zone;
        let cluster = self.parts.cluster.borrow();
        let mut zones: BTreeMap<FastStr, Vec<HostEntry>> = BTreeMap::new();
        for entry in cluster.hosts().filter(|entry| entry.zone != *own) {
            let entries = zones.entry(entry.zone.clone()).or_default();
            entries.push(entry.clone());
        }
        let failures = self.zone_failures.borrow();
        let told = zones.into_iter().map(|(zone, mut entries)| {
            source::sort_readers(&mut entries, &zone);
            let tried = failures.get(&zone).copied().unwrap_or_default();
            (zone, entries.swap_remove(tried % entries.len()))
        });
        told.collect()
    }
}

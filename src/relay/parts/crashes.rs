//! Requests and prompt parts under which backend servers crash. Records what this host observes and what other hosts report,
//! and logs and counts it.

use {
    super::shared::RelayParts,
    crate::{
        event, peer,
        relay::{
            backend::BackendInfo,
            link::HostEntry,
            policy::{
                crash_record::CrashVerdict,
                crash_report::{CrashReport, CrashUpdates, StoredVerdict},
                crash_suspect::CrashSuspect,
                crash_tracker::{CrashTracker, VerdictChange, VerdictChanges},
                findings_cache::{CachePosition, FindingSource},
                loads::EngineKey,
                report_budget::ReportBudget,
            },
        },
    },
    faststr::FastStr,
    futures::future::LocalBoxFuture,
    std::{
        cell::{Cell, RefCell},
        cmp::Reverse,
        collections::{BTreeSet, HashMap},
        fmt,
        net::SocketAddr,
        rc::Rc,
    },
};

/// Maximum number of fatal suspects that a host's entry in the store keeps. A fleet with more of them has already lost two
/// dozen servers to them.
const KEPT_JUDGEMENTS_MAX: usize = 8;

/// Asks the host that grants trials of a suspect whether it may be tried.
pub type TrialQuery = dyn Fn(CrashSuspect) -> LocalBoxFuture<'static, bool>;

/// This host's records of suspects, and the state of their exchange with other hosts.
pub struct CrashRecords {
    book: RefCell<CrashTracker>,
    // What this host may still report about prompt parts.
    budget: RefCell<ReportBudget>,
    // Fatal suspects that this host's entry in the store keeps.
    kept: RefCell<BTreeSet<CrashSuspect>>,
    // Position up to which this host has received the records of each other host, by its address.
    received: RefCell<HashMap<SocketAddr, CachePosition>>,
    // Whether this host has received the records of another host, or, where none could send them, those in the store.
    has_learned: Cell<bool>,
    trial_query: RefCell<Option<Rc<TrialQuery>>>,
}

impl fmt::Debug for CrashRecords {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "CrashRecords({} suspects)", self.book.borrow().len())
    }
}

impl CrashRecords {
    /// Creates empty records; `id` is random.
    pub fn new(id: u64) -> Self {
        Self {
            book: RefCell::new(CrashTracker::new(id)),
            budget: RefCell::default(),
            kept: RefCell::default(),
            received: RefCell::default(),
            has_learned: Cell::default(),
            trial_query: RefCell::default(),
        }
    }

    /// Sets the function that asks other hosts for trials.
    pub fn set_trial_query(&self, query: Rc<TrialQuery>) {
        *self.trial_query.borrow_mut() = Some(query);
    }

    /// Returns whether there are no records. Requests need no digest then.
    pub fn is_empty(&self) -> bool {
        self.book.borrow().is_empty()
    }

    /// Number of requests and prompt parts that are judged fatal.
    pub fn fatal_count(&self) -> usize {
        self.book.borrow().fatal_suspects().len()
    }

    /// Number of prompt parts that are judged fatal.
    pub fn fatal_part_count(&self) -> usize {
        let book = self.book.borrow();
        let suspects = book.fatal_suspects().iter();
        suspects.filter(|suspect| suspect.is_part()).count()
    }

    /// Returns the position up to which this host has received the records of the host at an address.
    pub fn received_position(&self, address: SocketAddr) -> CachePosition {
        self.received
            .borrow()
            .get(&address)
            .copied()
            .unwrap_or_default()
    }

    // Removes the positions of hosts that are no longer listed.
    fn retain_listed(&self, is_listed: impl Fn(&SocketAddr) -> bool) {
        self.received
            .borrow_mut()
            .retain(|address, _| is_listed(address));
    }
}

impl RelayParts {
    /// Returns the suspects of a request that are not harmless, the worst one first, and records that they arrived.
    pub fn judge_request(&self, suspects: &[CrashSuspect]) -> Vec<(CrashSuspect, CrashVerdict)> {
        let now = self.now();
        let mut book = self.crashes.book.borrow_mut();
        let verdicts = suspects
            .iter()
            .map(|suspect| (*suspect, book.verdict(*suspect, now)));
        let mut judged: Vec<(CrashSuspect, CrashVerdict)> = verdicts
            .filter(|(_, verdict)| *verdict != CrashVerdict::Harmless)
            .collect();
        for (suspect, _) in &judged {
            book.record_seen(*suspect, now);
        }
        judged.sort_by_key(|(_, verdict)| Reverse(*verdict));
        judged
    }

    /// Records that a backend server crashed while it ran a request with these suspects.
    pub fn record_crash(&self, suspects: &[CrashSuspect], backend: &BackendInfo) {
        let run = EngineKey::of_run(&backend.id, backend.born);
        // One time for all, since of suspects with the same crashes the first to have had them counts as the cause.
        let now = self.now();
        let changes = {
            let mut book = self.crashes.book.borrow_mut();
            let suspects = suspects.iter();
            suspects
                .flat_map(|suspect| book.record_crash(*suspect, run, now))
                .collect()
        };
        self.publish_crash_changes(&changes);
    }

    /// Records that a request has shown these suspects to be harmless.
    pub fn record_success(&self, suspects: &[CrashSuspect]) {
        let before = self.crashes.book.borrow().position();
        let changes = {
            let mut book = self.crashes.book.borrow_mut();
            let suspects = suspects.iter();
            suspects
                .flat_map(|suspect| book.record_success(*suspect, self.now()))
                .collect()
        };
        if self.crashes.book.borrow().position() != before {
            self.publish_crash_changes(&changes);
        }
    }

    /// Returns whether a fatal suspect may be tried now according to this host's records; if so, records the trial.
    pub fn grant_trial(&self, suspect: CrashSuspect) -> bool {
        let granted = self
            .crashes
            .book
            .borrow_mut()
            .grant_trial(suspect, self.now());
        if granted {
            let fields: [(&str, &dyn fmt::Display); 2] =
                [("suspect", &suspect.kind()), ("digest", &suspect)];
            event::emit(&event::REQUEST_TRIED, &fields);
            self.publish_crash_changes(&VerdictChanges::new());
        }
        granted
    }

    /// Asks the host that grants trials of a suspect whether it may be tried.
    pub async fn request_trial(&self, suspect: CrashSuspect) -> bool {
        let query = self.crashes.trial_query.borrow().clone();
        match query {
            Some(query) => query(suspect).await,
            None => self.grant_trial(suspect),
        }
    }

    fn publish_crash_changes(&self, changes: &VerdictChanges) {
        self.keep_judgements(changes);
        self.log_judgements(changes);
        self.findings_changed.notify_one();
        self.state_changed.notify_waiters();
    }

    /// Merges records from another host.
    pub fn merge_crash_marks(&self, marks: &[CrashReport], source: FindingSource) {
        if marks.is_empty() {
            return;
        }
        let before = self.crashes.book.borrow().position();
        let changes = {
            let mut book = self.crashes.book.borrow_mut();
            book.merge(marks, source, self.now())
        };
        self.log_judgements(&changes);
        if self.crashes.book.borrow().position() == before {
            return;
        }
        if source == FindingSource::Reported {
            self.keep_judgements(&changes);
            self.findings_changed.notify_one();
        }
        self.state_changed.notify_waiters();
    }

    // Adds the suspects that became fatal to those that this host's entry in the store keeps. Hosts that learn of a judgement
    // in the fleet-wide exchange don't add it, so that only one or two hosts write it to the store.
    fn keep_judgements(&self, changes: &VerdictChanges) {
        let fatal = changes
            .iter()
            .filter(|(_, change)| *change == VerdictChange::BecameFatal);
        fatal.for_each(|(suspect, _)| self.keep_judgement(*suspect));
    }

    fn keep_judgement(&self, suspect: CrashSuspect) {
        let mut kept = self.crashes.kept.borrow_mut();
        if kept.len() < KEPT_JUDGEMENTS_MAX {
            kept.insert(suspect);
        }
    }

    /// Returns the judgements for this host's entry in the store.
    pub fn kept_judgements(&self) -> Vec<StoredVerdict> {
        let book = self.crashes.book.borrow();
        let mut kept = self.crashes.kept.borrow_mut();
        kept.retain(|suspect| book.fatal_report(*suspect, self.now()).is_some());
        let marks = kept
            .iter()
            .filter_map(|suspect| book.fatal_report(*suspect, self.now()));
        marks.map(|mark| StoredVerdict::of(&mark)).collect()
    }

    /// Updates state that depends on the list of hosts, after it has changed.
    pub fn handle_host_change(&self) {
        let cluster = self.cluster.borrow();
        let is_listed = |address: &SocketAddr| cluster.hosts().any(|entry| entry.peers == *address);
        self.crashes.retain_listed(is_listed);
        self.limits.retain_listed(is_listed);
        drop(cluster);
        self.adopt_judgements();
        self.update_all_ownership();
    }

    // A planned stop removes a host's entry with the judgements in it. The remaining host that ranks first for the digest
    // then keeps them.
    fn adopt_judgements(&self) {
        let cluster = self.cluster.borrow();
        let own = &self.settings.name;
        for suspect in self.crashes.book.borrow().fatal_suspects() {
            let about = suspect.to_string();
            let others = cluster.hosts().map(|entry| entry.name.as_str());
            let is_first = peer::is_among_first(own, others, &about, 1);
            if is_first && !cluster.hosts().any(|entry| keeps(entry, *suspect)) {
                self.keep_judgement(*suspect);
            }
        }
    }

    /// Finishes learning once every host that could send its records was asked. If none had any, all hosts have started at
    /// the same time, and the judgements in the store are all that is known. Otherwise those are ignored: entries of lost
    /// hosts stay in the store and would keep a request refused forever.
    pub fn finish_learning(&self) {
        let cluster = self.cluster.borrow();
        let kept = cluster
            .hosts()
            .map(|entry| (entry.name.clone(), kept_marks(entry)));
        let kept: Vec<(FastStr, Vec<CrashReport>)> = kept.collect();
        drop(cluster);
        for (name, marks) in kept {
            if name == self.settings.name {
                let own = marks.iter();
                own.for_each(|mark| self.keep_judgement(mark.suspect()));
            }
            if !self.crashes.has_learned.get() {
                self.merge_crash_marks(&marks, FindingSource::Distributed);
            }
        }
        self.crashes.has_learned.set(true);
        self.state_changed.notify_waiters();
    }

    /// Merges the records that the host at an address sent in an update.
    pub fn merge_crash_news(&self, news: &CrashUpdates, from: SocketAddr) {
        self.merge_crash_marks(&news.findings, FindingSource::Distributed);
        if news.position.cache_id == 0 {
            return;
        }
        self.crashes
            .received
            .borrow_mut()
            .insert(from, news.position);
        self.crashes.has_learned.set(true);
    }

    /// Returns the records for all hosts that a peer lacks. A host that has just started sends no position, so that peers
    /// don't count it as an informed host.
    pub fn crash_news(&self, known: CachePosition) -> CrashUpdates {
        let book = self.crashes.book.borrow();
        let news = book.updates_since(known, self.now());
        let position = match self.crashes.has_learned.get() {
            true => news.position,
            false => CachePosition::default(),
        };
        CrashUpdates { position, ..news }
    }

    /// Returns the records to report to another host that changed after a revision, and the revision that they reach.
    pub fn marks_to_report(&self, since: Option<u64>) -> (Vec<CrashReport>, u64) {
        let book = self.crashes.book.borrow();
        let marks = book.reported_since(since, self.now());
        let marks = self.crashes.budget.borrow_mut().limit(marks, self.now());
        (marks, book.position().revision)
    }

    /// Returns whether this host knows the fatal suspects as far as any other host could send them.
    pub fn has_crash_records(&self) -> bool {
        self.crashes.has_learned.get() || !self.cluster.borrow().hosts_position().is_known()
    }

    fn log_judgements(&self, changes: &VerdictChanges) {
        for (suspect, change) in changes {
            let kind = match change {
                VerdictChange::BecameFatal => &event::REQUEST_JUDGED,
                VerdictChange::NoLongerFatal => &event::REQUEST_CLEARED,
            };
            event::emit(kind, &[("suspect", &suspect.kind()), ("digest", suspect)]);
        }
    }
}

fn keeps(entry: &HostEntry, suspect: CrashSuspect) -> bool {
    kept_marks(entry)
        .iter()
        .any(|mark| mark.suspect() == suspect)
}

fn kept_marks(entry: &HostEntry) -> Vec<CrashReport> {
    let kept = entry.judged.iter();
    kept.filter_map(StoredVerdict::report).collect()
}

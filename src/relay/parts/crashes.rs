//! Requests that end their servers, at this host: what was seen and told goes into the book, the log and the metrics.

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
                crash_tracker::{CrashTracker, VerdictChange},
                digest::RequestDigest,
                findings_cache::{CachePosition, FindingSource},
                loads::EngineKey,
            },
        },
    },
    faststr::FastStr,
    futures::future::LocalBoxFuture,
    std::{
        cell::{Cell, RefCell},
        collections::{BTreeSet, HashMap},
        fmt,
        net::SocketAddr,
        rc::Rc,
    },
};

/// Requests that a host's entry keeps at most: a fleet with more of them has lost two dozen servers to them already.
const KEPT_MOST: usize = 8;

/// Asks the host whose permit it is whether a request may be tried.
pub type TrialAsk = dyn Fn(RequestDigest) -> LocalBoxFuture<'static, bool>;

/// The book, and what goes with it.
pub struct CrashDesk {
    book: RefCell<CrashTracker>,
    // Those that this host's entry in the store keeps.
    kept: RefCell<BTreeSet<RequestDigest>>,
    // Up to where this host was told of each other's book, by its address.
    told: RefCell<HashMap<SocketAddr, CachePosition>>,
    // Whether another host has told what it knows, or none is there that could, and the store was looked at.
    has_learned: Cell<bool>,
    trial_ask: RefCell<Option<Rc<TrialAsk>>>,
}

impl fmt::Debug for CrashDesk {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "CrashDesk({} requests)", self.book.borrow().len())
    }
}

impl CrashDesk {
    /// An empty book; `id` is drawn at random.
    pub fn new(id: u64) -> Self {
        Self {
            book: RefCell::new(CrashTracker::new(id)),
            kept: RefCell::default(),
            told: RefCell::default(),
            has_learned: Cell::default(),
            trial_ask: RefCell::default(),
        }
    }

    /// Takes the way to the hosts that allow trials.
    pub fn set_trial_ask(&self, ask: Rc<TrialAsk>) {
        *self.trial_ask.borrow_mut() = Some(ask);
    }

    /// Whether no request is remembered: then none needs a digest.
    pub fn is_empty(&self) -> bool {
        self.book.borrow().is_empty()
    }

    /// Requests that are held to end their servers.
    pub fn fatal_count(&self) -> usize {
        self.book.borrow().fatal_count()
    }

    /// What this host has been told of the book of the host at an address.
    pub fn place_at(&self, address: SocketAddr) -> CachePosition {
        self.told
            .borrow()
            .get(&address)
            .copied()
            .unwrap_or_default()
    }

    // Forgets what hosts told that are listed no longer.
    fn keep_told(&self, is_listed: impl Fn(&SocketAddr) -> bool) {
        self.told
            .borrow_mut()
            .retain(|address, _| is_listed(address));
    }
}

impl RelayParts {
    /// What a request is held to be, and that it has come.
    pub fn judge(&self, digest: RequestDigest) -> CrashVerdict {
        let now = self.now();
        let mut book = self.crashes.book.borrow_mut();
        let judgement = book.verdict(digest, now);
        if judgement != CrashVerdict::Harmless {
            book.record_seen(digest, now);
        }
        judgement
    }

    /// A backend server ended under a request.
    pub fn note_end(&self, digest: RequestDigest, backend: &BackendInfo) {
        let run = EngineKey::of_run(&backend.id, backend.born);
        let change = {
            let mut book = self.crashes.book.borrow_mut();
            book.record_crash(digest, run, self.now())
        };
        self.crash_noted(digest, change);
    }

    /// A request came to its good end.
    pub fn note_good_run(&self, digest: impl FnOnce() -> RequestDigest) {
        if self.crashes.is_empty() {
            return;
        }
        let digest = digest();
        let before = self.crashes.book.borrow().position();
        let change = {
            let mut book = self.crashes.book.borrow_mut();
            book.record_success(digest, self.now())
        };
        if self.crashes.book.borrow().position() != before {
            self.crash_noted(digest, change);
        }
    }

    /// Whether a request that is held to end its servers may be tried now, as this host knows; if so, the trial begins.
    pub fn grant_trial(&self, digest: RequestDigest) -> bool {
        let granted = self
            .crashes
            .book
            .borrow_mut()
            .grant_trial(digest, self.now());
        if granted {
            event::emit(&event::REQUEST_TRIED, &[("digest", &digest)]);
            self.crash_noted(digest, None);
        }
        granted
    }

    /// Asks whether a request may be tried, of the host whose permit it is.
    pub async fn ask_trial(&self, digest: RequestDigest) -> bool {
        let ask = self.crashes.trial_ask.borrow().clone();
        match ask {
            Some(ask) => ask(digest).await,
            None => self.grant_trial(digest),
        }
    }

    fn crash_noted(&self, digest: RequestDigest, change: Option<VerdictChange>) {
        if change == Some(VerdictChange::BecameFatal) {
            self.keep_judgement(digest);
        }
        if let Some(change) = change {
            self.log_judgements(&[(digest, change)]);
        }
        self.reported.notify_one();
        self.news.notify_waiters();
    }

    /// Takes what another host told.
    pub fn take_marks(&self, marks: &[CrashReport], source: FindingSource) {
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
            let judged = changes
                .iter()
                .filter(|(_, change)| *change == VerdictChange::BecameFatal);
            judged.for_each(|(digest, _)| self.keep_judgement(*digest));
            self.reported.notify_one();
        }
        self.news.notify_waiters();
    }

    // Who is told is not the first to know: one or two hosts write a judgement to the store.
    fn keep_judgement(&self, digest: RequestDigest) {
        let mut kept = self.crashes.kept.borrow_mut();
        if kept.len() < KEPT_MOST {
            kept.insert(digest);
        }
    }

    /// What this host's entry in the store is to keep.
    pub fn kept_judgements(&self) -> Vec<StoredVerdict> {
        let book = self.crashes.book.borrow();
        let mut kept = self.crashes.kept.borrow_mut();
        kept.retain(|digest| book.fatal_report(*digest, self.now()).is_some());
        let marks = kept
            .iter()
            .filter_map(|digest| book.fatal_report(*digest, self.now()));
        marks.map(|mark| StoredVerdict::of(&mark)).collect()
    }

    /// The list of hosts has changed.
    pub fn note_hosts(&self) {
        let cluster = self.cluster.borrow();
        let is_listed = |address: &SocketAddr| cluster.hosts().any(|entry| entry.peers == *address);
        self.crashes.keep_told(is_listed);
        self.limits.keep_told(is_listed);
        drop(cluster);
        self.take_over_judgements();
        self.mark_all_own();
    }

    // A planned stop takes a host's entry away with what it keeps; the first by draw of those that are left keeps it then.
    fn take_over_judgements(&self) {
        let cluster = self.cluster.borrow();
        let own = &self.settings.name;
        for digest in self.crashes.book.borrow().fatal_digests() {
            let about = digest.to_string();
            let others = cluster.hosts().map(|entry| entry.name.as_str());
            let is_first = peer::is_among_first(own, others, &about, 1);
            if is_first && !cluster.hosts().any(|entry| keeps(entry, digest)) {
                self.keep_judgement(digest);
            }
        }
    }

    /// All that could tell were asked. If none of them knew, all have started at once, and what entries in the store keep is
    /// all that is known. Otherwise they count for nothing: those of lost hosts stay, and would keep a request refused for good.
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
                own.for_each(|mark| self.keep_judgement(mark.digest));
            }
            if !self.crashes.has_learned.get() {
                self.take_marks(&marks, FindingSource::Distributed);
            }
        }
        self.crashes.has_learned.set(true);
        self.news.notify_waiters();
    }

    /// Takes what the host at an address told with its news.
    pub fn take_crash_news(&self, news: &CrashUpdates, from: SocketAddr) {
        self.take_marks(&news.findings, FindingSource::Distributed);
        if news.position.cache_id == 0 {
            return;
        }
        self.crashes.told.borrow_mut().insert(from, news.position);
        self.crashes.has_learned.set(true);
    }

    /// What an asker lacks that all hosts are to know. A host that has only just started does not pass for one that knows.
    pub fn crash_news(&self, known: CachePosition) -> CrashUpdates {
        let book = self.crashes.book.borrow();
        let news = book.updates_since(known, self.now());
        let position = match self.crashes.has_learned.get() {
            true => news.position,
            false => CachePosition::default(),
        };
        CrashUpdates { position, ..news }
    }

    /// What another host is to hear of this one, after a revision of its book; and the revision to which that goes.
    pub fn marks_to_report(&self, since: Option<u64>) -> (Vec<CrashReport>, u64) {
        let book = self.crashes.book.borrow();
        let marks = book.reported_since(since, self.now());
        (marks, book.position().revision)
    }

    /// Whether this host was told which requests end servers, as far as anybody could tell it.
    pub fn knows_crashes(&self) -> bool {
        self.crashes.has_learned.get() || !self.cluster.borrow().hosts_position().is_known()
    }

    fn log_judgements(&self, changes: &[(RequestDigest, VerdictChange)]) {
        for (digest, change) in changes {
            let kind = match change {
                VerdictChange::BecameFatal => &event::REQUEST_JUDGED,
                VerdictChange::NoLongerFatal => &event::REQUEST_CLEARED,
            };
            event::emit(kind, &[("digest", digest)]);
        }
    }
}

fn keeps(entry: &HostEntry, digest: RequestDigest) -> bool {
    kept_marks(entry).iter().any(|mark| mark.digest == digest)
}

fn kept_marks(entry: &HostEntry) -> Vec<CrashReport> {
    let kept = entry.judged.iter();
    kept.filter_map(StoredVerdict::report).collect()
}

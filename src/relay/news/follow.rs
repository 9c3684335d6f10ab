//! Follows other hosts: selects which host to poll for updates and applies what it returns.

use {
    super::{
        config_fetch::ConfigFetcher,
        feed::StoreReader,
        message::{ClusterNews, HeldNews, ReportedView},
        rpc::NewsClient,
        start,
    },
    crate::{
        event,
        relay::{
            critical_task,
            link::HostEntry,
            parts::shared::RelayParts,
            policy::past_time::PastTime,
            policy::source::{self, SourceSelector, SourceSettings, UpdateSource},
        },
        store::StorePosition,
    },
    faststr::FastStr,
    futures::future,
    rand::seq::SliceRandom,
    std::{
        cell::{Cell, RefCell},
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
    tokio::sync::Notify,
};

/// How long the polled host may hold a request until it has something newer.
const POLL_HOLD: Duration = Duration::from_millis(300);

/// Response timeout in addition to the hold: hosts are a millisecond apart, but some run slowly for a while.
pub(super) const RESPONSE_TIMEOUT: Duration = Duration::from_millis(400);

/// Hold and response timeout of a host without a complete view: after all hosts were killed, the first one polled may
/// not be back yet, and the next one is only polled after the timeout.
const START_POLL_HOLD: Duration = Duration::from_millis(250);
const START_RESPONSE_TIMEOUT: Duration = Duration::from_millis(150);

/// How often a host that reads the store checks whether it still should, and polls other hosts while the store does not
/// answer.
const CHECK_INTERVAL: Duration = Duration::from_millis(350);

/// Number of heads of other zones polled at a time while the store does not answer.
const POLLED_HEADS: usize = 2;

/// How much newer than this host's view a reported view has to be for its reporter to be polled; smaller differences
/// are the usual delay of reports.
const MIN_VIEW_LEAD: Duration = Duration::from_millis(500);

// The reporter with the newest view so far.
#[derive(Debug)]
struct NewestReport {
    name: FastStr,
    // Until when its view was known to be current.
    confirmed: PastTime,
    // Its view contained changes that were missing from this host's view.
    has_more: bool,
}

/// Follows other hosts while this host is not a reader of the store.
pub struct NewsFollower {
    pub(super) parts: Rc<RelayParts>,
    pub(super) reader: Rc<StoreReader>,
    pub(super) client: Rc<NewsClient>,
    pub(super) fetcher: Rc<ConfigFetcher>,
    pub(super) choice: RefCell<SourceSelector>,
    last_source: RefCell<UpdateSource>,
    // The hosts to follow that a seed suggested, used until the list of hosts is known.
    pub(super) guides: RefCell<Vec<HostEntry>>,
    // Position and length of the host list that `choice` was computed from, and the number of guides.
    choice_inputs: Cell<(StorePosition, usize, usize)>,
    // The reporter with the newest view; `newer_view` is notified when that view is newer than this host's.
    newest_report: RefCell<Option<NewestReport>>,
    newer_view: Notify,
    // Notified when the store has answered this host during its probe, or a change arrived, while the store does not
    // answer the regular readers.
    probe_update: Notify,
}

impl NewsFollower {
    /// Starts the tasks that follow other hosts.
    pub fn start(
        parts: Rc<RelayParts>,
        reader: Rc<StoreReader>,
        client: Rc<NewsClient>,
    ) -> Rc<Self> {
        let settings = &parts.settings;
        let (start_wait, seed_wait) = start::start_timeouts(&parts);
        let rules = SourceSettings {
            own: settings.name.clone(),
            zone: settings.zone.clone(),
            stale_age: source::stale_age(settings.bounds.change_time),
            start_wait,
            seed_wait,
        };
        let fetcher = ConfigFetcher::new(parts.clone(), reader.clone(), client.clone());
        let follower = Rc::new(Self {
            parts,
            reader,
            client,
            fetcher,
            choice: RefCell::new(SourceSelector::new(rules)),
            last_source: RefCell::new(UpdateSource::Seeds),
            guides: RefCell::default(),
            choice_inputs: Cell::default(),
            newest_report: RefCell::default(),
            newer_view: Notify::new(),
            probe_update: Notify::new(),
        });
        follower.fetcher.start(follower.clone());
        critical_task::spawn_critical("news", follower.clone().run());
        critical_task::spawn_critical("change notifications", follower.clone().watch_changes());
        follower
    }

    /// The head of this host's zone; none if this host is the head.
    pub fn head(&self) -> Option<HostEntry> {
        self.choice.borrow().head(self.parts.now())
    }

    /// Records that the head of the zone did not answer a report.
    pub fn record_unreported(&self, name: &FastStr) {
        let now = self.parts.now();
        self.choice.borrow_mut().note_report_failed(name, now);
    }

    /// Records that the store answers the head of the zone again.
    pub fn record_store_back(&self) {
        let now = self.parts.now();
        self.choice.borrow_mut().note_store_recovered(now);
    }

    /// Records how current another host's view is, according to its report.
    pub fn record_report(&self, name: &FastStr, view: ReportedView) {
        let Some(age) = view.age else { return };
        let confirmed = PastTime::at(self.parts.now()).before(age);
        let has_more = self.has_newer_content(view);
        let mut newest = self.newest_report.borrow_mut();
        let is_newer = newest
            .as_ref()
            .is_none_or(|known| (has_more, confirmed) > (known.has_more, known.confirmed));
        if is_newer {
            *newest = Some(NewestReport {
                name: name.clone(),
                confirmed,
                has_more,
            });
        }
        drop(newest);
        if self.newer_host().is_some() {
            self.newer_view.notify_one();
        }
    }

    // Whether a view contains changes that are missing from this host's view.
    fn has_newer_content(&self, view: ReportedView) -> bool {
        let cluster = self.parts.cluster.borrow();
        view.known_version > cluster.config.known_version()
            || view.backends_position > cluster.backends_position()
    }

    // Wakes `probe_update` if this host reads the store although it is no regular reader: only it knows of the change.
    fn notify_probe_change(&self) {
        if self.choice.borrow().is_served(self.parts.now()) {
            self.probe_update.notify_one();
        }
    }

    /// Waits until this host has received something from the store that the head of its zone should get at once.
    pub async fn probe_update(&self) {
        self.probe_update.notified().await;
    }

    async fn watch_changes(self: Rc<Self>) {
        loop {
            self.parts.state_changed.notified().await;
            self.notify_probe_change();
        }
    }

    async fn run(self: Rc<Self>) {
        loop {
            match self.choose() {
                UpdateSource::Store => {
                    let was_complete = self.has_complete_view();
                    // A hanging call is only noticed after a second or more, an outdated view earlier.
                    if self.reader.is_lost() || self.has_outdated_view() {
                        self.poll_others().await;
                    }
                    // A host whose view has just become complete can follow without delay.
                    if was_complete || !self.has_complete_view() {
                        tokio::select! {
                            () = tokio::time::sleep(CHECK_INTERVAL) => {}
                            () = self.reader.answered() => {}
                            () = self.newer_view.notified() => self.poll_newer().await,
                            () = self.parts.stalls.stall_ended() => {}
                        }
                    }
                }
                UpdateSource::Host(entry) => {
                    tokio::select! {
                        biased;
                        // What was asked for before is outdated.
                        () = self.parts.stalls.stall_ended() => {}
                        () = self.follow(&entry) => {}
                        () = self.newer_view.notified() => self.poll_newer().await,
                    }
                }
                UpdateSource::Seeds => self.poll_seeds().await,
            }
        }
    }

    pub(super) fn has_complete_view(&self) -> bool {
        let cluster = self.parts.cluster.borrow();
        cluster.age(self.parts.now()).is_some()
    }

    fn has_outdated_view(&self) -> bool {
        let age = self.parts.cluster.borrow().age(self.parts.now());
        self.choice.borrow().is_stale(age)
    }

    fn is_receiving(&self) -> bool {
        let cluster = self.parts.cluster.borrow();
        cluster.list_cursor().is_some() || cluster.config.behind_since().is_some()
    }

    /// Records that pieces of a configuration arrived from another host, which will send the rest sooner than the store.
    pub fn record_piece(&self) {
        let now = self.parts.now();
        self.choice.borrow_mut().note_list_part(now);
    }

    fn is_listed(&self) -> bool {
        let cluster = self.parts.cluster.borrow();
        let mut hosts = cluster.hosts();
        hosts.any(|entry| entry.name == self.parts.settings.name)
    }

    fn choose(&self) -> UpdateSource {
        let now = self.parts.now();
        let age = self.parts.cluster.borrow().age(now);
        self.update_hosts();
        let is_lost = self.parts.cluster.borrow().is_store_lost();
        let (source, is_reader) = {
            let mut choice = self.choice.borrow_mut();
            let served = choice.served();
            let source = choice.choose(age, is_lost, now);
            if choice.served() != served {
                self.probe_update.notify_one();
            }
            (source, choice.is_reader(now))
        };
        let reads = source == UpdateSource::Store;
        // A host that is not listed yet cannot know whether it is a reader, so it reads the hosts too.
        let is_listed = self.is_listed();
        self.reader
            .set_reading(reads, is_reader || (reads && !is_listed));
        let before = self.last_source.replace(source.clone());
        if before != source {
            log_source_change(&source, age);
        }
        source
    }

    // Recomputes the order of the hosts, of which there may be hundreds, only when their list has changed.
    fn update_hosts(&self) {
        let cluster = self.parts.cluster.borrow();
        let guides = self.guides.borrow();
        let inputs = (cluster.hosts_position(), cluster.host_count(), guides.len());
        if self.choice_inputs.replace(inputs) == inputs {
            return;
        }
        {
            let mut choice = self.choice.borrow_mut();
            match cluster.hosts_position().is_known() {
                false => choice.set_guides(guides.iter()),
                true => choice.set_hosts(cluster.hosts()),
            }
        }
        self.parts.mark_preferred_engines_outdated();
    }

    // What this host already has, for a request to the host at an address.
    pub(super) fn held_news(
        &self,
        address: SocketAddr,
        wait: Duration,
        wants_config: bool,
    ) -> HeldNews {
        let cluster = self.parts.cluster.borrow();
        HeldNews {
            config_version: cluster.config_version(),
            known_version: cluster.config.known_version(),
            reads_pieces: true,
            backends_position: cluster.backends_position(),
            hosts_position: cluster.hosts_position(),
            evacuations_position: cluster.evacuations.position(),
            wants_config,
            wait,
            is_starting: false,
            zone: self.parts.settings.zone.clone(),
            peers: Some(self.parts.settings.peers),
            crashes: self.parts.crashes.received_position(address),
            limits: self.parts.limits.received_position(address),
            reads_parts: true,
            list_cursor: cluster.list_cursor().cloned(),
        }
    }

    async fn follow(&self, entry: &HostEntry) {
        // Bounds the call so that this host does not go without any answer for too long.
        let left = self.choice.borrow().time_left(self.parts.now());
        // A host that sends parts of a list or of the configuration is up, but may be sending them to many.
        let is_answering = self.is_receiving();
        let (hold, timeout) = match self.has_complete_view() || is_answering {
            true => (POLL_HOLD, RESPONSE_TIMEOUT),
            false => (START_POLL_HOLD, START_RESPONSE_TIMEOUT),
        };
        let hold = match self.parts.is_outdated() {
            true => Duration::ZERO,
            false => hold.min(left / 2),
        };
        let timeout = timeout.min(left - hold);
        // A host without a complete view requests the configuration too, since the store would not return it sooner.
        let held = self.held_news(entry.peers, hold, !self.has_complete_view());
        let sent_at = self.parts.now();
        let received_before = self.client.received_bytes();
        let answer = self.client.follow(entry.peers, held, timeout).await;
        let now = self.parts.now();
        match answer {
            Ok(news) => {
                self.record_answer(&entry.name, &news, now);
                let is_lost = news.is_lost;
                self.parts.cluster.borrow_mut().set_store_lost(is_lost);
                self.apply(news, entry.peers, sent_at).await;
            }
            Err(error) => {
                let received = self.client.received_bytes() - received_before;
                log_unanswered(&entry.name, now.saturating_sub(sent_at), received, &error);
                self.choice.borrow_mut().note_timeout(&entry.name, now);
            }
        }
    }

    fn record_answer(&self, name: &FastStr, news: &ClusterNews, now: Duration) {
        let mut choice = self.choice.borrow_mut();
        match news.age.is_none() && self.has_complete_view() {
            true => choice.note_without_data(name, now),
            false => choice.note_response(name, now),
        }
    }

    // Polls other hosts, which the store may still answer although it does not answer this one.
    async fn poll_others(&self) {
        let addresses = self.others_to_poll().into_iter();
        future::join_all(addresses.map(|address| self.poll(address))).await;
    }

    // Polls the host that has reported a newer view than this host's.
    async fn poll_newer(&self) {
        let Some(entry) = self.newer_host() else {
            return;
        };
        self.poll(entry.peers).await;
        // Avoids polling again and again a host that does not answer, or has less than it reported.
        self.newest_report.take();
    }

    async fn poll(&self, address: SocketAddr) {
        let held = self.held_news(address, Duration::ZERO, true);
        let sent_at = self.parts.now();
        match self.client.follow(address, held, RESPONSE_TIMEOUT).await {
            Ok(news) => self.apply(news, address, sent_at).await,
            Err(error) => log::debug!("host at {address} did not answer a poll: {error}"),
        }
    }

    // Some heads of other zones, or the seeds where none is known; the head of the own zone, which may have what the store
    // is still sending to this host; and the last host with a complete view that polled this one while its own view was
    // incomplete.
    fn others_to_poll(&self) -> Vec<SocketAddr> {
        let heads = self.choice.borrow().other_heads(self.parts.now());
        let mut addresses: Vec<SocketAddr> = heads.into_iter().map(|entry| entry.peers).collect();
        if addresses.is_empty() {
            let settings = &self.parts.settings;
            addresses.extend(
                settings
                    .seeds
                    .iter()
                    .filter(|seed| **seed != settings.peers),
            );
        }
        addresses.shuffle(&mut rand::rng());
        addresses.truncate(POLLED_HEADS);
        addresses.extend(self.head().map(|entry| entry.peers));
        addresses.extend(self.parts.informed_peer.take());
        addresses
    }

    // The host that has reported the newest view, if that view is newer than this host's.
    fn newer_host(&self) -> Option<HostEntry> {
        let cluster = self.parts.cluster.borrow();
        let own = cluster.confirmed()?;
        let newest = self.newest_report.borrow();
        let newest = newest
            .as_ref()
            .filter(|newest| newest.has_more || newest.confirmed.before(MIN_VIEW_LEAD) > own)?;
        let mut hosts = cluster.hosts();
        hosts.find(|entry| entry.name == newest.name).cloned()
    }
}

fn log_unanswered(host: &FastStr, waited: Duration, received: u64, cause: &capnp::Error) {
    event::emit(
        &event::NEWS_UNANSWERED,
        &[
            ("source", host),
            ("waited_ms", &waited.as_millis()),
            ("received", &received),
            ("cause", cause),
        ],
    );
}

fn log_source_change(source: &UpdateSource, age: Option<Duration>) {
    let name = match source {
        UpdateSource::Store => "the store",
        UpdateSource::Host(entry) => entry.name.as_str(),
        UpdateSource::Seeds => "the hosts that the settings name",
    };
    let age = age.map_or("unknown".to_owned(), |age| age.as_millis().to_string());
    event::emit(&event::NEWS_SOURCE, &[("source", &name), ("age_ms", &age)]);
}

//! Following other hosts: whom to ask, and taking what they tell.

use {
    super::{
        feed::StoreFeed,
        link::NewsLinks,
        message::{ClusterNews, HeldNews, ReportedView},
        start,
    },
    crate::{
        event,
        relay::{
            link::HostEntry,
            parts::shared::RelayParts,
            policy::past_time::PastTime,
            policy::source::{self, SourceSelector, SourceSettings, UpdateSource},
            vital,
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

/// How long another host may wait for something newer before it answers.
const FOLLOW_WAIT: Duration = Duration::from_millis(300);

/// How long an answer may take beyond that: hosts are a millisecond apart, some run slowly for a while.
pub(super) const ANSWER_PATIENCE: Duration = Duration::from_millis(400);

/// The same for a host that knows nothing yet: after all were killed the one that it asks first may not be back, and the
/// next one is only asked then.
const START_WAIT: Duration = Duration::from_millis(250);
const START_ANSWER_TIME: Duration = Duration::from_millis(150);

/// How often a host that reads the store looks whether it still should, and asks others while the store
/// does not answer.
const LOOK_PERIOD: Duration = Duration::from_millis(350);

/// Heads of other zones asked at a time while the store does not answer.
const ASKED_HOSTS: usize = 2;

/// How much newer than this host's another one's view has to be for it to be asked: less is the usual delay of reports.
const NEWER_BY: Duration = Duration::from_millis(500);

// A host that reported a newer view than others.
#[derive(Debug)]
struct NewestReport {
    name: FastStr,
    // Until when its view was the newest.
    confirmed: PastTime,
    // It shows changes that this host did not know.
    has_more: bool,
}

/// Follows other hosts while it is not this host's turn to read the store.
pub struct NewsFollower {
    pub(super) parts: Rc<RelayParts>,
    pub(super) feed: Rc<StoreFeed>,
    pub(super) links: Rc<NewsLinks>,
    pub(super) choice: RefCell<SourceSelector>,
    last: RefCell<UpdateSource>,
    // The hosts that this one was told it may follow before it knows any.
    pub(super) guides: RefCell<Vec<HostEntry>>,
    // The position of the hosts' list by which the choice goes, how many hosts it has, and how many guides it was given.
    chosen_by: Cell<(StorePosition, usize, usize)>,
    // The reporter with the newest view, and until when that view was the newest; told when it is newer than this
    // host's.
    newest_report: RefCell<Option<NewestReport>>,
    newer: Notify,
    // Told when the store has answered this host in its turn, while it is silent to others.
    served: Notify,
}

impl NewsFollower {
    /// Starts to follow.
    pub fn start(parts: Rc<RelayParts>, feed: Rc<StoreFeed>, links: Rc<NewsLinks>) -> Rc<Self> {
        let settings = &parts.settings;
        let (start_wait, seed_wait) = start::start_patience(&parts);
        let rules = SourceSettings {
            own: settings.name.clone(),
            zone: settings.zone.clone(),
            stale_age: source::stale_age(settings.bounds.change_time),
            start_wait,
            seed_wait,
        };
        let follower = Rc::new(Self {
            parts,
            feed,
            links,
            choice: RefCell::new(SourceSelector::new(rules)),
            last: RefCell::new(UpdateSource::Seeds),
            guides: RefCell::default(),
            chosen_by: Cell::default(),
            newest_report: RefCell::default(),
            newer: Notify::new(),
            served: Notify::new(),
        });
        vital::spawn_vital("news", follower.clone().run());
        vital::spawn_vital("changes told", follower.clone().tell_changes());
        follower
    }

    /// The head of the zone; none where that is this host.
    pub fn head(&self) -> Option<HostEntry> {
        self.choice.borrow().head(self.parts.now())
    }

    /// The head of the zone took no report.
    pub fn note_unreported(&self, name: &FastStr) {
        let now = self.parts.now();
        self.choice.borrow_mut().note_report_failed(name, now);
    }

    /// The head of the zone hears from the store.
    pub fn note_store_back(&self) {
        let now = self.parts.now();
        self.choice.borrow_mut().note_store_recovered(now);
    }

    /// Another host reported how new its view is.
    pub fn note_report(&self, name: &FastStr, view: ReportedView) {
        let Some(age) = view.age else { return };
        let confirmed = PastTime::at(self.parts.now()).before(age);
        let has_more = self.shows_more(view);
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
            self.newer.notify_one();
        }
    }

    // Whether a view shows changes that this host's does not.
    fn shows_more(&self, view: ReportedView) -> bool {
        let cluster = self.parts.cluster.borrow();
        view.config_version > cluster.config_version()
            || view.backends_position > cluster.backends_position()
    }

    // This host reads the store out of its place, and has just heard of a change.
    fn note_change(&self) {
        if self.choice.borrow().is_served(self.parts.now()) {
            self.served.notify_one();
        }
    }

    /// Waits until this host has news that its head should hear of at once.
    pub async fn served(&self) {
        self.served.notified().await;
    }

    async fn tell_changes(self: Rc<Self>) {
        loop {
            self.parts.news.notified().await;
            self.note_change();
        }
    }

    async fn run(self: Rc<Self>) {
        loop {
            match self.choose() {
                UpdateSource::Store => {
                    let knew = self.knows_all();
                    // A call that hangs tells nothing for a second and more; old news do.
                    if self.feed.is_lost() || self.has_old_news() {
                        self.ask_others().await;
                    }
                    // Who has just been told everything can follow at once.
                    if knew || !self.knows_all() {
                        tokio::select! {
                            () = tokio::time::sleep(LOOK_PERIOD) => {}
                            () = self.feed.answered() => {}
                            () = self.newer.notified() => self.ask_newer().await,
                        }
                    }
                }
                UpdateSource::Host(entry) => {
                    tokio::select! {
                        () = self.follow(&entry) => {}
                        () = self.newer.notified() => self.ask_newer().await,
                    }
                }
                UpdateSource::Seeds => self.ask_seeds().await,
            }
        }
    }

    pub(super) fn knows_all(&self) -> bool {
        let cluster = self.parts.cluster.borrow();
        cluster.age(self.parts.now()).is_some()
    }

    fn has_old_news(&self) -> bool {
        let age = self.parts.cluster.borrow().age(self.parts.now());
        self.choice.borrow().is_stale(age)
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
                self.served.notify_one();
            }
            (source, choice.is_reader(now))
        };
        let reads = source == UpdateSource::Store;
        // One that is not listed yet cannot know that it is to read the hosts.
        let is_listed = self.is_listed();
        self.feed
            .set_reading(reads, is_reader || (reads && !is_listed));
        let before = self.last.replace(source.clone());
        if before != source {
            tell_change(&source, age);
        }
        source
    }

    // The order of some hundred hosts is worked out again only when they are others.
    fn update_hosts(&self) {
        let cluster = self.parts.cluster.borrow();
        let guides = self.guides.borrow();
        let seen = (cluster.hosts_position(), cluster.host_count(), guides.len());
        if self.chosen_by.replace(seen) == seen {
            return;
        }
        {
            let mut choice = self.choice.borrow_mut();
            match cluster.hosts_position().is_known() {
                false => choice.set_hosts(guides.iter()),
                true => choice.set_hosts(cluster.hosts()),
            }
        }
        self.parts.prefer_engines();
    }

    // What this host has, for the one at an address.
    pub(super) fn held(&self, address: SocketAddr, wait: Duration, wants_config: bool) -> HeldNews {
        let cluster = self.parts.cluster.borrow();
        HeldNews {
            config_version: cluster.config_version(),
            backends_position: cluster.backends_position(),
            hosts_position: cluster.hosts_position(),
            wants_config,
            wait,
            is_starting: false,
            zone: self.parts.settings.zone.clone(),
            peers: Some(self.parts.settings.peers),
            crashes: self.parts.crashes.place_at(address),
            limits: self.parts.limits.place_at(address),
        }
    }

    async fn follow(&self, entry: &HostEntry) {
        // Whoever is asked, this host is not to go unheard for too long meanwhile.
        let left = self.choice.borrow().time_left(self.parts.now());
        let (wait, patience) = match self.knows_all() {
            true => (FOLLOW_WAIT, ANSWER_PATIENCE),
            false => (START_WAIT, START_ANSWER_TIME),
        };
        let wait = wait.min(left / 2);
        let patience = patience.min(left - wait);
        // One that knows nothing cannot have it from the store sooner.
        let held = self.held(entry.peers, wait, !self.knows_all());
        let asked = self.parts.now();
        let answer = self.links.follow(entry.peers, held, patience).await;
        let now = self.parts.now();
        match answer {
            Ok(news) => {
                self.note_answer(&entry.name, &news, now);
                let is_lost = news.is_lost;
                self.parts.cluster.borrow_mut().set_store_lost(is_lost);
                self.take(news, entry.peers, asked).await;
            }
            Err(error) => {
                log::debug!("host {} gave no news: {error}", entry.name);
                self.choice.borrow_mut().note_timeout(&entry.name, now);
            }
        }
    }

    fn note_answer(&self, name: &FastStr, news: &ClusterNews, now: Duration) {
        let mut choice = self.choice.borrow_mut();
        match news.age.is_none() && self.knows_all() {
            true => choice.note_without_data(name, now),
            false => choice.note_response(name, now),
        }
    }

    // The store does not answer this host: others may be served by it.
    async fn ask_others(&self) {
        let asked = self.others_to_ask().into_iter();
        future::join_all(asked.map(|address| self.ask(address))).await;
    }

    // A host of the zone has reported a newer view than this one's.
    async fn ask_newer(&self) {
        let Some(entry) = self.newer_host() else {
            return;
        };
        self.ask(entry.peers).await;
        // One that does not answer, or knew less than it reported, is not asked over and over.
        self.newest_report.take();
    }

    async fn ask(&self, address: SocketAddr) {
        let held = self.held(address, Duration::ZERO, true);
        let asked = self.parts.now();
        match self.links.follow(address, held, ANSWER_PATIENCE).await {
            Ok(news) => self.take(news, address, asked).await,
            Err(error) => log::debug!("host at {address} gave no news: {error}"),
        }
    }

    // Some heads of other zones. Who knows no hosts asks those that the settings name, and whoever knows all and asked it.
    fn others_to_ask(&self) -> Vec<SocketAddr> {
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
        addresses.truncate(ASKED_HOSTS);
        addresses.extend(self.parts.informed.take());
        addresses
    }

    // The host that has reported the newest view, if that is newer than this one's.
    fn newer_host(&self) -> Option<HostEntry> {
        let cluster = self.parts.cluster.borrow();
        let own = cluster.confirmed()?;
        let newest = self.newest_report.borrow();
        let newest = newest
            .as_ref()
            .filter(|newest| newest.has_more || newest.confirmed.before(NEWER_BY) > own)?;
        let mut hosts = cluster.hosts();
        hosts.find(|entry| entry.name == newest.name).cloned()
    }
}

fn tell_change(source: &UpdateSource, age: Option<Duration>) {
    let name = match source {
        UpdateSource::Store => "the store",
        UpdateSource::Host(entry) => entry.name.as_str(),
        UpdateSource::Seeds => "the hosts that the settings name",
    };
    let age = age.map_or("unknown".to_owned(), |age| age.as_millis().to_string());
    event::emit(&event::NEWS_SOURCE, &[("source", &name), ("age_ms", &age)]);
}

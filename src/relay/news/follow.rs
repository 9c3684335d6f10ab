//! Following other hosts: whom to ask, and taking what they tell.

use {
    super::{
        feed::StoreFeed,
        link::NewsLinks,
        message::{ClusterNews, HeldNews},
    },
    crate::{
        event,
        relay::{
            link::{HostEntry, StoreKind},
            parts::shared::RelayParts,
            policy::source::{self, NewsSource, SourceChoice},
            vital,
        },
    },
    rand::seq::SliceRandom,
    std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration},
};

/// How long another host may wait for something newer before it answers.
const FOLLOW_WAIT: Duration = Duration::from_millis(300);

/// How long an answer may take beyond that: hosts are a millisecond apart, some run slowly for a while.
const ANSWER_PATIENCE: Duration = Duration::from_millis(400);

/// How often a host that reads the store looks whether it still should, and asks others while the store
/// does not answer.
const LOOK_PERIOD: Duration = Duration::from_millis(350);

/// Hosts asked at a time while the store does not answer.
const ASKED_HOSTS: usize = 2;

/// What came of asking another host for news.
enum FollowOutcome {
    Fresh,
    /// It answered, but what it knows is old.
    Old,
    /// It did not answer.
    Silent,
}

/// Follows other hosts while it is not this host's turn to read the store.
pub struct NewsFollower {
    parts: Rc<RelayParts>,
    feed: Rc<StoreFeed>,
    links: Rc<NewsLinks>,
    // Age at which this host reads the store itself.
    old_news: Duration,
    choice: RefCell<SourceChoice>,
    last: RefCell<NewsSource>,
}

impl NewsFollower {
    /// Starts to follow.
    pub fn start(parts: Rc<RelayParts>, feed: Rc<StoreFeed>, links: Rc<NewsLinks>) -> Rc<Self> {
        let settings = &parts.settings;
        let old_news = source::old_news(settings.bounds.change_time);
        let choice = SourceChoice::new(settings.name.clone(), settings.zone.clone(), old_news);
        let follower = Rc::new(Self {
            parts,
            feed,
            links,
            old_news,
            choice: RefCell::new(choice),
            last: RefCell::new(NewsSource::Store),
        });
        vital::spawn_vital("news", follower.clone().run());
        follower
    }

    /// The first of the hosts that read the store for the zone; none where that is this one.
    pub fn first_reader(&self) -> Option<HostEntry> {
        self.choice.borrow().first_reader(self.parts.now())
    }

    async fn run(self: Rc<Self>) {
        loop {
            match self.choose() {
                NewsSource::Store => {
                    let knew = self.knows_all();
                    if self.feed.is_lost() {
                        self.choice.borrow_mut().note_store_lost();
                        self.ask_some().await;
                    }
                    // Who has just been told everything can follow at once.
                    if knew || !self.knows_all() {
                        tokio::time::sleep(LOOK_PERIOD).await;
                    }
                }
                NewsSource::Host(entry) => self.follow(&entry).await,
            }
        }
    }

    fn knows_all(&self) -> bool {
        let cluster = self.parts.cluster.borrow();
        cluster.age(self.parts.now()).is_some()
    }

    fn choose(&self) -> NewsSource {
        let now = self.parts.now();
        let age = self.parts.cluster.borrow().age(now);
        let (source, is_reader) = {
            let cluster = self.parts.cluster.borrow();
            let mut choice = self.choice.borrow_mut();
            choice.set_hosts(cluster.hosts());
            (choice.choose(age, now), choice.is_reader(now))
        };
        self.feed
            .set_reading(source == NewsSource::Store, is_reader);
        let before = self.last.replace(source.clone());
        if before != source {
            tell_change(&source, age);
        }
        source
    }

    fn held(&self, wait: Duration, wants_config: bool) -> HeldNews {
        let cluster = self.parts.cluster.borrow();
        HeldNews {
            config_version: cluster.config_version(),
            backends_revision: cluster.backends_revision(),
            hosts_revision: cluster.hosts_revision(),
            wants_config,
            wait,
        }
    }

    async fn follow(&self, entry: &HostEntry) {
        // Whoever is asked, this host's news are not to grow old meanwhile.
        let age = self.parts.cluster.borrow().age(self.parts.now());
        let left = self.old_news.saturating_sub(age.unwrap_or(self.old_news));
        let wait = FOLLOW_WAIT.min(left / 2);
        let patience = ANSWER_PATIENCE.min(left - wait);
        let held = self.held(wait, false);
        let outcome = match self.links.follow(entry.peers, held, patience).await {
            Ok(news) => {
                let is_fresh = news.age.is_some_and(|age| age < self.old_news);
                self.take(news, entry.peers).await;
                match is_fresh {
                    true => FollowOutcome::Fresh,
                    false => FollowOutcome::Old,
                }
            }
            Err(error) => {
                log::debug!("host {} gave no news: {error}", entry.name);
                FollowOutcome::Silent
            }
        };
        let now = self.parts.now();
        let mut choice = self.choice.borrow_mut();
        match outcome {
            FollowOutcome::Fresh => choice.note_news(&entry.name),
            FollowOutcome::Old => choice.note_cut_off(&entry.name, now),
            FollowOutcome::Silent => choice.note_silent(&entry.name, now),
        }
    }

    // The store does not answer this host: others may be served by it.
    async fn ask_some(&self) {
        for address in self.some_hosts() {
            let held = self.held(Duration::ZERO, true);
            match self.links.follow(address, held, ANSWER_PATIENCE).await {
                Ok(news) => self.take(news, address).await,
                Err(error) => log::debug!("host at {address} gave no news: {error}"),
            }
        }
    }

    fn some_hosts(&self) -> Vec<SocketAddr> {
        let settings = &self.parts.settings;
        let cluster = self.parts.cluster.borrow();
        let listed = cluster.hosts().map(|entry| entry.peers);
        let mut addresses: Vec<SocketAddr> = listed.chain(settings.seeds.iter().copied()).collect();
        addresses.retain(|address| *address != settings.peers);
        addresses.sort();
        addresses.dedup();
        addresses.shuffle(&mut rand::rng());
        // Whoever reads for the zone hears first that the store is back.
        let reader = self.first_reader().map(|entry| entry.peers);
        addresses.retain(|address| Some(*address) != reader);
        addresses.truncate(ASKED_HOSTS - usize::from(reader.is_some()));
        reader.into_iter().chain(addresses).collect()
    }

    async fn take(&self, news: ClusterNews, from: SocketAddr) {
        let now = self.parts.now();
        let confirmed = news.age.map(|age| now.saturating_sub(age));
        self.take_lists(&news, confirmed);
        let held = self.parts.cluster.borrow().config_version();
        let is_known = match news.config {
            Some(config) => {
                self.parts.offer_config(config, "host");
                true
            }
            None if news.config_version <= held => true,
            None => self.fetch_config(from).await,
        };
        if let Some(at) = confirmed.filter(|_| is_known) {
            let mut cluster = self.parts.cluster.borrow_mut();
            cluster.confirm(StoreKind::Config, at);
        }
    }

    fn take_lists(&self, news: &ClusterNews, confirmed: Option<Duration>) {
        let now = self.parts.now();
        let mut cluster = self.parts.cluster.borrow_mut();
        if let Some(age) = news.outage {
            cluster.note_outage(now.saturating_sub(age));
        }
        let before = cluster.changes_seen();
        cluster.take_backend_news(news.backends.clone(), now);
        cluster.take_host_news(news.hosts.clone());
        if let Some(at) = confirmed {
            cluster.confirm(StoreKind::Backends, at);
        }
        let has_changed = cluster.changes_seen() != before;
        drop(cluster);
        if has_changed {
            self.parts.publish_backends();
        }
    }

    // A large configuration is read from the store; the host that told of it sends it only if it must.
    async fn fetch_config(&self, from: SocketAddr) -> bool {
        let Err(failure) = self.feed.read_config().await else {
            return true;
        };
        log::debug!("the store gave no configuration: {failure}; the host at {from} is asked");
        let held = self.held(Duration::ZERO, true);
        match self.links.follow(from, held, ANSWER_PATIENCE).await {
            Ok(ClusterNews {
                config: Some(config),
                ..
            }) => {
                self.parts.offer_config(config, "host");
                true
            }
            Ok(_) => false,
            Err(error) => {
                log::debug!("host at {from} gave no configuration: {error}");
                false
            }
        }
    }
}

fn tell_change(source: &NewsSource, age: Option<Duration>) {
    let name = match source {
        NewsSource::Store => "the store",
        NewsSource::Host(entry) => entry.name.as_str(),
    };
    let age = age.map_or("unknown".to_owned(), |age| age.as_millis().to_string());
    event::emit(&event::NEWS_SOURCE, &[("source", &name), ("age_ms", &age)]);
}

//! Applies updates received from other hosts to the local view.

use {
    super::{follow::NewsFollower, message::ClusterNews},
    crate::{
        event,
        relay::{link::StoreKind, policy::past_time::PastTime},
    },
    std::{net::SocketAddr, time::Duration},
};

impl NewsFollower {
    /// Applies the response of the host at `from` to a request sent at `sent_at`: lists first, then the configuration.
    /// Anything older than the local view is ignored.
    pub(super) async fn apply(&self, news: ClusterNews, from: SocketAddr, sent_at: Duration) {
        let confirmed = news.confirmed(sent_at);
        let proved = news.proved(sent_at);
        let positions = [&news.backends, &news.hosts, &news.evacuations].map(|kind| kind.position);
        let position = positions.into_iter().max().unwrap_or_default();
        self.parts.record_store_era(position.era, "host");
        self.parts.merge_crash_news(&news.crashes, from);
        self.parts.apply_limit_updates(&news.limits, from);
        if !self.apply_lists(&news, confirmed, sent_at) {
            let now = self.parts.now();
            self.choice.borrow_mut().note_list_part(now);
        }
        if !self.apply_config(&news, from, sent_at).await {
            return;
        }
        if self.is_refreshing(&news, confirmed) {
            self.parts
                .record_refresh(StoreKind::Config, sent_at, "host");
        }
        let mut cluster = self.parts.cluster.borrow_mut();
        cluster.config.advance(news.config_position);
        // Without any configuration this host cannot do its work, whatever it knows.
        if let Some(at) = confirmed.filter(|_| cluster.config_version() > 0) {
            cluster.confirm_at(StoreKind::Config, at);
        }
        // Only holds if the configuration in force here is the sender's or a newer one.
        if let Some(at) = proved.filter(|_| cluster.config_version() >= news.config_version) {
            cluster.prove_config(at);
        }
    }

    // Applies a configuration, or starts fetching the one that the sender names. Returns whether this host then knows of
    // all versions that the sender knows of.
    async fn apply_config(&self, news: &ClusterNews, from: SocketAddr, sent_at: Duration) -> bool {
        if let Some(config) = &news.config {
            self.parts.offer_config(config.clone(), "host");
        }
        self.learn_version(news, from, sent_at);
        let known = self.parts.cluster.borrow().config.known_version();
        // A host of an earlier version of this program only names a large configuration.
        let is_named_only = news.known_version == 0 && known < news.config_version;
        match is_named_only {
            true => self.reader.read_config().await.is_ok(),
            false => known >= news.known_version,
        }
    }

    // Records the newest version that the sender knows of, and starts fetching it if it is new to this host.
    fn learn_version(&self, news: &ClusterNews, from: SocketAddr, sent_at: Duration) {
        let now = self.parts.now();
        let stated = PastTime::at(sent_at + news.held).before(news.known_age);
        let mut cluster = self.parts.cluster.borrow_mut();
        cluster.config.confirm_version(news.known_version, stated);
        let Some(root) = &news.config_root else {
            return;
        };
        let held = cluster.config_version();
        if cluster.config.announce(root.clone(), stated, now) {
            drop(cluster);
            log_announced(root.version, held, from);
            self.parts.state_changed.notify_waiters();
            self.fetcher.fetch_from(from);
        }
    }

    // Whether the sender's view is as current as can be: it hears from the store, or knows that nobody does.
    fn is_refreshing(&self, news: &ClusterNews, confirmed: Option<PastTime>) -> bool {
        let age = confirmed.map(|at| at.age(self.parts.now()));
        news.is_lost || (age.is_some() && !self.choice.borrow().is_stale(age))
    }

    // Returns false if parts of a list are still missing.
    fn apply_lists(
        &self,
        news: &ClusterNews,
        confirmed: Option<PastTime>,
        sent_at: Duration,
    ) -> bool {
        let now = self.parts.now();
        let mut cluster = self.parts.cluster_to_update();
        cluster.record_contact(now);
        if let Some(ended) = news.outage_ended(sent_at) {
            cluster.record_outage(ended);
        }
        let before = cluster.backend_update_count();
        let is_complete = cluster.apply_backend_news(news.backends.clone(), now);
        cluster.apply_host_news(news.hosts.clone(), now);
        // A view that was current before the store was restored says nothing about the store's content now.
        let is_same_era = news.backends.position.era == cluster.backends_position().era;
        if let Some(at) = confirmed.filter(|_| is_same_era && is_complete) {
            cluster.confirm_at(StoreKind::Backends, at);
        }
        if is_complete && news.tells_software {
            cluster.forget_incomplete_backends();
        }
        let has_changed = cluster.backend_update_count() != before;
        drop(cluster);
        let is_refreshed = is_same_era && is_complete && self.is_refreshing(news, confirmed);
        if news.hosts.is_whole || !news.hosts.changes.is_empty() {
            self.parts.handle_host_change();
        }
        if has_changed {
            self.parts.publish_backends();
        }
        self.parts.apply_evacuation_news(news.evacuations.clone());
        if is_refreshed {
            self.parts
                .record_refresh(StoreKind::Backends, sent_at, "host");
            self.parts
                .record_refresh(StoreKind::Evacuations, sent_at, "host");
        }
        self.parts.log_reread();
        is_complete
    }
}

fn log_announced(version: u64, held: u64, from: SocketAddr) {
    event::emit(
        &event::CONFIG_ANNOUNCED,
        &[("version", &version), ("held", &held), ("from", &from)],
    );
}

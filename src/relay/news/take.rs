//! Taking what other hosts tell.

use {
    super::{
        follow::{ANSWER_PATIENCE, NewsFollower},
        message::ClusterNews,
    },
    crate::relay::{link::StoreKind, policy::past_time::PastTime},
    std::{net::SocketAddr, time::Duration},
};

impl NewsFollower {
    /// Takes news of a host at an address that was asked at `asked`: lists first, then the configuration; what is older
    /// than this host's is left.
    pub(super) async fn take(&self, news: ClusterNews, from: SocketAddr, asked: Duration) {
        let confirmed = news.confirmed(asked);
        let proved = news.proved(asked);
        let told = news.backends.position.max(news.hosts.position);
        self.parts.record_store_era(told.era, "host");
        self.parts.merge_crash_news(&news.crashes, from);
        self.parts.apply_limit_updates(&news.limits, from);
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
        if !is_known {
            return;
        }
        let mut cluster = self.parts.cluster.borrow_mut();
        if let Some(at) = confirmed {
            cluster.confirm_at(StoreKind::Config, at);
        }
        // The configuration in force here is the sender's or a newer one.
        if let Some(at) = proved {
            cluster.prove_config(at);
        }
    }

    fn take_lists(&self, news: &ClusterNews, confirmed: Option<PastTime>) {
        let now = self.parts.now();
        let mut cluster = self.parts.cluster.borrow_mut();
        if let Some(age) = news.outage {
            cluster.record_outage(now.saturating_sub(age));
        }
        let before = cluster.backend_update_count();
        cluster.apply_backend_news(news.backends.clone(), now);
        cluster.apply_host_news(news.hosts.clone(), now);
        // What was the newest before the store was restored says nothing of what it holds now.
        let is_same_era = news.backends.position.era == cluster.backends_position().era;
        if let Some(at) = confirmed.filter(|_| is_same_era) {
            cluster.confirm_at(StoreKind::Backends, at);
        }
        let has_changed = cluster.backend_update_count() != before;
        drop(cluster);
        if news.hosts.is_whole || !news.hosts.changes.is_empty() {
            self.parts.handle_host_change();
        }
        if has_changed {
            self.parts.publish_backends();
        }
        self.parts.log_reread();
    }

    // A large configuration is read from the store; the host that told of it sends it only if it must.
    async fn fetch_config(&self, from: SocketAddr) -> bool {
        let Err(failure) = self.feed.read_config().await else {
            return true;
        };
        log::debug!("the store gave no configuration: {failure}; the host at {from} is asked");
        let held = self.held(from, Duration::ZERO, true);
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

//! What a host tells others that follow it.

use {
    super::message::{ClusterNews, HeldNews},
    crate::relay::parts::shared::RelayParts,
    std::{rc::Rc, time::Duration},
    tokio::time::Instant,
};

/// Longest time that an answer waits for something newer.
const WAIT_LIMIT: Duration = Duration::from_secs(2);

/// Routes up to which a configuration is told whole: some 300 bytes each, to each of some thirty
/// followers. Larger ones would fill the link of a small host; followers read them from the store.
const TOLD_ROUTES: usize = 64;

/// Tells an asker what is newer than what it has, once there is something or its wait is over.
pub async fn tell_news(parts: Rc<RelayParts>, held: HeldNews) -> ClusterNews {
    let until = Instant::now() + held.wait.min(WAIT_LIMIT);
    loop {
        let changed = parts.news.notified();
        tokio::pin!(changed);
        changed.as_mut().enable();
        let news = news_now(&parts, &held);
        if news.has_more_than(&held) || Instant::now() >= until {
            return news;
        }
        tokio::select! {
            () = changed => {}
            () = tokio::time::sleep_until(until) => {}
        }
    }
}

fn news_now(parts: &RelayParts, held: &HeldNews) -> ClusterNews {
    let now = parts.now();
    let cluster = parts.cluster.borrow();
    let routes = cluster.routes();
    let config = routes.as_ref().map(|routes| routes.config());
    let told = config.filter(|config| {
        let is_small = config.routes.len() <= TOLD_ROUTES;
        config.version > held.config_version && (is_small || held.wants_config)
    });
    ClusterNews {
        age: cluster.told_age(now),
        outage: cluster.outage_age(now),
        config_version: cluster.config_version(),
        config: told.cloned(),
        backends: cluster.backend_news(held.backends_revision),
        hosts: cluster.host_news(held.hosts_revision),
    }
}

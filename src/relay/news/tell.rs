//! What a host tells others that follow it.

use {
    super::message::{ClusterNews, HeldNews},
    crate::relay::{parts::shared::RelayParts, policy::source},
    std::{rc::Rc, time::Duration},
};

/// Longest time that an answer waits for something newer.
const WAIT_LIMIT: Duration = Duration::from_secs(2);

/// Routes up to which a configuration is told whole: some 300 bytes each, to each of some thirty
/// followers. Larger ones would fill the link of a small host; followers read them from the store.
const TOLD_ROUTES: usize = 64;

/// The same for client accounts: some 80 bytes a key.
const TOLD_ACCOUNTS: usize = 64;

/// Hosts up to which a starting one is told everything by whomever it asks. In a larger fleet a third of it would ask
/// each of the hosts that the settings name, for some 100 kB each; these need not be strong, so they only name the
/// hosts that the asker may follow.
const TOLD_WHOLE_HOSTS: usize = 30;

/// Tells an asker what is newer than what it has, once there is something or its wait is over.
pub async fn tell_news(parts: Rc<RelayParts>, held: HeldNews) -> ClusterNews {
    note_informed(&parts, &held);
    let known = held.backends_position.max(held.hosts_position);
    parts.note_store_era(known.era, "host");
    let asked = parts.now();
    let until = asked + held.wait.min(WAIT_LIMIT);
    loop {
        let changed = parts.news.notified();
        tokio::pin!(changed);
        changed.as_mut().enable();
        let news = ClusterNews {
            held: parts.now().saturating_sub(asked),
            ..news_now(&parts, &held)
        };
        let is_enough = has_more(&parts, &news, &held);
        if is_enough || parts.now() >= until {
            parts.metrics.news_told.inc();
            // One that starts would take a part for all there is, and whom to follow it would not know.
            let is_part = held.is_starting && !is_enough;
            return if is_part {
                ClusterNews::default()
            } else {
                news
            };
        }
        tokio::select! {
            () = changed => {}
            () = tokio::time::sleep(until.saturating_sub(parts.now())) => {}
        }
    }
}

// Hosts that start while the store is silent know nobody, and those that the settings name may have started with them. Who
// survived asks them, as heads.
fn note_informed(parts: &RelayParts, held: &HeldNews) {
    let knows_all = parts.cluster.borrow().age(parts.now()).is_some();
    if !knows_all && held.has_all() {
        parts.informed.set(held.peers);
    }
}

// One that starts waits for all there is to know: what comes in parts would be asked for again at once.
fn has_more(parts: &RelayParts, news: &ClusterNews, held: &HeldNews) -> bool {
    if !held.is_starting {
        return news.has_more_than(held);
    }
    let knows_all = parts.cluster.borrow().age(parts.now()).is_some();
    !news.guides.is_empty() || (knows_all && news.hosts.position.is_known())
}

fn news_now(parts: &RelayParts, held: &HeldNews) -> ClusterNews {
    let now = parts.now();
    let cluster = parts.cluster.borrow();
    if held.is_starting && cluster.host_count() > TOLD_WHOLE_HOSTS {
        return ClusterNews {
            guides: source::starting_points(cluster.hosts().cloned(), &held.zone),
            ..ClusterNews::default()
        };
    }
    let routes = cluster.routes();
    let config = routes.as_ref().map(|routes| routes.config());
    let told = config.filter(|config| {
        let accounts = config.accounts.as_ref().map_or(0, Vec::len);
        let is_small = config.routes.len() <= TOLD_ROUTES && accounts <= TOLD_ACCOUNTS;
        config.version > held.config_version && (is_small || held.wants_config)
    });
    ClusterNews {
        age: cluster.age(now),
        proof: cluster.proof_age(now),
        is_lost: cluster.is_store_lost(),
        held: Duration::ZERO,
        outage: cluster.outage_age(now),
        config_version: cluster.config_version(),
        config: told.cloned(),
        backends: cluster.backend_news(held.backends_position),
        hosts: cluster.host_news(held.hosts_position),
        guides: Vec::new(),
        crashes: parts.crash_news(held.crashes),
        limits: parts.limit_updates(held.limits),
    }
}

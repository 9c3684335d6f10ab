//! Answers the requests of hosts that follow this one.

use {
    super::message::{ClusterNews, HeldNews},
    crate::relay::{
        cluster::list_parts::PART_ENTRIES_MAX, config::RelayConfig, parts::shared::RelayParts,
        policy::source,
    },
    std::{rc::Rc, time::Duration},
};

/// Longest time that a request is held until there is something newer.
const MAX_HOLD: Duration = Duration::from_secs(2);

/// Largest number of routes of a configuration that is sent in one message: some 300 bytes each, to each of some thirty
/// followers. Of a larger one followers are sent the names, and fetch the pieces that they lack.
const MAX_SENT_ROUTES: usize = 64;

/// Largest number of client accounts of such a configuration, at some 80 bytes per key.
const MAX_SENT_ACCOUNTS: usize = 64;

/// Largest fleet in which a starting host gets the whole view from any host that it polls. In a larger fleet each seed
/// would be polled by a third of the hosts, for some 100 kB each. Seeds may have a slow link, so there they only return
/// the hosts that the requester should follow.
const MAX_HOSTS_FOR_FULL_VIEW: usize = 30;

/// Returns what is newer than what the requester has, as soon as there is something or its wait is over.
pub async fn answer_follow(parts: Rc<RelayParts>, held: HeldNews) -> ClusterNews {
    remember_informed_host(&parts, &held);
    parts.cluster.borrow_mut().record_contact(parts.now());
    let known = held.backends_position.max(held.hosts_position);
    parts.record_store_era(known.era, "host");
    let received_at = parts.now();
    let deadline = received_at + held.wait.min(MAX_HOLD);
    loop {
        let changed = parts.state_changed.notified();
        tokio::pin!(changed);
        changed.as_mut().enable();
        let news = ClusterNews {
            held: parts.now().saturating_sub(received_at),
            ..current_news(&parts, &held)
        };
        let is_enough = is_worth_sending(&parts, &news, &held);
        if is_enough || parts.now() >= deadline {
            parts.metrics.news_told.inc();
            // A starting host would take a partial view for the whole, and would not know which host to follow.
            let is_partial = held.is_starting && !is_enough;
            return if is_partial {
                ClusterNews::default()
            } else {
                news
            };
        }
        tokio::select! {
            () = changed => {}
            () = tokio::time::sleep(deadline.saturating_sub(parts.now())) => {}
        }
    }
}

// Remembers a requester whose view is complete while this host's is not, so that it can be polled in turn. Hosts that
// start while the store does not answer know no other host, and their seeds may have just started too; but hosts that
// kept running still poll them if they are heads of their zones.
fn remember_informed_host(parts: &RelayParts, held: &HeldNews) {
    let has_complete_view = parts.cluster.borrow().age(parts.now()).is_some();
    if !has_complete_view && held.has_complete_view() {
        parts.informed_peer.set(held.peers);
    }
}

// Whether there is enough to answer now. A starting host waits for the whole view: after a partial one it would poll
// again at once.
fn is_worth_sending(parts: &RelayParts, news: &ClusterNews, held: &HeldNews) -> bool {
    if !held.is_starting {
        return news.has_more_than(held);
    }
    let has_complete_view = parts.cluster.borrow().age(parts.now()).is_some();
    !news.guides.is_empty() || (has_complete_view && news.hosts.position.is_known())
}

fn current_news(parts: &RelayParts, held: &HeldNews) -> ClusterNews {
    let now = parts.now();
    let cluster = parts.cluster.borrow();
    if held.is_starting && cluster.host_count() > MAX_HOSTS_FOR_FULL_VIEW {
        return ClusterNews {
            guides: source::starting_points(cluster.hosts().cloned(), &held.zone),
            ..ClusterNews::default()
        };
    }
    let routes = cluster.routes();
    let config = routes.as_ref().map(|routes| routes.config());
    let newer_config = config.filter(|config| config.version > held.config_version);
    let is_sent = |config: &&RelayConfig| {
        let accounts = config.accounts.as_ref().map_or(0, Vec::len);
        let is_small = config.routes.len() <= MAX_SENT_ROUTES && accounts <= MAX_SENT_ACCOUNTS;
        is_small || (held.wants_config && !held.reads_pieces)
    };
    let sent_config = newer_config.filter(is_sent);
    let known_version = held.known_version.max(held.config_version);
    let known_version = sent_config.map_or(known_version, |config| config.version);
    let newest_root = cluster.config.newest_root();
    let newer_root = newest_root.filter(|root| held.reads_pieces && root.version > known_version);
    let mut backends = match held.reads_parts {
        true => cluster.backend_news_part(
            held.backends_position,
            held.list_cursor.as_ref(),
            PART_ENTRIES_MAX,
        ),
        false => cluster.backend_news(held.backends_position),
    };
    parts.update_cold_left(&mut backends);
    ClusterNews {
        age: cluster.age(now),
        proof: cluster.proof_age(now),
        is_lost: cluster.is_store_lost(),
        held: Duration::ZERO,
        outage: cluster.outage_age(now),
        config_version: cluster.config_version(),
        config: sent_config.cloned(),
        known_version: cluster.config.known_version(),
        known_age: cluster.config.newest_age(now),
        config_root: newer_root.cloned(),
        config_position: cluster.config.position(),
        backends,
        hosts: cluster.host_news(held.hosts_position),
        evacuations: cluster.evacuations.news(held.evacuations_position),
        guides: Vec::new(),
        crashes: parts.crash_news(held.crashes),
        limits: parts.limit_updates(held.limits),
        tells_software: true,
    }
}

//! Entering the own host in the store, so that others find it.

use {
    crate::{
        relay::{
            link::{HostEntry, StoreItem, StoreKind, StoreLink, StoreValue},
            parts::{metric_labels::StoreCause, shared::RelayParts},
        },
        store::{StoreFailure, StorePosition},
    },
    std::{rc::Rc, time::Duration},
};

/// Pause before the host's entry is written again after a failure.
const ENTRY_PAUSE: Duration = Duration::from_millis(700);

/// How long a host that was started again waits for the list of hosts, in which its entry most often stands still: of
/// three calls at each start of a fleet of hundreds that leaves none.
const LIST_PATIENCE: Duration = Duration::from_secs(2);

/// How often the host looks whether it is still listed.
const LOOK_PERIOD: Duration = Duration::from_secs(1);

/// How long the entry has to be missing before it is written: the list is up to two seconds old, and an entry that an
/// earlier run of the host took away as it stopped may still show in it.
const MISSING_TIME: Duration = Duration::from_secs(3);

/// Time for each host that is listed over which hosts spread the writes of missing entries: a store that was restored may
/// lack those of all.
const WRITE_SPACING: Duration = Duration::from_millis(10);

/// Keeps the host's entry in the store for as long as the host runs and is not about to stop.
pub async fn keep_entry(parts: Rc<RelayParts>, store: Rc<StoreLink>) {
    if !parts.settings.first_start {
        wait_for_list(&parts).await;
    }
    let mut missing_since = match is_listed(&parts, &own_entry(&parts)) {
        true => None,
        false => Some(Duration::ZERO),
    };
    let mut missing_time = MISSING_TIME;
    let mut written = None;
    let mut written_entry: Option<HostEntry> = None;
    loop {
        let now = parts.now();
        let entry = own_entry(&parts);
        // What it is to keep has changed: others need not hear of that in a hurry, but the store is to have it.
        let is_other = written_entry
            .as_ref()
            .is_some_and(|before| *before != entry);
        match is_listed(&parts, &entry) {
            true => missing_since = None,
            false if missing_since.is_none() => {
                missing_since = Some(now);
                missing_time = spread_missing_time(&parts);
            }
            false => {}
        }
        let is_new = written.is_none_or(|at| now.saturating_sub(at) >= missing_time);
        let is_missing = missing_since.is_some_and(|since| {
            since == Duration::ZERO || now.saturating_sub(since) >= missing_time
        });
        if (is_other || (is_missing && is_new)) && !parts.gate.is_stopping() {
            write_entry(&parts, &store, &entry).await;
            written = Some(parts.now());
            missing_since = Some(parts.now());
        }
        written_entry = Some(entry);
        tokio::time::sleep(LOOK_PERIOD).await;
    }
}

fn spread_missing_time(parts: &RelayParts) -> Duration {
    let hosts = parts.cluster.borrow().host_count();
    let spread = WRITE_SPACING * u32::try_from(hosts).unwrap_or(u32::MAX);
    MISSING_TIME + spread.mul_f64(rand::random())
}

fn own_entry(parts: &RelayParts) -> HostEntry {
    let settings = &parts.settings;
    HostEntry {
        name: settings.name.clone(),
        zone: settings.zone.clone(),
        peers: settings.peers,
        link_mbps: settings.link_mbps,
        judged: parts.kept_judgements(),
    }
}

fn is_listed(parts: &RelayParts, entry: &HostEntry) -> bool {
    parts.cluster.borrow().is_host_listed(entry)
}

// Until the host knows the list, or that takes too long.
async fn wait_for_list(parts: &RelayParts) {
    let waiting = async {
        loop {
            let news = parts.state_changed.notified();
            tokio::pin!(news);
            news.as_mut().enable();
            // What an earlier run's entry keeps is taken over first.
            if parts.cluster.borrow().hosts_position().is_known() && parts.has_crash_records() {
                return;
            }
            news.await;
        }
    };
    if tokio::time::timeout(LIST_PATIENCE, waiting).await.is_err() {
        log::debug!("no list of hosts in time: the host's entry is written anyway");
    }
}

// Writes who this host is, until that has succeeded.
async fn write_entry(parts: &RelayParts, store: &StoreLink, entry: &HostEntry) {
    let value = StoreValue::Host(entry.clone());
    let mut position = StorePosition::default();
    loop {
        let item = StoreItem {
            name: entry.name.clone(),
            position,
            value: value.clone(),
        };
        parts.metrics.store_called(StoreCause::Entry, 1);
        match (store.put)(StoreKind::Hosts, item).await {
            Ok(_) => return,
            // An earlier run's entry, or this one's own whose answer was lost.
            Err(StoreFailure::Conflict(_)) => {
                parts.metrics.store_called(StoreCause::Entry, 1);
                match (store.get)(StoreKind::Hosts, &entry.name).await {
                    Ok(found) if found.value == value => return,
                    Ok(found) => position = found.position,
                    Err(StoreFailure::NotFound) => position = StorePosition::default(),
                    Err(failure) => log::debug!("the host's entry: {failure}"),
                }
            }
            Err(failure) => {
                log::debug!("the host's entry: {failure}");
                tokio::time::sleep(ENTRY_PAUSE).await;
            }
        }
    }
}

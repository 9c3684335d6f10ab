//! Registers this host in the store, so that others can find it.

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

/// Delay before a failed write of the host's entry is retried.
const RETRY_DELAY: Duration = Duration::from_millis(700);

/// How long a restarted host waits for the list of hosts before it writes its entry. The list usually still contains
/// the entry, which saves all three calls per host when a fleet of hundreds of hosts restarts.
const HOST_LIST_TIMEOUT: Duration = Duration::from_secs(2);

/// How often the host checks whether it is still listed.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// How long the entry has to be missing before it is written. The list is up to two seconds old, and may still contain
/// an entry that an earlier run of the host removed when it stopped.
const MISSING_TIME: Duration = Duration::from_secs(3);

/// Writes of missing entries are spread over this time per listed host, since a store that was restored from a backup
/// may have lost the entries of all hosts.
const WRITE_SPACING: Duration = Duration::from_millis(10);

/// Keeps the host's entry in the store up to date until the host is about to stop.
pub async fn maintain_entry(parts: Rc<RelayParts>, store: Rc<StoreLink>) {
    if !parts.settings.first_start {
        wait_for_list(&parts).await;
    }
    let mut missing_since = match is_listed(&parts, &own_entry(&parts)) {
        true => None,
        false => Some(Duration::ZERO),
    };
    let mut missing_time = MISSING_TIME;
    let mut written_at = None;
    let mut written_entry: Option<HostEntry> = None;
    loop {
        let now = parts.now();
        let entry = own_entry(&parts);
        // A changed entry is written at once, since the store is what preserves its content; other hosts do not need it
        // urgently.
        let has_changed = written_entry
            .as_ref()
            .is_some_and(|before| *before != entry);
        match is_listed(&parts, &entry) {
            true => missing_since = None,
            false if missing_since.is_none() => {
                missing_since = Some(now);
                missing_time = random_missing_time(&parts);
            }
            false => {}
        }
        let is_retry_due = written_at.is_none_or(|at| now.saturating_sub(at) >= missing_time);
        let is_missing = missing_since.is_some_and(|since| {
            since == Duration::ZERO || now.saturating_sub(since) >= missing_time
        });
        let is_due = (has_changed || (is_missing && is_retry_due)) && !parts.gate.is_stopping();
        written_entry = match is_due {
            true => {
                let written = write_entry(&parts, &store, entry).await;
                written_at = Some(parts.now());
                missing_since = Some(parts.now());
                Some(written)
            }
            false => Some(entry),
        };
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

fn random_missing_time(parts: &RelayParts) -> Duration {
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
        carrier_port: settings.carrier_port(),
        judged: parts.kept_judgements(),
        software: parts.software_to_keep(),
    }
}

fn is_listed(parts: &RelayParts, entry: &HostEntry) -> bool {
    parts.cluster.borrow().is_host_listed(entry)
}

// Waits until the host knows the list of hosts, but no longer than the timeout.
async fn wait_for_list(parts: &RelayParts) {
    let waiting = async {
        loop {
            let news = parts.state_changed.notified();
            tokio::pin!(news);
            news.as_mut().enable();
            // The crash records in an earlier run's entry are loaded first, so that a write does not lose them.
            if parts.cluster.borrow().hosts_position().is_known() && parts.has_crash_records() {
                return;
            }
            news.await;
        }
    };
    if tokio::time::timeout(HOST_LIST_TIMEOUT, waiting)
        .await
        .is_err()
    {
        log::debug!("no list of hosts within the timeout; writing the host's entry anyway");
    }
}

// Writes the host's entry, and retries until that has succeeded. Returns what was written.
//
// What an earlier run kept in the entry is taken over, also where the list of hosts did not have it in time.
async fn write_entry(parts: &RelayParts, store: &StoreLink, mut entry: HostEntry) -> HostEntry {
    let mut position = StorePosition::default();
    loop {
        let value = StoreValue::Host(entry.clone());
        let item = StoreItem {
            name: entry.name.clone(),
            position,
            value: value.clone(),
        };
        parts.metrics.store_called(StoreCause::Entry, 1);
        match (store.put)(StoreKind::Hosts, item).await {
            Ok(_) => return entry,
            // The entry was written by an earlier run, or by this one and the response was lost.
            Err(StoreFailure::Conflict(_)) => {
                parts.metrics.store_called(StoreCause::Entry, 1);
                match (store.get)(StoreKind::Hosts, &entry.name).await {
                    Ok(found) if found.value == value => return entry,
                    Ok(found) => {
                        position = found.position;
                        if let StoreValue::Host(found) = found.value {
                            parts.adopt_kept_software(found.software);
                            entry = own_entry(parts);
                        }
                    }
                    Err(StoreFailure::NotFound) => position = StorePosition::default(),
                    Err(failure) => log::debug!("cannot read the host's entry: {failure}"),
                }
            }
            Err(failure) => {
                log::debug!("cannot write the host's entry: {failure}");
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

//! Writes the streams that this host is to keep to the store, and reads what the store has of them after a start.
//!
//! Hosts tell their streams to the hosts that keep them, see `origins`.

use {
    crate::{
        relay::{
            link::{ListFreshness, StoreItem, StoreKind, StoreLink, StoreValue},
            parts::{metric_labels::StoreCause, shared::RelayParts},
            policy::{
                stream_journal::{BatchWrite, FLUSH_DELAY},
                stream_origins::MAX_STREAM_LIFETIME,
            },
        },
        store::{StoreFailure, StorePosition},
    },
    std::{rc::Rc, time::Duration},
};

/// Delay before a failed write is retried.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// The same for a list that cannot be read; it doubles up to the second value.
const LOAD_DELAY: Duration = Duration::from_millis(300);
const LOAD_DELAY_MAX: Duration = Duration::from_secs(10);

/// How often a host checks whether it has become one that keeps streams, or the store was restored.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Number of times that a batch is tried to be written before others are looked at.
const WRITES_MAX: usize = 4;

/// Number of objects of hosts that keep no streams any more that are deleted at a check.
const DELETES_MAX: usize = 4;

/// Keeps streams in the store for as long as the host runs.
pub async fn keep_streams(parts: Rc<RelayParts>, store: Rc<StoreLink>) {
    wait_for_hosts(&parts).await;
    let mut era = store.eras.latest();
    let mut loaded_at = None;
    let mut load_delay = LOAD_DELAY;
    loop {
        if parts.is_keeping_host() {
            if !parts.has_loaded_streams() {
                if !load(&parts, &store).await {
                    tokio::time::sleep(load_delay).await;
                    load_delay = (load_delay * 2).min(LOAD_DELAY_MAX);
                    continue;
                }
                loaded_at = Some(parts.now());
            }
            if std::mem::replace(&mut era, store.eras.latest()) != store.eras.latest() {
                parts.keep_all_streams();
            }
            write_batches(&parts, &store).await;
            // No caller comes back any more for what earlier hosts kept before.
            if loaded_at.is_some_and(|at| parts.now().saturating_sub(at) >= MAX_STREAM_LIFETIME) {
                delete_outdated(&parts, &store).await;
            }
        }
        tokio::select! {
            () = parts.kept_streams.waiting.notified() => tokio::time::sleep(FLUSH_DELAY).await,
            () = tokio::time::sleep(CHECK_INTERVAL) => {}
        }
    }
}

async fn write_batches(parts: &RelayParts, store: &StoreLink) {
    while let Some(write) = parts.take_stream_batch() {
        let batch = write.batch.clone();
        if !write_batch(parts, store, write).await {
            log::warn!("streams wait to be kept in the store, which does not take them");
            parts.return_stream_batch(&batch);
            return;
        }
    }
}

async fn delete_outdated(parts: &RelayParts, store: &StoreLink) {
    for _ in 0..DELETES_MAX {
        let Some(name) = parts.take_outdated_object() else {
            return;
        };
        parts.metrics.store_called(StoreCause::Streams, 1);
        match (store.delete)(StoreKind::Streams, &name).await {
            Ok(()) | Err(StoreFailure::NotFound) => {}
            Err(failure) => log::debug!("cannot delete the streams {name}: {failure}"),
        }
    }
}

async fn wait_for_hosts(parts: &RelayParts) {
    loop {
        let news = parts.state_changed.notified();
        tokio::pin!(news);
        news.as_mut().enable();
        if parts.cluster.borrow().hosts_position().is_known() {
            return;
        }
        news.await;
    }
}

// The latest state is read: what was written last is what callers come back for. Returns whether it was.
async fn load(parts: &RelayParts, store: &StoreLink) -> bool {
    parts.metrics.store_called(StoreCause::Streams, 1);
    match (store.list)(StoreKind::Streams, ListFreshness::Latest).await {
        Ok(list) => {
            let batches = list.items.into_iter().filter_map(|item| match item.value {
                StoreValue::Streams(batch) => Some((batch, item.position)),
                _ => None,
            });
            parts.load_streams(batches.collect());
            true
        }
        Err(failure) => {
            log::warn!("cannot read the streams that the store has: {failure}");
            false
        }
    }
}

// Returns whether the batch was written.
async fn write_batch(parts: &RelayParts, store: &StoreLink, write: BatchWrite) -> bool {
    let BatchWrite { batch, replaces } = write;
    let name = batch.object_name();
    let value = StoreValue::Streams(batch.clone());
    let mut position = replaces;
    for _ in 0..WRITES_MAX {
        let item = StoreItem {
            name: name.clone(),
            position,
            value: value.clone(),
        };
        parts.metrics.store_called(StoreCause::Streams, 1);
        match (store.put)(StoreKind::Streams, item).await {
            Ok(written) => {
                parts.stream_batch_written(&batch, written);
                parts
                    .metrics
                    .origins
                    .kept
                    .inc_by(batch.records().count() as u64);
                return true;
            }
            // Written by an earlier call whose response was lost, or before the store was restored.
            Err(StoreFailure::Conflict(_)) | Err(StoreFailure::NotFound) => {
                parts.metrics.store_called(StoreCause::Streams, 1);
                position = match (store.get)(StoreKind::Streams, &name).await {
                    Ok(found) => found.position,
                    Err(StoreFailure::NotFound) => StorePosition::default(),
                    Err(failure) => {
                        log::debug!("cannot read the streams {name}: {failure}");
                        tokio::time::sleep(RETRY_DELAY).await;
                        position
                    }
                };
            }
            Err(failure) => {
                log::debug!("cannot write the streams {name}: {failure}");
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
    false
}

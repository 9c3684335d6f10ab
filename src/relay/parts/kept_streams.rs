//! The streams that this host keeps in the store, if it is one of the few that do, in case all hosts are lost at once.

use {
    super::{
        origins::{KEEPING_HOSTS, KEEPING_SUBJECT},
        shared::RelayParts,
    },
    crate::{
        peer,
        relay::{
            link::HostEntry,
            policy::{
                origin_hosts,
                stream_journal::{BatchWrite, StreamBatch, StreamJournal},
                stream_origins::StreamRecord,
            },
        },
        store::StorePosition,
    },
    faststr::FastStr,
    std::{cell::RefCell, cmp::Reverse, time::Duration},
    tokio::sync::Notify,
};

/// How long another host's question waits for the streams that the store has, after a start. The host that asks waits no
/// longer itself.
const LOAD_WAIT: Duration = Duration::from_secs(1);

/// The streams to be written to the store.
#[derive(Debug, Default)]
pub struct KeptStreams {
    journal: RefCell<StreamJournal>,
    /// Notified when streams wait to be written.
    pub waiting: Notify,
    loaded: Notify,
}

impl RelayParts {
    /// Whether this host keeps streams and software versions in the store, as far as it knows the hosts.
    pub fn is_keeping_host(&self) -> bool {
        let cluster = self.cluster.borrow();
        let names = cluster.hosts().map(|entry| entry.name.as_str());
        peer::is_among_first(&self.settings.name, names, KEEPING_SUBJECT, KEEPING_HOSTS)
    }

    /// The hosts that keep streams in the store, without this one.
    pub fn other_keeping_hosts(&self) -> Vec<HostEntry> {
        let cluster = self.cluster.borrow();
        let own = &self.settings.name;
        let found = origin_hosts::keeping_hosts(cluster.hosts(), KEEPING_SUBJECT, KEEPING_HOSTS);
        let others = found.into_iter().filter(|entry| entry.name != *own);
        others.cloned().collect()
    }

    /// Keeps streams in the store if this host is one of those that do.
    pub fn keep_streams(&self, records: &[StreamRecord]) {
        if records.is_empty() || !self.is_keeping_host() {
            return;
        }
        let known = records
            .iter()
            .filter(|record| record.origin.software.is_known());
        let dropped = self.kept_streams.journal.borrow_mut().add(known.cloned());
        if dropped > 0 {
            log::warn!("{dropped} streams were not kept in the store, which does not answer");
        }
        self.kept_streams.waiting.notify_one();
    }

    /// Keeps all known streams: the store has lost what it had of them.
    pub fn keep_all_streams(&self) {
        let records = self.known_streams();
        self.keep_streams(&records);
    }

    /// Whether this host knows the streams that the store has.
    pub fn has_loaded_streams(&self) -> bool {
        self.kept_streams.journal.borrow().is_loaded()
    }

    /// Whether this host has read the streams that the store has, if it is one of those that do.
    pub fn has_asked_store(&self) -> bool {
        self.has_loaded_streams() || !self.is_keeping_host()
    }

    /// Records the streams that the store has, those written last first: their callers are the likeliest to come back.
    pub fn load_streams(&self, mut batches: Vec<(StreamBatch, StorePosition)>) {
        let own = &self.settings.name;
        let known = batches.iter().map(|(batch, position)| (batch, *position));
        self.kept_streams.journal.borrow_mut().load(own, known);
        batches.sort_by_key(|(_, position)| Reverse(*position));
        let records = batches.iter().flat_map(|(batch, _)| batch.records());
        self.record_kept_streams(records);
        self.kept_streams.loaded.notify_waiters();
    }

    /// The next batch to be written.
    pub fn take_stream_batch(&self) -> Option<BatchWrite> {
        let mut journal = self.kept_streams.journal.borrow_mut();
        journal.take_batch(&self.settings.name)
    }

    /// Takes back a batch that could not be written.
    pub fn return_stream_batch(&self, batch: &StreamBatch) {
        self.kept_streams.journal.borrow_mut().return_batch(batch);
    }

    /// The name of an object of a host that keeps no streams any more, each once.
    pub fn take_outdated_object(&self) -> Option<FastStr> {
        let keeping = self.other_keeping_hosts();
        let keeps = |host: &str| keeping.iter().any(|entry| entry.name == host);
        self.kept_streams.journal.borrow_mut().take_outdated(keeps)
    }

    /// Records that a batch was written.
    pub fn stream_batch_written(&self, batch: &StreamBatch, position: StorePosition) {
        let mut journal = self.kept_streams.journal.borrow_mut();
        journal.batch_written(batch, position);
    }

    /// Waits until a host that keeps streams knows those that the store has.
    pub async fn wait_for_kept_streams(&self) {
        let waiting = async {
            loop {
                let loaded = self.kept_streams.loaded.notified();
                tokio::pin!(loaded);
                loaded.as_mut().enable();
                if self.has_asked_store() {
                    return;
                }
                loaded.await;
            }
        };
        if tokio::time::timeout(LOAD_WAIT, waiting).await.is_err() {
            log::debug!("the streams that the store has are not known yet");
        }
    }
}

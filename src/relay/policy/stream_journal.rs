//! The streams that a host writes to the store, in batches, so that their software versions are known after all hosts were
//! lost.
//!
//! A state machine without I/O. The batches form a ring of objects: each is written once and replaced when no caller can
//! come back for its streams any more.

use {
    super::stream_origins::{StreamKey, StreamRecord},
    crate::{
        relay::software_version::{ServerSoftware, SoftwareVersion},
        store::StorePosition,
    },
    faststr::FastStr,
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, HashMap},
        time::Duration,
    },
};

/// Number of batches of a host that the store keeps. At `FLUSH_DELAY` each they cover the longest lifetime of a stream.
pub const BATCHES_KEPT: u64 = 256;

/// How long streams are collected before they are written.
pub const FLUSH_DELAY: Duration = Duration::from_millis(250);

/// Maximum number of streams of a batch. What three hosts keep then stays within the greatest size of a list.
pub const BATCH_STREAMS_MAX: usize = 512;

/// Maximum number of streams that wait to be written, while the store does not answer. The oldest are dropped first.
const WAITING_MAX: usize = 8_192;

/// The streams of a batch that servers of one version began.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BatchGroup {
    /// The service.
    pub service: FastStr,
    /// The version of its servers.
    pub software: SoftwareVersion,
    /// The longest time for which the callers of these streams may come back, in milliseconds from the write.
    pub left_ms: u64,
    /// The keys of the streams, in hexadecimal.
    pub keys: Vec<StreamKeyText>,
}

/// A stream's key as the store keeps it: as text, since JSON numbers hold no 64 bits for every reader.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "FastStr", into = "String")]
pub struct StreamKeyText(pub StreamKey);

impl TryFrom<FastStr> for StreamKeyText {
    type Error = std::num::ParseIntError;

    fn try_from(text: FastStr) -> Result<Self, Self::Error> {
        u64::from_str_radix(&text, 16).map(|key| Self(StreamKey(key)))
    }
}

impl From<StreamKeyText> for String {
    fn from(key: StreamKeyText) -> Self {
        key.0.to_string()
    }
}

/// Streams as the store keeps them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamBatch {
    /// The host that wrote them.
    pub host: FastStr,
    /// Counts the batches of this host, over its restarts.
    pub sequence: u64,
    /// The streams by version.
    pub groups: Vec<BatchGroup>,
}

impl StreamBatch {
    fn new(host: FastStr, sequence: u64, records: &[StreamRecord]) -> Self {
        let mut groups: BTreeMap<&ServerSoftware, BatchGroup> = BTreeMap::new();
        for record in records {
            let group = groups.entry(&record.origin).or_insert_with(|| BatchGroup {
                service: record.origin.service.clone(),
                software: record.origin.software.clone(),
                left_ms: 0,
                keys: Vec::new(),
            });
            let left_ms = u64::try_from(record.time_left.as_millis()).unwrap_or(u64::MAX);
            group.left_ms = group.left_ms.max(left_ms);
            group.keys.push(StreamKeyText(record.key));
        }
        Self {
            host,
            sequence,
            groups: groups.into_values().collect(),
        }
    }

    /// The name of the object that holds it.
    pub fn object_name(&self) -> FastStr {
        FastStr::from_string(format!("{}.{}", self.host, self.sequence % BATCHES_KEPT))
    }

    /// The streams in it. The time since the write is not known, so each may be taken for younger than it is.
    pub fn records(&self) -> impl Iterator<Item = StreamRecord> + '_ {
        self.groups.iter().flat_map(|group| {
            let origin = ServerSoftware {
                service: group.service.clone(),
                software: group.software.clone(),
            };
            group.keys.iter().map(move |key| StreamRecord {
                key: key.0,
                origin: origin.clone(),
                time_left: Duration::from_millis(group.left_ms),
            })
        })
    }
}

// An object that another host wrote.
#[derive(Debug)]
struct StreamObject {
    host: FastStr,
    name: FastStr,
}

/// A batch to be written, with the position of the object that it replaces.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BatchWrite {
    /// The batch.
    pub batch: StreamBatch,
    /// The position of the batch that it replaces; unknown if there is none.
    pub replaces: StorePosition,
}

/// The streams that a host writes to the store.
#[derive(Debug, Default)]
pub struct StreamJournal {
    waiting: Vec<StreamRecord>,
    // Objects of other hosts, which may no longer keep streams.
    of_others: Vec<StreamObject>,
    // The positions of this host's batches, by the names of their objects.
    positions: HashMap<FastStr, StorePosition>,
    next_sequence: u64,
    // Whether the batches of earlier runs are known, so that none that may still be needed is replaced.
    is_loaded: bool,
}

impl StreamJournal {
    /// Adds streams to be written. Returns the number of older ones that were dropped.
    pub fn add(&mut self, records: impl IntoIterator<Item = StreamRecord>) -> usize {
        self.waiting.extend(records);
        let dropped = self.waiting.len().saturating_sub(WAITING_MAX);
        self.waiting.drain(..dropped);
        dropped
    }

    /// Whether streams wait to be written.
    pub fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Whether the batches of earlier runs are known.
    pub fn is_loaded(&self) -> bool {
        self.is_loaded
    }

    /// Records the batches that the store has of host `own`; its next one follows them.
    pub fn load<'a>(
        &mut self,
        own: &str,
        batches: impl Iterator<Item = (&'a StreamBatch, StorePosition)>,
    ) {
        for (batch, position) in batches {
            if batch.host != own {
                self.of_others.push(StreamObject {
                    host: batch.host.clone(),
                    name: batch.object_name(),
                });
                continue;
            }
            self.positions.insert(batch.object_name(), position);
            self.next_sequence = self.next_sequence.max(batch.sequence + 1);
        }
        self.is_loaded = true;
    }

    /// Takes the name of an object of a host that keeps no streams any more, as far as this host knew objects when it loaded
    /// them.
    pub fn take_outdated(&mut self, keeps: impl Fn(&str) -> bool) -> Option<FastStr> {
        self.of_others.retain(|object| !keeps(&object.host));
        self.of_others.pop().map(|object| object.name)
    }

    /// Takes back a batch that could not be written: its streams wait before all others.
    pub fn return_batch(&mut self, batch: &StreamBatch) {
        let room = WAITING_MAX.saturating_sub(self.waiting.len());
        let records: Vec<StreamRecord> = batch.records().take(room).collect();
        self.waiting.splice(..0, records);
    }

    /// Takes the next batch to be written by host `own`; `None` if there is none or the earlier ones are not known.
    pub fn take_batch(&mut self, own: &FastStr) -> Option<BatchWrite> {
        if !self.is_loaded || self.waiting.is_empty() {
            return None;
        }
        let count = self.waiting.len().min(BATCH_STREAMS_MAX);
        let records: Vec<StreamRecord> = self.waiting.drain(..count).collect();
        let batch = StreamBatch::new(own.clone(), self.next_sequence, &records);
        self.next_sequence += 1;
        let replaces = self.positions.get(&batch.object_name()).copied();
        Some(BatchWrite {
            batch,
            replaces: replaces.unwrap_or_default(),
        })
    }

    /// Records that a batch was written.
    pub fn batch_written(&mut self, batch: &StreamBatch, position: StorePosition) {
        self.positions.insert(batch.object_name(), position);
    }
}

//! The streams that began lately, and the software version that each began with.
//!
//! A state machine without I/O. It holds the streams that this host began and those that other hosts told it of, each until
//! its caller can no longer come back for it.

use {
    crate::relay::software_version::ServerSoftware,
    faststr::FastStr,
    std::{
        collections::{BTreeSet, HashMap},
        fmt,
        time::Duration,
    },
    xxhash_rust::xxh3,
};

/// Longest time for which a caller may come back for a stream.
pub const MAX_STREAM_LIFETIME: Duration = Duration::from_secs(60);

/// Maximum number of streams; those whose callers may come back for the shortest time are evicted first.
pub const MAX_STREAMS: usize = 8_192;

/// Identifies a stream among all hosts: a hash of its account, its target and the id of the request that began it, so that
/// a caller finds only streams of its own account.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StreamKey(pub u64);

impl StreamKey {
    /// The key of the stream that this request of an account began.
    pub fn of(account: &str, target: &str, request: &str) -> Self {
        let mut hasher = xxh3::Xxh3::new();
        for text in [account, target, request] {
            hasher.update(&(text.len() as u64).to_le_bytes());
            hasher.update(text.as_bytes());
        }
        Self(hasher.digest())
    }
}

impl fmt::Display for StreamKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// A stream as hosts tell each other of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamRecord {
    /// The stream.
    pub key: StreamKey,
    /// The servers that began it.
    pub origin: ServerSoftware,
    /// For how much longer its caller may come back for it.
    pub time_left: Duration,
}

#[derive(Debug)]
struct KnownStream {
    origin: ServerSoftware,
    expires_at: Duration,
    // Whether this host began it and has not told others of it.
    is_untold: bool,
}

/// The streams that began lately, by their keys.
#[derive(Debug, Default)]
pub struct StreamOrigins {
    streams: HashMap<StreamKey, KnownStream>,
    by_expiry: BTreeSet<(Duration, StreamKey)>,
    untold: BTreeSet<StreamKey>,
}

impl StreamOrigins {
    /// Number of streams.
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }

    /// Records a stream that this host begins.
    pub fn record_begin(&mut self, record: StreamRecord, now: Duration) {
        self.insert(record, true, now);
    }

    /// Records a stream that another host began.
    pub fn record_told(&mut self, record: StreamRecord, now: Duration) {
        self.insert(record, false, now);
    }

    fn insert(&mut self, record: StreamRecord, is_untold: bool, now: Duration) {
        let StreamRecord {
            key,
            origin,
            time_left,
        } = record;
        self.remove(key);
        while self.streams.len() >= MAX_STREAMS {
            let Some((_, first)) = self.by_expiry.first().copied() else {
                break;
            };
            self.remove(first);
        }
        let expires_at = now + time_left.min(MAX_STREAM_LIFETIME);
        self.by_expiry.insert((expires_at, key));
        if is_untold {
            self.untold.insert(key);
        }
        let known = KnownStream {
            origin,
            expires_at,
            is_untold,
        };
        self.streams.insert(key, known);
        assert_eq!(
            self.streams.len(),
            self.by_expiry.len(),
            "each stream expires once"
        );
    }

    fn remove(&mut self, key: StreamKey) {
        let Some(known) = self.streams.remove(&key) else {
            return;
        };
        self.by_expiry.remove(&(known.expires_at, key));
        if known.is_untold {
            self.untold.remove(&key);
        }
    }

    /// What is known of a stream.
    pub fn find(&self, key: StreamKey, now: Duration) -> Option<StreamRecord> {
        let known = self.streams.get(&key)?;
        let time_left = known.expires_at.checked_sub(now)?;
        Some(StreamRecord {
            key,
            origin: known.origin.clone(),
            time_left,
        })
    }

    /// All streams that are known.
    pub fn records(&self, now: Duration) -> Vec<StreamRecord> {
        let keys = self.streams.keys();
        keys.filter_map(|key| self.find(*key, now)).collect()
    }

    /// Takes at most `count` streams of some services that other hosts have not been told of.
    pub fn take_untold(
        &mut self,
        count: usize,
        services: &BTreeSet<FastStr>,
        now: Duration,
    ) -> Vec<StreamRecord> {
        let streams = &self.streams;
        let wanted = self.untold.iter().filter(|key| {
            let known = streams.get(key);
            known.is_some_and(|known| services.contains(&known.origin.service))
        });
        let keys: Vec<StreamKey> = wanted.take(count).copied().collect();
        for key in &keys {
            self.untold.remove(key);
            if let Some(known) = self.streams.get_mut(key) {
                known.is_untold = false;
            }
        }
        let records = keys.into_iter().filter_map(|key| self.find(key, now));
        records.collect()
    }

    /// Whether there are streams that other hosts may have to be told of.
    pub fn has_untold(&self) -> bool {
        !self.untold.is_empty()
    }

    /// Evicts the streams whose callers can no longer come back.
    pub fn evict_expired(&mut self, now: Duration) {
        while let Some((expires_at, key)) = self.by_expiry.first().copied()
            && expires_at <= now
        {
            self.remove(key);
        }
    }
}

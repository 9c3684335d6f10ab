//! The stand-in platform's objects and the faults it can be told to have.

use {
    crate::{
        object::{AnyObject, kind},
        store::ObjectList,
    },
    faststr::FastStr,
    std::{
        collections::BTreeMap,
        sync::{Arc, Mutex, MutexGuard},
        time::Duration,
    },
    tokio::sync::watch,
};

/// Versions for which a watch may start in the past.
const WATCH_HISTORY: u64 = 256;

/// Largest object, bytes of JSON.
pub const OBJECT_LIMIT: usize = 1 << 20;

/// Faults that the stand-in has for as long as it is told so.
#[derive(Debug, Clone, Default)]
pub struct PlatformFaults {
    /// Answers nothing.
    pub down: bool,
    /// Waits before each answer.
    pub delay: Duration,
    /// Reads show the state that was when this was set.
    pub stale: bool,
    /// Writes take effect and are not answered.
    pub lose_answers: bool,
}

/// Calls that the stand-in answered.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PlatformCounts {
    /// Reads.
    pub reads: u64,
    /// Writes.
    pub writes: u64,
    /// Watches begun.
    pub watches: u64,
}

/// Why the stand-in refused a write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreRefusal {
    /// The object has another version.
    Conflict(String),
    /// There is no such object.
    NotFound,
    /// The object is too large.
    TooLarge,
}

#[derive(Debug, Default)]
struct StoreState {
    version: u64,
    objects: BTreeMap<(FastStr, FastStr), AnyObject>,
    stale: Option<ObjectList>,
    faults: PlatformFaults,
    counts: PlatformCounts,
}

/// A stand-in platform.
#[derive(Debug)]
pub struct PlatformCore {
    state: Mutex<StoreState>,
    // Version of the last change that a watch without leases tells.
    version: watch::Sender<u64>,
}

impl PlatformCore {
    /// A platform without objects.
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::default(),
            version: watch::Sender::new(0),
        })
    }

    fn state(&self) -> MutexGuard<'_, StoreState> {
        self.state.lock().expect("platform state")
    }

    /// Changes the faults it has.
    pub fn set_faults(&self, change: impl FnOnce(&mut PlatformFaults)) {
        let mut state = self.state();
        change(&mut state.faults);
        state.stale = match (state.faults.stale, state.stale.take()) {
            (false, _) => None,
            (true, Some(kept)) => Some(kept),
            (true, None) => Some(state.list()),
        };
    }

    /// The faults it has.
    pub fn faults(&self) -> PlatformFaults {
        self.state().faults.clone()
    }

    /// Calls answered so far.
    pub fn counts(&self) -> PlatformCounts {
        self.state().counts
    }

    /// All objects, as a read shows them.
    pub fn list(&self) -> ObjectList {
        let mut state = self.state();
        state.counts.reads += 1;
        match &state.stale {
            Some(list) => list.clone(),
            None => state.list(),
        }
    }

    /// One object, as a read shows it.
    pub fn get(&self, kind: &str, name: &str) -> Option<AnyObject> {
        let list = self.list();
        list.items
            .into_iter()
            .find(|object| object.kind == kind && object.metadata.name == name)
    }

    /// Creates or changes an object; its version has to be the one that is there, 0 for none.
    pub fn put(&self, mut object: AnyObject) -> Result<AnyObject, StoreRefusal> {
        let size = serde_json::to_vec(&object).map_or(usize::MAX, |bytes| bytes.len());
        if size > OBJECT_LIMIT {
            return Err(StoreRefusal::TooLarge);
        }
        let mut state = self.state();
        state.counts.writes += 1;
        let key = (object.kind.clone(), object.metadata.name.clone());
        let there = state
            .objects
            .get(&key)
            .map_or(0, |known| known.metadata.resource_version);
        if there != object.metadata.resource_version {
            let shown = object.metadata.resource_version;
            let text = format!("{}/{}: version is {there}, not {shown}", key.0, key.1);
            return Err(StoreRefusal::Conflict(text));
        }
        state.version += 1;
        object.metadata.resource_version = state.version;
        state.objects.insert(key, object.clone());
        if object.kind != kind::LEASE {
            self.version.send_replace(state.version);
        }
        Ok(object)
    }

    /// Deletes an object of this version.
    pub fn delete(&self, kind: &str, name: &str, version: u64) -> Result<AnyObject, StoreRefusal> {
        let mut state = self.state();
        state.counts.writes += 1;
        let key = (FastStr::new(kind), FastStr::new(name));
        let there = match state.objects.get(&key) {
            Some(known) => known.metadata.resource_version,
            None => return Err(StoreRefusal::NotFound),
        };
        if there != version {
            let text = format!("{kind}/{name}: version is {there}, not {version}");
            return Err(StoreRefusal::Conflict(text));
        }
        state.version += 1;
        let removed = state.objects.remove(&key).expect("just found");
        self.version.send_replace(state.version);
        Ok(removed)
    }

    /// Whether a watch may start after this version.
    pub fn may_watch(&self, since: u64) -> bool {
        let mut state = self.state();
        state.counts.watches += 1;
        since + WATCH_HISTORY >= state.version
    }

    /// Waits for a change, of leases aside, after `since` and gives its version; none when the time is over.
    pub async fn changed(&self, since: u64, time: Duration) -> Option<u64> {
        let mut versions = self.version.subscribe();
        let newer = versions.wait_for(|version| *version > since);
        match tokio::time::timeout(time, newer).await {
            Ok(Ok(version)) => Some(*version),
            Ok(Err(_)) | Err(_) => None,
        }
    }
}

impl StoreState {
    fn list(&self) -> ObjectList {
        ObjectList {
            resource_version: self.version,
            items: self.objects.values().cloned().collect(),
        }
    }
}

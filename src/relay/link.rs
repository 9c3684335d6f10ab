//! The store as a relaying host needs it: typed objects, read, watched and written under a condition.

use {
    super::{backend::BackendInfo, config::RelayConfig, policy::crash_report::StoredVerdict},
    crate::{
        control::LeaseSpec,
        store::{EraTracker, StoreFailure, StorePosition},
    },
    faststr::FastStr,
    futures::{FutureExt, future::LocalBoxFuture},
    serde::{Deserialize, Serialize},
    std::{fmt, net::SocketAddr, rc::Rc, time::Duration},
};

/// The kinds of objects that a host reads or writes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum StoreKind {
    /// The operators' configuration.
    Config,
    /// Backend servers; written by themselves.
    Backends,
    /// Hosts; written by themselves.
    Hosts,
    /// Leases.
    Leases,
}

/// A host as others find it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostEntry {
    /// Its name.
    pub name: FastStr,
    /// Its availability zone.
    pub zone: FastStr,
    /// Where other hosts connect.
    pub peers: SocketAddr,
    /// How much it can do for others, in Mbit/s of its link; 0 where that is not known.
    #[serde(default)]
    pub strength: u32,
    /// Requests that end their servers, of which this host was the first to know.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub judged: Vec<StoredVerdict>,
}

/// What an object holds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum StoreValue {
    /// The configuration.
    Config(RelayConfig),
    /// A backend server.
    Backend(BackendInfo),
    /// A host.
    Host(HostEntry),
    /// A lease.
    Lease(LeaseSpec),
}

/// An object.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StoreItem {
    /// Its name within its kind.
    pub name: FastStr,
    /// The store's position of its last change; that of an object that is not there where none is known.
    #[serde(flatten)]
    pub position: StorePosition,
    /// What it holds.
    pub value: StoreValue,
}

/// How new a list has to be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListAge {
    /// The newest there is.
    Newest,
    /// It may be some seconds behind, for a tenth of the price; its position tells how far, and a watch from there
    /// brings the rest.
    MayLag,
}

/// All objects of a kind.
#[derive(Debug, Clone, PartialEq)]
pub struct StoreList {
    /// The objects.
    pub items: Vec<StoreItem>,
    /// The store's position that the list shows.
    pub position: StorePosition,
    /// Calls that it took: long lists come in pages.
    pub calls: u32,
}

/// A change of an object.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum StoreChange {
    /// It is now this.
    Set(StoreItem),
    /// It is gone.
    Removed(FastStr),
}

/// The changes after a position.
#[derive(Debug, Clone, PartialEq)]
pub struct StoreChanges {
    /// The changes, in order.
    pub changes: Vec<StoreChange>,
    /// The store's position up to which they go.
    pub position: StorePosition,
}

/// The future of a call to the store.
pub type StoreCall<T> = LocalBoxFuture<'static, Result<T, StoreFailure>>;

type ListCall = dyn Fn(StoreKind, ListAge) -> StoreCall<StoreList>;
type WatchCall = dyn Fn(StoreKind, StorePosition, Duration) -> StoreCall<StoreChanges>;
type GetCall = dyn Fn(StoreKind, &str) -> StoreCall<StoreItem>;
type PutCall = dyn Fn(StoreKind, StoreItem) -> StoreCall<StorePosition>;
type DeleteCall = dyn Fn(StoreKind, &str) -> StoreCall<()>;

/// The calls to the store; each is made once and answers within a bounded time.
pub struct StoreLink {
    /// Reads all objects of a kind.
    pub list: Box<ListCall>,
    /// Waits at most this long for changes after a position; gives none when there are none. A position of an
    /// earlier era is one whose history is gone.
    pub watch: Box<WatchCall>,
    /// Reads an object.
    pub get: Box<GetCall>,
    /// Writes an object if it still has the item's position, an unknown one for one that is not there; gives its
    /// new position. What was read in an earlier era is no condition that a write can have.
    pub put: Box<PutCall>,
    /// Removes an object.
    pub delete: Box<DeleteCall>,
    /// The era that its answers name.
    pub eras: Rc<EraTracker>,
}

/// Told of each call once it is over, and whether the store answered it.
pub type AnswerNote = dyn Fn(bool);

impl StoreLink {
    /// The same calls, with a note of each that is over.
    pub fn with_note(self, note: Rc<AnswerNote>) -> Self {
        let notes = [(); 5].map(|()| note.clone());
        let [list_note, watch_note, get_note, put_note, delete_note] = notes;
        let Self {
            list,
            watch,
            get,
            put,
            delete,
            eras,
        } = self;
        Self {
            list: Box::new(move |kind, age| noted(list(kind, age), &list_note)),
            watch: Box::new(move |kind, since, wait| noted(watch(kind, since, wait), &watch_note)),
            get: Box::new(move |kind, name| noted(get(kind, name), &get_note)),
            put: Box::new(move |kind, item| noted(put(kind, item), &put_note)),
            delete: Box::new(move |kind, name| noted(delete(kind, name), &delete_note)),
            eras,
        }
    }
}

fn noted<T: 'static>(call: StoreCall<T>, note: &Rc<AnswerNote>) -> StoreCall<T> {
    let note = note.clone();
    let calling = async move {
        let answer = call.await;
        note(answer.as_ref().err().is_none_or(StoreFailure::is_answer));
        answer
    };
    calling.boxed_local()
}

impl fmt::Debug for StoreLink {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("StoreLink")
    }
}

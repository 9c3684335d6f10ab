//! The store interface of a relaying host: typed objects with list, watch, get, conditional put and delete.

use {
    super::{
        backend::BackendInfo,
        config::RelayConfig,
        policy::{
            crash_report::StoredVerdict, software_history::ServiceSoftware,
            stream_journal::StreamBatch,
        },
    },
    crate::{
        control::LeaseSpec,
        store::{EraTracker, StoreFailure, StorePosition},
    },
    faststr::FastStr,
    futures::{FutureExt, future::LocalBoxFuture},
    serde::{Deserialize, Serialize},
    std::{fmt, net::SocketAddr, rc::Rc, time::Duration},
};

/// A kind of objects that a host reads or writes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum StoreKind {
    /// The operators' configuration.
    Config,
    /// Backend servers, each written by the server itself.
    Backends,
    /// Hosts, each written by the host itself.
    Hosts,
    /// Leases.
    Leases,
    /// Evacuations of availability zones, each written by operators and named after the zone.
    Evacuations,
    /// Streams that began lately, written in batches by a few hosts.
    Streams,
}

/// A host's entry in the store, by which other hosts find it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostEntry {
    /// The host's name.
    pub name: FastStr,
    /// The host's availability zone.
    pub zone: FastStr,
    /// The address that other hosts connect to.
    pub peers: SocketAddr,
    /// The port, at the same address, on which the host carries connections of other hosts to backend servers; 0 if it
    /// carries none.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub carrier_port: u16,
    /// The host's capacity to serve other hosts: its link bandwidth in Mbit/s, 0 if unknown.
    #[serde(default, rename = "strength")]
    pub link_mbps: u32,
    /// Requests that crash their servers, as first identified by this host.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub judged: Vec<StoredVerdict>,
    /// The software versions that the servers of each service had lately, kept by a few hosts.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub software: Vec<ServiceSoftware>,
}

fn is_zero(port: &u16) -> bool {
    *port == 0
}

/// The content of an object.
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
    /// An evacuation of the availability zone with the object's name.
    Evacuation,
    /// Streams that began lately.
    Streams(StreamBatch),
}

/// An object in the store.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StoreItem {
    /// The object's name, unique within its kind.
    pub name: FastStr,
    /// The store position of the object's last change; an unknown position stands for an object that does not exist.
    #[serde(flatten)]
    pub position: StorePosition,
    /// The object's content.
    pub value: StoreValue,
}

/// How up to date a list has to be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListFreshness {
    /// The latest state.
    Latest,
    /// It may be a few seconds behind, at a tenth of the cost. Its position tells how far, and a watch from there
    /// delivers the later changes.
    MayLag,
}

/// All objects of a kind.
#[derive(Debug, Clone, PartialEq)]
pub struct StoreList {
    /// The objects.
    pub items: Vec<StoreItem>,
    /// The store position that the list reflects.
    pub position: StorePosition,
    /// Number of calls that it took; long lists are paged.
    pub calls: u32,
}

/// A change of an object.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum StoreChange {
    /// The object was created, or replaced by this one.
    Set(StoreItem),
    /// The object with this name was deleted.
    Removed(FastStr),
}

impl StoreChange {
    /// The change that lists this entry. Positions of individual backend servers are not kept, since no conditional
    /// write uses them.
    pub fn of_backend(info: BackendInfo) -> Self {
        Self::Set(StoreItem {
            name: info.id.clone(),
            position: StorePosition::default(),
            value: StoreValue::Backend(info),
        })
    }
}

/// The changes after a position.
#[derive(Debug, Clone, PartialEq)]
pub struct StoreChanges {
    /// The changes, in order.
    pub changes: Vec<StoreChange>,
    /// The store position up to which they go.
    pub position: StorePosition,
}

/// The future of a call to the store.
pub type StoreCall<T> = LocalBoxFuture<'static, Result<T, StoreFailure>>;

type ListCall = dyn Fn(StoreKind, ListFreshness) -> StoreCall<StoreList>;
type WatchCall = dyn Fn(StoreKind, StorePosition, Duration) -> StoreCall<StoreChanges>;
type GetCall = dyn Fn(StoreKind, &str) -> StoreCall<StoreItem>;
type PutCall = dyn Fn(StoreKind, StoreItem) -> StoreCall<StorePosition>;
type DeleteCall = dyn Fn(StoreKind, &str) -> StoreCall<()>;

/// The calls to the store. Each is made once, without retries, and completes within a bounded time.
pub struct StoreLink {
    /// Reads all objects of a kind.
    pub list: Box<ListCall>,
    /// Waits at most this long for changes after a position; the result is empty if there were none. The history after
    /// a position of an earlier era is no longer available.
    pub watch: Box<WatchCall>,
    /// Reads an object.
    pub get: Box<GetCall>,
    /// Writes an object if it still has the item's position, or does not exist if that position is unknown. Returns the
    /// new position. A position read in an earlier era cannot be the condition of a write.
    pub put: Box<PutCall>,
    /// Deletes an object.
    pub delete: Box<DeleteCall>,
    /// The latest era reported in the store's responses.
    pub eras: Rc<EraTracker>,
}

/// Called after each call to the store, with whether the store answered it.
pub type CallObserver = dyn Fn(bool);

impl StoreLink {
    /// Wraps all calls so that the observer is called after each of them.
    pub fn with_observer(self, observer: Rc<CallObserver>) -> Self {
        let observers = [(); 5].map(|()| observer.clone());
        let [on_list, on_watch, on_get, on_put, on_delete] = observers;
        let Self {
            list,
            watch,
            get,
            put,
            delete,
            eras,
        } = self;
        Self {
            list: Box::new(move |kind, freshness| observed(list(kind, freshness), &on_list)),
            watch: Box::new(move |kind, since, wait| observed(watch(kind, since, wait), &on_watch)),
            get: Box::new(move |kind, name| observed(get(kind, name), &on_get)),
            put: Box::new(move |kind, item| observed(put(kind, item), &on_put)),
            delete: Box::new(move |kind, name| observed(delete(kind, name), &on_delete)),
            eras,
        }
    }
}

fn observed<T: 'static>(call: StoreCall<T>, observer: &Rc<CallObserver>) -> StoreCall<T> {
    let observer = observer.clone();
    let calling = async move {
        let answer = call.await;
        observer(answer.as_ref().err().is_none_or(StoreFailure::is_answer));
        answer
    };
    calling.boxed_local()
}

impl fmt::Debug for StoreLink {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("StoreLink")
    }
}

//! The platform's list of servers: the newest reading that any host of the zone has.

use {
    super::patch::{self, ObjectKey, SetPatch},
    crate::{
        object::{ObjectMeta, ServerSpec, Typed, kind},
        store::ObjectList,
    },
    faststr::FastStr,
    serde::{Deserialize, Serialize},
};

/// Label on a server that the platform lists as an entry host.
pub const ROLE_LABEL: &str = "bayplank/role";

/// Value of [`ROLE_LABEL`] for entry hosts.
pub const ENTRY_ROLE: &str = "entry";

/// The servers that the platform lists, and the store's version at which they last changed.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerList {
    /// Version of the store; 0 before anything was read.
    pub version: u64,
    /// The servers.
    pub servers: Vec<Typed<ServerSpec>>,
}

/// What a host passes on of its list to one that has an older one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServersPatch {
    /// Version of the store that it leads to.
    pub version: u64,
    /// What changed.
    pub servers: SetPatch<Typed<ServerSpec>>,
}

fn identify(server: &Typed<ServerSpec>) -> (ObjectKey, &ObjectMeta) {
    let kind = FastStr::from_static_str(kind::SERVER);
    ((kind, server.metadata.name.clone()), &server.metadata)
}

impl ServerList {
    /// What to pass on to a host that has the list as of `since`; 0 gives the whole.
    pub fn patch_since(&self, since: u64) -> ServersPatch {
        ServersPatch {
            version: self.version,
            servers: patch::make_patch(&self.servers, since, identify),
        }
    }

    /// This list after a patch; none when the whole has to be asked for.
    pub fn patched(&self, patch: &ServersPatch) -> Option<Self> {
        let servers = patch::apply_patch(&self.servers, &patch.servers, identify)?;
        Some(Self {
            version: patch.version,
            servers,
        })
    }

    /// Takes a reading of the store; an older one, or one that changes nothing, is ignored.
    pub fn read_store(&mut self, list: &ObjectList) -> bool {
        let servers: Vec<Typed<ServerSpec>> = list
            .items
            .iter()
            .filter(|object| object.kind == kind::SERVER)
            .filter_map(|object| object.typed().ok())
            .collect();
        let newer = Self {
            version: list.resource_version,
            servers,
        };
        newer.servers != self.servers && self.offer(newer)
    }

    /// Takes the list that another host has, if it is newer.
    pub fn offer(&mut self, list: Self) -> bool {
        let is_newer = list.version > self.version;
        if is_newer {
            *self = list;
        }
        is_newer
    }

    /// The servers of an availability zone.
    pub fn in_zone(&self, zone: &FastStr) -> impl Iterator<Item = &Typed<ServerSpec>> {
        self.servers
            .iter()
            .filter(move |server| server.spec.zone == *zone)
    }

    /// The entry hosts among the servers.
    pub fn entry_hosts(&self) -> impl Iterator<Item = &Typed<ServerSpec>> {
        self.servers.iter().filter(|server| {
            let role = server.metadata.labels.get(ROLE_LABEL);
            role.is_some_and(|role| role == ENTRY_ROLE)
        })
    }
}

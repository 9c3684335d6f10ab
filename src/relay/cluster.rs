//! What a host believes of the configuration, the backend servers and the other hosts.
//!
//! A plain state machine: what the store or another host said goes in, what is in force comes out. A
//! newer version is never replaced by an older one.

use {
    super::{
        backend::BackendInfo,
        config::RelayConfig,
        link::{HostEntry, StoreChange, StoreItem, StoreValue},
        route::RouteTable,
    },
    faststr::FastStr,
    std::{collections::BTreeMap, rc::Rc, time::Duration},
};

/// How long a backend server whose entry lapsed while the store was away is still used: those that
/// live are listed again within about two seconds of the store's return.
const LAPSE_GRACE: Duration = Duration::from_millis(1_700);

/// How long after trouble with the store a missing entry may have lapsed for that reason.
const TROUBLE_TIME: Duration = Duration::from_secs(3);

/// What a host believes of its surroundings.
#[derive(Debug, Default)]
pub struct ClusterState {
    routes: Option<Rc<RouteTable>>,
    backends: BTreeMap<FastStr, BackendInfo>,
    revision: u64,
    lapsed: BTreeMap<FastStr, (BackendInfo, Duration)>,
    hosts: BTreeMap<FastStr, HostEntry>,
    trouble_at: Option<Duration>,
}

impl ClusterState {
    /// The routes in force.
    pub fn routes(&self) -> Option<Rc<RouteTable>> {
        self.routes.clone()
    }

    /// Version of the configuration in force; 0 when there is none.
    pub fn config_version(&self) -> u64 {
        self.routes
            .as_ref()
            .map_or(0, |routes| routes.config().version)
    }

    /// The store's revision that the list of backend servers shows.
    pub fn backends_revision(&self) -> u64 {
        self.revision
    }

    /// Takes a configuration if it is newer than the one in force.
    pub fn offer_config(&mut self, config: RelayConfig) -> bool {
        let before = self.config_version();
        if config.version <= before {
            return false;
        }
        self.routes = Some(Rc::new(RouteTable::new(config)));
        assert!(
            self.config_version() > before,
            "a configuration never reverts"
        );
        true
    }

    /// The store did not answer, or not in time.
    pub fn note_trouble(&mut self, now: Duration) {
        self.trouble_at = Some(now);
    }

    fn had_trouble(&self, now: Duration) -> bool {
        self.trouble_at
            .is_some_and(|at| now.saturating_sub(at) < TROUBLE_TIME)
    }

    /// Takes the whole list of backend servers as of a revision, unless a newer one is known.
    pub fn set_backends(&mut self, list: Vec<BackendInfo>, revision: u64, now: Duration) -> bool {
        if revision < self.revision {
            return false;
        }
        let before = std::mem::take(&mut self.backends);
        self.revision = revision;
        for info in list {
            self.lapsed.remove(&info.id);
            self.backends.insert(info.id.clone(), info);
        }
        for (id, info) in before {
            if !self.backends.contains_key(&id) {
                self.remove(info, now);
            }
        }
        true
    }

    /// Takes changes up to a revision.
    pub fn change_backends(&mut self, changes: Vec<StoreChange>, revision: u64, now: Duration) {
        if revision < self.revision {
            return;
        }
        self.revision = revision;
        for change in changes {
            match change {
                StoreChange::Set(StoreItem {
                    value: StoreValue::Backend(info),
                    ..
                }) => {
                    self.lapsed.remove(&info.id);
                    self.backends.insert(info.id.clone(), info);
                }
                StoreChange::Set(_) => {}
                StoreChange::Removed(id) => {
                    if let Some(info) = self.backends.remove(&id) {
                        self.remove(info, now);
                    }
                }
            }
        }
    }

    // An entry that is removed while the store is well means that its server leaves.
    fn remove(&mut self, info: BackendInfo, now: Duration) {
        if self.had_trouble(now) && !info.leaving {
            let until = now + LAPSE_GRACE;
            self.lapsed.insert(info.id.clone(), (info, until));
        }
    }

    /// Forgets lapsed entries whose time is over; gives whether there were any.
    pub fn expire(&mut self, now: Duration) -> bool {
        let before = self.lapsed.len();
        self.lapsed.retain(|_, (_, until)| now < *until);
        self.lapsed.len() != before
    }

    /// The backend servers that may be used.
    pub fn usable(&self) -> Vec<BackendInfo> {
        let lapsed = self.lapsed.values().map(|(info, _)| info);
        self.backends.values().chain(lapsed).cloned().collect()
    }

    /// The backend servers that are listed.
    pub fn backends(&self) -> impl Iterator<Item = &BackendInfo> {
        self.backends.values()
    }

    /// Takes the list of hosts.
    pub fn set_hosts(&mut self, hosts: Vec<HostEntry>) {
        self.hosts = hosts
            .into_iter()
            .map(|entry| (entry.name.clone(), entry))
            .collect();
    }

    /// A host came, changed or went.
    pub fn change_host(&mut self, name: FastStr, entry: Option<HostEntry>) {
        match entry {
            Some(entry) => self.hosts.insert(name, entry),
            None => self.hosts.remove(&name),
        };
    }

    /// The hosts that are listed.
    pub fn hosts(&self) -> impl Iterator<Item = &HostEntry> {
        self.hosts.values()
    }

    /// Hosts that are listed, at least this one.
    pub fn host_count(&self) -> usize {
        self.hosts.len().max(1)
    }
}

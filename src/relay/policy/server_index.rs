//! Index of the listed backend servers, so that a decision looks only at those that it may choose.

use {
    super::loads::EngineKey,
    crate::{
        engine::EngineRole,
        relay::{backend::BackendInfo, software_version::SoftwareVersion},
    },
    faststr::FastStr,
    std::collections::HashMap,
};

/// Maximum number of servers of a pool that a choice looks at: enough to find one with room if a few in a hundred have
/// some.
const SAMPLE_MAX: usize = 256;

/// The servers of a service in one availability zone that have the same role and software version.
#[derive(Debug)]
pub(super) struct ServerPool {
    pub(super) role: Option<EngineRole>,
    pub(super) zone: FastStr,
    pub(super) software: SoftwareVersion,
    // In the order of the ids.
    pub(super) ids: Vec<FastStr>,
}

impl ServerPool {
    fn is_of(&self, info: &BackendInfo) -> bool {
        self.role == info.role && self.zone == info.zone && self.software == info.software
    }

    /// The ids of all servers, or of a part of a large pool that depends on the seed.
    pub(super) fn sample(&self, seed: u64) -> impl Iterator<Item = &FastStr> {
        let start = match self.ids.len() > SAMPLE_MAX {
            true => (seed % self.ids.len() as u64) as usize,
            false => 0,
        };
        let (before, after) = self.ids.split_at(start);
        after.iter().chain(before).take(SAMPLE_MAX)
    }

    fn place(&self, id: &FastStr) -> Result<usize, usize> {
        self.ids.binary_search(id)
    }
}

/// Servers by service, role, zone and software version, and by the key of their run.
#[derive(Debug, Default)]
pub(super) struct ServerIndex {
    pools: HashMap<FastStr, Vec<ServerPool>>,
    keys: HashMap<EngineKey, FastStr>,
}

impl ServerIndex {
    /// Adds a server.
    pub(super) fn insert(&mut self, info: &BackendInfo) {
        self.keys.insert(info.key(), info.id.clone());
        let pools = self.pools.entry(info.service.clone()).or_default();
        let known = pools.iter_mut().find(|pool| pool.is_of(info));
        let Some(pool) = known else {
            return pools.push(ServerPool {
                role: info.role,
                zone: info.zone.clone(),
                software: info.software.clone(),
                ids: vec![info.id.clone()],
            });
        };
        if let Err(place) = pool.place(&info.id) {
            pool.ids.insert(place, info.id.clone());
        }
    }

    /// Removes a server that was added with the same service, role, zone, software version and run.
    pub(super) fn remove(&mut self, info: &BackendInfo) {
        let key = info.key();
        if self.keys.get(&key) == Some(&info.id) {
            self.keys.remove(&key);
        }
        let Some(pools) = self.pools.get_mut(&info.service) else {
            return;
        };
        for pool in pools.iter_mut().filter(|pool| pool.is_of(info)) {
            if let Ok(place) = pool.place(&info.id) {
                pool.ids.remove(place);
            }
        }
        pools.retain(|pool| !pool.ids.is_empty());
        if pools.is_empty() {
            self.pools.remove(&info.service);
        }
    }

    /// The pools of a service.
    pub(super) fn pools(&self, service: &str) -> impl Iterator<Item = &ServerPool> {
        self.pools.get(service).into_iter().flatten()
    }

    /// The pools of a zone.
    pub(super) fn zone_pools(&self, zone: &str) -> impl Iterator<Item = &ServerPool> {
        let pools = self.pools.values().flatten();
        pools.filter(move |pool| pool.zone == zone)
    }

    /// The server with this key.
    pub(super) fn by_key(&self, key: EngineKey) -> Option<&FastStr> {
        self.keys.get(&key)
    }
}

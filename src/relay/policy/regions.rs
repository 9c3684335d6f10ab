//! The availability zones that a request and its data may reach, by the regions that its route and its client account
//! allow.

use {
    crate::relay::{backend::BackendInfo, software_version::SoftwareVersion},
    faststr::FastStr,
    std::{
        collections::{BTreeMap, BTreeSet},
        rc::Rc,
    },
};

/// The zones whose backend servers may run a request and keep its data.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct AllowedZones {
    // `None` for all zones.
    zones: Option<Rc<BTreeSet<FastStr>>>,
}

impl AllowedZones {
    /// The zones that lie in the regions of every list, by the region of each zone. No list allows all zones. A zone whose
    /// region is not known is allowed only if there is no list.
    pub fn within(regions: &BTreeMap<FastStr, FastStr>, lists: &[Option<&[FastStr]>]) -> Self {
        if lists.iter().all(Option::is_none) {
            return Self::default();
        }
        let is_allowed = |region: &FastStr| {
            let mut lists = lists.iter().flatten();
            lists.all(|allowed| allowed.contains(region))
        };
        let zones = regions.iter().filter(|(_, region)| is_allowed(region));
        let zones = zones.map(|(zone, _)| zone.clone()).collect();
        Self {
            zones: Some(Rc::new(zones)),
        }
    }

    /// Whether a zone is allowed.
    pub fn contains(&self, zone: &str) -> bool {
        let zones = self.zones.as_ref();
        zones.is_none_or(|zones| zones.contains(zone))
    }

    /// Whether the request is limited to some zones.
    pub fn is_restricted(&self) -> bool {
        self.zones.is_some()
    }
}

/// The servers that a request may reach.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct AllowedServers {
    /// Their availability zones.
    pub zones: AllowedZones,
    /// The version of their software, if the request continues a stream.
    pub software: Option<SoftwareVersion>,
}

/// The zone that a request prefers and the servers that it may reach.
#[derive(Debug, Clone, Copy)]
pub struct RequestOrigin<'a> {
    /// The zone whose servers are preferred: usually that of the host that received the request.
    pub zone: &'a str,
    /// The zones that it may reach; `None` for all.
    pub allowed: Option<&'a AllowedZones>,
    /// The software version of the servers that it may reach; `None` for all.
    pub software: Option<&'a SoftwareVersion>,
}

impl<'a> RequestOrigin<'a> {
    /// The same for servers of one software version only.
    pub fn of_software(self, software: &'a SoftwareVersion) -> Self {
        Self {
            software: Some(software),
            ..self
        }
    }

    /// Whether the request may reach servers of a software version in a zone.
    pub fn allows(&self, zone: &str, software: &SoftwareVersion) -> bool {
        self.allowed.is_none_or(|allowed| allowed.contains(zone))
            && self.software.is_none_or(|bound| software.continues(bound))
    }

    /// Whether the request may reach a server.
    pub fn allows_server(&self, info: &BackendInfo) -> bool {
        self.allows(&info.zone, &info.software)
    }
}

/// A request from a zone that may reach all servers.
impl<'a> From<&'a str> for RequestOrigin<'a> {
    fn from(zone: &'a str) -> Self {
        Self {
            zone,
            allowed: None,
            software: None,
        }
    }
}

impl<'a> From<&'a FastStr> for RequestOrigin<'a> {
    fn from(zone: &'a FastStr) -> Self {
        Self::from(zone.as_str())
    }
}

//! Route lookup: by host, then by the longest path prefix.

use {
    super::priority_loads::PriorityClass,
    crate::{
        account::AccountDirectory,
        relay::config::{RelayConfig, RelayRoute, RelayService},
    },
    faststr::FastStr,
    rand::RngExt,
    std::{
        collections::{BTreeSet, HashMap},
        rc::Rc,
    },
};

/// Number of priority classes of a service. Their sums are part of each load report.
const PRIORITY_CLASSES_MAX: usize = 4;

/// A configuration indexed for lookups.
#[derive(Debug)]
pub struct RouteTable {
    config: RelayConfig,
    // Indexes of a host's routes, longest prefix first.
    by_host: HashMap<FastStr, Vec<usize>>,
    services: HashMap<FastStr, Rc<RelayService>>,
    accounts: Option<AccountDirectory>,
    // The different priorities of the requests to a service, most urgent first, for services that have several.
    priorities: HashMap<FastStr, Vec<u8>>,
}

impl RouteTable {
    /// Indexes a configuration.
    pub fn new(config: RelayConfig) -> Self {
        let routes = &config.routes;
        let mut by_host: HashMap<FastStr, Vec<usize>> = HashMap::new();
        for (index, route) in routes.iter().enumerate() {
            by_host.entry(route.host.clone()).or_default().push(index);
        }
        for indexes in by_host.values_mut() {
            indexes.sort_by_key(|index| std::cmp::Reverse(routes[*index].path_prefix.len()));
        }
        let services = config
            .services
            .iter()
            .map(|service| (service.name.clone(), Rc::new(service.clone())))
            .collect();
        let accounts = config.accounts.as_deref().map(AccountDirectory::new);
        let priorities = service_priorities(&config);
        Self {
            config,
            by_host,
            services,
            accounts,
            priorities,
        }
    }

    /// The configuration.
    pub fn config(&self) -> &RelayConfig {
        &self.config
    }

    /// The client accounts; `None` if requests need no API key.
    pub fn accounts(&self) -> Option<&AccountDirectory> {
        self.accounts.as_ref()
    }

    /// The route of a request, by its `Host` header and path.
    pub fn find(&self, host: &str, path: &str) -> Option<Rc<RelayRoute>> {
        let name = normalize_host(host);
        let indexes = self.by_host.get(name.as_str())?;
        let mut routes = indexes.iter().map(|index| &self.config.routes[*index]);
        let route = routes.find(|route| path.starts_with(route.path_prefix.as_str()))?;
        Some(route.clone())
    }

    /// A service by its name.
    pub fn service(&self, name: &str) -> Option<Rc<RelayService>> {
        self.services.get(name).cloned()
    }

    /// The class to which a request for a service counts; `None` if all its requests have the same priority.
    /// Priorities beyond the most urgent few count as one.
    pub fn priority_class(&self, service: &FastStr, priority: u8) -> Option<PriorityClass> {
        let known = self.priorities.get(service)?;
        let place = known.partition_point(|known| *known < priority);
        let last = known.len().min(PRIORITY_CLASSES_MAX) - 1;
        Some(PriorityClass {
            service: service.clone(),
            priority: known[place.min(last)],
        })
    }

    /// Picks the service for the next request of a route at random, by weight.
    pub fn draw_service(&self, route: &RelayRoute) -> Option<Rc<RelayService>> {
        let total: u32 = route.shares.iter().map(|share| share.weight).sum();
        if total == 0 {
            return None;
        }
        let mut point = rand::rng().random_range(0..total);
        for share in &route.shares {
            if point < share.weight {
                return self.service(&share.service);
            }
            point -= share.weight;
        }
        None
    }
}

// An account's priority overrides those of all routes that need a key.
fn service_priorities(config: &RelayConfig) -> HashMap<FastStr, Vec<u8>> {
    let accounts = config.accounts.iter().flatten();
    let of_accounts: BTreeSet<u8> = accounts.filter_map(|account| account.priority).collect();
    let mut priorities: HashMap<FastStr, BTreeSet<u8>> = HashMap::new();
    for route in &config.routes {
        for share in &route.shares {
            let known = priorities.entry(share.service.clone()).or_default();
            known.insert(route.priority);
            if !route.is_public {
                known.extend(&of_accounts);
            }
        }
    }
    let several = priorities.into_iter().filter(|(_, known)| known.len() > 1);
    several
        .map(|(service, known)| (service, known.into_iter().collect()))
        .collect()
}

// Strips the port of a `Host` header and converts it to lower case.
fn normalize_host(host: &str) -> String {
    let name = match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    };
    name.to_ascii_lowercase()
}

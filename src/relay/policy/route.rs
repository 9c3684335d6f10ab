//! Route lookup: by host, then by the longest path prefix.

use {
    crate::{
        account::AccountDirectory,
        relay::config::{RelayConfig, RelayRoute, RelayService},
    },
    faststr::FastStr,
    rand::RngExt,
    std::{collections::HashMap, rc::Rc},
};

/// A configuration indexed for lookups.
#[derive(Debug)]
pub struct RouteTable {
    config: RelayConfig,
    // Indexes of a host's routes, longest prefix first.
    by_host: HashMap<FastStr, Vec<usize>>,
    routes: Vec<Rc<RelayRoute>>,
    services: HashMap<FastStr, Rc<RelayService>>,
    accounts: Option<AccountDirectory>,
}

impl RouteTable {
    /// Indexes a configuration.
    pub fn new(config: RelayConfig) -> Self {
        let routes: Vec<_> = config.routes.iter().cloned().map(Rc::new).collect();
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
        Self {
            config,
            by_host,
            routes,
            services,
            accounts,
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
        let index = indexes
            .iter()
            .find(|index| path.starts_with(self.routes[**index].path_prefix.as_str()))?;
        Some(self.routes[*index].clone())
    }

    /// A service by its name.
    pub fn service(&self, name: &str) -> Option<Rc<RelayService>> {
        self.services.get(name).cloned()
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

// Strips the port of a `Host` header and converts it to lower case.
fn normalize_host(host: &str) -> String {
    let name = match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    };
    name.to_ascii_lowercase()
}

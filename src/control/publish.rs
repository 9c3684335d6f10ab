//! Giving traffic what it needs of the control state.

use {
    super::{
        parts::{ControlParts, ControlState},
        snapshot::{ControlSnapshot, PeerAddress},
    },
    crate::{
        engine::{self, EngineLink, EngineRole},
        object::{LabelSelector, ServerSpec, Typed},
        peer,
        route::{EngineInfo, ServerInfo},
    },
    faststr::FastStr,
    std::{collections::BTreeMap, sync::Arc},
};

/// Engines of a role that a host uses in its own zone: more than this, and hosts share them out.
pub const SUBSET_OWN_ZONE: usize = 16;

/// Engines of a role that a host keeps an eye on in the other zones together.
pub const SUBSET_OTHER_ZONES: usize = 6;

impl ControlParts {
    /// Gives traffic what it needs of the state.
    pub(super) fn publish(&self) {
        let state = self.state.borrow();
        let objects = state.config.objects();
        let hosts = state
            .servers
            .entry_hosts()
            .filter(|host| !host.spec.leaving)
            .count();
        let live = state.members.live().count() + 1;
        let services: Vec<LabelSelector> = objects
            .services
            .values()
            .map(|service| service.spec.selector.clone())
            .collect();
        let plain: Vec<ServerInfo> = state
            .servers
            .servers
            .iter()
            .filter(|server| matches_any(&services, server))
            .map(server_info)
            .collect();
        let snapshot = ControlSnapshot {
            generation: state.config.in_force().generation,
            objects: objects.clone(),
            servers: plain.clone().into(),
            peers: self.peer_addresses(&state).into(),
            // Listed hosts count also when they are silent: a cut-off zone still uses its share.
            limit_share: 1.0 / hosts.max(live) as f64,
        };
        let engines = self
            .own_engines(&state)
            .into_iter()
            .map(|server| (self.engine_info(server), server.spec.leaving))
            .collect();
        let others = self.other_links(&state);
        self.traffic.desk.change(|desk, _| {
            desk.set_engines(engines);
            desk.set_unscheduled(others);
        });
        self.traffic.servers.set_servers(plain);
        self.traffic.snapshot.store(Arc::new(snapshot));
    }

    // The engines that this host uses: all, or its share where there are many.
    fn own_engines<'a>(&self, state: &'a ControlState) -> Vec<&'a Typed<ServerSpec>> {
        let objects = state.config.objects();
        let zone = &self.traffic.settings.zone;
        let mut picked: BTreeMap<&FastStr, &Typed<ServerSpec>> = BTreeMap::new();
        for role in [EngineRole::Prefill, EngineRole::Decode] {
            for model in objects.models() {
                let selectors: Vec<LabelSelector> = objects
                    .pools
                    .values()
                    .filter(|pool| pool.spec.role == role && pool.spec.model == model)
                    .map(|pool| pool.spec.selector.clone())
                    .collect();
                let servers = state.servers.servers.iter();
                let (own, other): (Vec<_>, Vec<_>) = servers
                    .filter(|server| matches_any(&selectors, server))
                    .partition(|server| server.spec.zone == *zone);
                let own = self.share(own, SUBSET_OWN_ZONE);
                let other = self.share(other, SUBSET_OTHER_ZONES);
                let both = own.into_iter().chain(other);
                picked.extend(both.map(|server| (&server.metadata.name, server)));
            }
        }
        picked.into_values().collect()
    }

    // Links to all engines: a stream or a cancel may concern one that this host does not choose.
    fn other_links(&self, state: &ControlState) -> BTreeMap<FastStr, Arc<EngineLink>> {
        let objects = state.config.objects();
        let selectors: Vec<LabelSelector> = objects
            .pools
            .values()
            .map(|pool| pool.spec.selector.clone())
            .collect();
        let servers = state.servers.servers.iter();
        servers
            .filter(|server| matches_any(&selectors, server))
            .map(|server| (server.metadata.name.clone(), self.link(server)))
            .collect()
    }

    // The servers that this host is drawn to most.
    fn share<'a>(
        &self,
        mut servers: Vec<&'a Typed<ServerSpec>>,
        count: usize,
    ) -> Vec<&'a Typed<ServerSpec>> {
        if servers.len() > count {
            let own = &self.traffic.settings.name;
            servers.sort_by_key(|server| std::cmp::Reverse(peer::draw(own, &server.metadata.name)));
            servers.truncate(count);
        }
        servers
    }

    fn engine_info(&self, server: &Typed<ServerSpec>) -> EngineInfo {
        EngineInfo {
            name: server.metadata.name.clone(),
            address: FastStr::from_string(server.spec.address.to_string()),
            zone: server.spec.zone.clone(),
            labels: server.metadata.labels.clone(),
            link: self.link(server),
        }
    }

    // A link is kept for as long as the engine keeps its address.
    fn link(&self, server: &Typed<ServerSpec>) -> Arc<EngineLink> {
        let name = server.metadata.name.clone();
        let address = server.spec.address;
        let mut links = self.engine_links.borrow_mut();
        match links.get(&name) {
            Some((known, link)) if *known == address => link.clone(),
            _ => {
                let link = Arc::new(engine::http_link(&self.traffic.client, address));
                links.insert(name, (address, link.clone()));
                link
            }
        }
    }

    // Hosts that are live, and hosts that are only listed; of one name the live one counts.
    fn peer_addresses(&self, state: &ControlState) -> Vec<PeerAddress> {
        let own = &self.traffic.settings.name;
        let mut peers: BTreeMap<FastStr, PeerAddress> = BTreeMap::new();
        for host in state.servers.entry_hosts() {
            let address = PeerAddress {
                name: host.metadata.name.clone(),
                zone: host.spec.zone.clone(),
                callers: host.spec.address,
                is_live: false,
            };
            peers.insert(address.name.clone(), address);
        }
        for (card, flags) in state.members.live() {
            let address = PeerAddress {
                name: card.name.clone(),
                zone: card.zone.clone(),
                callers: card.callers,
                is_live: !flags.leaving,
            };
            peers.insert(address.name.clone(), address);
        }
        peers.remove(own);
        peers.into_values().collect()
    }
}

fn matches_any(selectors: &[LabelSelector], server: &Typed<ServerSpec>) -> bool {
    let labels = &server.metadata.labels;
    selectors.iter().any(|selector| selector.matches(labels))
}

fn server_info(server: &Typed<ServerSpec>) -> ServerInfo {
    ServerInfo {
        name: server.metadata.name.clone(),
        address: server.spec.address,
        zone: server.spec.zone.clone(),
        labels: server.metadata.labels.clone(),
        leaving: server.spec.leaving,
    }
}

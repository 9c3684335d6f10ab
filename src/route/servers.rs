//! Load balancing for plain services: the server with the fewest calls of this host in progress is selected.

use {
    crate::{object, relay::ServerRun},
    faststr::FastStr,
    rand::RngExt,
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::time::Instant,
};

/// How long an unreachable server is avoided while others are available.
const UNREACHABLE_AVOID_TIME: Duration = Duration::from_secs(2);

/// Identity and address of a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerInfo {
    /// Name.
    pub name: FastStr,
    /// Address.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: FastStr,
    /// Labels.
    pub labels: object::LabelMap,
    /// Whether the server is leaving and takes no new requests.
    pub leaving: bool,
}

impl ServerInfo {
    /// Whether one of the selectors matches the server.
    pub fn matches_any(&self, selectors: &[object::LabelSelector]) -> bool {
        let mut selectors = selectors.iter();
        selectors.any(|selector| selector.matches(&self.labels))
    }

    /// Identifies the server's run by name and address, as nothing else distinguishes runs here.
    pub fn run(&self) -> ServerRun {
        ServerRun {
            id: self.name.clone(),
            born: 0,
            address: self.address,
        }
    }
}

#[derive(Debug)]
struct ServerView {
    info: ServerInfo,
    calls: u32,
    avoid_until: Option<Instant>,
}

/// Known servers of plain services.
#[derive(Debug, Default)]
pub struct ServerRegistry {
    views: Mutex<BTreeMap<FastStr, ServerView>>,
}

impl ServerRegistry {
    /// Replaces the list of servers and keeps the state of those that remain.
    pub fn set_servers(&self, servers: Vec<ServerInfo>) {
        let mut views = self.views.lock().expect("server registry lock");
        let mut known = std::mem::take(&mut *views);
        for info in servers {
            let old = known.remove(&info.name);
            let (calls, avoid_until) = match old {
                Some(old) if old.info.address == info.address => (old.calls, old.avoid_until),
                _ => (0, None),
            };
            let view = ServerView {
                info,
                calls,
                avoid_until,
            };
            views.insert(view.info.name.clone(), view);
        }
    }

    /// Selects a server that matches one of the selectors, is in rotation and has not been tried yet. Prefers
    /// reachable servers, then those in this zone, then those with the fewest calls; ties are broken at
    /// random.
    pub fn select(
        self: &Arc<Self>,
        selectors: &[object::LabelSelector],
        zone: &FastStr,
        tried: &[FastStr],
        in_rotation: impl Fn(&ServerInfo) -> bool,
    ) -> Option<SelectedServer> {
        let now = Instant::now();
        let mut views = self.views.lock().expect("server registry lock");
        let mut random = rand::rng();
        let best = views
            .values_mut()
            .filter(|view| !view.info.leaving && !tried.contains(&view.info.name))
            .filter(|view| view.info.matches_any(selectors) && in_rotation(&view.info))
            .min_by_key(|view| {
                let avoided = view.avoid_until.is_some_and(|until| now < until);
                let away = view.info.zone != *zone;
                (avoided, away, view.calls, random.random::<u32>())
            })?;
        best.calls += 1;
        Some(SelectedServer {
            registry: self.clone(),
            info: best.info.clone(),
        })
    }

    /// Returns all servers.
    pub fn servers(&self) -> Vec<ServerInfo> {
        let views = self.views.lock().expect("server registry lock");
        views.values().map(|view| view.info.clone()).collect()
    }

    fn call_ended(&self, name: &FastStr) {
        let mut views = self.views.lock().expect("server registry lock");
        if let Some(view) = views.get_mut(name) {
            view.calls = view.calls.saturating_sub(1);
        }
    }

    fn avoid(&self, name: &FastStr) {
        let mut views = self.views.lock().expect("server registry lock");
        if let Some(view) = views.get_mut(name) {
            view.avoid_until = Some(Instant::now() + UNREACHABLE_AVOID_TIME);
        }
    }
}

/// Selected server; its call counts as in progress until this is dropped.
#[derive(Debug)]
pub struct SelectedServer {
    registry: Arc<ServerRegistry>,
    /// The server.
    pub info: ServerInfo,
}

impl SelectedServer {
    /// Returns the server's name.
    pub fn name(&self) -> FastStr {
        self.info.name.clone()
    }

    /// Returns the server's address.
    pub fn address(&self) -> SocketAddr {
        self.info.address
    }

    /// Records that a call to the server failed.
    pub fn failed(&self) {
        self.registry.avoid(&self.info.name);
    }
}

impl Drop for SelectedServer {
    fn drop(&mut self) {
        self.registry.call_ended(&self.info.name);
    }
}

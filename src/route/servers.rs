//! Choosing a server of a plain service: the one with the fewest calls of this host in progress.

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

/// How long a server that could not be reached is passed over while others can.
const AVOID_TIME: Duration = Duration::from_secs(2);

/// Who a server is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerInfo {
    /// Its name.
    pub name: FastStr,
    /// Its address.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: FastStr,
    /// Its labels.
    pub labels: object::LabelMap,
    /// It wants no new work.
    pub leaving: bool,
}

impl ServerInfo {
    /// Whether one of the selectors picks it.
    pub fn is_picked_by(&self, selectors: &[object::LabelSelector]) -> bool {
        let mut selectors = selectors.iter();
        selectors.any(|selector| selector.matches(&self.labels))
    }

    /// Its run as far as it can be told from others: by its name and address.
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

/// The servers of plain services.
#[derive(Debug, Default)]
pub struct ServerBook {
    views: Mutex<BTreeMap<FastStr, ServerView>>,
}

impl ServerBook {
    /// Takes the servers that there are.
    pub fn set_servers(&self, servers: Vec<ServerInfo>) {
        let mut views = self.views.lock().expect("server book");
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

    /// A server that one of the selectors picks, that is in rotation and was not tried yet: of this zone if it can
    /// be, reachable if it can be, least busy, at random among equals.
    pub fn choose(
        self: &Arc<Self>,
        selectors: &[object::LabelSelector],
        zone: &FastStr,
        tried: &[FastStr],
        in_rotation: impl Fn(&ServerInfo) -> bool,
    ) -> Option<ServerChoice> {
        let now = Instant::now();
        let mut views = self.views.lock().expect("server book");
        let mut random = rand::rng();
        let best = views
            .values_mut()
            .filter(|view| !view.info.leaving && !tried.contains(&view.info.name))
            .filter(|view| view.info.is_picked_by(selectors) && in_rotation(&view.info))
            .min_by_key(|view| {
                let avoided = view.avoid_until.is_some_and(|until| now < until);
                let away = view.info.zone != *zone;
                (avoided, away, view.calls, random.random::<u32>())
            })?;
        best.calls += 1;
        Some(ServerChoice {
            book: self.clone(),
            info: best.info.clone(),
        })
    }

    /// All servers.
    pub fn servers(&self) -> Vec<ServerInfo> {
        let views = self.views.lock().expect("server book");
        views.values().map(|view| view.info.clone()).collect()
    }

    fn finish(&self, name: &FastStr) {
        let mut views = self.views.lock().expect("server book");
        if let Some(view) = views.get_mut(name) {
            view.calls = view.calls.saturating_sub(1);
        }
    }

    fn avoid(&self, name: &FastStr) {
        let mut views = self.views.lock().expect("server book");
        if let Some(view) = views.get_mut(name) {
            view.avoid_until = Some(Instant::now() + AVOID_TIME);
        }
    }
}

/// A chosen server; counted as busy until dropped.
#[derive(Debug)]
pub struct ServerChoice {
    book: Arc<ServerBook>,
    /// The server.
    pub info: ServerInfo,
}

impl ServerChoice {
    /// The server's name.
    pub fn name(&self) -> FastStr {
        self.info.name.clone()
    }

    /// The server's address.
    pub fn address(&self) -> SocketAddr {
        self.info.address
    }

    /// A call to it failed.
    pub fn failed(&self) {
        self.book.avoid(&self.info.name);
    }
}

impl Drop for ServerChoice {
    fn drop(&mut self) {
        self.book.finish(&self.info.name);
    }
}

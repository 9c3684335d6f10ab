//! What the control loops share, and the thread that runs them.

use {
    super::{config::ConfigKeeper, lease::LeaseKeeper, servers::ServerList, sweep::SweepBook},
    crate::{
        engine::EngineLink,
        event,
        host::Traffic,
        object::ObjectFault,
        peer::{
            BeatFlags, HostCard, MemberChange, Membership, PeerLinks, SilenceLimits, is_among_first,
        },
        store::StoreClient,
        web::StreamOpener,
    },
    faststr::FastStr,
    std::{
        cell::{Cell, RefCell},
        collections::BTreeMap,
        net::SocketAddr,
        rc::Rc,
        sync::Arc,
        time::Duration,
    },
    tokio::{net::TcpListener, sync::Notify, task::LocalSet},
};

/// Maximum size of a message between hosts, in bytes.
pub(super) const MESSAGE_BYTES: usize = 64 << 20;

/// Hosts of a zone that watch the platform for all.
const WATCHERS: usize = 2;

/// How long a controllers' lease holds.
pub const LEASE_TIME: Duration = Duration::from_secs(15);

/// How often ended operations are looked for.
const EXPIRE_PERIOD: Duration = Duration::from_secs(1);

/// Everything that the control thread keeps and changes.
pub struct ControlState {
    /// The configuration.
    pub config: ConfigKeeper,
    /// The platform's list of servers.
    pub servers: ServerList,
    /// Who is live.
    pub members: Membership,
    /// What is wrong with the operators' objects, as last checked.
    pub rejected: Vec<ObjectFault>,
    /// What was swept for lost hosts.
    pub sweeps: SweepBook,
    /// The controllers' lease.
    pub lease: LeaseKeeper,
}

/// What the control loops share; only the control thread has it.
pub struct ControlParts {
    pub(super) traffic: Arc<Traffic>,
    pub(super) platform: StoreClient,
    pub(super) links: PeerLinks,
    pub(super) state: RefCell<ControlState>,
    pub(super) platform_is_lost: Cell<bool>,
    pub(super) news: Notify,
    pub(super) engine_links: RefCell<BTreeMap<FastStr, (SocketAddr, Arc<EngineLink>)>>,
}

/// Runs the control loops until the process ends; to be called on the control thread's runtime.
pub async fn run_control(traffic: Arc<Traffic>, peers: TcpListener) {
    let own = own_card(&traffic, &peers);
    let settings = &traffic.settings;
    let limits = SilenceLimits {
        suspect: settings.suspect_after,
        sweep: settings.sweep_after,
    };
    let state = ControlState {
        config: ConfigKeeper::default(),
        servers: ServerList::default(),
        members: Membership::new(own, limits),
        rejected: Vec::new(),
        sweeps: SweepBook::default(),
        lease: LeaseKeeper::new(traffic.incarnation.clone(), LEASE_TIME),
    };
    let parts = Rc::new(ControlParts {
        platform: StoreClient::new(settings.platform, settings.platform_timeout),
        links: PeerLinks::new(
            traffic.metrics.clone(),
            StreamOpener::default(),
            MESSAGE_BYTES,
        ),
        state: RefCell::new(state),
        platform_is_lost: Cell::new(false),
        news: Notify::new(),
        engine_links: RefCell::default(),
        traffic: traffic.clone(),
    });
    let local = LocalSet::new();
    local.spawn_local(parts.clone().watch_platform());
    local.spawn_local(parts.clone().observe_engines());
    local.spawn_local(parts.clone().gossip());
    local.spawn_local(parts.clone().serve_peers(peers));
    local.spawn_local(parts.clone().sweep_lost_hosts());
    local.spawn_local(parts.clone().keep_lease());
    local.spawn_local(parts.clone().keep_roles());
    local.spawn_local(parts.expire_operations());
    local.await;
}

fn own_card(traffic: &Traffic, peers: &TcpListener) -> HostCard {
    let settings = &traffic.settings;
    HostCard {
        incarnation: traffic.incarnation_number,
        name: settings.name.clone(),
        zone: settings.zone.clone(),
        peers: peers.local_addr().unwrap_or(settings.peers),
        callers: traffic.callers,
    }
}

impl ControlParts {
    /// Time on the clock of leases: one that ran out while this host was suspended is another host's.
    pub(super) fn lease_now(&self) -> Duration {
        self.traffic.clock.now()
    }

    /// Time on the clock of membership and sweeps.
    pub(super) fn now(&self) -> Duration {
        self.traffic.uptime()
    }

    /// What this host says of itself.
    pub(super) fn flags(&self) -> BeatFlags {
        BeatFlags {
            leaving: self.traffic.gate.is_stopping(),
            platform_lost: self.platform_is_lost.get(),
        }
    }

    /// Whether this host is one of the first of its zone for a subject; hosts that leave or, where
    /// it matters, do not reach the platform are passed over.
    pub(super) fn is_first(&self, subject: &str, count: usize, needs_platform: bool) -> bool {
        let state = self.state.borrow();
        let fits = |flags: BeatFlags| !(flags.leaving || needs_platform && flags.platform_lost);
        let others: Vec<FastStr> = state
            .members
            .live_in_zone()
            .filter(|(_, flags)| fits(*flags))
            .map(|(card, _)| card.name.clone())
            .collect();
        let own = &self.traffic.settings.name;
        fits(self.flags())
            && is_among_first(own, others.iter().map(FastStr::as_str), subject, count)
    }

    /// Whether this host watches the platform for its zone.
    pub(super) fn is_watcher(&self) -> bool {
        self.is_first("platform", WATCHERS, true)
    }

    /// Peers' addresses of hosts that this host was told to start from.
    pub(super) fn seeds(&self) -> &[SocketAddr] {
        &self.traffic.settings.seeds
    }

    /// Logs and acts on changes of who is live.
    pub(super) fn note_changes(&self, changes: &[MemberChange]) {
        for change in changes {
            let (kind, incarnation) = match change {
                MemberChange::Suspected(incarnation) => (&event::PEER_SUSPECTED, incarnation),
                MemberChange::Back(incarnation) => (&event::PEER_BACK, incarnation),
                MemberChange::Forgotten(_) | MemberChange::Met(_) => continue,
            };
            let mut state = self.state.borrow_mut();
            if kind == &event::PEER_BACK {
                state.sweeps.forget(*incarnation);
            }
            let name = state
                .members
                .card(*incarnation)
                .map_or(FastStr::empty(), |card| card.name.clone());
            let incarnation = crate::peer::incarnation_name(*incarnation);
            event::emit(kind, &[("host", &name), ("incarnation", &incarnation)]);
        }
        if !changes.is_empty() {
            self.publish();
        }
    }

    async fn expire_operations(self: Rc<Self>) {
        loop {
            tokio::time::sleep(EXPIRE_PERIOD).await;
            let traffic = &self.traffic;
            traffic.operations.lock().expect("operation table").expire();
            traffic
                .server_states
                .evict_expired(&traffic.servers.servers());
            let metrics = &traffic.metrics;
            metrics.in_flight.set(traffic.gate.in_flight() as i64);
            let open = traffic.parts.canceller.open();
            metrics.open_cancels.set(open as i64);
            let waiting = traffic.desk.read(|desk| desk.waiting());
            metrics.waiting.set(waiting as i64);
        }
    }
}

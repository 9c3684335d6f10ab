//! Configurations of many routes, and hosts that exchange them in pieces.

use {
    bayplank::relay::{
        CallerLimits, ClusterState, PIECES_BYTES, PastTime, REQUESTED_PIECES, RelayConfig,
        RelayRoute, RelayService, RequestKind, ServiceShare,
    },
    faststr::FastStr,
    std::{rc::Rc, time::Duration},
};

pub fn route(index: usize, time_limit: Duration) -> Rc<RelayRoute> {
    let name = (index as u32).wrapping_mul(2_654_435_761) & 0x0fff_ffff;
    Rc::new(RelayRoute {
        name: FastStr::from_string(format!("r-{name:07x}")),
        host: FastStr::from_string(format!("tenant{}.example", index % 97)),
        path_prefix: FastStr::from_string(format!("/{index:05}/")),
        kind: RequestKind::Repeatable,
        time_limit,
        latency_target: Duration::from_millis(900),
        event_gap_target: None,
        attempts: 2,
        priority: 1,
        shares: vec![ServiceShare {
            service: "desk".into(),
            weight: 1,
        }],
        is_public: false,
        allowed_regions: None,
    })
}

pub fn config(version: u64, routes: Vec<Rc<RelayRoute>>) -> RelayConfig {
    RelayConfig {
        version,
        routes,
        services: vec![RelayService {
            name: "desk".into(),
            connection_limit: Some(110),
            engine: None,
            cold_rate: None,
        }],
        limits: CallerLimits::default(),
        accounts: None,
    }
}

pub fn config_of(version: u64, routes: usize) -> RelayConfig {
    let routes = (0..routes).map(|index| route(index, Duration::from_secs(4)));
    config(version, routes.collect())
}

/// A host that has a configuration.
pub fn host_with(config: RelayConfig) -> ClusterState {
    let mut host = ClusterState::default();
    assert!(host.update_config(config));
    host
}

/// What a transfer took.
#[derive(Debug, Default, Clone, Copy)]
pub struct TransferCost {
    pub bytes: usize,
    pub messages: usize,
}

/// Announces the sender's newest version to the receiver, and returns the bytes of the announcement.
pub fn announce(sender: &ClusterState, receiver: &mut ClusterState, now: Duration) -> usize {
    let root = sender.config.newest_root().expect("a configuration");
    receiver
        .config
        .announce(root.clone(), PastTime::at(now), now);
    serde_json::to_vec(root).expect("names are encoded").len()
}

/// Sends one message with pieces that the receiver lacks, and returns its bytes; 0 if the sender has none of them.
pub fn send_message(sender: &ClusterState, receiver: &mut ClusterState) -> usize {
    let names = receiver
        .config
        .missing(REQUESTED_PIECES)
        .unwrap_or_default();
    let mut bytes = 0;
    for piece in sender.config.pieces(&names, PIECES_BYTES) {
        bytes += piece.len();
        receiver.config.add_piece(piece).expect("a piece is read");
    }
    bytes
}

/// Transfers the sender's newest version as a whole.
pub fn transfer(sender: &ClusterState, receiver: &mut ClusterState) -> TransferCost {
    let mut cost = TransferCost {
        bytes: announce(sender, receiver, Duration::ZERO),
        messages: 1,
    };
    while receiver
        .config
        .missing(1)
        .is_some_and(|names| !names.is_empty())
    {
        let bytes = send_message(sender, receiver);
        assert!(bytes > 0, "the sender has all pieces");
        cost.bytes += bytes;
        cost.messages += 1;
    }
    if receiver.config.missing(1).is_some() {
        receiver.config.complete().expect("the pieces fit");
    }
    assert_eq!(receiver.config_version(), sender.config_version());
    cost
}

/// The configuration in force at a host.
pub fn in_force(host: &ClusterState) -> RelayConfig {
    host.routes().expect("a configuration").config().clone()
}

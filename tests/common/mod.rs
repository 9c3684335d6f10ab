//! What tests over sockets share: a small fleet and what its engines answer.

#![allow(dead_code, reason = "each test file uses a part")]

use {
    bayplank::{
        cli,
        conf::HostSettings,
        standin::{
            engine::{self, EngineParams},
            fleet::{self, Fleet, FleetPlan},
        },
    },
    std::{net::SocketAddr, time::Duration},
    tokio::runtime::Runtime,
};

/// Key of the tenant that the tests act for.
pub const KEY: &str = "demo-key-coastal-lens";

/// The model that the engines serve.
pub const MODEL: &str = "lensmodel";

/// Longest wait for a condition; a bound against hanging, not an expectation.
pub const PATIENCE: Duration = Duration::from_secs(30);

/// One zone with two engines of a role, a plain service and some hosts.
pub fn plan(hosts: usize) -> FleetPlan {
    FleetPlan {
        zones: vec!["zone-a"],
        model: MODEL,
        prefills: 2,
        decodes: 2,
        service: "orderdesk",
        hosts,
        engine: EngineParams::default(),
        settings: HostSettings {
            gossip_period: Duration::from_millis(100),
            suspect_after: Duration::from_secs(1),
            sweep_after: Duration::from_secs(2),
            resync: Duration::from_secs(1),
            platform_timeout: Duration::from_millis(500),
            balancer_lag: Duration::from_millis(50),
            ..HostSettings::default()
        },
        objects: cli::demo_objects(),
        platform: fleet::loopback(),
    }
}

/// A running fleet, and a runtime for its callers.
pub fn start(hosts: usize) -> (Fleet, Runtime) {
    let fleet = Fleet::start(plan(hosts)).expect("the fleet starts");
    (fleet, Runtime::new().expect("a runtime"))
}

/// Where callers reach a host of the fleet, counted from 0.
pub fn host(fleet: &Fleet, index: usize) -> SocketAddr {
    let host = fleet.hosts.values().nth(index).expect("a host");
    host.running.addresses.callers
}

/// The whole answer to a prompt.
pub fn expected(prompt: &str) -> String {
    engine::whole_answer(prompt, EngineParams::default().answer_tokens, u32::MAX)
}

/// How often calls of the plain service ran, all servers together.
pub fn runs(fleet: &Fleet) -> u64 {
    let services = fleet.services.values();
    services
        .flat_map(|service| service.runs().into_values())
        .sum()
}

/// Prefills that the engines computed.
pub fn prefills(fleet: &Fleet) -> u64 {
    let engines = fleet.engines.values();
    engines.map(|engine| engine.core.counts().prefills).sum()
}

/// Waits for a condition of a fleet.
pub fn wait(fleet: &Fleet, what: &str, met: impl Fn() -> bool) {
    fleet.wait(PATIENCE, what, met).expect("met in time");
}

//! What the demo's fleet consists of.

use {
    crate::{
        conf::HostSettings,
        object::AnyObject,
        standin::{
            engine::EngineParams,
            fleet::{self, FleetPlan},
        },
    },
    std::time::Duration,
};

const OBJECTS: &str = include_str!("../../../samples/objects.json");

/// The operators' objects that ship with the demo.
pub fn demo_objects() -> Vec<AnyObject> {
    serde_json::from_str(OBJECTS).expect("the shipped objects are right")
}

/// Two zones, each with two engines of a kind, a plain service and two hosts.
pub fn demo_plan() -> FleetPlan {
    FleetPlan {
        zones: vec!["bcw-a", "bcw-b"],
        model: "lensmodel",
        prefills: 2,
        decodes: 2,
        service: "orderdesk",
        hosts: 2,
        engine: EngineParams::default(),
        settings: HostSettings {
            balancer_lag: Duration::from_millis(300),
            ..HostSettings::default()
        },
        objects: demo_objects(),
        platform: fleet::loopback(),
    }
}

//! Backend servers for tests of the routing decisions.

use {
    bayplank::{
        engine::EngineRole,
        relay::{BackendInfo, SoftwareVersion},
    },
    faststr::FastStr,
};

/// A backend server of service `one` in a zone; an engine if it has a role.
pub fn backend(id: &str, zone: &'static str, role: Option<EngineRole>) -> BackendInfo {
    BackendInfo {
        born: 0,
        id: FastStr::new(id),
        service: "one".into(),
        address: "127.0.0.1:9".parse().unwrap(),
        zone: zone.into(),
        leaving: false,
        slots: 6,
        role,
        orders_taken: 0,
        cold_left: std::time::Duration::ZERO,
        software: SoftwareVersion::unnamed(),
    }
}

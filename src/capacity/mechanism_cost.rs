//! The cost of a mechanism at one size.

use {serde::Serialize, std::time::Duration};

/// What triggers a mechanism, and so what its cost is counted for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum CostTrigger {
    /// A change of the list of backend servers.
    ServerChange,
    /// A change of the list of hosts.
    HostChange,
    /// A change of the configuration.
    ConfigChange,
    /// A request of a caller.
    Request,
    /// A report of loads.
    Report,
    /// The start of a host.
    Start,
}

impl CostTrigger {
    /// The name of the trigger in the report.
    pub fn name(self) -> &'static str {
        match self {
            Self::ServerChange => "change of servers",
            Self::HostChange => "change of hosts",
            Self::ConfigChange => "change of configuration",
            Self::Request => "request",
            Self::Report => "report",
            Self::Start => "start",
        }
    }
}

/// The cost of a mechanism each time it runs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct MechanismCost {
    /// Entries looked at.
    pub visited: u64,
    /// Bytes sent.
    pub bytes: u64,
    /// Messages sent.
    pub messages: u64,
    /// Size of the largest message in bytes.
    pub largest: u64,
    /// Processor time of a full core.
    pub time: Duration,
}

/// Something that a host does, and the function that measures its cost.
#[derive(Clone, Copy)]
pub struct HostMechanism {
    /// Its name in the report.
    pub name: &'static str,
    /// What triggers it.
    pub trigger: CostTrigger,
    /// Measures it.
    pub measure: fn(&super::FleetModel) -> MechanismCost,
}

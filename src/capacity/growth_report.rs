//! How the costs of a host grow from one size of the fleet to twice that size.

use {
    super::{
        fleet_model::{FleetModel, FleetSize},
        mechanism_cost::{HostMechanism, MechanismCost},
        mechanisms::MECHANISMS,
    },
    serde::Serialize,
    std::fmt,
};

/// Sizes that are measured, as multiples of the given one.
const FACTORS: [f64; 3] = [0.5, 1.0, 2.0];

/// A cost that grows with a higher power of the fleet's size outgrows it.
const POWER_MAX: f64 = 1.2;

/// The costs of a mechanism at half the size, the size and twice the size.
#[derive(Debug, Serialize)]
pub struct MechanismGrowth {
    /// The mechanism.
    pub name: &'static str,
    /// What triggers it.
    pub trigger: &'static str,
    /// Its costs.
    pub costs: [MechanismCost; 3],
    /// The power of the fleet's size with which entries looked at or bytes grow, whichever is higher, from the size to
    /// twice the size.
    pub power: f64,
}

impl MechanismGrowth {
    fn measure(mechanism: HostMechanism, models: &[FleetModel; 3]) -> Self {
        let costs = models.each_ref().map(mechanism.measure);
        let [_, size, twice] = &costs;
        let powers = [(size.visited, twice.visited), (size.bytes, twice.bytes)];
        let powers = powers.map(|(size, twice)| power(size, twice));
        Self {
            name: mechanism.name,
            trigger: mechanism.trigger.name(),
            costs,
            power: powers[0].max(powers[1]),
        }
    }

    /// Whether it grows faster than the fleet.
    pub fn outgrows(&self) -> bool {
        self.power > POWER_MAX
    }
}

fn power(size: u64, twice: u64) -> f64 {
    match size {
        0 => 0.0,
        _ => (twice as f64 / size as f64).log2(),
    }
}

/// The growth of all mechanisms.
#[derive(Debug, Serialize)]
pub struct GrowthReport {
    /// The size as given.
    pub hosts: usize,
    /// Backend servers.
    pub servers: usize,
    /// Each mechanism.
    pub mechanisms: Vec<MechanismGrowth>,
}

impl GrowthReport {
    /// Measures all mechanisms for fleets drawn by a seed.
    pub fn measure(size: FleetSize, seed: u64) -> Self {
        let models = FACTORS.map(|factor| FleetModel::new(size.scaled(factor), seed));
        let growth = |mechanism| MechanismGrowth::measure(mechanism, &models);
        Self {
            hosts: size.hosts,
            servers: size.servers,
            mechanisms: MECHANISMS.into_iter().map(growth).collect(),
        }
    }
}

impl fmt::Display for GrowthReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{} hosts, {} servers; each cost at half the size, the size and twice the size\n",
            self.hosts, self.servers
        )?;
        writeln!(
            f,
            "{:<30} {:<24} {:>26} {:>28} {:>22} {:>6}",
            "mechanism", "for each", "entries looked at", "bytes (largest message)", "us", "power"
        )?;
        for growth in &self.mechanisms {
            writeln!(f, "{growth}")?;
        }
        let outgrowing = self.mechanisms.iter().filter(|growth| growth.outgrows());
        let names: Vec<&str> = outgrowing.map(|growth| growth.name).collect();
        match names.is_empty() {
            true => writeln!(f, "\nnothing grows faster than the fleet"),
            false => writeln!(f, "\ngrows faster than the fleet: {}", names.join(", ")),
        }
    }
}

impl fmt::Display for MechanismGrowth {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let joined = |value: fn(&MechanismCost) -> u64| {
            let values = self.costs.iter().map(|cost| value(cost).to_string());
            values.collect::<Vec<_>>().join(" ")
        };
        let bytes = format!("{} ({})", joined(|cost| cost.bytes), self.costs[2].largest);
        write!(
            f,
            "{:<30} {:<24} {:>26} {:>28} {:>22} {:>6.2}",
            self.name,
            self.trigger,
            joined(|cost| cost.visited),
            bytes,
            joined(|cost| cost.time.as_micros() as u64),
            self.power
        )
    }
}

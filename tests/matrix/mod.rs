//! The cells of the fault matrix, a file for each life.

pub mod intents;
pub mod keys;
pub mod leases;
mod request_faults;
pub mod requests;

/// One fault at one step.
pub struct FaultCell {
    /// Whose life it is.
    pub life: &'static str,
    /// Where in that life.
    pub step: &'static str,
    /// What goes wrong.
    pub fault: &'static str,
    /// What has to become of it.
    pub expected: &'static str,
    /// What became of it.
    pub found: String,
}

/// Step, fault, what has to become of it, and how it is run.
pub type CellRow = (&'static str, &'static str, &'static str, fn() -> String);

/// Runs the rows of a life.
pub fn run_cells(life: &'static str, rows: &[CellRow]) -> Vec<FaultCell> {
    rows.iter()
        .map(|(step, fault, expected, run)| FaultCell {
            life,
            step,
            fault,
            expected,
            found: run(),
        })
        .collect()
}

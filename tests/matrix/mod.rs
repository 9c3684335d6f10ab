//! The cells of the fault matrix, a file for each life.

pub mod intents;
pub mod keys;
pub mod leases;
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

//! The limits of a budget, computed from the memory of the process.

/// Bytes of a body, or of an answer, that need no share of the budget: the memory of their connection covers them.
pub const SMALL_BYTES: usize = 16 << 10;

/// Fraction of the process's memory that bodies and answers beyond [`SMALL_BYTES`] may take: 1 of this many.
const HELD_FRACTION: u64 = 4;

/// What all callers of a host may take together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BudgetLimits {
    /// Bytes of bodies and of answers.
    pub held_bytes: usize,
}

impl BudgetLimits {
    /// The limits of a process with `memory` bytes.
    pub fn of_process(memory: u64) -> Self {
        Self {
            held_bytes: usize::try_from(memory / HELD_FRACTION).unwrap_or(usize::MAX),
        }
    }
}

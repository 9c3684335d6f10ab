//! The limits of a budget, computed from the memory of the process.

/// Bytes of a body, or of an answer, that need no share of the budget: the memory of their connection covers them.
pub const SMALL_BYTES: usize = 16 << 10;

/// Fraction of the process's memory that bodies and answers beyond [`SMALL_BYTES`] may take: 1 of this many.
const HELD_FRACTION: u64 = 4;

/// Fraction of the process's memory that answers to the host's own calls beyond [`SMALL_BYTES`] may take: 1 of this many.
const ANSWERS_FRACTION: u64 = 16;

/// Fraction of the process's memory that callers' connections may take: 1 of this many.
const CONNECTIONS_FRACTION: u64 = 4;

/// Memory assumed for each connection, in bytes: what is read ahead, or unread at its socket, and its state.
const CONNECTION_MEMORY: u64 = 16 << 10;

/// Descriptors that are kept for files.
const FILE_DESCRIPTORS: u64 = 200;

/// Fraction of the other descriptors that callers' connections may take: 1 of this many. The rest is for connections to
/// servers, the store and other hosts.
const SOCKETS_FRACTION: u64 = 2;

/// Fraction for each of the addresses for checks, for metrics and for other hosts, and the most that these need.
const CHECKS_FRACTION: u64 = 32;
const MAX_CHECK_CONNECTIONS: u64 = 64;
const MAX_PEER_CONNECTIONS: u64 = 128;

/// What all callers of a host, and the servers that answer its calls, may take together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BudgetLimits {
    /// Bytes of bodies and of answers.
    pub held_bytes: usize,
    /// Bytes of answers to the host's own calls.
    pub answer_bytes: usize,
    /// Connections of callers.
    pub connections: usize,
    /// Connections at each of the addresses for checks and for metrics.
    pub check_connections: usize,
    /// Connections at each of the addresses for other hosts, of those that are not known yet.
    pub peer_connections: usize,
}

impl BudgetLimits {
    /// The limits of a process with `memory` bytes and a number of descriptors.
    pub fn of_process(memory: u64, descriptors: u64) -> Self {
        let of_memory = memory / CONNECTIONS_FRACTION / CONNECTION_MEMORY;
        let sockets = descriptors.saturating_sub(FILE_DESCRIPTORS);
        let of_descriptors = sockets / SOCKETS_FRACTION;
        let checks = (sockets / CHECKS_FRACTION).max(1);
        Self {
            held_bytes: to_usize(memory / HELD_FRACTION),
            answer_bytes: to_usize(memory / ANSWERS_FRACTION),
            connections: to_usize(of_memory.min(of_descriptors).max(1)),
            check_connections: to_usize(checks.min(MAX_CHECK_CONNECTIONS)),
            peer_connections: to_usize(checks.min(MAX_PEER_CONNECTIONS)),
        }
    }
}

fn to_usize(number: u64) -> usize {
    usize::try_from(number).unwrap_or(usize::MAX)
}

//! Names of attempts: which incarnation of which host started them.

use {
    faststr::FastStr,
    std::sync::atomic::{AtomicU64, Ordering},
};

const SEPARATOR: char = '.';

/// Names attempts of one host incarnation; no two are alike, over all hosts and time.
#[derive(Debug)]
pub struct AttemptNamer {
    incarnation: FastStr,
    next: AtomicU64,
}

impl AttemptNamer {
    /// A namer for the incarnation, whose name must hold no dot.
    pub fn new(incarnation: FastStr) -> Self {
        debug_assert!(!incarnation.contains(SEPARATOR));
        Self {
            incarnation,
            next: AtomicU64::new(1),
        }
    }

    /// A name never given before; the random part keeps others from guessing it.
    pub fn next(&self) -> FastStr {
        let count = self.next.fetch_add(1, Ordering::Relaxed);
        let salt: u32 = rand::random();
        FastStr::from_string(format!("{}.{count}.{salt:08x}", self.incarnation))
    }
}

/// The host incarnation that an attempt's name speaks of.
pub fn attempt_incarnation(attempt: &str) -> Option<&str> {
    let (incarnation, rest) = attempt.split_once(SEPARATOR)?;
    (!incarnation.is_empty() && !rest.is_empty()).then_some(incarnation)
}

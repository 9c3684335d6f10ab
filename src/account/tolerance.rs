//! Usage above the limits of accounts that operators tolerate.

use {super::client_account::AccountLimit, std::time::Duration};

/// Tolerated usage above a limit: `share` of the usage allowed in a window, plus `extra` units.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitTolerance {
    /// Fraction of the usage allowed in the window.
    pub share: f64,
    /// Additional units.
    pub extra: f64,
    /// Length of the window.
    pub window: Duration,
}

impl LimitTolerance {
    /// No tolerance.
    pub const NONE: Self = Self {
        share: 0.0,
        extra: 0.0,
        window: Duration::from_secs(1),
    };

    /// Units above a limit that are tolerated within the window.
    pub fn beyond(&self, limit: AccountLimit) -> f64 {
        let allowed = limit.rate * self.window.as_secs_f64() + limit.burst;
        allowed * self.share + self.extra
    }
}

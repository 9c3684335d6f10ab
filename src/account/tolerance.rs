//! What operators tolerate beyond the limits of accounts.

use {super::client_account::AccountLimit, std::time::Duration};

/// What may go beyond a limit, as operators tolerate it: `share` of what a window allows, and `extra` units.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitTolerance {
    /// Part of what the window allows.
    pub share: f64,
    /// Units beyond that.
    pub extra: f64,
    /// The window.
    pub window: Duration,
}

impl LimitTolerance {
    /// Nothing is tolerated.
    pub const NONE: Self = Self {
        share: 0.0,
        extra: 0.0,
        window: Duration::from_secs(1),
    };

    /// Units that may go beyond a limit within the window.
    pub fn beyond(&self, limit: AccountLimit) -> f64 {
        let allowed = limit.rate * self.window.as_secs_f64() + limit.burst;
        allowed * self.share + self.extra
    }
}

//! Summary of why decode engines could not take a request, for the refusal's message.

use {
    super::registry::BackendRegistry,
    crate::engine::EngineRole,
    std::{fmt, time::Duration},
};

/// Counts of a service's decode engines by the reason that excludes them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DecodeExclusions {
    /// All listed engines that are not draining.
    pub listed: usize,
    /// Asked this host to back off.
    pub backing_off: usize,
    /// Ejected because they fail, or being probed after an ejection.
    pub ejected: usize,
    /// Declined a request recently.
    pub declining: usize,
    /// Full by the known load of all hosts.
    pub full: usize,
    /// Just refused a request for lack of memory.
    pub refused: usize,
}

impl fmt::Display for DecodeExclusions {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            listed,
            backing_off,
            ejected,
            declining,
            full,
            refused,
        } = self;
        write!(
            f,
            "of {listed} decode engines {backing_off} asked for a backoff, {ejected} are passed over, {declining} declined, \
             {full} are believed full, {refused} had no room"
        )
    }
}

impl DecodeExclusions {
    /// Counts the engines for a request of this many tokens; `memory` is an engine's capacity in tokens.
    pub fn of(
        book: &BackendRegistry,
        service: &str,
        tokens: u64,
        memory: Option<u64>,
        now: Duration,
    ) -> Self {
        let pools = book.index.pools(service);
        let decodes = pools.filter(|pool| pool.role == Some(EngineRole::Decode));
        let views = book.pool_views(decodes);
        let mut room = Self::default();
        for view in views.filter(|view| !book.is_leaving(view, now)) {
            room.listed += 1;
            let count = match () {
                () if !book.in_rotation(view, now) => &mut room.backing_off,
                () if book.is_avoided(view, now) => &mut room.ejected,
                () if now < view.declines_until => &mut room.declining,
                () if !book.fits(view, tokens, memory, now) => &mut room.full,
                () if view.has_refused(tokens, now) => &mut room.refused,
                () => continue,
            };
            *count += 1;
        }
        room
    }
}

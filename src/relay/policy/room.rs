//! What a host believes of the room at decode engines, for the log: why a request found none.

use {
    super::{book::BackendBook, view::BackendView},
    crate::engine::EngineRole,
    std::{fmt, time::Duration},
};

/// The decode engines of a service, by what speaks against each.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DecodeRoom {
    /// All that are listed and do not leave.
    pub listed: usize,
    /// Asked this host to back off.
    pub backing_off: usize,
    /// Passed over since they fail, or on trial.
    pub passed_over: usize,
    /// Declined a request lately.
    pub declining: usize,
    /// Full by what requests of all hosts are known to take.
    pub full: usize,
    /// Said a moment ago that they have no room.
    pub refused: usize,
}

impl fmt::Display for DecodeRoom {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            listed,
            backing_off,
            passed_over,
            declining,
            full,
            refused,
        } = self;
        write!(
            f,
            "of {listed} decode engines {backing_off} asked for a backoff, {passed_over} are passed over, {declining} declined, {full} are \
             believed full, {refused} had no room"
        )
    }
}

impl DecodeRoom {
    /// The room for a request of this many tokens; `memory` is what an engine's memory holds.
    pub fn of(
        book: &BackendBook,
        service: &str,
        tokens: u64,
        memory: Option<u64>,
        now: Duration,
    ) -> Self {
        let is_decode = |view: &&BackendView| {
            let info = &view.info;
            let is_decode = info.service == service && info.role == Some(EngineRole::Decode);
            is_decode && !book.is_leaving(view, now)
        };
        let mut room = Self::default();
        for view in book.views().filter(is_decode) {
            room.listed += 1;
            let against = match () {
                () if !book.in_rotation(view, now) => &mut room.backing_off,
                () if book.is_avoided(view, now) => &mut room.passed_over,
                () if now < view.declines_until => &mut room.declining,
                () if !book.fits(view, tokens, memory, now) => &mut room.full,
                () if view.has_refused(tokens, now) => &mut room.refused,
                () => continue,
            };
            *against += 1;
        }
        room
    }
}

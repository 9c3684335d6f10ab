//! When cold servers become warm, as their entries state. Servers rewrite their entries again and again while they are
//! cold, and less time is left each time; other hosts count down by themselves and are not told.

use {
    crate::relay::backend::BackendInfo,
    faststr::FastStr,
    std::{collections::BTreeMap, time::Duration},
};

/// Difference between two statements of the end of a server's coldness that counts as none: entries take a while from
/// a server to a host, and not always the same.
const MAX_DRIFT: Duration = Duration::from_secs(1);

/// When cold servers become warm, by id.
#[derive(Debug, Default)]
pub(super) struct ColdTimes {
    ends: BTreeMap<FastStr, Duration>,
}

impl ColdTimes {
    /// Records an entry that follows the known one. Returns whether it only says that the server is cold for as long as
    /// is known.
    pub(super) fn record(
        &mut self,
        known: Option<&BackendInfo>,
        info: &BackendInfo,
        now: Duration,
    ) -> bool {
        if info.cold_left.is_zero() {
            return false;
        }
        let end = now.saturating_add(info.cold_left);
        let is_same_end = |known: &Duration| known.abs_diff(end) <= MAX_DRIFT;
        let is_countdown = known.is_some_and(|known| is_cold_as_before(known, info))
            && self.ends.get(&info.id).is_some_and(is_same_end);
        if !is_countdown {
            self.ends.insert(info.id.clone(), end);
        }
        is_countdown
    }

    /// Removes the servers that are warm.
    pub(super) fn remove_expired(&mut self, now: Duration) {
        self.ends.retain(|_, end| now < *end);
    }
}

fn is_cold_as_before(known: &BackendInfo, info: &BackendInfo) -> bool {
    !known.cold_left.is_zero() && known.is_equal_but_for_coldness(info)
}

//! Tells outages of the store from times in which only this host heard nothing of it.

use {crate::relay::policy::past_time::PastTime, std::time::Duration};

/// How long after the end of a store outage a missing entry is assumed to have expired because of the outage.
const OUTAGE_WINDOW: Duration = Duration::from_secs(3);

/// Minimum number of heartbeat intervals between the start of a store outage and the expiry of a backend server's
/// entry. An entry expires after three intervals without a heartbeat, and a heartbeat may have been due just as the
/// outage began. A server whose entry is removed after a shorter outage has left on its own.
const HEARTBEATS_TO_EXPIRY: u32 = 2;

/// Fraction of the shortest outage after which a host that hears from no other one is cut off: 1 of this many.
const SILENCE_FRACTION: u32 = 2;

// A time in which other hosts were heard from without a long pause.
#[derive(Debug, Clone, Copy)]
struct ContactPeriod {
    started: Duration,
    last: Duration,
}

/// The last outage of the store, and what else kept this host from hearing of it.
#[derive(Debug)]
pub(super) struct OutageRecord {
    // The shortest outage in which entries can expire for lack of heartbeats.
    min_outage: Duration,
    last_end: Option<Duration>,
    // When this process last ran again after it had stood still.
    last_stall_end: Option<Duration>,
    contact: Option<ContactPeriod>,
}

impl OutageRecord {
    /// A record without outages; backend servers renew their entries every `heartbeat`.
    pub(super) fn new(heartbeat: Duration) -> Self {
        Self {
            min_outage: heartbeat.saturating_mul(HEARTBEATS_TO_EXPIRY),
            last_end: None,
            last_stall_end: None,
            contact: None,
        }
    }

    /// Records that an outage ended at this time.
    pub(super) fn record_end(&mut self, ended: Duration) {
        self.last_end = self.last_end.max(Some(ended));
    }

    /// How long ago the last outage ended, if there was one.
    pub(super) fn age(&self, now: Duration) -> Option<Duration> {
        self.last_end.map(|ended| now.saturating_sub(ended))
    }

    /// Whether an entry that is missing now may have expired in an outage.
    pub(super) fn is_recent(&self, now: Duration) -> bool {
        self.age(now).is_some_and(|age| age < OUTAGE_WINDOW)
    }

    /// Records that this process ran again at this time after it had stood still.
    pub(super) fn record_stall(&mut self, ended: Duration) {
        self.last_stall_end = self.last_stall_end.max(Some(ended));
    }

    /// Records that this host heard from another one at this time.
    pub(super) fn record_contact(&mut self, now: Duration) {
        let longest_pause = self.min_outage / SILENCE_FRACTION;
        let continued = self
            .contact
            .filter(|period| now.saturating_sub(period.last) < longest_pause);
        let started = continued.map_or(now, |period| period.started);
        self.contact = Some(ContactPeriod { started, last: now });
    }

    /// Takes it for the end of an outage that the store's content is refreshed now, after it was `known` long ago. While the
    /// process stood still it did not try; nor does it say anything of the store if a host among others heard from none.
    /// `has_others` is whether others are listed.
    pub(super) fn detect_end(&mut self, known: PastTime, has_others: bool, now: Duration) {
        let has_others = has_others || self.contact.is_some();
        let tried_since = known.max(self.last_stall_end.map_or(known, PastTime::at));
        let is_outage = tried_since.age(now) >= self.min_outage
            && (!has_others || self.was_in_touch(tried_since, now));
        if is_outage {
            self.record_end(now);
        }
    }

    fn was_in_touch(&self, since: PastTime, now: Duration) -> bool {
        let longest_pause = self.min_outage / SILENCE_FRACTION;
        self.contact.is_some_and(|period| {
            since.age(period.started) < longest_pause
                && now.saturating_sub(period.last) < longest_pause
        })
    }
}

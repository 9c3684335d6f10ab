//! The lease under which a zone's controllers give orders; a plain state machine.
//!
//! No clocks are compared. A holder counts its time from before it sent the write that was
//! acknowledged; another host takes over only after it has itself seen the same version for longer
//! than the lease's time. The token of an order is the version that the acquiring write was given.

use {
    faststr::FastStr,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Part of the lease's time that a holder leaves unused.
const HOLDER_MARGIN: f64 = 0.2;

/// Part of the lease's time that a taker waits beyond it.
const TAKER_MARGIN: f64 = 0.2;

/// What the lease's object says.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct LeaseSpec {
    /// Incarnation of the holder; empty when it was given up.
    pub holder: FastStr,
    /// Version that the acquiring write was given; 0 in that write itself.
    pub token: u64,
    /// Counts the renewals.
    pub renewals: u64,
}

/// The lease as the platform has it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SeenLease {
    /// Version of the object; 0 when there is none.
    pub version: u64,
    /// What it says.
    pub spec: LeaseSpec,
}

/// A write to make, conditional on the version last seen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseWrite {
    /// Version that the object has to have.
    pub version: u64,
    /// What to write.
    pub spec: LeaseSpec,
    /// When the write was decided; the holder's time counts from here.
    pub decided: Duration,
}

/// A lease that is held, with the time until which orders may be given under it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FencedLease {
    /// The token of orders.
    pub token: u64,
    /// When orders may no longer be given.
    pub until: Duration,
}

/// One host's view of the lease.
#[derive(Debug)]
pub struct LeaseKeeper {
    own: FastStr,
    time: Duration,
    seen: SeenLease,
    seen_since: Option<Duration>,
    held: Option<FencedLease>,
    // Whether the lease was asked for since the store last lost what it had accepted.
    has_claimed: bool,
    // Until when somebody may hold the lease whom the store does not name.
    unknown_until: Option<Duration>,
}

impl LeaseKeeper {
    /// A host that holds nothing; `time` is how long the lease holds.
    pub fn new(own: FastStr, time: Duration) -> Self {
        Self {
            own,
            time,
            seen: SeenLease::default(),
            seen_since: None,
            held: None,
            has_claimed: false,
            unknown_until: None,
        }
    }

    /// The store has lost what it had accepted, leases among it: nothing is held any more, and a holder that has not
    /// heard of it may give orders until its time is over.
    pub fn wait_out(&mut self, now: Duration) {
        self.held = None;
        self.seen = SeenLease::default();
        self.seen_since = None;
        self.has_claimed = false;
        self.unknown_until = Some(now + self.silence_time());
    }

    fn silence_time(&self) -> Duration {
        self.time.mul_f64(1.0 + TAKER_MARGIN)
    }

    /// The lease, if it is held and orders may still be given.
    pub fn held(&self, now: Duration) -> Option<FencedLease> {
        self.held.filter(|lease| now < lease.until)
    }

    /// Takes a reading; gives the write to make, if one is.
    pub fn read(&mut self, lease: SeenLease, now: Duration) -> Option<LeaseWrite> {
        // An older reading than one seen before tells nothing.
        if lease.version < self.seen.version {
            return None;
        }
        if lease.version != self.seen.version || self.seen_since.is_none() {
            self.seen = lease;
            self.seen_since = Some(now);
        }
        // What the host itself wrote before the store lost it says nothing of who holds the lease now.
        let is_own = self.seen.version > 0 && self.seen.spec.holder == self.own;
        if is_own && self.has_claimed {
            return Some(self.renewal(now));
        }
        self.held = None;
        if !self.may_take(now) {
            return None;
        }
        self.has_claimed = true;
        Some(LeaseWrite {
            version: self.seen.version,
            spec: LeaseSpec {
                holder: self.own.clone(),
                token: 0,
                renewals: 0,
            },
            decided: now,
        })
    }

    fn may_take(&self, now: Duration) -> bool {
        if self.unknown_until.is_some_and(|until| now < until) {
            return false;
        }
        let is_free = self.seen.version == 0 || self.seen.spec.holder.is_empty();
        let silence = now.saturating_sub(self.seen_since.unwrap_or(now));
        is_free || silence >= self.silence_time()
    }

    fn renewal(&self, now: Duration) -> LeaseWrite {
        let spec = &self.seen.spec;
        let token = match spec.token {
            0 => self.seen.version,
            token => token,
        };
        LeaseWrite {
            version: self.seen.version,
            spec: LeaseSpec {
                holder: self.own.clone(),
                token,
                renewals: spec.renewals + 1,
            },
            decided: now,
        }
    }

    /// The platform acknowledged a write with this version; gives whether the lease is new.
    pub fn written(&mut self, write: &LeaseWrite, version: u64, now: Duration) -> bool {
        let token = match write.spec.token {
            0 => version,
            token => token,
        };
        let until = write.decided + self.time.mul_f64(1.0 - HOLDER_MARGIN);
        let before = self.held.replace(FencedLease { token, until });
        assert!(
            before.is_none_or(|before| before.token <= token),
            "tokens only grow"
        );
        self.seen = SeenLease {
            version,
            spec: write.spec.clone(),
        };
        self.seen_since = Some(now);
        before.is_none_or(|before| before.token != token)
    }

    /// Another write came first: whatever was held is not renewed any more.
    pub fn lost(&mut self) {
        self.held = None;
    }
}

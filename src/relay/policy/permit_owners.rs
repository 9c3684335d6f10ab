//! Which host allocates the permits at a rate-limited server.
//!
//! A plain state machine. All hosts agree on it without talk: it is drawn from the hosts of the server's zone, which reach
//! the server whenever anybody does.

use {
    super::{loads::EngineKey, permit_allocator::TAKE_OVER_TIME},
    crate::{
        account::{BucketRate, RateBucket},
        peer,
        relay::link::HostEntry,
    },
    faststr::FastStr,
    std::{collections::HashMap, time::Duration},
};

/// Questions of a host a second that are answered with no permit, and how many at once: where all servers are rate-limited, more of
/// them find no more permits.
const DENIALS: BucketRate = BucketRate {
    rate: 5.0,
    burst: 20.0,
};

/// How long a host that does not answer is not asked, at first and at the most; doubled each time. While some hosts ask it again
/// and others do not yet, two allocate permits.
const PASS_OVER_FIRST: Duration = Duration::from_millis(500);
const PASS_OVER_MOST: Duration = TAKE_OVER_TIME;

// A host that did not answer.
#[derive(Debug, Clone, Copy)]
struct SilentOwner {
    until: Duration,
    pause: Duration,
    // Its machine answered that nobody listens there: it is no host behind a cut.
    is_gone: bool,
}

/// The hosts that allocate permits, as one host sees them.
#[derive(Debug, Default)]
pub struct PermitOwners {
    silent: HashMap<FastStr, SilentOwner>,
    denials: RateBucket,
}

impl PermitOwners {
    /// The owner for a server of a zone: the first by draw of those that answer, from the listed hosts of the zone or, where
    /// it has none, from all. Each server has its own, so that many rate-limited servers are many hosts' work.
    pub fn owner<'a>(
        &self,
        hosts: impl Iterator<Item = &'a HostEntry> + Clone,
        zone: &str,
        server: EngineKey,
        now: Duration,
    ) -> Option<&'a HostEntry> {
        let about = server.0.to_string();
        let has_near = hosts.clone().any(|entry| entry.zone == zone);
        let candidates = hosts.filter(|entry| !has_near || entry.zone == zone);
        let heard = candidates.filter(|entry| self.is_heard(&entry.name, now));
        heard.max_by_key(|entry| peer::draw(&entry.name, &about))
    }

    fn is_heard(&self, name: &FastStr, now: Duration) -> bool {
        let silent = self.silent.get(name);
        silent.is_none_or(|owner| now >= owner.until)
    }

    /// A host answered.
    pub fn note_heard(&mut self, name: &FastStr) {
        self.silent.remove(name);
    }

    /// A host did not answer; or nobody listens at its address any more.
    pub fn note_silent(&mut self, name: &FastStr, is_gone: bool, now: Duration) {
        let before = self.silent.get(name).map(|owner| owner.pause * 2);
        let pause = before.unwrap_or(PASS_OVER_FIRST).min(PASS_OVER_MOST);
        let owner = SilentOwner {
            until: now + pause,
            pause,
            is_gone,
        };
        self.silent.insert(name.clone(), owner);
    }

    /// Hosts that are listed and that are gone for sure.
    pub fn gone(&self) -> usize {
        self.silent.values().filter(|owner| owner.is_gone).count()
    }

    /// Whether another host may be asked for a permit.
    pub fn may_ask(&mut self, now: Duration) -> bool {
        !self.denials.is_full(DENIALS, now)
    }

    /// Another host had no permit.
    pub fn note_denied(&mut self) {
        self.denials.add(1.0);
    }

    /// Forgets hosts that are listed no longer.
    pub fn keep_listed(&mut self, is_listed: impl Fn(&FastStr) -> bool) {
        self.silent.retain(|name, _| is_listed(name));
    }
}

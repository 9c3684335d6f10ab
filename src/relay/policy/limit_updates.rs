//! The updates that hosts exchange about rate-limited servers: that a server has a limit, or no longer has one.
//!
//! A change from one limit to another is not sent. A host that sends requests to the server asks for permits and
//! receives the current limit with them.

use {
    super::{
        findings_cache::{CachePosition, CacheUpdates, FindingSource, FindingsCache},
        limit_book::{LIMIT_TTL, LimitSaying},
        loads::EngineKey,
        server_limit::ServerLimit,
    },
    std::time::Duration,
};

/// The limit that a server reported, as sent to other hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitUpdate {
    /// The key of the server run.
    pub server: EngineKey,
    /// The limit; `None` if the server reported none.
    pub limit: Option<ServerLimit>,
    /// How long ago the request was sent whose response reported it.
    pub age: Duration,
}

/// The latest report of each server, with the positions needed to send only what a peer lacks.
#[derive(Debug)]
pub struct LimitUpdates {
    sayings: FindingsCache<EngineKey, LimitSaying>,
}

impl LimitUpdates {
    /// An empty cache; `id` is a random number that identifies it to other hosts.
    pub fn new(id: u64) -> Self {
        Self {
            sayings: FindingsCache::new(id),
        }
    }

    /// Records what a server reported; returns whether other hosts need to know.
    pub fn note(
        &mut self,
        server: EngineKey,
        saying: LimitSaying,
        source: FindingSource,
        now: Duration,
    ) -> bool {
        let is_first = self.sayings.get(&server).is_none();
        let begin = || saying;
        self.sayings.change(server, begin, source, now, |known| {
            if saying.said < known.said {
                return false;
            }
            let is_transition = known.limit.is_some() != saying.limit.is_some();
            *known = saying;
            is_first || is_transition
        })
    }

    /// The updates that a peer lacks which received this cache up to a position.
    pub fn since(&self, known: CachePosition, now: Duration) -> CacheUpdates<LimitUpdate> {
        let marks = self.sayings.changed_since(known);
        CacheUpdates {
            position: self.sayings.position(),
            findings: marks
                .map(|(server, saying)| mark(*server, *saying, now))
                .collect(),
        }
    }

    /// The changes after a revision that are reported to an aggregating or distributing host, and the revision that
    /// includes them.
    pub fn reported_since(&self, revision: Option<u64>, now: Duration) -> (Vec<LimitUpdate>, u64) {
        let marks = self.sayings.reported_since(revision, now);
        let marks = marks.map(|(server, saying)| mark(*server, *saying, now));
        (marks.collect(), self.sayings.position().revision)
    }

    /// Removes reports that are older than [`LIMIT_TTL`].
    pub fn forget_old(&mut self, now: Duration) {
        self.sayings.retain(|_, known| known.age(now) < LIMIT_TTL);
    }
}

fn mark(server: EngineKey, saying: LimitSaying, now: Duration) -> LimitUpdate {
    LimitUpdate {
        server,
        limit: saying.limit,
        age: saying.age(now),
    }
}

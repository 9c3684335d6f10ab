//! The updates that hosts exchange about rate-limited servers: that a server has a limit, or no longer has one.
//!
//! A change from one limit to another is not sent. A host that sends requests to the server asks for permits and
//! receives the current limit with them.

use {
    super::{
        findings_cache::{CachePosition, CacheUpdates, FindingSource, FindingsCache},
        limit_tracker::{LIMIT_TTL, ReportedLimit},
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
    limits: FindingsCache<EngineKey, ReportedLimit>,
}

impl LimitUpdates {
    /// An empty cache; `id` is a random number that identifies it to other hosts.
    pub fn new(id: u64) -> Self {
        Self {
            limits: FindingsCache::new(id),
        }
    }

    /// Records what a server reported; returns whether other hosts need to know.
    pub fn record(
        &mut self,
        server: EngineKey,
        reported: ReportedLimit,
        source: FindingSource,
        now: Duration,
    ) -> bool {
        let is_first = self.limits.get(&server).is_none();
        let create = || reported;
        self.limits.change(server, create, source, now, |known| {
            if reported.as_of < known.as_of {
                return false;
            }
            let is_transition = known.limit.is_some() != reported.limit.is_some();
            *known = reported;
            is_first || is_transition
        })
    }

    /// The updates that a peer lacks which received this cache up to a position.
    pub fn since(&self, known: CachePosition, now: Duration) -> CacheUpdates<LimitUpdate> {
        let changes = self.limits.changed_since(known);
        CacheUpdates {
            position: self.limits.position(),
            findings: changes
                .map(|(server, reported)| to_update(*server, *reported, now))
                .collect(),
        }
    }

    /// The changes after a revision that are reported to an aggregating or distributing host, and the revision that
    /// includes them.
    pub fn reported_since(&self, revision: Option<u64>, now: Duration) -> (Vec<LimitUpdate>, u64) {
        let changes = self.limits.reported_since(revision, now);
        let changes = changes.map(|(server, reported)| to_update(*server, *reported, now));
        (changes.collect(), self.limits.position().revision)
    }

    /// Removes reports that are older than [`LIMIT_TTL`].
    pub fn remove_expired(&mut self, now: Duration) {
        self.limits.retain(|_, known| known.age(now) < LIMIT_TTL);
    }
}

fn to_update(server: EngineKey, reported: ReportedLimit, now: Duration) -> LimitUpdate {
    LimitUpdate {
        server,
        limit: reported.limit,
        age: reported.age(now),
    }
}

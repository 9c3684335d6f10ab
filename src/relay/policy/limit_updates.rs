//! The updates that hosts exchange about servers: that one has a rate limit, or no longer has one, and that a plain server
//! is short of places.
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

/// Time by which a server must be contended longer than others know before they are told again.
const CONTENTION_STEP: Duration = Duration::from_secs(1);

/// What other hosts are told of a server: the limit that it reported, or that it is contended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitUpdate {
    /// The key of the server run.
    pub server: EngineKey,
    /// The limit; `None` if the server reported none.
    pub limit: Option<ServerLimit>,
    /// How long ago the request was sent whose response reported it.
    pub age: Duration,
    /// How much longer the server is contended. The update says nothing about its limit then. Zero otherwise.
    pub contended: Duration,
}

// What is known of a server.
#[derive(Debug, Clone, Copy, Default)]
struct KnownServer {
    reported: Option<ReportedLimit>,
    contended_until: Duration,
}

/// The latest report of each server, with the positions needed to send only what a peer lacks.
#[derive(Debug)]
pub struct LimitUpdates {
    limits: FindingsCache<EngineKey, KnownServer>,
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
        let change = |known: &mut KnownServer| match known.reported {
            Some(before) if reported.as_of < before.as_of => false,
            before => {
                known.reported = Some(reported);
                before.is_none_or(|before| before.limit.is_some() != reported.limit.is_some())
            }
        };
        self.limits
            .change(server, KnownServer::default, source, now, change)
    }

    /// Records that a plain server is contended for a time; returns whether other hosts need to know.
    pub fn record_contention(
        &mut self,
        server: EngineKey,
        time: Duration,
        source: FindingSource,
        now: Duration,
    ) -> bool {
        let until = now + time;
        let change = |known: &mut KnownServer| {
            let is_news = until >= known.contended_until.max(now) + CONTENTION_STEP;
            if is_news {
                known.contended_until = until;
            }
            is_news
        };
        self.limits
            .change(server, KnownServer::default, source, now, change)
    }

    /// The updates that a peer lacks which received this cache up to a position.
    pub fn since(&self, known: CachePosition, now: Duration) -> CacheUpdates<LimitUpdate> {
        let changes = self.limits.changed_since(known);
        CacheUpdates {
            position: self.limits.position(),
            findings: changes
                .flat_map(|(server, known)| to_updates(*server, *known, now))
                .collect(),
        }
    }

    /// The changes after a revision that are reported to an aggregating or distributing host, and the revision that
    /// includes them.
    pub fn reported_since(&self, revision: Option<u64>, now: Duration) -> (Vec<LimitUpdate>, u64) {
        let changes = self.limits.reported_since(revision, now);
        let changes = changes.flat_map(|(server, known)| to_updates(*server, *known, now));
        (changes.collect(), self.limits.position().revision)
    }

    /// Removes reports that are older than [`LIMIT_TTL`], and servers that are no longer contended.
    pub fn remove_expired(&mut self, now: Duration) {
        self.limits.retain(|_, known| {
            let reported = known.reported;
            let is_recent = reported.is_some_and(|reported| reported.age(now) < LIMIT_TTL);
            is_recent || now < known.contended_until
        });
    }
}

fn to_updates(
    server: EngineKey,
    known: KnownServer,
    now: Duration,
) -> impl Iterator<Item = LimitUpdate> {
    let limit = known.reported.map(|reported| LimitUpdate {
        server,
        limit: reported.limit,
        age: reported.age(now),
        contended: Duration::ZERO,
    });
    let contended = known.contended_until.saturating_sub(now);
    let contention = (!contended.is_zero()).then_some(LimitUpdate {
        server,
        limit: None,
        age: Duration::MAX,
        contended,
    });
    limit.into_iter().chain(contention)
}

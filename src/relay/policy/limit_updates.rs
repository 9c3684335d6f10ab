//! What hosts tell each other of rate-limited servers: that one names a limit, or names none any more.
//!
//! Numbers that only change are not told: whoever sends there asks for a permit, and hears them with it.

use {
    super::{
        findings_cache::{CachePosition, CacheUpdates, FindingsCache, MarkSource},
        limit_book::{BELIEF_LIFE, LimitSaying},
        loads::EngineKey,
        server_limit::ServerLimit,
    },
    std::time::Duration,
};

/// What a server said, as it is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitUpdate {
    /// The server's run.
    pub server: EngineKey,
    /// The limit; none where it named none.
    pub limit: Option<ServerLimit>,
    /// How long ago the request was sent whose answer said so.
    pub age: Duration,
}

/// What was found of rate-limited servers.
#[derive(Debug)]
pub struct LimitUpdates {
    sayings: FindingsCache<EngineKey, LimitSaying>,
}

impl LimitUpdates {
    /// An empty cache; `id` is drawn at random.
    pub fn new(id: u64) -> Self {
        Self {
            sayings: FindingsCache::new(id),
        }
    }

    /// Takes what a server said; gives whether others are to hear of it.
    pub fn note(
        &mut self,
        server: EngineKey,
        saying: LimitSaying,
        source: MarkSource,
        now: Duration,
    ) -> bool {
        let is_first = self.sayings.get(&server).is_none();
        let begin = || saying;
        self.sayings.change(server, begin, source, now, |known| {
            if saying.said < known.said {
                return false;
            }
            let is_other = known.limit.is_some() != saying.limit.is_some();
            *known = saying;
            is_first || is_other
        })
    }

    /// What an asker lacks that was told up to a place.
    pub fn since(&self, known: CachePosition, now: Duration) -> CacheUpdates<LimitUpdate> {
        let marks = self.sayings.since(known);
        CacheUpdates {
            place: self.sayings.place(),
            marks: marks
                .map(|(server, saying)| mark(*server, *saying, now))
                .collect(),
        }
    }

    /// What a host that adds up, or tells others, is to hear of this one, after a revision; and the revision to which
    /// that goes.
    pub fn reported_since(&self, revision: Option<u64>, now: Duration) -> (Vec<LimitUpdate>, u64) {
        let marks = self.sayings.reported_since(revision, now);
        let marks = marks.map(|(server, saying)| mark(*server, *saying, now));
        (marks.collect(), self.sayings.place().revision)
    }

    /// Forgets what was said long ago.
    pub fn forget_old(&mut self, now: Duration) {
        self.sayings.retain(|_, known| known.age(now) < BELIEF_LIFE);
    }
}

fn mark(server: EngineKey, saying: LimitSaying, now: Duration) -> LimitUpdate {
    LimitUpdate {
        server,
        limit: saying.limit,
        age: saying.age(now),
    }
}

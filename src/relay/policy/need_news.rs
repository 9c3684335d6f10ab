//! What hosts tell each other of servers in need: that one names a limit, or names none any more.
//!
//! Numbers that only change are not told: whoever sends there asks for a turn, and hears them with it.

use {
    super::{
        loads::EngineKey,
        need_book::{BELIEF_LIFE, LimitSaying},
        server_limit::ServerLimit,
        told_book::{BookNews, BookPlace, MarkSource, ToldBook},
    },
    std::time::Duration,
};

/// What a server said, as it is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NeedMark {
    /// The server's run.
    pub server: EngineKey,
    /// The limit; none where it named none.
    pub limit: Option<ServerLimit>,
    /// How long ago the request was sent whose answer said so.
    pub age: Duration,
}

/// What was found of servers in need.
#[derive(Debug)]
pub struct NeedNews {
    sayings: ToldBook<EngineKey, LimitSaying>,
}

impl NeedNews {
    /// A book in which nothing stands; `id` is drawn at random.
    pub fn new(id: u64) -> Self {
        Self {
            sayings: ToldBook::new(id),
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
    pub fn since(&self, known: BookPlace, now: Duration) -> BookNews<NeedMark> {
        let marks = self.sayings.since(known);
        BookNews {
            place: self.sayings.place(),
            marks: marks
                .map(|(server, saying)| mark(*server, *saying, now))
                .collect(),
        }
    }

    /// What a host that adds up, or tells others, is to hear of this one, after a revision; and the revision to which
    /// that goes.
    pub fn reported_since(&self, revision: Option<u64>, now: Duration) -> (Vec<NeedMark>, u64) {
        let marks = self.sayings.reported_since(revision, now);
        let marks = marks.map(|(server, saying)| mark(*server, *saying, now));
        (marks.collect(), self.sayings.place().revision)
    }

    /// Forgets what was said long ago.
    pub fn forget_old(&mut self, now: Duration) {
        self.sayings.retain(|_, known| known.age(now) < BELIEF_LIFE);
    }
}

fn mark(server: EngineKey, saying: LimitSaying, now: Duration) -> NeedMark {
    NeedMark {
        server,
        limit: saying.limit,
        age: saying.age(now),
    }
}

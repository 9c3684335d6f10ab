//! Which decode engines still keep a prompt that they read, so that a stream which goes on is sent where it
//! need not be read again.
//!
//! A plain state machine: what engines tell of their caches and the time go in, an engine comes out. It answers
//! the load of many streams that break at once, when all hosts are killed or connections are reset: each
//! prompt is otherwise computed a second time, at the expense of new requests. On the days of docs/worth.md in
//! which all hosts are killed once, tokens computed for nothing fell from 134,000 to 99,000 a day (means of 40
//! days).

use {
    crate::relay::{
        backend::BackendInfo,
        dialect::{CacheChange, CacheQuery, CacheUpdate},
    },
    faststr::FastStr,
    std::{collections::HashMap, time::Duration},
};

/// How long what an engine told is taken to stay so: streams that break together come back within a second
/// or two, and without it each of them would ask all engines; prompts are driven out more slowly.
const NEWS_LIFE: Duration = Duration::from_millis(250);

/// Parts of prompts remembered of one engine at most; its memory holds some tens of prompts.
const PARTS_MAX: usize = 1_024;

/// What one engine told of its cache.
#[derive(Debug)]
struct EngineCache {
    // The run of the engine's list of changes, and the change to ask for next.
    epoch: u64,
    next: u64,
    told_at: Duration,
    // Tokens kept of each part.
    parts: HashMap<FastStr, u64>,
}

/// An engine that keeps part of a prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeptAt {
    /// The engine.
    pub engine: BackendInfo,
    /// Tokens that it keeps of the part; what was answered so far follows on the prompt's and counts too.
    pub tokens: u64,
}

/// What decode engines keep of the prompts that they read.
#[derive(Debug, Default)]
pub struct KeptPrompts {
    engines: HashMap<FastStr, EngineCache>,
}

impl KeptPrompts {
    /// What an engine is to be asked; nothing where its last answer is recent enough.
    pub fn question(&self, engine: &str, now: Duration) -> Option<CacheQuery> {
        let Some(cache) = self.engines.get(engine) else {
            return Some(CacheQuery::Full);
        };
        let is_recent = now.saturating_sub(cache.told_at) < NEWS_LIFE;
        (!is_recent).then_some(CacheQuery::Since(cache.next))
    }

    /// An engine told what it keeps.
    pub fn take(&mut self, engine: &FastStr, news: CacheUpdate, now: Duration) {
        let known = self.engines.remove(engine);
        let parts = match known {
            Some(known) if known.epoch == news.epoch && !news.is_whole => known.parts,
            // Changes of a list that is not known tell nothing.
            _ if !news.is_whole => return,
            _ => HashMap::new(),
        };
        let mut cache = EngineCache {
            epoch: news.epoch,
            next: news.next,
            told_at: now,
            parts,
        };
        for change in news.changes {
            cache.note(change);
        }
        self.engines.insert(engine.clone(), cache);
    }

    /// Tokens of a part that an engine keeps, as far as it told.
    pub fn kept_tokens(&self, engine: &str, part: &str) -> u64 {
        let cache = self.engines.get(engine);
        let tokens = cache.and_then(|cache| cache.parts.get(part));
        tokens.copied().unwrap_or_default()
    }

    /// Of these engines the one that keeps most of a part, the first of several.
    pub fn best_of(&self, engines: &[BackendInfo], part: &str) -> Option<KeptAt> {
        let found = engines.iter().rev().map(|engine| KeptAt {
            tokens: self.kept_tokens(&engine.id, part),
            engine: engine.clone(),
        });
        let best = found.max_by_key(|found| found.tokens);
        best.filter(|best| best.tokens > 0)
    }

    /// Forgets what an engine told; it is asked for all again.
    pub fn forget(&mut self, engine: &str) {
        self.engines.remove(engine);
    }

    /// Forgets all engines but those that are listed.
    pub fn retain(&mut self, is_listed: impl Fn(&str) -> bool) {
        self.engines.retain(|engine, _| is_listed(engine));
    }
}

impl EngineCache {
    fn note(&mut self, change: CacheChange) {
        if change.tokens == 0 {
            self.parts.remove(&change.part);
        } else if self.parts.len() < PARTS_MAX {
            self.parts.insert(change.part, change.tokens);
        }
    }
}

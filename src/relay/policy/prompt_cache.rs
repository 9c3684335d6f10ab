//! Index of the prompts in the KV caches of decode engines, so that a resumed stream is sent to an engine that need
//! not prefill its prompt again.
//!
//! A state machine without I/O: cache reports of engines and the current time go in, an engine comes out. It matters
//! when many streams break at once because all hosts are killed or connections are reset. Without it every prompt is
//! computed a second time at the expense of new requests. In the simulated days of docs/worth.md in which all hosts
//! are killed once, wasted prompt tokens fell from 134,000 to 99,000 a day (means of 40 days).

use {
    crate::relay::{
        backend::BackendInfo,
        dialect::{CacheChange, CacheQuery, CacheUpdate},
    },
    faststr::FastStr,
    std::{collections::HashMap, time::Duration},
};

/// Lifetime of an engine's cache report. Streams that break together return within a second or two, and without it
/// each of them would query every engine; prompts are evicted more slowly than that.
const REPORT_TTL: Duration = Duration::from_millis(250);

/// Most prompt parts tracked per engine, whose memory holds a few tens of prompts.
const PARTS_MAX: usize = 1_024;

/// Reported cache content of one engine.
#[derive(Debug)]
struct EngineCache {
    // Identifies the engine's change log; a restarted engine begins another one.
    epoch: u64,
    // Position in that log to continue from.
    next: u64,
    reported_at: Duration,
    // Cached tokens of each part.
    parts: HashMap<FastStr, u64>,
}

/// An engine that has part of a prompt in its cache.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CachedAt {
    /// The engine.
    pub engine: BackendInfo,
    /// Cached tokens of the part, including the answer generated so far, which follows the prompt.
    pub tokens: u64,
}

/// Cached prompts of the decode engines.
#[derive(Debug, Default)]
pub struct PromptCacheIndex {
    engines: HashMap<FastStr, EngineCache>,
}

impl PromptCacheIndex {
    /// The query to send to an engine; `None` if its last report is recent enough.
    pub fn query(&self, engine: &str, now: Duration) -> Option<CacheQuery> {
        let Some(cache) = self.engines.get(engine) else {
            return Some(CacheQuery::Full);
        };
        let is_recent = now.saturating_sub(cache.reported_at) < REPORT_TTL;
        (!is_recent).then_some(CacheQuery::Since(cache.next))
    }

    /// Applies an engine's cache report.
    pub fn update(&mut self, engine: &FastStr, report: CacheUpdate, now: Duration) {
        let known = self.engines.remove(engine);
        let parts = match known {
            Some(known) if known.epoch == report.epoch && !report.is_whole => known.parts,
            // Changes are useless without the full list that they apply to.
            _ if !report.is_whole => return,
            _ => HashMap::new(),
        };
        let mut cache = EngineCache {
            epoch: report.epoch,
            next: report.next,
            reported_at: now,
            parts,
        };
        for change in report.changes {
            cache.note(change);
        }
        self.engines.insert(engine.clone(), cache);
    }

    /// Tokens of a part that an engine reported as cached.
    pub fn cached_tokens(&self, engine: &str, part: &str) -> u64 {
        let cache = self.engines.get(engine);
        let tokens = cache.and_then(|cache| cache.parts.get(part));
        tokens.copied().unwrap_or_default()
    }

    /// The engine that caches most tokens of a part, the first one among equals.
    pub fn best_of(&self, engines: &[BackendInfo], part: &str) -> Option<CachedAt> {
        let found = engines.iter().rev().map(|engine| CachedAt {
            tokens: self.cached_tokens(&engine.id, part),
            engine: engine.clone(),
        });
        let best = found.max_by_key(|found| found.tokens);
        best.filter(|best| best.tokens > 0)
    }

    /// Drops an engine's report, so that its full list is requested again.
    pub fn forget(&mut self, engine: &str) {
        self.engines.remove(engine);
    }

    /// Drops the reports of engines that are no longer listed.
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

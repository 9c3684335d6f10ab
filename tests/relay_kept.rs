//! Resumed streams are sent to an engine that has their prompt in its cache.

mod backends;

use {
    crate::backends::backend,
    bayplank::{
        engine::EngineRole,
        relay::{BackendInfo, CacheChange, CacheQuery, CacheUpdate, PromptCacheIndex},
    },
    faststr::FastStr,
    std::{collections::BTreeMap, time::Duration},
};

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn decode(id: &str) -> BackendInfo {
    backend(id, "z-a", Some(EngineRole::Decode))
}

fn change(part: &str, tokens: u64) -> CacheChange {
    CacheChange {
        part: FastStr::new(part),
        tokens,
    }
}

fn whole(epoch: u64, next: u64, changes: Vec<CacheChange>) -> CacheUpdate {
    CacheUpdate {
        epoch,
        next,
        is_whole: true,
        changes,
    }
}

fn since(epoch: u64, next: u64, changes: Vec<CacheChange>) -> CacheUpdate {
    CacheUpdate {
        is_whole: false,
        ..whole(epoch, next, changes)
    }
}

#[test]
fn an_engine_is_queried_for_its_full_list_then_for_changes_and_not_too_often() {
    let mut index = PromptCacheIndex::default();
    let id = FastStr::new("d-1");
    assert_eq!(index.query("d-1", millis(0)), Some(CacheQuery::Full));
    index.update(&id, whole(7, 40, vec![change("p", 3_000)]), millis(5));
    assert_eq!(index.query("d-1", millis(100)), None);
    let later = index.query("d-1", millis(500));
    assert_eq!(later, Some(CacheQuery::Since(40)));
    let changes = vec![change("p", 0), change("q", 2_000)];
    index.update(&id, since(7, 42, changes), millis(505));
    assert_eq!(index.cached_tokens("d-1", "p"), 0, "evicted meanwhile");
    assert_eq!(index.cached_tokens("d-1", "q"), 2_000);
}

#[test]
fn a_restarted_engine_loses_its_cached_prompts() {
    let mut index = PromptCacheIndex::default();
    let id = FastStr::new("d-1");
    index.update(&id, whole(7, 40, vec![change("p", 3_000)]), millis(0));
    index.update(&id, since(8, 2, vec![change("q", 10)]), millis(500));
    assert_eq!(index.cached_tokens("d-1", "p"), 0);
    let question = index.query("d-1", millis(501));
    assert_eq!(question, Some(CacheQuery::Full), "its full list is unknown");
}

#[test]
fn the_engine_that_caches_most_of_the_prompt_is_chosen() {
    let mut index = PromptCacheIndex::default();
    let engines = [decode("d-1"), decode("d-2"), decode("d-3")];
    assert_eq!(index.best_of(&engines, "p"), None);
    for (id, tokens) in [("d-1", 200), ("d-2", 3_400), ("d-3", 0)] {
        index.update(
            &FastStr::new(id),
            whole(1, 1, vec![change("p", tokens)]),
            millis(0),
        );
    }
    let best = index.best_of(&engines, "p").unwrap();
    assert_eq!((best.engine.id.as_str(), best.tokens), ("d-2", 3_400));
    index.retain(|id| id != "d-2");
    let best = index.best_of(&engines, "p").unwrap();
    assert_eq!(best.engine.id, "d-1");
}

/// Prompt tokens computed a second time after all hosts were killed and the streams of six decode engines return to
/// hosts without any state.
fn recomputed_tokens(uses_cache: bool) -> u64 {
    const STREAMS: u64 = 42;
    const PROMPT: u64 = 3_200;
    let ids: Vec<String> = (0..6).map(|number| format!("d-{number}")).collect();
    let engines: Vec<BackendInfo> = ids.iter().map(|id| decode(id)).collect();
    let mut held: BTreeMap<&str, Vec<CacheChange>> = BTreeMap::new();
    for stream in 0..STREAMS {
        let id = ids[(stream % 6) as usize].as_str();
        // One in seven was evicted by requests that arrived before the callers returned.
        let tokens = if stream % 7 == 0 { 0 } else { PROMPT };
        let part = change(&format!("p-{stream}"), tokens);
        held.entry(id).or_default().push(part);
    }
    let mut index = PromptCacheIndex::default();
    let mut recomputed = 0;
    for stream in 0..STREAMS {
        let now = millis(stream * 20);
        for engine in &engines {
            if index.query(&engine.id, now).is_some() {
                let news = whole(1, 1, held[engine.id.as_str()].clone());
                index.update(&engine.id, news, now);
            }
        }
        let found = index.best_of(&engines, &format!("p-{stream}"));
        let saved = found.filter(|_| uses_cache).map_or(0, |found| found.tokens);
        recomputed += PROMPT - saved;
    }
    recomputed
}

#[test]
fn after_all_hosts_were_killed_few_prompts_are_recomputed() {
    assert_eq!(recomputed_tokens(false), 134_400);
    assert_eq!(recomputed_tokens(true), 19_200);
}
